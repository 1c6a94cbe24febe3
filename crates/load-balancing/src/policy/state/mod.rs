//! The records that the balancer keeps: of requests, of upstreams, of sets of upstreams, of the fleet as a whole.
//!
//! No decision is made here: records know how to take in an observation, and nothing of each other's owner. The
//! arrow goes one way, from the decisions in [`crate::policy`] to these records.

pub(super) mod capacity;
pub(super) mod circuit_breaker;
pub(super) mod concurrency;
pub(super) mod fleet_estimate;
pub(super) mod latency_estimate;
pub(super) mod membership_poll;
pub(super) mod request;
pub(super) mod settings;
pub(super) mod tenant_quota;
pub(super) mod upstream;
pub(super) mod upstream_table;
