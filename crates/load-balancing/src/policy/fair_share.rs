//! The tolerance: how many times its even share of all upstream slots this balancer may take.
//!
//! The tolerance adapts to answers: it grows while they are as fast as under light load and shrinks when upstreams are
//! crowded, so that requests wait there. Balancers thereby take over the share of lost balancers while there is spare
//! capacity. With fixed shares, when a zone was lost along with its balancers, the remaining ones kept to the share
//! that they had before the loss and rejected requests while upstreams were idle.

use super::Balancer;
use super::state::latency_estimate::MAX_SLOWNESS;
use crate::interface::AttemptOutcome;

/// Initial and minimum tolerance. It is above 1 because clients are never spread evenly over the balancers.
pub(super) const INITIAL_TOLERANCE: f64 = 1.2;
/// Relative increase of the tolerance per answer received at the limit.
const TOLERANCE_GAIN: f64 = 0.02;
/// How many times faster the tolerance shrinks than it grows, because the slots given back belong to other balancers'
/// shares.
const DECREASE_FACTOR: f64 = 1.5;
/// Further factor on the decrease when an upstream rejected a request.
const REJECTION_FACTOR: f64 = 6.0;
/// Number of upstreams in an even share above which the tolerance shrinks faster: bursts average out over a larger
/// share, so it needs fewer of the other balancers' slots.
const FEW_UPSTREAMS: f64 = 3.0;
/// Slowdown of an answer, relative to light load, above which its upstream counts as crowded. One request ahead of it
/// doubles its latency.
const CROWDED_SLOWDOWN: f64 = 1.5;
/// Weight of an answer in the uncrowded service time when the current service time is higher; a lower one is adopted at
/// once.
const UNCROWDED_TIME_GAIN: f64 = 1.0 / 1024.0;

impl Balancer {
    /// Adjusts the tolerance by what an outcome tells about the spare capacity. `slowness` is its latency divided by
    /// the mean of its class.
    pub(super) fn adjust_tolerance(&mut self, slowness: f64, outcome: AttemptOutcome) {
        let slowness = match outcome {
            AttemptOutcome::Ok => slowness.min(MAX_SLOWNESS),
            AttemptOutcome::Rejected => MAX_SLOWNESS,
            _ => return,
        };
        let fleet = &mut self.fleet;
        let increase = fleet.service_time - fleet.uncrowded_service_time;
        fleet.uncrowded_service_time += if increase < 0.0 {
            increase
        } else {
            increase * UNCROWDED_TIME_GAIN
        };
        // Answers below the limit leave the tolerance as it is. When every expensive request lowered it while it rose
        // only at the limit, which only bursts reach, it stayed at its minimum and balancers rejected requests while
        // upstreams were idle.
        let pool = self.capacity.all_upstreams();
        let is_below_limit = pool.in_flight as f64 + 1.0 < pool.slots;
        if is_below_limit && outcome == AttemptOutcome::Ok {
            return;
        }
        let balancers = f64::from(self.settings.balancers);
        let slowdown = slowness * fleet.service_time / fleet.uncrowded_service_time;
        let change = if slowdown > CROWDED_SLOWDOWN {
            let upstreams_per_balancer = self.by_cost.len() as f64 / balancers;
            let rejection = if outcome == AttemptOutcome::Ok {
                1.0
            } else {
                REJECTION_FACTOR
            };
            -(DECREASE_FACTOR * (upstreams_per_balancer / FEW_UPSTREAMS).max(1.0) * rejection)
        } else {
            1.0
        };
        fleet.tolerance *= 1.0 + TOLERANCE_GAIN * change;
        fleet.tolerance = fleet
            .tolerance
            .clamp(INITIAL_TOLERANCE, INITIAL_TOLERANCE.max(balancers));
    }
}
