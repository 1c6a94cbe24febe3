//! Upstreams that report their slots and load, a configured slow-start rate, and settings that change at run time.

use crate::harness::{MS, class, class_mut, settings};
use load_balancing::interface::*;
use load_balancing::policy::Balancer;

fn reporting_endpoint(id: u32, slots: u32, zone: u32) -> Endpoint {
    Endpoint {
        slots,
        zone,
        ..Endpoint::live(ServerId(id))
    }
}

struct Host {
    balancer: Balancer,
    now: Time,
    next_id: u64,
}

impl Host {
    fn new(settings: Settings, list: &[Endpoint]) -> Self {
        let now = Time(1_000_000_000);
        let balancer = Balancer::new(settings, 1, now).expect("valid settings");
        let mut host = Self {
            balancer,
            now,
            next_id: 0,
        };
        host.notify(Event::Membership {
            kind: MembershipKind::Complete,
            list,
        });
        host
    }

    fn notify(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    fn request(&mut self, class: usize) -> (RequestId, Option<ServerId>) {
        self.next_id += 1;
        let id = RequestId(self.next_id);
        let actions = self.notify(Event::Request(Request::new(
            id,
            class,
            self.now.plus(Span(600 * MS)),
        )));
        let sent = actions.iter().find_map(|a| match a {
            Action::Send {
                request, server, ..
            } if *request == id => Some(*server),
            _ => None,
        });
        (id, sent)
    }

    fn answer(&mut self, id: RequestId, server: ServerId, running: f64) -> Vec<Action> {
        self.now = self.now.plus(Span(20 * MS));
        let report = LoadReport {
            inflight: Some(running),
            queued: Some(0.0),
            ..LoadReport::default()
        };
        let answer = AttemptResult::new(id, 0, server, AttemptOutcome::Ok, Span(20 * MS), true);
        self.notify(Event::AttemptEnded(AttemptResult { report, ..answer }))
    }
}

#[test]
fn reported_requests_of_peers_take_slots() {
    let mut host = Host::new(
        settings(),
        &[reporting_endpoint(0, 2, 0), reporting_endpoint(1, 2, 0)],
    );
    let (id, first) = host.request(0);
    let first = first.expect("a free slot");
    host.answer(id, first, 2.0); // It reports two requests of other balancers, so it is full.
    for _ in 0..2 {
        let (_, sent) = host.request(0);
        assert!(
            sent.is_some_and(|s| s != first),
            "sent to the full upstream: {sent:?}"
        );
    }
    let (_, held) = host.request(0);
    assert_eq!(
        held, None,
        "both upstreams are full, so the request is queued at the balancer"
    );
    // The reported requests are expected to have ended by then.
    host.now = host.now.plus(Span(150 * MS));
    let actions = host.notify(Event::TimerFired(1));
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::Send { server, .. } if *server == first))
    );
}

#[test]
fn near_upstreams_first_other_regions_last() {
    let mut settings = settings();
    (settings.zones, settings.zone_distances) = (3, vec![Span(0), Span(0), Span(1)]);
    settings.prices.cross_zone = 1.0;
    let mut host = Host::new(
        settings,
        &[
            reporting_endpoint(0, 2, 2),
            reporting_endpoint(1, 2, 1),
            reporting_endpoint(2, 2, 0),
        ],
    );
    let order: Vec<Option<ServerId>> = (0..6).map(|_| host.request(0).1).collect();
    assert_eq!(order[0], Some(ServerId(2)), "the own zone comes first");
    let is_other_region = |s: &Option<ServerId>| *s == Some(ServerId(0));
    let first_other_region = order.iter().position(is_other_region);
    assert!(
        first_other_region.is_none_or(|at| at >= 4),
        "sent to another region before all near upstreams were full: {order:?}"
    );
}

