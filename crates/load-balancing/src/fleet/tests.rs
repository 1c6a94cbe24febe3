//! Tests of the coordination-free sharing among balancers.

use super::fair_share::FairShare;
use super::peer_load::{PeerLoad, ReportedLoad};
use super::retry_budget::RetryBudget;
use super::ring::slow_start_phase;
use crate::interface::*;

#[test]
fn retries_stay_within_the_budget_in_any_window() {
    let mut settings = Settings::basic(vec![RequestClass::safe(Span(1), Span(1))]);
    settings.balancers = 10;
    let rules = &mut settings.rules;
    (rules.retry_ratio, rules.retry_window) = (0.2, Span(10_000_000));
    rules.retry_allowance = 30.0;
    let rules = &settings.rules;
    let (mut budget, mut requests, mut retries) = (RetryBudget::default(), Vec::new(), Vec::new());
    let mut step = |ms: i64, arrives: bool| {
        let now = Time(ms * 1000);
        if arrives {
            budget.count_request(now, rules);
            requests.push(ms);
        }
        while budget.allows_retry(now, &settings) {
            budget.count_retry(now, rules);
            retries.push(ms);
        }
    };
    // Twenty requests per second, then a pause of 25 s, then twenty per second again.
    (0..60_000)
        .step_by(50)
        .for_each(|ms| step(ms, !(15_000..40_000).contains(&ms)));
    let within = |times: &[i64], from: i64| {
        times
            .iter()
            .filter(|ms| (from..from + 10_000).contains(*ms))
            .count()
    };
    for from in (0..50_000).step_by(10) {
        // The budget may also be based on the requests of the window before.
        let arrived = within(&requests, from).max(within(&requests, from - 10_000));
        let most = 0.2 * arrived as f64 + 3.0;
        let sent = within(&retries, from);
        assert!(sent as f64 <= most, "{from}: {sent}");
    }
    assert!(within(&retries, 0) >= 30, "the budget must be used");
    settings.rules.retry_window = Span(0);
    assert!(
        RetryBudget::default().allows_retry(Time(0), &settings),
        "without a retry window there is no limit"
    );
}

#[test]
fn slow_start_phases_are_spread_evenly_at_every_upstream() {
    for identity in [0u64, 1 << 40, u64::MAX / 3, u64::MAX] {
        let mut phases: Vec<f64> = (0..89).map(|p| slow_start_phase(p, identity)).collect();
        phases.sort_by(f64::total_cmp);
        let widest = phases.windows(2).map(|w| w[1] - w[0]).fold(0.0, f64::max);
        assert!(widest < 2.0 / 89.0, "{widest}");
    }
}

#[test]
fn fair_share_includes_bursts_and_a_single_balancer_gets_all_slots() {
    let FairShare { of_slots, even } = FairShare::new(330.0, 1.2, 86);
    assert!((of_slots * 330.0 - 8.9).abs() < 0.1, "{of_slots}");
    assert!((even * of_slots * 330.0 - 4.6).abs() < 0.1, "{even}");
    let share = |of_slots, even| FairShare { of_slots, even };
    assert_eq!(FairShare::new(330.0, 1.2, 1), share(1.0, 1.0));
    assert_eq!(FairShare::new(0.0, 1.2, 86), share(0.0, 1.0), "no slots");
}

#[test]
fn reported_load_decays_to_the_average() {
    let at = |ms: i64| Time(ms * 1000);
    let mut peer_load = PeerLoad::new(at(0));
    for _ in 0..64 {
        peer_load.learn(at(0), 0.5);
    }
    let reported = ReportedLoad {
        peers: 0.0,
        at: at(0),
    };
    let expected = |ms: i64| peer_load.expected(at(ms), 4.0, reported, 100_000.0, 100_000.0);
    assert!(
        expected(0) < 0.01,
        "the upstream has just reported no requests"
    );
    assert!(
        (1.0..2.0).contains(&expected(200)),
        "the estimate must have approached the average: {}",
        expected(200)
    );
    assert!(
        expected(10_000) < 0.01,
        "without reports the average itself decays"
    );
}
