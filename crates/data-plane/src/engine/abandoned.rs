//! Histogram of how long upstreams keep working on requests whose clients have disconnected.

use std::time::Duration;

use load_balancing::interface::AttemptOutcome;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

/// Bucket bounds in seconds. Attempts of repeatable requests, which are cancelled, should end within half a second.
const BUCKET_BOUNDS_S: [f64; 9] = [0.005, 0.025, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

/// How an attempt ended after its client had disconnected. The variant names are exported as label values.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
enum AttemptEnd {
    /// The attempt was aborted, or its request was never sent.
    Cancelled,
    /// The attempt ended by itself: the request may run only once, or the response arrived before the cancellation.
    Finished,
}

/// The labels of the histogram. The field names are exported as label names.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Labels {
    end: AttemptEnd,
}

/// The time from a client's disconnect to the end of its attempt. Clones share the same histogram.
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
    /// Records an attempt that ended at this delay after its client had disconnected.
    pub(super) fn record(&self, outcome: AttemptOutcome, delay: Duration) {
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
            .observe(delay.as_secs_f64());
    }

    /// Registers the histogram for export.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Time from the leaving of a client to the end of its attempt at an upstream";
        registry.register_with_unit("abandoned", help, Unit::Seconds, self.0.clone());
    }
}
