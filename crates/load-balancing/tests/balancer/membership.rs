//! The membership list and the settings that a balancer starts with.

use load_balancing::interface::*;
use load_balancing::policy::Balancer;

use crate::harness::{MS, World, class_mut, endpoint_in_zone, settings};

#[test]
fn requests_the_list_again_after_a_break() {
    let mut w = World::new(Settings {
        membership_by_request: true,
        ..settings()
    });
    let list_requests = |w: &World| {
        w.past_actions
            .iter()
            .filter(|a| **a == Action::Subscribe)
            .count()
    };
    w.advance(Span(2000 * MS));
    assert_eq!(list_requests(&w), 1);
    w.update_membership(MembershipKind::Complete, &[endpoint_in_zone(0, 0)]);
    w.advance(Span(30_000 * MS));
    assert_eq!(list_requests(&w), 1, "no request while subscribed");
    w.update_membership(MembershipKind::Unavailable, &[]);
    w.advance(Span(3000 * MS));
    assert_eq!(list_requests(&w), 2);
    w.advance(Span(10_000 * MS));
    assert!(
        list_requests(&w) > 2,
        "an unanswered request is repeated within the poll interval"
    );
}

#[test]
fn unsafe_settings_are_rejected_or_made_safe() {
    let none = Settings {
        classes: vec![],
        ..settings()
    };
    assert_eq!(
        Balancer::new(none, 1, Time(0)).err(),
        Some(SettingsError::NoClasses)
    );
    let mut bad = settings();
    class_mut(&mut bad, 1).latency_target = Span(0);
    assert_eq!(
        Balancer::new(bad, 1, Time(0)).err(),
        Some(SettingsError::InvalidLatencyTarget(1))
    );
    let mut unsafe_settings = Settings {
        tick: Span(0),
        balancers: 0,
        ..settings()
    };
    unsafe_settings.rules.slow_start_min_capacity = 0.0;
    let mut w = World::with_servers(unsafe_settings, 1);
    w.request(1, 0);
    assert!(w.upstream_of(1).is_some());
}

#[test]
fn a_doubled_fleet_doubles_the_slots() {
    // Regression: when the fleet doubled, the old limit stayed in force and requests were rejected beside idle
    // upstreams.
    let mut w = World::with_servers(settings(), 2);
    (0..100).for_each(|id| w.request(id, 0));
    let in_flight = |w: &World| {
        w.requests
            .keys()
            .filter(|&&id| w.upstream_of(id).is_some())
            .count()
    };
    let before = in_flight(&w);
    w.update_membership(
        MembershipKind::Update,
        &[endpoint_in_zone(2, 0), endpoint_in_zone(3, 1)],
    );
    (100..200).for_each(|id| w.request(id, 0));
    assert!(
        before < 100 && in_flight(&w) >= 2 * before,
        "{} in flight, {before} before",
        in_flight(&w)
    );
}
