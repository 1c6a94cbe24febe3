//! A balancer's fair share of all upstream slots.

/// Slots that a balancer may use for bursts on top of its even share, as a multiple of the square root of that
/// share. Bursts last longer than one request occupies a slot; at this value all but a few percent of them fit. With
/// even shares alone, a hundred balancers with less than one slot each rejected a third of the traffic while half of
/// the upstream capacity was idle.
const BURST_SQRT_FACTOR: f64 = 2.0;

/// The part of all upstream slots that a balancer may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FairShare {
    /// Share of all slots, 0 to 1.
    pub(crate) of_slots: f64,
    /// Fraction of `of_slots` that is the even share, 0 to 1; the rest is for bursts.
    pub(crate) even: f64,
}

impl FairShare {
    /// Returns the share of one of `balancers` in `slots`. Its even share is `tolerance` times an equal part.
    pub(crate) fn new(slots: f64, tolerance: f64, balancers: u32) -> Self {
        let even = slots * tolerance / f64::from(balancers);
        let with_bursts = even + BURST_SQRT_FACTOR * even.sqrt();
        let of_slots = (with_bursts / slots.max(1.0)).min(1.0);
        let even = if even < slots * of_slots {
            even / (slots * of_slots)
        } else {
            1.0
        };
        Self { of_slots, even }
    }
}
