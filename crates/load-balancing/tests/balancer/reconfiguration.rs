//! Settings that change while requests are open. That requests keep what their class allowed on arrival is checked over
//! random sequences of events in [`rules`](crate::rules).

use load_balancing::interface::*;

use crate::harness::{MS, World, class_mut, endpoint_in_zone, settings};

const SAFE: usize = 0;

/// Returns a world with an upstream in each zone, which runs one request at a time.
fn world(change: impl FnOnce(&mut RequestClass)) -> World {
    let mut settings = settings();
    settings.limits.hedging = false;
    change(class_mut(&mut settings, SAFE));
    let mut world = World::new(settings);
    let list = [0, 1].map(|zone| Endpoint {
        slots: 1,
        ..endpoint_in_zone(zone, zone)
    });
    world.update_membership(MembershipKind::Complete, &list);
    world
}

/// Guards against a request that waits for a slot in the former zones of its class: it left them, or kept requests from
/// the free slots of the new zones.
#[test]
fn waiting_request_keeps_its_zones_and_blocks_no_others() {
    let mut w = world(|class| class.zones = Some(vec![0]));
    w.request(0, SAFE);
    w.request(1, SAFE);
    assert_eq!(w.upstream_of(1), None, "the only slot of its zone is taken");
    w.change_class(SAFE, |class| class.zones = Some(vec![1]));
    w.request(2, SAFE);
    assert_eq!(w.upstream_of(2), Some(ServerId(1)));
    assert_eq!(w.upstream_of(1), None);
    w.end_attempt(0, 0, AttemptOutcome::Ok);
    assert_eq!(w.upstream_of(1), Some(ServerId(0)));
}

/// Guards against estimates and breakers of a route that are taken for those of another one, which has its index now.
#[test]
fn estimates_are_kept_for_a_class_and_not_for_its_index() {
    let mut w = world(|class| class.max_attempts = Some(1));
    w.request(0, SAFE);
    w.request(1, SAFE);
    let (first, other) = (w.upstream_of(0), w.upstream_of(1));
    assert!(first.is_some() && other.is_some() && first != other);
    w.end_attempt(0, 0, AttemptOutcome::Error);
    w.change_class(SAFE, |class| class.effect = Effect::Unsafe);
    w.request(2, SAFE);
    let sent = w.upstream_of(2);
    assert_eq!(
        sent, None,
        "one breaker is open, the other upstream is full"
    );
    w.change_class(SAFE, |class| class.id += 1);
    w.request(3, SAFE);
    let sent = w.upstream_of(2);
    assert_eq!(sent, first, "its index belongs to another class");
    w.end_attempt(2, 0, AttemptOutcome::Ok);
    let sent = w.upstream_of(3);
    assert_eq!(sent, first, "the first error was that of another class");
    w.end_attempt(1, 0, AttemptOutcome::Error);
    w.request(4, SAFE);
    let sent = w.upstream_of(4);
    assert_eq!(sent, other, "the second error was that of another class");
}

/// Guards against a request that arrives with a class that has been replaced since the host accepted it.
#[test]
fn request_accepted_before_a_change_arrives_after_it() {
    let mut w = world(|class| class.zones = Some(vec![0]));
    w.change_class(SAFE, |class| {
        (class.id, class.zones, class.max_attempts) = (1, Some(vec![1]), Some(1));
    });
    w.request_accepted_before_change(0, SAFE, Span(600 * MS));
    assert_eq!(w.upstream_of(0), Some(ServerId(0)));
    w.advance(Span(MS));
    w.end_attempt(0, 0, AttemptOutcome::Rejected);
    w.advance(Span(100 * MS));
    assert_eq!(
        w.upstream_of(0),
        Some(ServerId(0)),
        "its class allows three attempts"
    );
}
