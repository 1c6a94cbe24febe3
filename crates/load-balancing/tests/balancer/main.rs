//! The balancer as its host sees it: events in, actions out.
//!
//! - [`mechanism`]: the queue, K_i and N_i, and what was added to the paper's mechanism.
//! - [`rules`]: what must never happen, over random orders of events.
//! - [`reported_facts`]: upstreams that tell their slots, load and slow start; settings that change in service.
//! - [`fleet`]: many balancers and the upstreams they share.

mod fleet;
mod fleet_world;
mod harness;
mod mechanism;
mod reported_facts;
mod rules;
