//! What a balancer counts, for whoever watches it: requests by route and outcome, and how long they took. Counted
//! where a route is in hand, without a look-up for each request.

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

/// The form in which counts are told.
const FORM: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");

/// What is registered, as Prometheus reads it.
pub fn text(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to memory does not fail.
    let _ = encode(&mut text, registry);
    text
}

/// The answer that tells counts.
pub fn metrics_response(text: String) -> ClientResponse {
    let mut answer = ClientResponse::new(text.into());
    answer.headers_mut().insert(CONTENT_TYPE, FORM);
    answer
}

/// Bounds of the times, in seconds: aims lie between a fifth of a second and some seconds.
const BOUNDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 30.0,
];

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Of {
    route: String,
    outcome: RequestOutcome,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OfRoute {
    route: String,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
pub enum RequestOutcome {
    /// An upstream's answer was passed on.
    Served,
    /// It was told to come again; it has not run.
    Refused,
    /// It made no sense, was too large, or came too slowly.
    Malformed,
    /// It may have run, and there is no answer.
    Failed,
}

const OUTCOMES: [RequestOutcome; 4] = [
    RequestOutcome::Served,
    RequestOutcome::Refused,
    RequestOutcome::Malformed,
    RequestOutcome::Failed,
];

/// All that is counted at one balancer.
pub struct Metrics {
    registry: RefCell<Registry>,
    requests: Family<Of, Counter>,
    seconds: Family<OfRoute, Histogram, fn() -> Histogram>,
    routes: RefCell<BTreeMap<String, Rc<RouteMetrics>>>,
    /// Requests that no route is for.
    pub unrouted: Counter,
    pub version: Gauge,
    pub balancers: Gauge,
    pub upstreams: Gauge,
}

/// What is counted of one route.
pub struct RouteMetrics {
    outcomes: [Counter; OUTCOMES.len()],
    seconds: Histogram,
}

impl RouteMetrics {
    /// A request of this route has its answer.
    pub fn record_response(&self, outcome: RequestOutcome, arrived: Instant) {
        self.outcomes[outcome as usize].inc();
        self.seconds.observe(arrived.elapsed().as_secs_f64());
    }
}

impl Metrics {
    /// Nothing is counted yet, but what the engine measures by itself.
    pub fn new(abandoned: &AbandonedAttempts) -> Self {
        let mut registry = Registry::with_prefix("shorefront");
        let new: fn() -> Histogram = || Histogram::new(BOUNDS);
        let (requests, seconds) = (Family::default(), Family::new_with_constructor(new));
        let (unrouted, version) = (Counter::default(), Gauge::default());
        let (balancers, upstreams) = (Gauge::default(), Gauge::default());
        let said = "Requests by route and what became of them";
        registry.register("requests", said, requests.clone());
        let said = "Time from the arrival of a request to its answer";
        registry.register_with_unit("request", said, Unit::Seconds, seconds.clone());
        registry.register(
            "unrouted_requests",
            "Requests that no route is for",
            unrouted.clone(),
        );
        registry.register("configuration_version", "`rev` in force", version.clone());
        registry.register(
            "balancers",
            "Balancers in the bank, as told",
            balancers.clone(),
        );
        registry.register("upstreams", "Upstreams known", upstreams.clone());
        abandoned.register(&mut registry);
        let (registry, routes) = (RefCell::new(registry), RefCell::default());
        Self {
            registry,
            requests,
            seconds,
            routes,
            unrouted,
            version,
            balancers,
            upstreams,
        }
    }

    /// The counts of a route; what was counted of it before goes on.
    pub fn route(&self, name: &str) -> Rc<RouteMetrics> {
        if let Some(known) = self.routes.borrow().get(name) {
            return known.clone();
        }
        let route = name.to_string();
        let of = |outcome| Of {
            route: route.clone(),
            outcome,
        };
        let outcomes = OUTCOMES.map(|o| self.requests.get_or_create_owned(&of(o)));
        let seconds = self.seconds.get_or_create_owned(&OfRoute {
            route: route.clone(),
        });
        let counts = Rc::new(RouteMetrics { outcomes, seconds });
        self.routes.borrow_mut().insert(route, counts.clone());
        counts
    }

    /// Only these routes are there by now.
    pub fn retain_routes<'a>(&self, names: impl Iterator<Item = &'a str>) {
        let mut gone = self.routes.take();
        let kept = names.filter_map(|name| gone.remove_entry(name));
        self.routes.replace(kept.collect());
        for route in gone.into_keys() {
            for outcome in OUTCOMES {
                self.requests.remove(&Of {
                    route: route.clone(),
                    outcome,
                });
            }
            self.seconds.remove(&OfRoute { route });
        }
    }

    /// All of it as Prometheus reads it.
    pub fn text(&self) -> String {
        text(&self.registry.borrow())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_counted_is_told_and_goes_with_its_route() {
        let metrics = Metrics::new(&AbandonedAttempts::default());
        let arrived = Instant::now();
        for outcome in OUTCOMES {
            metrics.route("a").record_response(outcome, arrived);
        }
        metrics
            .route("b")
            .record_response(RequestOutcome::Served, arrived);
        metrics.version.set(7);
        let text = metrics.text();
        for line in [
            "shorefront_requests_total{route=\"a\",outcome=\"Served\"} 1",
            "shorefront_requests_total{route=\"a\",outcome=\"Refused\"} 1",
            "shorefront_requests_total{route=\"a\",outcome=\"Failed\"} 1",
            "shorefront_requests_total{route=\"a\",outcome=\"Malformed\"} 1",
            "shorefront_requests_total{route=\"b\",outcome=\"Served\"} 1",
            "shorefront_request_seconds_count{route=\"a\"} 4",
            "shorefront_configuration_version 7",
        ] {
            assert!(text.contains(line), "no {line} in {text}");
        }
        metrics.retain_routes(["a"].into_iter());
        let text = metrics.text();
        assert!(!text.contains("route=\"b\""), "{text}");
        metrics
            .route("a")
            .record_response(RequestOutcome::Served, arrived);
        let line = "shorefront_requests_total{route=\"a\",outcome=\"Served\"} 2";
        assert!(metrics.text().contains(line), "counted on");
    }
}
