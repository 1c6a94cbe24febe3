//! The configuration as both planes read it, in the form of the operators' page: routes, services, limits.
//!
//! These are types only. What is valid, and how a revision follows another, is decided by the control plane
//! (`control_plane::configuration`); the error texts of serde name the fields as operators write them.

use serde::{Deserialize, Serialize};

/// A complete configuration. Fields beyond these are kept in its text, which operators get back as they sent it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Config {
    /// Number of the configuration; each accepted one has a higher one.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Which requests are accepted, and where they go. The order has no meaning.
    pub routes: Vec<Route>,
    /// The services that routes name.
    pub services: Vec<Service>,
    /// What a client may send.
    #[serde(default)]
    pub limits: RequestLimits,
}

/// What clients may ask for, and how.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Route {
    /// Unique among the routes.
    pub name: String,
    /// Host that its requests name.
    pub host: String,
    /// A request belongs to the route of its host with the longest prefix of its path.
    pub path_prefix: String,
    /// What repeating its requests may do.
    #[serde(rename = "type")]
    pub kind: RequestKind,
    /// Milliseconds after which a request is answered with an error.
    pub deadline_ms: u64,
    /// Milliseconds within which an answer earns its full value (latency target).
    pub target_ms: u64,
    /// A lower number goes first when not all requests can be served.
    #[serde(default)]
    #[serde(rename = "prio")]
    pub priority: u32,
    /// The service that gets its requests. Exactly one of this and `split` is given.
    #[serde(default)]
    #[serde(rename = "svc")]
    pub service: Option<String>,
    /// The services that share its requests.
    #[serde(default)]
    pub split: Option<Vec<TrafficSplit>>,
    /// Attempts for each request, the first included.
    #[serde(default = "one_attempt")]
    #[serde(rename = "tries")]
    pub max_attempts: u32,
    /// Regions whose upstreams may get its requests; all if empty.
    #[serde(default)]
    pub home_regions: Vec<String>,
}

/// One of the services that share a route's requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename = "Part")]
pub struct TrafficSplit {
    /// The service.
    #[serde(rename = "svc")]
    pub service: String,
    /// Its share is this weight, divided by the sum of all weights of the route. 0: none.
    pub weight: u32,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename = "Kind", rename_all = "lowercase")]
pub enum RequestKind {
    /// It may run more than once.
    Idempotent,
    /// It may run once at most: it is sent again only after proof that it has not run.
    Mutating,
}

/// A service: upstreams that do the same.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Service {
    /// Unique among the services.
    pub name: String,
    /// Path of its health check.
    #[serde(default)]
    pub health_path: String,
    /// Connections that one balancer may have open to one of its upstreams.
    #[serde(default)]
    pub max_conns: u32,
    /// Seconds of slow start after an upstream has started; 0 for none.
    #[serde(default)]
    pub warmup_s: f64,
    /// Requests a second that an upstream bears in slow start.
    #[serde(default)]
    pub warmup_per_s: f64,
    /// Its upstreams divide its keys: each runs only requests whose `Shard-Key` it holds a lease on.
    #[serde(default)]
    pub sharded: bool,
}

/// What a client may send, and how long it may take. A client beyond a limit gets an error.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Limits", default)]
pub struct RequestLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Milliseconds within which a request's head has to be complete.
    pub header_timeout_ms: u64,
    /// Milliseconds after which a connection without a request is closed.
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
    /// The services that share its requests, with their weights; none if it names no service.
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
