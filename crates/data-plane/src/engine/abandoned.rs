//! How long upstreams are at work for clients that have left, as a histogram.

use std::time::Duration;

use load_balancing::interface as d;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

/// Bounds in seconds; what may be repeated is to end within half a second.
const BOUNDS: [f64; 9] = [0.005, 0.025, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

/// How an attempt ended after its client had left.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
enum End {
    /// It was broken off, or was never handed over.
    Cancelled,
    /// It ended by itself: it may run only once, or its answer crossed the cancel.
    Finished,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Labels {
    end: End,
}

/// The time from the leaving of clients to the end of their attempts.
#[derive(Clone, Debug)]
pub struct Abandoned(Family<Labels, Histogram, fn() -> Histogram>);

impl Default for Abandoned {
    fn default() -> Self {
        Self(Family::new_with_constructor(|| Histogram::new(BOUNDS)))
    }
}

impl Abandoned {
    /// An attempt has ended so long after its client had left.
    pub(super) fn ended(&self, outcome: d::AttemptOutcome, after: Duration) {
        let cancelled = matches!(
            outcome,
            d::AttemptOutcome::Cancelled | d::AttemptOutcome::NotIssued
        );
        let end = if cancelled {
            End::Cancelled
        } else {
            End::Finished
        };
        self.0
            .get_or_create(&Labels { end })
            .observe(after.as_secs_f64());
    }

    /// Adds it to what is told.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Time from the leaving of a client to the end of its attempt at an upstream";
        registry.register_with_unit("abandoned", help, Unit::Seconds, self.0.clone());
    }
}
