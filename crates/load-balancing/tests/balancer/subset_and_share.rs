//! Which upstreams a balancer in a fleet prefers, and how many of their slots it uses.

use std::collections::BTreeSet;

use load_balancing::interface::*;

use crate::harness::{MS, World, settings};

#[test]
fn balancers_of_a_fleet_prefer_different_upstreams() {
    // Regression: every balancer of a large fleet spread its requests over all upstreams. Together they filled the
    // queues of some upstreams while others were idle.
    let mut sends = vec![0; 40];
    for position in 0..10 {
        let mut w = World::with_servers(
            Settings {
                balancers: 10,
                position,
                ..settings()
            },
            40,
        );
        (0..4).for_each(|id| w.request(id, 0));
        (0..40).for_each(|i| sends[i as usize] += w.sends_to(i));
    }
    assert_eq!(sends.iter().sum::<usize>(), 40);
    assert!(sends.iter().all(|&n| n <= 2), "{sends:?}");
    assert!(sends.iter().filter(|&&n| n > 0).count() >= 30, "{sends:?}");
}

#[test]
fn a_balancer_uses_no_more_than_its_fair_share_of_slots() {
    // Regression: every balancer used K_i slots at every upstream, so that the total was too high by a factor of the
    // number of balancers.
    let mut w = World::with_servers(
        Settings {
            balancers: 8,
            ..settings()
        },
        32,
    );
    (0..32).for_each(|id| w.request(id, 0));
    let in_flight = (0..32).filter(|&id| w.upstream_of(id).is_some()).count();
    // 1.2 times an even share of 4, plus twice the square root of that for bursts.
    assert!(
        (8..=10).contains(&in_flight),
        "{in_flight} of 32 slots in use by one of eight balancers"
    );
}

#[test]
fn an_overloaded_zone_spills_into_an_idle_one() {
    // Regression: when upstreams of the own zone always came first, a zone with more clients than upstreams was
    // overloaded while others were idle.
    let prices = Prices {
        cross_zone: 0.1,
        ..Prices::default()
    };
    let mut w = World::with_servers(
        Settings {
            prices,
            ..settings()
        },
        4,
    );
    w.request(0, 0);
    w.request(1, 0);
    assert_eq!(
        (w.sends_to(0), w.sends_to(2)),
        (1, 1),
        "upstreams in the own zone first: crossing zones has a price"
    );
    w.request(2, 0);
    w.request(3, 0);
    assert_eq!(
        (w.sends_to(1), w.sends_to(3)),
        (1, 1),
        "upstreams in the other zone once the near ones are full"
    );
}

#[test]
fn takes_over_the_share_of_lost_peers_while_there_is_capacity() {
    // Regression: after a zone was lost with its balancers, the remaining ones kept to their share of the original
    // fleet and rejected requests beside idle upstreams.
    let upstreams_in_use = |other_latency_ms: i64| {
        let mut w = World::with_servers(
            Settings {
                balancers: 8,
                ..settings()
            },
            32,
        );
        w.request(0, 0);
        let first_upstream = w.upstream_of(0).expect("sent");
        let mut due: Vec<(Time, u64)> = vec![(w.now.plus(Span(20 * MS)), 0)];
        let (mut id, mut used) = (1, 0);
        for _ in 0..600 {
            w.advance(Span(5 * MS));
            due.sort();
            while due.first().is_some_and(|d| d.0 <= w.now) {
                w.end_attempt(due.remove(0).1, 0, AttemptOutcome::Ok);
            }
            (0..6).for_each(|i| w.request(id + i, 0));
            id += 6;
            for i in id.saturating_sub(60)..id {
                let Some(server) = w.upstream_of(i).filter(|_| due.iter().all(|d| d.1 != i)) else {
                    continue;
                };
                let ms = if server.0.abs_diff(first_upstream.0) <= 2 {
                    20
                } else {
                    other_latency_ms
                };
                due.push((w.now.plus(Span(ms * MS)), i));
            }
            let at: BTreeSet<u32> = due
                .iter()
                .filter_map(|d| w.upstream_of(d.1))
                .map(|s| s.0)
                .collect();
            used = at.len();
        }
        used
    };
    let (while_idle, while_crowded) = (upstreams_in_use(20), upstreams_in_use(60));
    assert!(
        while_idle >= 16,
        "{while_idle} upstreams in use, for an even share of 4, while the others are idle"
    );
    assert!(
        while_crowded <= 10,
        "{while_crowded} upstreams in use while the others are crowded"
    );
}
