//! Which upstreams a balancer of a fleet prefers, and how many of their slots it takes.

use std::collections::BTreeSet;

use load_balancing::interface::*;

use crate::harness::{MS, World, settings};

#[test]
fn balancers_of_a_fleet_prefer_different_upstreams() {
    // Regression: every balancer of a large fleet spread its requests over all upstreams, and together
    // they filled the upstreams' waiting rooms while others idled.
    let mut drawn = vec![0; 40];
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
        (0..40).for_each(|i| drawn[i as usize] += w.sends_to(i));
    }
    assert_eq!(drawn.iter().sum::<usize>(), 40);
    assert!(drawn.iter().all(|&n| n <= 2), "{drawn:?}");
    assert!(drawn.iter().filter(|&&n| n > 0).count() >= 30, "{drawn:?}");
}

#[test]
fn a_balancer_uses_no_more_than_its_fair_share_of_slots() {
    // Regression: K_i slots at every upstream for every balancer are as many times too many as there
    // are balancers.
    let mut w = World::with_servers(
        Settings {
            balancers: 8,
            ..settings()
        },
        32,
    );
    (0..32).for_each(|id| w.request(id, 0));
    let out = (0..32).filter(|&id| w.upstream_of(id).is_some()).count();
    // 1.2 even parts of 4, and twice the root of that for bursts.
    assert!(
        (8..=10).contains(&out),
        "{out} out of 32 slots, for an eighth of the bank"
    );
}

#[test]
fn an_overrun_zone_spills_into_an_idle_one() {
    // Regression: with near upstreams always first, a zone with more clients than upstreams was
    // overrun while others idled.
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
        "near ones first: crossing has a price"
    );
    w.request(2, 0);
    w.request(3, 0);
    assert_eq!(
        (w.sends_to(1), w.sends_to(3)),
        (1, 1),
        "far ones once the near are taken"
    );
}

#[test]
fn takes_over_the_share_of_lost_peers_while_there_is_capacity() {
    // Regression: where a zone was lost with its balancers, the rest kept to the parts of a whole fleet
    // and rejected beside idle upstreams.
    let out_after = |beyond_ms: i64| {
        let mut w = World::with_servers(
            Settings {
                balancers: 8,
                ..settings()
            },
            32,
        );
        w.request(0, 0);
        let home = w.upstream_of(0).expect("sent");
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
                let ms = if server.0.abs_diff(home.0) <= 2 {
                    20
                } else {
                    beyond_ms
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
    let (idle, crowded) = (out_after(20), out_after(60));
    assert!(
        idle >= 16,
        "{idle} upstreams in use where an even part has 4 and the rest is idle"
    );
    assert!(
        crowded <= 10,
        "{crowded} upstreams in use where the rest is crowded"
    );
}
