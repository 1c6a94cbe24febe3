//! Places the balancers of a fleet on a ring of circumference 1, from which each selects its subset of the upstreams,
//! and spreads their sends to an upstream in slow start over time.

/// Fractional part of the golden ratio. Its multiples modulo 1 are spread evenly for any run of consecutive
/// positions, and for every n-th position.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// Returns the point on the ring, 0 to 1, of the balancer at this position in the fleet.
pub(crate) fn point(position: u32) -> f64 {
    (f64::from(position) * GOLDEN_RATIO_FRACTION).fract()
}

/// Returns the phase, 0 to 1, of a balancer's sends to an upstream in slow start within its send interval. It is
/// constant throughout that slow start and differs between balancers: with random phases, nine of ninety balancers
/// sent within the same second.
pub(crate) fn slow_start_phase(position: u32, identity: u64) -> f64 {
    (f64::from(position) * GOLDEN_RATIO_FRACTION + identity as f64 / u64::MAX as f64).fract()
}
