//! How much more than its even part of the fleet's slots this balancer takes.
//!
//! The limit follows the answers: it grows while they are as fast as in good times and falls when the upstreams are
//! crowded. So balancers take over the part of lost ones while there is capacity to spare: with fixed parts, where a
//! zone was lost with its balancers, the rest kept to the parts of a whole fleet, and rejected beside idle upstreams.

use super::Balancer;
use super::state::latency_estimate::MAX_SLOWNESS;
use crate::interface::AttemptOutcome;

/// A balancer starts with, and keeps, at least so many times its even part of the slots: clients are never spread
/// evenly.
pub(super) const INITIAL_TOLERANCE: f64 = 1.2;
/// Each answer at the limit raises the tolerance by this share of it.
const TOLERANCE_GAIN: f64 = 0.02;
/// It falls so many times faster than it grows: it is others' part that is given back.
const DECREASE_FACTOR: f64 = 1.5;
/// And so many times faster again where an upstream rejected a request.
const REJECTION_FACTOR: f64 = 6.0;
/// An even part of more upstreams than this needs less of others' part: its bursts even out by themselves.
const FEW_UPSTREAMS: f64 = 3.0;
/// An answer that took so many times as long as in good times was crowded: one more in its way makes it two.
const CROWDED_SLOWDOWN: f64 = 1.5;
/// How fast the service time of good times follows a worse one, per answer.
const UNCROWDED_TIME_GAIN: f64 = 1.0 / 1024.0;

impl Balancer {
    /// Moves the limit by what an answer tells of the capacity there. `slowness` is its latency over the mean of its
    /// class.
    pub(super) fn adjust_tolerance(&mut self, slowness: f64, outcome: AttemptOutcome) {
        let slowness = match outcome {
            AttemptOutcome::Ok => slowness.min(MAX_SLOWNESS),
            AttemptOutcome::Rejected => MAX_SLOWNESS,
            _ => return,
        };
        let fleet = &mut self.fleet;
        let worse = fleet.service_time - fleet.uncrowded_service_time;
        fleet.uncrowded_service_time += if worse < 0.0 {
            worse
        } else {
            worse * UNCROWDED_TIME_GAIN
        };
        // Not below the limit: where it fell with every heavy request and rose only at the limit, and bursts alone
        // reach the limit, it never left its least value, and balancers rejected beside idle upstreams.
        let pool = self.capacity.fleet();
        let is_below_limit = pool.in_flight as f64 + 1.0 < pool.slots;
        if is_below_limit && outcome == AttemptOutcome::Ok {
            return;
        }
        let balancers = f64::from(self.settings.balancers);
        let slowdown = slowness * fleet.service_time / fleet.uncrowded_service_time;
        let change = if slowdown > CROWDED_SLOWDOWN {
            let even_part = self.by_cost.len() as f64 / balancers;
            let rejection = if outcome == AttemptOutcome::Ok {
                1.0
            } else {
                REJECTION_FACTOR
            };
            -(DECREASE_FACTOR * (even_part / FEW_UPSTREAMS).max(1.0) * rejection)
        } else {
            1.0
        };
        fleet.tolerance *= 1.0 + TOLERANCE_GAIN * change;
        fleet.tolerance = fleet
            .tolerance
            .clamp(INITIAL_TOLERANCE, INITIAL_TOLERANCE.max(balancers));
    }
}
