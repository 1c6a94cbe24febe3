//! The paper's estimator for one upstream: answers to TP_i and TS_i.

use crate::interface::AttemptOutcome;

/// Weight of a new round trip in the estimate of TS_i, per answer: about the last eight answers count.
pub(in crate::policy) const SERVICE_TIME_GAIN: f64 = 0.125;
/// An attempt that failed counts as this many mean service times at least.
const MIN_FAULT_SLOWNESS: f64 = 5.0;
/// One answer counts as this many mean service times at most: a heavy request must not condemn the upstream that
/// drew it.
pub(in crate::policy) const MAX_SLOWNESS: f64 = 10.0;

/// What the answers of one upstream told: the round trip is split into 2*TP_i + TS_i.
#[derive(Clone, Copy, Debug)]
pub(in crate::policy) struct LatencyEstimate {
    /// 2*TP_i, twice the propagation time, in microseconds: the least round trip of an answer that did no work.
    pub(in crate::policy) propagation: Option<f64>,
    /// Service time, waiting at the upstream included, over the fleet's mean for the same class. TS_i is this
    /// times the fleet's mean, whatever mix of classes the upstream drew.
    pub(in crate::policy) slowness: f64,
}

impl LatencyEstimate {
    /// Before any answer: as fast as the fleet's mean.
    pub(in crate::policy) const NONE: Self = Self {
        propagation: None,
        slowness: 1.0,
    };

    /// Takes in an outcome after `latency` microseconds, where the fleet's mean for its class is `mean`.
    pub(in crate::policy) fn learn(&mut self, outcome: AttemptOutcome, latency: f64, mean: f64) {
        if outcome == AttemptOutcome::Rejected {
            self.propagation = Some(self.propagation.map_or(latency, |known| known.min(latency)));
        }
        let slowness = (latency - self.propagation.unwrap_or(0.0)).max(1.0) / mean;
        let slowness = match outcome {
            AttemptOutcome::Ok => slowness,
            // A quick error must not look like a fast upstream: it would earn slots.
            AttemptOutcome::Error | AttemptOutcome::Timeout | AttemptOutcome::Reset => {
                slowness.max(MIN_FAULT_SLOWNESS)
            }
            _ => return,
        };
        self.slowness += (slowness.min(MAX_SLOWNESS) - self.slowness) * SERVICE_TIME_GAIN;
    }
}
