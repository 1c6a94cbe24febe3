//! How long upstreams are at work for clients that have disconnected, as a histogram.

use std::time::Duration;

use load_balancing::interface::AttemptOutcome;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

/// Bounds in seconds. Attempts that may be repeated are to end within half a second.
const BUCKET_BOUNDS_S: [f64; 9] = [0.005, 0.025, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

/// How an attempt ended after its client had disconnected. The names of the variants are the values of the label.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
enum AttemptEnd {
    /// It was aborted, or was never sent.
    Cancelled,
    /// It ended by itself: it may run only once, or its response crossed the cancel.
    Finished,
}

/// The names of the fields are the names of the labels.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Labels {
    end: AttemptEnd,
}

/// The time from the disconnects of clients to the ends of their attempts. Clones share the counts.
#[derive(Clone, Debug)]
pub struct AbandonedAttempts(Family<Labels, Histogram, fn() -> Histogram>);

impl Default for AbandonedAttempts {
    fn default() -> Self {
        Self(Family::new_with_constructor(|| {
            Histogram::new(BUCKET_BOUNDS_S)
        }))
    }
}

impl AbandonedAttempts {
    /// An attempt has ended so long after its client had disconnected.
    pub(super) fn record(&self, outcome: AttemptOutcome, after: Duration) {
        let is_cancelled = matches!(
            outcome,
            AttemptOutcome::Cancelled | AttemptOutcome::NotIssued
        );
        let end = if is_cancelled {
            AttemptEnd::Cancelled
        } else {
            AttemptEnd::Finished
        };
        self.0
            .get_or_create(&Labels { end })
            .observe(after.as_secs_f64());
    }

    /// Adds the histogram to what is exported.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Time from the leaving of a client to the end of its attempt at an upstream";
        registry.register_with_unit("abandoned", help, Unit::Seconds, self.0.clone());
    }
}
