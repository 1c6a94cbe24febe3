//! The queue and admission: requests are served in order of arrival, and rejected on arrival at the sum of N_i.

use load_balancing::interface::*;

use crate::harness::{MS, World, class_mut, endpoint_in_zone, settings};

#[test]
fn queues_in_arrival_order_when_all_slots_are_taken() {
    let mut w = World::with_servers(settings(), 1);
    let limits = w.balancer.upstream_limits(ServerId(0), Span(MS)).unwrap();
    let k = u64::from(limits.max_in_flight);
    for id in 0..k + 2 {
        w.request(id, 0);
    }
    assert!(
        (0..k).all(|id| w.upstream_of(id).is_some()),
        "K_i requests are in flight"
    );
    assert_eq!(
        (w.upstream_of(k), w.upstream_of(k + 1)),
        (None, None),
        "the others are queued"
    );
    w.advance(Span(10 * MS));
    w.end_attempt(0, 0, AttemptOutcome::Ok);
    assert!(
        w.upstream_of(k).is_some(),
        "the head of the queue is sent first"
    );
    let sent = |a: &Action| match a {
        Action::Send { request, .. } => Some(request.0),
        _ => None,
    };
    let order: Vec<u64> = w.past_actions.iter().filter_map(sent).collect();
    assert!(order.is_sorted(), "not in order of arrival: {order:?}");
}

#[test]
fn rejects_at_once_at_the_sum_of_n() {
    let mut w = World::with_servers(settings(), 2);
    for id in 0..500 {
        w.request(id, 0);
    }
    let rejected = (0..500).filter(|&id| w.is_rejected(id)).count();
    assert!(rejected > 300, "only {rejected} of 500 rejected");
    assert!(!w.is_rejected(0) && w.is_rejected(499));
}

#[test]
fn queues_while_the_list_is_empty() {
    let mut w = World::new(settings());
    w.request(1, 2);
    assert!(w.upstream_of(1).is_none() && !w.is_rejected(1));
    w.update_membership(MembershipKind::Complete, &[endpoint_in_zone(0, 0)]);
    assert_eq!(w.upstream_of(1), Some(ServerId(0)));
}

#[test]
fn rejects_in_time_while_the_list_is_empty() {
    let mut w = World::new(settings());
    w.request(1, 2);
    w.advance(Span(200 * MS));
    assert!(
        w.is_rejected(1),
        "rejected before its latency target has passed"
    );
}

#[test]
fn a_long_latency_target_does_not_starve_a_short_one() {
    // Regression: the queue filled with requests with long latency targets until none with a short target was admitted.
    let mut s = settings();
    class_mut(&mut s, 0).latency_target = Span(2000 * MS);
    class_mut(&mut s, 0).deadline = Span(4000 * MS);
    let mut w = World::with_servers(s, 2);
    for id in 0..300 {
        w.request(id, 0);
    }
    w.advance(Span(20 * MS));
    for id in 0..4 {
        w.end_attempt(id, 0, AttemptOutcome::Ok);
    }
    w.request(1000, 2);
    assert!(!w.is_rejected(1000));
}
