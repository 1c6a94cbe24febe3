//! Decisions of an HTTP load balancer that runs as a fleet of proxies.
//!
//! Each proxy owns one [`policy::Balancer`], tells it what happens ([`interface::Event`]), and carries out the
//! [`interface::Action`]s it answers with. The crate does no I/O and reads no clock: a test can drive it through any
//! schedule. All state is in memory and belongs to the balancer; nothing is shared between proxies but the size of
//! their fleet and their position in it.
//!
//! [`interface`] is the shared vocabulary, [`policy`] has every decision, [`settings`] reads the settings of a site
//! from JSON.

mod fleet;
pub mod interface;
mod key_owners;
pub mod policy;
pub mod settings;

/// The README's example, compiled as a doc test.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
pub struct Readme;
