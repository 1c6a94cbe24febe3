//! The pace towards upstreams that have just started.

use load_balancing::interface::*;

use crate::harness::{MS, TrackedAttempt, TrackedRequest, World, endpoint_in_zone, settings};

#[test]
fn slow_start_paces_a_young_upstream() {
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
    let young = Endpoint {
        started: Some(w.now),
        ..endpoint_in_zone(9, 0)
    };
    w.update_membership(MembershipKind::Update, &[young]);
    rounds(&mut w);
    let warm = (0..3)
        .map(|i| w.sends_to(i) - before[i as usize])
        .max()
        .unwrap();
    let cold = w.sends_to(9);
    assert!(cold > 0, "it must get some work");
    assert!(cold * 2 < warm, "{cold} sends while a warm one had {warm}");
}

#[test]
fn slow_start_lets_a_wholly_young_fleet_work() {
    // Regression: the pace came from warm upstreams alone, and there was none.
    let mut w = World::new(settings());
    let young = |i| Endpoint {
        started: Some(w.now),
        ..endpoint_in_zone(i, 0)
    };
    let list: Vec<_> = (0..4).map(young).collect();
    w.update_membership(MembershipKind::Complete, &list);
    // As much as it could do warm, for a second; each upstream answers after 10 ms.
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
    // Three times what each of the four does at a quarter of its hundred a second.
    assert!(
        sent < 300,
        "{sent} sends in 1 s would push a cold fleet over"
    );
}

#[test]
fn slow_start_does_not_slow_down_with_warm_upstreams() {
    // Regression: after growth the old upstreams slowed, and the pace of the new ones fell with them.
    let mut w = World::with_servers(settings(), 2);
    let mut id = 0;
    let mut young_sends = |w: &mut World, rounds: i64, warm_every: i64| {
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
    young_sends(&mut w, 100, 1);
    w.update_membership(
        MembershipKind::Update,
        &[Endpoint {
            started: Some(w.now),
            ..endpoint_in_zone(2, 0)
        }],
    );
    let quick = young_sends(&mut w, 100, 1);
    young_sends(&mut w, 100, 25);
    let slow = young_sends(&mut w, 100, 25);
    assert!(quick > 5 && slow >= quick, "{slow} sends after {quick}");
}

#[test]
fn slow_start_favors_the_own_subset() {
    // Regression: a fleet that grew fourfold kept rejecting: each young upstream had the pace of an even
    // spread over the fleet, and only the balancers whose own it was sent it anything.
    let sends = |young: u32| {
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
                ..endpoint_in_zone(young, 0)
            }],
        );
        let mut id = 0;
        for _ in 0..400 {
            (0..2).for_each(|i| w.request(id + i, 0));
            id += 2;
            w.advance(Span(10 * MS));
            (id.saturating_sub(80)..id).for_each(|i| w.end_attempt(i, 0, AttemptOutcome::Ok));
        }
        w.sends_to(young)
    };
    let (own, other) = (sends(0), sends(16));
    assert!(
        own > 20 && other * 4 < own,
        "{own} to one's own, {other} to another's"
    );
}
