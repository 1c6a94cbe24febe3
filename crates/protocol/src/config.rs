//! The operators' configuration, as read by the control plane and the data plane: routes, services and limits.
//!
//! This module only defines types. Validation and the order of revisions are the control plane's concern
//! (`control_plane::configuration`). Serde names are those that operators write, because error messages show them.

use serde::{Deserialize, Serialize};

/// A complete configuration. Other fields are ignored here; the control plane stores the text that the operator sent
/// and returns it unchanged.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Config {
    /// Revision number, higher for each accepted configuration.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Routes that accept and forward requests. Their order is not significant.
    pub routes: Vec<Route>,
    /// Services that routes refer to.
    pub services: Vec<Service>,
    /// Limits on clients' requests.
    #[serde(default)]
    pub limits: RequestLimits,
}

/// A rule that selects requests by host and path, and defines how they are handled.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Route {
    /// Name, unique among the routes.
    pub name: String,
    /// Host of the requests that match.
    pub host: String,
    /// Path prefix of the requests that match. Among the routes of a host, the longest matching prefix wins.
    pub path_prefix: String,
    /// Whether requests may be executed more than once.
    #[serde(rename = "type")]
    pub kind: RequestKind,
    /// Deadline in milliseconds, after which the client gets an error response.
    pub deadline_ms: u64,
    /// Latency target in milliseconds: a response within this time has its full value.
    pub target_ms: u64,
    /// Priority under overload; lower numbers are served first.
    #[serde(default)]
    #[serde(rename = "prio")]
    pub priority: u32,
    /// Service that receives the requests. Exactly one of `service` and `split` is set.
    #[serde(default)]
    #[serde(rename = "svc")]
    pub service: Option<String>,
    /// Services that share the requests.
    #[serde(default)]
    pub split: Option<Vec<TrafficSplit>>,
    /// Maximum number of attempts for each request, including the first.
    #[serde(default = "one_attempt")]
    #[serde(rename = "tries")]
    pub max_attempts: u32,
    /// Regions whose upstreams may receive the requests; all regions if empty.
    #[serde(default)]
    pub home_regions: Vec<String>,
}

/// The share of one service in a route's requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename = "Part")]
pub struct TrafficSplit {
    /// Name of the service.
    #[serde(rename = "svc")]
    pub service: String,
    /// Weight of the service. Its share is this weight divided by the sum of the route's weights; 0 means no requests.
    pub weight: u32,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename = "Kind", rename_all = "lowercase")]
pub enum RequestKind {
    /// May be executed more than once.
    Idempotent,
    /// May be executed at most once: it is retried only after proof that it was not executed.
    Mutating,
}

/// A service: a set of interchangeable upstreams.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Service {
    /// Name, unique among the services.
    pub name: String,
    /// Path of the health check.
    #[serde(default)]
    pub health_path: String,
    /// Maximum number of connections from one balancer to one upstream.
    #[serde(default)]
    pub max_conns: u32,
    /// Duration of slow start in seconds, from the start of an upstream; 0 disables slow start.
    #[serde(default)]
    pub warmup_s: f64,
    /// Requests per second that an upstream can serve during slow start.
    #[serde(default)]
    pub warmup_per_s: f64,
    /// Whether the keys of the service are partitioned among its upstreams: each executes only requests whose
    /// `Shard-Key` it holds a lease on.
    #[serde(default)]
    pub sharded: bool,
}

/// Limits on the size and duration of clients' requests. A client that exceeds one gets an error response.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Limits", default)]
pub struct RequestLimits {
    /// Maximum size of a request head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Time in milliseconds within which a request head has to be complete.
    pub header_timeout_ms: u64,
    /// Time in milliseconds after which an idle connection is closed.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        }
    }
}

fn one_attempt() -> u32 {
    1
}

impl Route {
    /// Returns the services that share the requests, with their weights; empty if the route has neither `service` nor
    /// `split`.
    pub fn weighted_services(&self) -> Vec<(&str, u32)> {
        match (&self.split, &self.service) {
            (Some(parts), _) => parts
                .iter()
                .map(|p| (p.service.as_str(), p.weight))
                .collect(),
            (None, Some(service)) => vec![(service, 1)],
            (None, None) => Vec::new(),
        }
    }
}
