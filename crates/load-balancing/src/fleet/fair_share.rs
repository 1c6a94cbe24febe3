//! A balancer's fair share of the slots of the whole fleet.

/// A balancer has so many times the square root of its even part of the slots beside that part, for bursts. Bursts
/// outlast a slot, and at this value all but a few in a hundred fit. With even parts alone, a hundred balancers
/// with less than one slot each rejected a third of the traffic beside a half idle fleet.
const BURST_ROOTS: f64 = 2.0;

/// What a balancer may take of the slots of all upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FairShare {
    /// Its share of all slots, 0 to 1.
    pub(crate) of_slots: f64,
    /// The share of that which is its even part: what is not there for bursts, 0 to 1.
    pub(crate) even: f64,
}

impl FairShare {
    /// The share of one of `balancers` in `slots`, where it may take `tolerance` times its even part.
    pub(crate) fn new(slots: f64, tolerance: f64, balancers: u32) -> Self {
        let even = slots * tolerance / f64::from(balancers);
        let with_bursts = even + BURST_ROOTS * even.sqrt();
        let of_slots = (with_bursts / slots.max(1.0)).min(1.0);
        let even = if even < slots * of_slots {
            even / (slots * of_slots)
        } else {
            1.0
        };
        Self { of_slots, even }
    }
}