#[test]
fn slow_start_sends_this_balancers_part_of_the_rate() {
    let mut settings = settings();
    settings.balancers = 10;
    (
        settings.rules.slow_start_duration,
        settings.rules.slow_start_min_capacity,
    ) = (Span(3_000 * MS), 1.0);
    settings.rules.slow_start_rate_per_s = 50.0;
    let mut host = Host::new(settings, &[]);
    let starting = Endpoint {
        started: Some(host.now),
        ..reporting_endpoint(0, 6, 0)
    };
    host.notify(Event::Membership {
        kind: MembershipKind::Complete,
        list: &[starting],
    });
    let mut sent = 0;
    for _ in 0..200 {
        let (id, server) = host.request(0);
        host.now = host.now.plus(Span(5 * MS));
        match server {
            Some(server) => {
                sent += 1;
                let answer = AttemptResult::new(id, 0, server, AttemptOutcome::Ok, Span(MS), true);
                host.notify(Event::AttemptEnded(answer));
            }
            None => {
                host.notify(Event::ClientDisconnected(id));
            }
        }
    }
    // A second at 50 sends per second divided over ten balancers, plus credit earned before.
    assert!((4..=6).contains(&sent), "{sent} sends in a second");
}

#[test]
fn retries_stay_within_this_balancers_part_of_the_budget() {
    let mut settings = settings();
    settings.balancers = 10;
    (settings.rules.retry_window, settings.rules.retry_ratio) = (Span(10_000 * MS), 0.2);
    settings.rules.retry_allowance = 20.0;
    let list: Vec<Endpoint> = (0..40).map(|i| reporting_endpoint(i, 4, 0)).collect();
    let mut host = Host::new(settings, &list);
    let (mut first_attempts, mut retries) = (0, 0);
    // One in two requests is rejected at its first attempt by every upstream: more than may be retried.
    for n in 0..100 {
        let (id, server) = host.request(0);
        host.now = host.now.plus(Span(50 * MS));
        let Some(server) = server else { continue };
        first_attempts += 1;
        let outcome = if n % 2 == 0 {
            AttemptOutcome::Rejected
        } else {
            AttemptOutcome::Ok
        };
        let last = outcome == AttemptOutcome::Ok;
        let answer = AttemptResult::new(id, 0, server, outcome, Span(MS), last);
        let actions = host.notify(Event::AttemptEnded(answer));
        let is_retry = |a: &Action| matches!(a, Action::Send { request, .. } if *request == id);
        if actions.iter().any(is_retry) {
            retries += 1;
            host.notify(Event::ClientDisconnected(id));
        } else if !last {
            let is_rejection =
                |a: &Action| matches!(a, Action::Reject { request, .. } if *request == id);
            assert!(
                actions.iter().any(is_rejection),
                "not run, so it must be rejected at once: {actions:?}"
            );
        }
    }
    assert!(first_attempts > 90, "{first_attempts}");
    assert!(
        (12..=22).contains(&retries),
        "{retries} retries; the budget is a fifth of {first_attempts} first attempts, plus 20 over ten balancers"
    );
}

#[test]
fn burst_headroom_is_for_first_attempts() {
    // Two upstreams of 20 slots over 10 balancers: an even share of 4.8 including the tolerance, and 4.4 for bursts.
    let host = || {
        let mut settings = settings();
        settings.balancers = 10;
        let mut host = Host::new(
            settings,
            &[reporting_endpoint(0, 20, 0), reporting_endpoint(1, 20, 0)],
        );
        host.notify(Event::TimerFired(1));
        host
    };
    let admitted = |host: &mut Host, is_repeated: bool| {
        let mut is_admitted = || {
            host.next_id += 1;
            let id = RequestId(host.next_id);
            let request = Request::new(id, 0, host.now.plus(Span(600 * MS)));
            let actions = host.notify(Event::Request(Request {
                is_client_retry: is_repeated,
                ..request
            }));
            !actions.iter().any(|a| matches!(a, Action::Reject { .. }))
        };
        (0..100).filter(|_| is_admitted()).count()
    };
    let (mut one, mut other) = (host(), host());
    let (first_attempts, repeated) = (admitted(&mut one, false), admitted(&mut other, true));
    let share = repeated as f64 / first_attempts as f64;
    assert!(
        (0.45..0.6).contains(&share),
        "{repeated} client retries and {first_attempts} first tries admitted"
    );
    assert_eq!(
        admitted(&mut one, true),
        0,
        "first tries use the whole limit"
    );
    assert_eq!(
        admitted(&mut other, false),
        first_attempts - repeated,
        "first tries may use what client retries may not"
    );
}

