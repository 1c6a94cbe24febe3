//! Coordination-free sharing of the upstreams among the balancers of a fleet.
//!
//! Balancers exchange no messages. Each knows only the size of the fleet and its own position in it, and derives
//! from them:
//!
//! - its point on the [`ring`], which determines its subset of the upstreams and when it may send to an upstream in
//!   slow start;
//! - its [`fair_share`] of the upstreams' slots;
//! - its send rate to an upstream in slow start ([`send_credit`]);
//! - its estimate of the other balancers' requests at an upstream ([`peer_load`]);
//! - its part of the [`retry_budget`].
//!
//! The module does no I/O and reads no clock.
//!
//! A restarted balancer begins with less than one send of credit per upstream and with an empty retry window, so it
//! sends less rather than more. When a balancer has stopped, its share stays unused until the fleet size is corrected.

pub(crate) mod fair_share;
pub(crate) mod peer_load;
pub(crate) mod retry_budget;
pub(crate) mod ring;
pub(crate) mod send_credit;
#[cfg(test)]
mod tests;
