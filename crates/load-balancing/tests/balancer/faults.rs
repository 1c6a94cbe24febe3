//! Upstreams that fail, hang, reject or fall silent: breakers, hedges, slots of lost attempts.

use load_balancing::interface::*;

use crate::harness::{MS, TrackedRequest, World, settings};

fn serve_after(w: &mut World, id: u64, ms: i64) {
    w.advance(Span(ms * MS));
    w.end_attempt(id, 0, AttemptOutcome::Ok);
}

#[test]
fn quick_errors_earn_no_requests() {
    // Regression: an upstream that fails fast looked fast, and drew the traffic.
    let mut w = World::with_servers(settings(), 4);
    for round in 0..200 {
        (0..2).for_each(|i| w.request(round * 2 + i, 0));
        w.advance(Span(MS));
        for id in 0..round * 2 + 2 {
            if w.upstream_of(id) == Some(ServerId(0)) {
                w.end_attempt(
                    id,
                    w.requests[&id].attempts.len() - 1,
                    AttemptOutcome::Error,
                );
            }
        }
        w.advance(Span(20 * MS));
        (0..round * 2 + 2)
            .for_each(|id| (0..3).for_each(|n| w.end_attempt(id, n, AttemptOutcome::Ok)));
    }
    let best = (1..4).map(|i| w.sends_to(i)).max().unwrap();
    assert!(w.sends_to(0) * 8 < best, "{} against {best}", w.sends_to(0));
}

/// Serves what goes to upstreams 1 to 3 in 10 ms, and what goes to 0 only where `answers` says so; the
/// sends to 0 and to the busiest of the others.
fn world_with_upstream_0(
    settings: Settings,
    answers: impl Fn(usize) -> bool,
) -> (World, [usize; 2]) {
    let mut w = World::with_servers(settings, 4);
    for id in (0..1200).step_by(4) {
        (id..id + 4).for_each(|i| w.request(i, if i % 2 == 0 { 0 } else { 2 }));
        w.advance(Span(10 * MS));
        for i in id.saturating_sub(80)..id + 4 {
            for n in 0..w.requests[&i].attempts.len() {
                let at = w.requests[&i].attempts[n].server.0;
                if at != 0 || answers(w.requests[&i].class) {
                    w.end_attempt(i, n, AttemptOutcome::Ok);
                }
            }
        }
    }
    let most = (1..4).map(|i| w.sends_to(i)).max().unwrap();
    let sends = [w.sends_to(0), most];
    (w, sends)
}

#[test]
fn a_hung_upstream_is_tried_ever_less_often() {
    // Regression: slots freed by time-outs piled unseen work on an upstream that still ran it, and each
    // request that was sent there was lost.
    let (_, [hung, best]) = world_with_upstream_0(settings(), |_| false);
    assert!(
        (2..=30).contains(&hung) && best > 100,
        "{hung} against {best}"
    );
}

#[test]
fn breakers_open_for_the_unanswered_class_alone() {
    // Regression: upstreams that left one class unanswered kept drawing it, since others were answered.
    let (w, _) = world_with_upstream_0(settings(), |class| class == 0);
    let to_0 = |class| {
        let at_0 =
            |a: &&TrackedRequest| a.class == class && a.attempts.iter().any(|t| t.server.0 == 0);
        w.requests.values().filter(at_0).count()
    };
    assert!(
        to_0(2) <= 20 && to_0(0) >= 2 * to_0(2),
        "{} and {}",
        to_0(2),
        to_0(0)
    );
}

