//! State records of the balancer: requests, upstreams, sets of upstreams, and all upstreams together.
//!
//! No decisions are made here: records only update themselves with observations. Dependencies go one way, from the
//! decisions in [`crate::policy`] to these records.

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
