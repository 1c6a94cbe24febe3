//! Limits on the rate of sends to upstreams that have just started.

use load_balancing::interface::*;

use crate::harness::{MS, TrackedAttempt, TrackedRequest, World, endpoint_in_zone, settings};

#[test]
fn slow_start_limits_sends_to_a_starting_upstream() {
    let mut w = World::with_servers(settings(), 3);
    let mut id = 0;
    let mut rounds = |w: &mut World| {
        for _ in 0..200 {
            (0..4).for_each(|i| w.request(id + i, 0));
            id += 4;
            w.advance(Span(5 * MS));
            (id.saturating_sub(40)..id).for_each(|i| w.end_attempt(i, 0, AttemptOutcome::Ok));
        }
    };
    rounds(&mut w);
    let before: Vec<_> = (0..3).map(|i| w.sends_to(i)).collect();
    let starting = Endpoint {
        started: Some(w.now),
        ..endpoint_in_zone(9, 0)
    };
    w.update_membership(MembershipKind::Update, &[starting]);
    rounds(&mut w);
    let warm = (0..3)
        .map(|i| w.sends_to(i) - before[i as usize])
        .max()
        .unwrap();
    let sends_to_starting = w.sends_to(9);
    assert!(
        sends_to_starting > 0,
        "the starting upstream must get some requests"
    );
    assert!(
        sends_to_starting * 2 < warm,
        "{sends_to_starting} sends while a warm upstream got {warm}"
    );
}

#[test]
fn slow_start_serves_a_fleet_without_warm_upstreams() {
    // Regression: the rate was derived from warm upstreams alone, and there was none.
    let mut w = World::new(settings());
    let starting = |i| Endpoint {
        started: Some(w.now),
        ..endpoint_in_zone(i, 0)
    };
    let list: Vec<_> = (0..4).map(starting).collect();
    w.update_membership(MembershipKind::Complete, &list);
    // As many requests as the fleet could serve when warm, for one second; each upstream answers after 10 ms.
    for id in 0..400 {
        w.request(id, 0);
        w.advance(Span(2500));
        let done = |a: &TrackedRequest| {
            let done =
                |t: &TrackedAttempt| t.outcome.is_none() && w.now.since(t.sent_at) >= Span(10 * MS);
            a.attempts.iter().position(done)
        };
        let done: Vec<_> = w
            .requests
            .iter()
            .filter_map(|(id, a)| Some((*id, done(a)?)))
            .collect();
        done.into_iter()
            .for_each(|(id, attempt)| w.end_attempt(id, attempt, AttemptOutcome::Ok));
    }
    let sent: usize = (0..4).map(|server| w.sends_to(server)).sum();
    assert!(sent > 20, "only {sent} of 400 were sent");
    // Three times what the four upstreams serve at a quarter of their 100 per second.
    assert!(
        sent < 300,
        "{sent} sends in 1 s would overload a starting fleet"
    );
}

#[test]
fn slow_start_does_not_slow_down_with_warm_upstreams() {
    // Regression: after the fleet had grown, the old upstreams slowed down, and the rate for the new ones fell with
    // them.
    let mut w = World::with_servers(settings(), 2);
    let mut id = 0;
    let mut sends_to_starting = |w: &mut World, rounds: i64, warm_every: i64| {
        let before = w.sends_to(2);
        for round in 0..rounds {
            for _ in 0..4 {
                w.request(id, 0);
                id += 1;
            }
            w.advance(Span(20 * MS));
            for old in id.saturating_sub(40)..id {
                let warm = w.upstream_of(old).is_some_and(|s| s.0 < 2);
                if !warm || round % warm_every == 0 {
                    w.end_attempt(old, 0, AttemptOutcome::Ok);
                }
            }
        }
        w.sends_to(2) - before
    };
    sends_to_starting(&mut w, 100, 1);
    w.update_membership(
        MembershipKind::Update,
        &[Endpoint {
            started: Some(w.now),
            ..endpoint_in_zone(2, 0)
        }],
    );
    let sends_while_fast = sends_to_starting(&mut w, 100, 1);
    sends_to_starting(&mut w, 100, 25);
    let sends_while_slow = sends_to_starting(&mut w, 100, 25);
    assert!(
        sends_while_fast > 5 && sends_while_slow >= sends_while_fast,
        "{sends_while_slow} sends while warm upstreams are slow, {sends_while_fast} before"
    );
}

#[test]
fn slow_start_favors_the_own_subset() {
    // Regression: a fleet that grew fourfold kept rejecting requests. Each starting upstream had the rate of an even
    // spread over all balancers, but only the balancers that had it in their own subset sent it anything.
    let sends = |starting: u32| {
        let mut w = World::with_servers(
            Settings {
                balancers: 8,
                ..settings()
            },
            32,
        );
        w.update_membership(
            MembershipKind::Update,
            &[Endpoint {
                started: Some(w.now),
                ..endpoint_in_zone(starting, 0)
            }],
        );
        let mut id = 0;
        for _ in 0..400 {
            (0..2).for_each(|i| w.request(id + i, 0));
            id += 2;
            w.advance(Span(10 * MS));
            (id.saturating_sub(80)..id).for_each(|i| w.end_attempt(i, 0, AttemptOutcome::Ok));
        }
        w.sends_to(starting)
    };
    let (own, other) = (sends(0), sends(16));
    assert!(
        own > 20 && other * 4 < own,
        "{own} sends in the own subset, {other} in the subset of another balancer"
    );
}