#[test]
fn reconfiguring_keeps_class_indexes() {
    let mut host = Host::new(settings(), &[reporting_endpoint(0, 2, 0)]);
    let (id, sent) = host.request(0);
    let mut more = settings();
    more.classes.push(class(Effect::Safe).into());
    host.balancer.reconfigure(more).expect("one more class");
    assert!(host.answer(id, sent.expect("sent"), 0.0).is_empty());
    assert!(host.request(3).1.is_some(), "the new class is served");
    let fewer = Settings {
        classes: vec![class(Effect::Safe).into()],
        ..settings()
    };
    assert_eq!(
        host.balancer.reconfigure(fewer),
        Err(SettingsError::FewerClasses(4))
    );
    assert!(
        host.request(3).1.is_some(),
        "the old settings stay in force"
    );
}

#[test]
fn reported_slots_set_k() {
    let host = Host::new(settings(), &[reporting_endpoint(0, 6, 0)]);
    let limits = host
        .balancer
        .upstream_limits(ServerId(0), Span(1000 * MS))
        .expect("known");
    assert_eq!(limits.max_in_flight, 6);
}

#[test]
fn a_rare_class_does_not_lower_the_queue_share_of_a_busy_one() {
    // Regression: when it was ranked by value per unit of work alone, the busy class got a fifth of the maximum queue
    // wait.
    let mut settings = settings();
    settings.classes = vec![class(Effect::Safe).into(), class(Effect::Safe).into()];
    class_mut(&mut settings, 1).value = 2.0;
    let rejected_requests = |rare: bool| {
        let mut host = Host::new(settings.clone(), &[reporting_endpoint(0, 4, 0)]);
        for i in 0..400 {
            let (id, sent) = host.request(usize::from(rare && i % 100 == 0));
            host.answer(id, sent.expect("a free slot"), 0.0);
            if i % 10 == 0 {
                host.notify(Event::TimerFired(1));
            }
        }
        host.notify(Event::TimerFired(1));
        let mut rejected = 0;
        for _ in 0..60 {
            host.next_id += 1;
            let request = Request::new(RequestId(host.next_id), 0, host.now.plus(Span(600 * MS)));
            let actions = host.notify(Event::Request(request));
            rejected += actions
                .iter()
                .filter(|a| matches!(a, Action::Reject { .. }))
                .count();
        }
        rejected
    };
    assert_eq!(rejected_requests(true), rejected_requests(false));
}

/// Creates a host with upstreams 0 and 1 of two slots each, where two consecutive attempts at upstream 1 have failed.
fn host_with_an_unresponsive_upstream() -> Host {
    let mut host = Host::new(
        settings(),
        &[reporting_endpoint(0, 2, 0), reporting_endpoint(1, 2, 0)],
    );
    let mut failed = 0;
    while failed < 2 {
        let (id, server) = host.request(0);
        let server = server.expect("a free slot");
        if server == ServerId(1) {
            failed += 1;
            host.now = host.now.plus(Span(400 * MS));
            let failure = AttemptResult::new(
                id,
                0,
                server,
                AttemptOutcome::ConnectFailed,
                Span(400 * MS),
                true,
            );
            host.notify(Event::AttemptEnded(failure));
            host.now = host.now.plus(Span(2000 * MS));
        } else {
            host.answer(id, server, 2.0);
        }
        host.notify(Event::TimerFired(1));
        assert!(host.next_id < 100, "upstream 1 gets no attempts");
    }
    host
}

#[test]
fn an_unresponsive_upstream_leaves_the_sums_and_gets_one_attempt_at_a_time() {
    let whole = Host::new(
        settings(),
        &[reporting_endpoint(0, 2, 0), reporting_endpoint(1, 2, 0)],
    );
    let half = Host::new(settings(), &[reporting_endpoint(0, 2, 0)]);
    let mut host = host_with_an_unresponsive_upstream();
    let sends_by_upstream = |mut host: Host| {
        let sent: Vec<Option<ServerId>> = (0..40).map(|_| host.request(0).1).collect();
        sent.into_iter().flatten().fold([0, 0], |mut n, s| {
            n[s.0 as usize] += 1;
            n
        })
    };
    assert_eq!(sends_by_upstream(whole), [2, 2]);
    assert_eq!(sends_by_upstream(half), [2, 0]);
    host.now = host.now.plus(Span(60_000 * MS));
    host.notify(Event::TimerFired(1));
    let sent = sends_by_upstream(host);
    assert_eq!(sent[0], 2);
    assert!(
        sent[1] <= 1,
        "the slots of an unresponsive upstream are not counted on: {sent:?}"
    );
}

