//! Positions of the balancers on a ring of circumference 1.

/// Positions are multiples of the golden ratio: these are spread evenly for any run of balancers and for every
/// n-th of them.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// A balancer's own point of the ring.
pub(crate) fn point(position: u32) -> f64 {
    (f64::from(position) * GOLDEN_RATIO_FRACTION).fract()
}

/// Where a balancer's turn lies between two of its sends to one upstream in slow start: the same throughout the
/// slow start of that upstream. Drawn at random instead, nine of ninety balancers drew the same second.
pub(crate) fn slow_start_phase(position: u32, identity: u64) -> f64 {
    (f64::from(position) * GOLDEN_RATIO_FRACTION + identity as f64 / u64::MAX as f64).fract()
}
