//! Metrics of a route in the text format, before and after the route is removed.

use super::*;
use crate::request_budget::RequestMemoryLimits;

#[test]
fn counters_are_reported_and_removed_with_their_route() {
    let memory = RequestMemory::new(RequestMemoryLimits::of_machine(0));
    let metrics = Metrics::new(&AbandonedAttempts::default(), &memory);
    let arrived = Instant::now();
    for outcome in OUTCOMES {
        metrics.route("a").record_response(outcome, arrived);
    }
    metrics
        .route("b")
        .record_response(RequestOutcome::Served, arrived);
    metrics.configuration_revision.set(7);
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
    assert!(metrics.text().contains(line), "the counter keeps its value");
}