/// Returns the number of sends of a whole fleet of balancers to one upstream in slow start, per step of 25 ms. Requests
/// arrive at every balancer from step `from` on.
fn sends_during_slow_start(identity: u64, from: usize) -> Vec<usize> {
    let mut settings = settings();
    (
        settings.rules.slow_start_duration,
        settings.rules.slow_start_rate_per_s,
    ) = (Span(12_000 * MS), 3.5);
    settings.rules.slow_start_credit_ttl = Span(900 * MS);
    (settings.balancers, settings.prices.cross_zone) = (89, 1.0);
    let mut hosts: Vec<Host> = (0..89)
        .map(|position| {
            let started = Some(Time(1_000_000_000));
            let list = [Endpoint {
                identity,
                started,
                ..reporting_endpoint(0, 4, 0)
            }];
            Host::new(
                Settings {
                    position,
                    ..settings.clone()
                },
                &list,
            )
        })
        .collect();
    let step = |i: usize| {
        let mut sent = 0;
        for host in &mut hosts {
            host.now = Time(1_000_000_000).plus(Span(i as i64 * 25 * MS));
            let mut actions = host.notify(Event::TimerFired(1));
            if i >= from {
                host.next_id += 1;
                let until = host.now.plus(Span(600 * MS));
                actions.extend(host.notify(Event::Request(Request::new(
                    RequestId(host.next_id),
                    0,
                    until,
                ))));
            }
            let send_of = |a: &Action| match a {
                Action::Send {
                    request, server, ..
                } => Some((*request, *server)),
                _ => None,
            };
            let out: Vec<_> = actions.iter().filter_map(send_of).collect();
            sent += out.len();
            for (request, server) in out {
                let answer =
                    AttemptResult::new(request, 0, server, AttemptOutcome::Ok, Span(20 * MS), true);
                host.notify(Event::AttemptEnded(answer));
            }
        }
        sent
    };
    (0..480).map(step).collect()
}

#[test]
fn a_fleet_keeps_to_the_slow_start_rate_in_any_second() {
    for i in 0..5u64 {
        for from in [0, 160, 320, 440] {
            let identity = i.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let sent = sends_during_slow_start(identity, from);
            let max_per_second = sent.windows(40).map(|w| w.iter().sum::<usize>()).max();
            assert!(
                max_per_second <= Some(8),
                "{max_per_second:?} sends in a second, limit 3.5 * 1.5 + 3, from step {from}: {sent:?}"
            );
            if from == 0 {
                // The rate grows from 0.3 of 3.5 per second to all of it.
                assert!(sent.iter().sum::<usize>() >= 20, "{sent:?}");
            }
        }
    }
}

/// Sends the balancer a request that only the owner of its key may run. Returns its id and the balancer's actions.
fn request_with_key(host: &mut Host, key: u16) -> (RequestId, Vec<Action>) {
    host.next_id += 1;
    let id = RequestId(host.next_id);
    let request = Request {
        shard: Some(key),
        ..Request::new(id, 0, host.now.plus(Span(600 * MS)))
    };
    (id, host.notify(Event::Request(request)))
}

/// Returns the upstream that the first send among these actions goes to.
fn sent_to(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    })
}

