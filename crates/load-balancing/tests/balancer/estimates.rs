//! K_i and N_i, and the outcomes from which they are estimated.

use load_balancing::interface::*;

use crate::harness::{MS, World, settings};

#[test]
fn k_and_n_follow_the_formulas() {
    let mut w = World::with_servers(settings(), 1);
    // A rejection by a full upstream takes only the propagation time: 2*TP = 20 ms.
    w.request(1000, 0);
    w.advance(Span(20 * MS));
    w.end_attempt(1000, 0, AttemptOutcome::Rejected);
    for id in 0..600 {
        w.request(id, 0);
        w.advance(Span(40 * MS));
        w.end_attempt(id, 0, AttemptOutcome::Ok);
    }
    let limits = w
        .balancer
        .upstream_limits(ServerId(0), Span(600 * MS))
        .unwrap();
    // With TS between 20 and 40 ms, K_i = 2*TP/TS + 1 is less than 3, and N_i = T / (2*TP + TS).
    assert!((1..3).contains(&limits.max_in_flight), "{limits:?}");
    assert!((9.0..16.0).contains(&limits.max_admitted), "{limits:?}");
}

#[test]
fn an_unknown_upstream_gets_one_slot() {
    let s = Settings {
        balancers: 50,
        ..settings()
    };
    let w = World::with_servers(s, 4);
    for i in 0..4 {
        assert_eq!(
            w.balancer
                .upstream_limits(ServerId(i), Span(MS))
                .unwrap()
                .max_in_flight,
            1
        );
    }
}

#[test]
fn k_is_clamped_to_n() {
    let mut w = World::with_servers(settings(), 1);
    // With 2*TP = 180 ms and TS = 10 ms, 2*TP/TS + 1 is 19, but only one request fits in T_QoS = 200 ms.
    w.request(1000, 0);
    w.advance(Span(180 * MS));
    w.end_attempt(1000, 0, AttemptOutcome::Rejected);
    for id in 0..300 {
        w.request(id, 0);
        w.advance(Span(190 * MS));
        w.end_attempt(id, 0, AttemptOutcome::Ok);
    }
    let limits = w
        .balancer
        .upstream_limits(ServerId(0), Span(200 * MS))
        .unwrap();
    let k = f64::from(limits.max_in_flight);
    assert!(k <= limits.max_admitted.max(1.0), "{limits:?}");
}
