//! What the balancers of a fleet share of the same upstreams without exchanging a message.
//!
//! Each balancer knows only the size of the fleet and its own position in it. From these follow its place on the
//! [`ring`] (which upstreams are its subset, and when it may send to one in slow start), its [`fair_share`] of the
//! upstreams' slots, its pace towards an upstream in slow start ([`send_credit`]), its guess of its peers' requests
//! at an upstream ([`peer_load`]), and its part of the [`retry_budget`]. No clock and no I/O.
//!
//! What may be lost: a balancer that restarts begins with empty credit and an empty retry window, which errs on the
//! side of sending less. Where a balancer is gone and the fleet size is not yet corrected, its part stays unused.

pub(crate) mod fair_share;
pub(crate) mod peer_load;
pub(crate) mod retry_budget;
pub(crate) mod ring;
pub(crate) mod send_credit;
#[cfg(test)]
mod tests;