/// Where keys are divided among upstreams, a request is sent only to the owner of its key. If there is none, it waits
/// for an owner for a quarter of its latency target and delays no other requests.
#[test]
fn a_request_with_a_key_goes_to_its_owner_or_nowhere() {
    let list = [
        reporting_endpoint(0, 2, 0),
        reporting_endpoint(1, 2, 0),
        reporting_endpoint(2, 2, 0),
    ];
    let mut host = Host::new(settings(), &list);
    let keys = |first, last, server: Option<u32>| OwnedKeyRange {
        first,
        last,
        server: server.map(ServerId),
    };
    let all = [
        keys(0, 99, Some(2)),
        keys(100, 199, None),
        keys(200, u16::MAX, Some(1)),
    ];
    host.notify(Event::KeyOwners(&all));
    let (owned, actions) = request_with_key(&mut host, 7);
    assert_eq!(sent_to(&actions), Some(2));
    let (ownerless, actions) = request_with_key(&mut host, 150);
    assert_eq!(sent_to(&actions), None, "the key has no owner");
    let (_, actions) = request_with_key(&mut host, 4000);
    assert_eq!(
        sent_to(&actions),
        Some(1),
        "other requests don't wait behind it"
    );
    // The upstream answers that it does not own the key. By now another one may, so the request waits for an update.
    let rejection = AttemptResult::new(
        owned,
        0,
        ServerId(2),
        AttemptOutcome::NotOwner,
        Span(2 * MS),
        false,
    );
    let actions = host.notify(Event::AttemptEnded(rejection));
    assert_eq!(
        sent_to(&actions),
        None,
        "the request must not be sent there again at once"
    );
    host.now = host.now.plus(Span(10 * MS));
    let actions = host.notify(Event::KeyOwners(&all));
    assert_eq!(sent_to(&actions), None, "the owner is still the same");
    let moved = [keys(0, 99, Some(0)), all[1], all[2]];
    let actions = host.notify(Event::KeyOwners(&moved));
    assert_eq!(sent_to(&actions), Some(0), "the new owner");
    host.now = host.now.plus(Span(50 * MS));
    let actions = host.notify(Event::TimerFired(1));
    let is_rejection =
        |a: &Action| matches!(a, Action::Reject { request, .. } if *request == ownerless);
    assert!(
        actions.iter().any(is_rejection),
        "a quarter of its latency target has passed: {actions:?}"
    );
}

/// Returns the shortest measured time that a balancer with this many classes needs for one second's sweeps.
fn min_housekeeping_time(classes: usize) -> std::time::Duration {
    let class = RequestClass::safe(Span(200 * MS), Span(600 * MS));
    let settings = Settings::basic(vec![class; classes]);
    let mut balancer = Balancer::new(settings, 7, Time(0)).expect("valid settings");
    let mut out = Vec::new();
    let upstreams: Vec<_> = (0..40).map(|i| reporting_endpoint(i, 4, 0)).collect();
    balancer.handle(
        Time(0),
        Event::Membership {
            kind: MembershipKind::Complete,
            list: &upstreams,
        },
        &mut out,
    );
    let token = out.iter().find_map(|action| match action {
        Action::SetTimer { token, .. } => Some(*token),
        _ => None,
    });
    let token = token.expect("a timer is set");
    let second = |from: i64| {
        let began = std::time::Instant::now();
        for sweep in 0..40 {
            balancer.handle(
                Time(from + sweep * 25 * MS),
                Event::TimerFired(token),
                &mut out,
            );
            out.clear();
        }
        began.elapsed()
    };
    (0..5)
        .map(|n| n * 1000 * MS)
        .map(second)
        .min()
        .expect("some")
}

#[test]
fn housekeeping_grows_no_faster_than_the_number_of_classes() {
    // Regression: the time grew with the square of the number of classes, and 900 routes used all the CPU time of a
    // small machine. With the square, sixteen times as many classes would take 256 times as long; the bound leaves room
    // for measurements that a busy machine doubles.
    let (few, many) = (min_housekeeping_time(100), min_housekeeping_time(1600));
    assert!(
        many < 64 * few,
        "{few:?} for 100 routes, {many:?} for 1,600"
    );
}

#[test]
fn the_latency_target_of_a_retired_class_binds_no_other() {
    let class = |target_ms: i64| RequestClass::safe(Span(target_ms * MS), Span(2000 * MS));
    let tight = RequestClass {
        retired: true,
        ..class(20)
    };
    let admitted = |classes: Vec<RequestClass>| {
        let mut host = Host::new(
            Settings::basic(classes),
            &[reporting_endpoint(1, 4, 0), reporting_endpoint(2, 4, 0)],
        );
        let known = host.balancer.upstream_limits(ServerId(1), Span(400 * MS));
        let mut out = Vec::new();
        for id in 0..200 {
            let request = Request::new(RequestId(id), 0, Time(host.now.0 + 2000 * MS));
            host.balancer
                .handle(host.now, Event::Request(request), &mut out);
        }
        let is_rejection = |action: &&Action| matches!(action, Action::Reject { .. });
        (known, out.iter().filter(is_rejection).count())
    };
    let alone = admitted(vec![class(400)]);
    assert!(alone.1 > 0, "some requests are rejected");
    assert_eq!(admitted(vec![class(400), tight.clone()]), alone);
    let bound = admitted(vec![
        class(400),
        RequestClass {
            retired: false,
            ..tight
        },
    ]);
    assert!(bound.1 > alone.1, "a class in use does limit the others");
}
