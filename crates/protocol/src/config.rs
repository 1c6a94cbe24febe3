//! The configuration as both planes read it. Its rules, what is taken and what is not, are the control
//! plane's.

use serde::{Deserialize, Serialize};

/// A whole configuration. What it holds beyond this is kept and handed back as it came.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Config {
    #[serde(rename = "rev")]
    pub revision: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    #[serde(default)]
    pub limits: RequestLimits,
}

/// What clients may ask for, and how.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Route {
    pub name: String,
    pub host: String,
    pub path_prefix: String,
    #[serde(rename = "type")]
    pub kind: RequestKind,
    pub deadline_ms: u64,
    pub target_ms: u64,
    #[serde(default)]
    #[serde(rename = "prio")]
    pub priority: u32,
    #[serde(default)]
    #[serde(rename = "svc")]
    pub service: Option<String>,
    #[serde(default)]
    pub split: Option<Vec<TrafficSplit>>,
    #[serde(default = "one")]
    #[serde(rename = "tries")]
    pub max_attempts: u32,
    #[serde(default)]
    pub home_regions: Vec<String>,
}

/// One of the services that share a route.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename = "Part")]
pub struct TrafficSplit {
    #[serde(rename = "svc")]
    pub service: String,
    pub weight: u32,
}

/// What repeating a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename = "Kind", rename_all = "lowercase")]
pub enum RequestKind {
    /// Nothing: it may run more than once.
    Idempotent,
    /// It may run once at most.
    Mutating,
}

/// Upstreams that do the same.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Service {
    pub name: String,
    #[serde(default)]
    pub health_path: String,
    #[serde(default)]
    pub max_conns: u32,
    /// How long an upstream is cold after its start, and what it bears while it is.
    #[serde(default)]
    pub warmup_s: f64,
    #[serde(default)]
    pub warmup_per_s: f64,
    /// Its upstreams divide its keys: each runs only requests whose key it was granted.
    #[serde(default)]
    pub sharded: bool,
}

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Limits", default)]
pub struct RequestLimits {
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    pub header_timeout_ms: u64,
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

fn one() -> u32 {
    1
}

impl Route {
    /// Its services with their weights.
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
