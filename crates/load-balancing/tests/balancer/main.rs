//! The balancer as its host sees it: events in, actions out.
//!
//! By subject: [`queueing`], [`estimates`], [`faults`], [`slow_start`], [`membership`], [`subset_and_share`],
//! [`concurrency`] and [`tenants`] (the paper's mechanism, and what goes beyond it); [`rules`] (what must never happen,
//! over random orders of events); [`reported_facts`] (upstreams whose slots, load and slow-start rate are told, and
//! settings that change in service); [`fleet`] (many balancers and the upstreams that they share).

mod concurrency;
mod estimates;
mod faults;
mod fleet;
mod fleet_world;
mod harness;
mod membership;
mod queueing;
mod reported_facts;
mod rules;
mod slow_start;
mod subset_and_share;
mod tenants;
