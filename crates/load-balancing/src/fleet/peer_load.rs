//! How many requests of its peers a balancer expects at an upstream that reports its load.

use crate::interface::Time;

/// The usual level goes by about the last eight reports, and fades over as many service times without one.
const USUAL_LEVEL_GAIN: f64 = 0.125;

/// What an upstream last reported.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedLoad {
    /// Requests of other balancers at it.
    pub(crate) peers: f64,
    /// When it reported them.
    pub(crate) at: Time,
}

/// The usual number of peers' requests per slot of an upstream; what an upstream last reported makes way for it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerLoad {
    /// Peers' requests per slot.
    usual: f64,
    reported_at: Time,
}

impl PeerLoad {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            usual: 0.0,
            reported_at: now,
        }
    }

    /// Takes in a report of so many peers' requests per slot.
    pub(crate) fn learn(&mut self, now: Time, peers_per_slot: f64) {
        self.usual += (peers_per_slot - self.usual) * USUAL_LEVEL_GAIN;
        self.reported_at = now;
    }

    /// Peers' requests expected at an upstream with this many slots, from its last report.
    /// `fleet_service` and `own_service` are the mean service times of all upstreams and of this one, in
    /// microseconds.
    ///
    /// When peers' requests counted as none once they had time to end, upstreams without a recent report looked
    /// empty, and a fleet under load sent most to those it knew least.
    pub(crate) fn expected(
        &self,
        now: Time,
        slots: f64,
        reported: ReportedLoad,
        fleet_service: f64,
        own_service: f64,
    ) -> f64 {
        let fade = |since: Time, time: f64| (-now.since(since).as_micros() / time).exp();
        let usual = self.usual * slots * fade(self.reported_at, fleet_service / USUAL_LEVEL_GAIN);
        usual + (reported.peers - usual) * fade(reported.at, own_service)
    }
}
