//! Tests of the balancer through its public interface: events in, actions out.
//!
//! - Basic algorithm and its extensions: [`queueing`], [`estimates`], [`faults`], [`slow_start`], [`membership`],
//!   [`subset_and_share`], [`concurrency`] and [`tenants`].
//! - [`rules`]: invariants, checked over random sequences of events.
//! - [`reported_facts`]: upstreams that report their slots and load, and a configured slow-start rate.
//! - [`reconfiguration`]: settings that change at run time.
//! - [`fleet`]: many balancers and the upstreams that they share.

mod concurrency;
mod estimates;
mod faults;
mod fleet;
mod fleet_world;
mod harness;
mod membership;
mod queueing;
mod reconfiguration;
mod reported_facts;
mod rules;
mod slow_start;
mod subset_and_share;
mod tenants;
