//! Estimates TP_i and TS_i for one upstream, as in the paper named in [`policy`](crate::policy).

use crate::interface::AttemptOutcome;

/// Weight of a new answer in the estimate of TS_i: about the last eight answers count.
pub(in crate::policy) const SERVICE_TIME_GAIN: f64 = 0.125;
/// Minimum slowness recorded for a failed attempt.
const MIN_FAULT_SLOWNESS: f64 = 5.0;
/// Maximum slowness recorded for one answer, so that one expensive request doesn't make its upstream look slow.
pub(in crate::policy) const MAX_SLOWNESS: f64 = 10.0;

/// Latency estimates of one upstream: the round trip is split into 2*TP_i + TS_i.
#[derive(Clone, Copy, Debug)]
pub(in crate::policy) struct LatencyEstimate {
    /// 2*TP_i, twice the propagation time, in microseconds: the shortest round trip of an answer without any work, that
    /// is, of a rejection.
    pub(in crate::policy) propagation: Option<f64>,
    /// Service time, including the wait at the upstream, divided by the mean of all upstreams for the same class.
    /// TS_i is this times the mean of all upstreams, independent of the mix of classes that the upstream got.
    pub(in crate::policy) slowness: f64,
}

impl LatencyEstimate {
    /// The estimate before any answer: as fast as the mean of all upstreams.
    pub(in crate::policy) const INITIAL: Self = Self {
        propagation: None,
        slowness: 1.0,
    };

    /// Updates the estimate with an outcome after `latency` microseconds. `mean` is the mean latency of the class
    /// over all upstreams.
    pub(in crate::policy) fn learn(&mut self, outcome: AttemptOutcome, latency: f64, mean: f64) {
        if outcome == AttemptOutcome::Rejected {
            self.propagation = Some(self.propagation.map_or(latency, |known| known.min(latency)));
        }
        let slowness = (latency - self.propagation.unwrap_or(0.0)).max(1.0) / mean;
        let slowness = match outcome {
            AttemptOutcome::Ok => slowness,
            // A fast error must not make the upstream look fast, since that would earn it slots.
            AttemptOutcome::Error | AttemptOutcome::Timeout | AttemptOutcome::Reset => {
                slowness.max(MIN_FAULT_SLOWNESS)
            }
            _ => return,
        };
        self.slowness += (slowness.min(MAX_SLOWNESS) - self.slowness) * SERVICE_TIME_GAIN;
    }
}
