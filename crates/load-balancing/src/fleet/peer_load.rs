//! Estimates how many requests of other balancers are at an upstream that reports its load.

use crate::interface::Time;

/// Smoothing factor of the moving average: it covers about the last eight reports, and without reports it decays with
/// a time constant of eight service times.
const AVERAGE_GAIN: f64 = 0.125;

/// The last load report of an upstream, as far as other balancers are concerned.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedLoad {
    /// Requests of other balancers at the upstream.
    pub(crate) peers: f64,
    /// When the report arrived.
    pub(crate) at: Time,
}

/// Moving average of other balancers' requests per slot, over all upstreams; an upstream has one slot for each request
/// that it runs concurrently. An upstream's own last report takes precedence, and decays towards this average.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerLoad {
    /// Other balancers' requests per slot.
    average: f64,
    reported_at: Time,
}

impl PeerLoad {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            average: 0.0,
            reported_at: now,
        }
    }

    /// Adds a report of `peers_per_slot` requests of other balancers per slot to the average.
    pub(crate) fn learn(&mut self, now: Time, peers_per_slot: f64) {
        self.average += (peers_per_slot - self.average) * AVERAGE_GAIN;
        self.reported_at = now;
    }

    /// Returns the expected number of other balancers' requests at an upstream with this many slots and this last
    /// report. `overall_service` and `own_service` are the mean service times of all upstreams and of this one, in
    /// microseconds.
    ///
    /// The estimate decays to the average, not to zero: with zero, upstreams without a recent report looked empty, and
    /// under load the balancers sent most requests to the upstreams that they knew least about.
    pub(crate) fn expected(
        &self,
        now: Time,
        slots: f64,
        reported: ReportedLoad,
        overall_service: f64,
        own_service: f64,
    ) -> f64 {
        let decay = |since: Time, time: f64| (-now.since(since).as_micros() / time).exp();
        let average =
            self.average * slots * decay(self.reported_at, overall_service / AVERAGE_GAIN);
        average + (reported.peers - average) * decay(reported.at, own_service)
    }
}
