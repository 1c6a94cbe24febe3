//! The metrics of a balancer: requests by route and outcome, their duration, and the state of the system as known to
//! the balancer. They are exported in the OpenMetrics text format, for Prometheus.
//!
//! Owns the registry. The counters of a route are looked up when its configuration is applied, not for each request,
//! and are removed with the route. Counters start at zero with each process.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use hyper::header::{CONTENT_TYPE, HeaderValue};
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use tokio::time::Instant;

use crate::engine::AbandonedAttempts;
use crate::headers::ClientResponse;
use crate::request_memory::RequestMemory;

const OPENMETRICS_CONTENT_TYPE: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");

/// The upper bounds of the request duration buckets, in seconds. Latency targets are between 0.2 s and a few seconds.
const DURATION_BUCKETS_SECONDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 30.0,
];

/// Encodes all registered metrics in the OpenMetrics text format.
pub fn encode_text(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = encode(&mut text, registry);
    text
}

/// Returns a response with metrics in the OpenMetrics text format.
pub fn metrics_response(text: String) -> ClientResponse {
    let mut response = ClientResponse::new(text.into());
    response
        .headers_mut()
        .insert(CONTENT_TYPE, OPENMETRICS_CONTENT_TYPE);
    response
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RequestLabels {
    route: String,
    outcome: RequestOutcome,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RouteLabels {
    route: String,
}

/// The outcome of a request. The names of the variants are the values of the label `outcome`.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
pub enum RequestOutcome {
    /// An upstream's response was forwarded.
    Served,
    /// The request has not run, and the client was told when to retry it.
    Refused,
    /// The request was invalid or too large, arrived too slowly, or has no service.
    Malformed,
    /// The request may have run, and there is no response.
    Failed,
}

/// All outcomes, in the order of their discriminants.
const OUTCOMES: [RequestOutcome; 4] = [
    RequestOutcome::Served,
    RequestOutcome::Refused,
    RequestOutcome::Malformed,
    RequestOutcome::Failed,
];

/// The metrics of one balancer.
pub struct Metrics {
    registry: RefCell<Registry>,
    requests: Family<RequestLabels, Counter>,
    request_seconds: Family<RouteLabels, Histogram, fn() -> Histogram>,
    routes: RefCell<BTreeMap<String, Rc<RouteMetrics>>>,
    /// Requests that no route matches.
    pub unrouted_requests: Counter,
    /// The revision (`rev`) of the active configuration.
    pub configuration_revision: Gauge,
    /// The number of balancers in the fleet, as reported by the control plane.
    pub balancers: Gauge,
    /// The number of known upstreams.
    pub upstreams: Gauge,
}

/// The metrics of one route.
pub struct RouteMetrics {
    /// Indexed by the discriminant of the outcome.
    requests_by_outcome: [Counter; OUTCOMES.len()],
    request_seconds: Histogram,
}

impl RouteMetrics {
    /// Records the response to a request of this route that arrived at `arrived_at`.
    pub fn record_response(&self, outcome: RequestOutcome, arrived_at: Instant) {
        self.requests_by_outcome[outcome as usize].inc();
        self.request_seconds
            .observe(arrived_at.elapsed().as_secs_f64());
    }
}

impl Metrics {
    /// Creates the metrics, all at zero. Abandoned attempts are counted by the engine, evicted request bodies by their
    /// memory; both are only registered here.
    pub fn new(abandoned: &AbandonedAttempts, request_memory: &RequestMemory) -> Self {
        let new_histogram: fn() -> Histogram = || Histogram::new(DURATION_BUCKETS_SECONDS);
        let metrics = Self {
            registry: RefCell::new(Registry::with_prefix("shorefront")),
            requests: Family::default(),
            request_seconds: Family::new_with_constructor(new_histogram),
            routes: RefCell::default(),
            unrouted_requests: Counter::default(),
            configuration_revision: Gauge::default(),
            balancers: Gauge::default(),
            upstreams: Gauge::default(),
        };
        metrics.register(abandoned);
        request_memory.register(&mut metrics.registry.borrow_mut());
        metrics
    }

    /// Registers all metrics. Their names and help texts are part of the interface for operators.
    fn register(&self, abandoned: &AbandonedAttempts) {
        let mut registry = self.registry.borrow_mut();
        registry.register(
            "requests",
            "Requests by route and what became of them",
            self.requests.clone(),
        );
        registry.register_with_unit(
            "request",
            "Time from the arrival of a request to its answer",
            Unit::Seconds,
            self.request_seconds.clone(),
        );
        registry.register(
            "unrouted_requests",
            "Requests that no route is for",
            self.unrouted_requests.clone(),
        );
        registry.register(
            "configuration_version",
            "`rev` in force",
            self.configuration_revision.clone(),
        );
        registry.register(
            "balancers",
            "Balancers in the bank, as told",
            self.balancers.clone(),
        );
        registry.register("upstreams", "Upstreams known", self.upstreams.clone());
        abandoned.register(&mut registry);
    }

    /// Returns the metrics of a route. Those of a known route keep their values.
    pub fn route(&self, name: &str) -> Rc<RouteMetrics> {
        if let Some(known) = self.routes.borrow().get(name) {
            return known.clone();
        }
        let route = name.to_string();
        let labels = |outcome| RequestLabels {
            route: route.clone(),
            outcome,
        };
        let counters = Rc::new(RouteMetrics {
            requests_by_outcome: OUTCOMES.map(|o| self.requests.get_or_create_owned(&labels(o))),
            request_seconds: self.request_seconds.get_or_create_owned(&RouteLabels {
                route: route.clone(),
            }),
        });
        self.routes.borrow_mut().insert(route, counters.clone());
        counters
    }

    /// Removes the metrics of all routes except these.
    pub fn retain_routes<'a>(&self, names: impl Iterator<Item = &'a str>) {
        let mut gone = self.routes.take();
        let kept = names.filter_map(|name| gone.remove_entry(name));
        self.routes.replace(kept.collect());
        for route in gone.into_keys() {
            for outcome in OUTCOMES {
                self.requests.remove(&RequestLabels {
                    route: route.clone(),
                    outcome,
                });
            }
            self.request_seconds.remove(&RouteLabels { route });
        }
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        encode_text(&self.registry.borrow())
    }
}

#[cfg(test)]
mod tests;