#[test]
fn a_lost_answer_frees_its_slot() {
    // Regression: each lost answer held its slot until its time-out, and the fleet rejected beside idle slots.
    let mut w = World::with_servers(settings(), 1);
    for id in 0..40 {
        w.request(id, 0);
        w.advance(Span(10 * MS));
        w.end_attempt(id, 0, AttemptOutcome::Ok);
    }
    let at = |w: &World| {
        w.balancer
            .upstream_limits(ServerId(0), Span(MS))
            .unwrap()
            .in_flight
    };
    w.request(100, 2);
    assert_eq!(at(&w), 1, "its answer is lost");
    w.advance(Span(220 * MS));
    w.request(101, 0);
    w.advance(Span(10 * MS));
    w.end_attempt(101, 0, AttemptOutcome::Ok);
    w.advance(Span(20 * MS));
    if w.upstream_of(101).is_none() && w.requests[&101].attempts.len() == 1 {
        assert_eq!(
            at(&w),
            0,
            "overtaken by one sent later: lost, and no work of the upstream"
        );
    }
}

#[test]
fn a_lone_silent_attempt_frees_its_slot_before_its_timeout() {
    // Regression: with one slot an upstream nothing could overtake an attempt on a connection fallen silent; a
    // few of them held all slots, and the fleet rejected beside idle upstreams.
    let mut w = World::with_servers(settings(), 1);
    for id in 0..50 {
        w.request(id, 0);
        serve_after(&mut w, id, 10);
    }
    let at = |w: &World| {
        w.balancer
            .upstream_limits(ServerId(0), Span(MS))
            .expect("known")
            .in_flight
    };
    w.request(100, 0);
    assert_eq!(at(&w), 1);
    w.advance(Span(100 * MS));
    assert!(w.upstream_of(100).is_some(), "its time is not up");
    assert_eq!(at(&w), 0, "no answer takes so long here");
    w.request(101, 0);
    assert!(w.upstream_of(101).is_some(), "the upstream is tried again");
    w.advance(Span(200 * MS));
    assert!(w.upstream_of(101).is_some());
    assert_eq!(
        at(&w),
        1,
        "unanswered again it may hang: nothing more is sent"
    );
    // An answer that comes after all gives back no slot twice.
    w.end_attempt(100, 0, AttemptOutcome::Ok);
    assert_eq!(at(&w), 1);
}

#[test]
fn hedges_where_late_attempts_are_never_answered() {
    // Regression: a lost answer was waited for until the latency target had passed.
    let copies = |lost: bool| {
        let mut w = World::with_servers(settings(), 6);
        for id in 0..400 {
            w.request(id, 0);
            w.advance(Span(10 * MS));
            for i in id.saturating_sub(80)..=id {
                let first = usize::from(lost && i % 3 == 0);
                (first..w.requests[&i].attempts.len())
                    .for_each(|n| w.end_attempt(i, n, AttemptOutcome::Ok));
            }
        }
        w.requests.values().filter(|a| a.attempts.len() > 1).count()
    };
    assert!(copies(true) > 5, "{} second copies go out", copies(true));
    assert_eq!(copies(false), 0, "none while all is answered");
}

#[test]
fn an_unreachable_upstream_is_tried_ever_less_often() {
    // Regression: after a zone was lost its upstreams, still listed, drew a third of all attempts.
    assert_attempts_decrease(AttemptOutcome::ConnectFailed);
}

#[test]
fn an_upstream_that_keeps_rejecting_is_tried_ever_less_often() {
    // Regression: a full upstream rested half a service time, always: a tenth of a fleet that had
    // slowed down drew a third of the sends and answered none.
    assert_attempts_decrease(AttemptOutcome::Rejected);
}

fn assert_attempts_decrease(outcome: AttemptOutcome) {
    let mut w = World::with_servers(settings(), 2);
    let mut tries_at = [0; 2];
    for id in 0..400 {
        let before = w.sends_to(0);
        w.request(id, 0);
        for attempt in 0..3 {
            match w.upstream_of(id) {
                Some(ServerId(0)) => w.end_attempt(id, attempt, outcome),
                Some(_) => {
                    w.advance(Span(10 * MS));
                    w.end_attempt(id, attempt, AttemptOutcome::Ok);
                }
                None => {}
            }
        }
        tries_at[usize::from(id >= 200)] += w.sends_to(0) - before;
    }
    assert!(tries_at[0] > 1, "it is tried again");
    assert!(
        tries_at[1] < tries_at[0] && tries_at[1] <= 12,
        "{tries_at:?}"
    );
}
