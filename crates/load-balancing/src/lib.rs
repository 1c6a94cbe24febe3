//! Decision logic of an HTTP load balancer that runs as a fleet of proxies.
//!
//! Each proxy owns one [`policy::Balancer`], passes it events ([`interface::Event`]), and carries out the
//! [`interface::Action`]s that it returns. The crate does no I/O and reads no clock, so a test can drive it through
//! any schedule. All state is in memory and belongs to the balancer; proxies share nothing except that each knows the
//! size of the fleet and its own position in it.
//!
//! [`interface`] defines the types that the balancer and its host exchange, [`policy`] makes all decisions, and
//! [`settings`] reads a site's settings from JSON.

mod fleet;
pub mod interface;
mod key_owners;
pub mod policy;
pub mod settings;

/// The README's example, compiled as a doc test.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
pub struct Readme;
