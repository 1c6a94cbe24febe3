//! Upstreams whose slots, load and slow-start rate are told; and settings that change in service.

use crate::harness::{MS, class, settings};
use load_balancing::interface::*;
use load_balancing::policy::Balancer;

fn reporting(id: u32, slots: u32, zone: u32) -> Endpoint {
    Endpoint {
        slots,
        zone,
        ..Endpoint::live(ServerId(id))
    }
}

struct Host {
    balancer: Balancer,
    now: Time,
    next: u64,
}

impl Host {
    fn new(settings: Settings, list: &[Endpoint]) -> Self {
        let now = Time(1_000_000_000);
        let balancer = Balancer::new(settings, 1, now).expect("settings");
        let mut host = Self {
            balancer,
            now,
            next: 0,
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
        self.next += 1;
        let id = RequestId(self.next);
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
    let mut host = Host::new(settings(), &[reporting(0, 2, 0), reporting(1, 2, 0)]);
    let (id, first) = host.request(0);
    let first = first.expect("a free slot");
    host.answer(id, first, 2.0); // Two of others run there: it is full.
    for _ in 0..2 {
        let (_, sent) = host.request(0);
        assert!(
            sent.is_some_and(|s| s != first),
            "sent to the full one: {sent:?}"
        );
    }
    let (_, held) = host.request(0);
    assert_eq!(held, None, "both are full: it waits here, not there");
    // By the time those have ended, what was reported holds no longer.
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
        &[reporting(0, 2, 2), reporting(1, 2, 1), reporting(2, 2, 0)],
    );
    let order: Vec<Option<ServerId>> = (0..6).map(|_| host.request(0).1).collect();
    assert_eq!(order[0], Some(ServerId(2)), "the own zone");
    let region = |s: &Option<ServerId>| *s == Some(ServerId(0));
    let first_away = order.iter().position(region);
    assert!(
        first_away.is_none_or(|at| at >= 4),
        "a region away before all near were full: {order:?}"
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
    let cold = Endpoint {
        started: Some(host.now),
        ..reporting(0, 6, 0)
    };
    host.notify(Event::Membership {
        kind: MembershipKind::Complete,
        list: &[cold],
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
    // A second of 50 a second over ten balancers, and what may be earned before.
    assert!((4..=6).contains(&sent), "{sent} sent in a second");
}

#[test]
fn retries_stay_within_this_balancers_part_of_the_budget() {
    let mut settings = settings();
    settings.balancers = 10;
    (settings.rules.retry_window, settings.rules.retry_ratio) = (Span(10_000 * MS), 0.2);
    settings.rules.retry_allowance = 20.0;
    let list: Vec<Endpoint> = (0..40).map(|i| reporting(i, 4, 0)).collect();
    let mut host = Host::new(settings, &list);
    let (mut firsts, mut further) = (0, 0);
    // One in two is rejected at first, everywhere: more than may be retried.
    for n in 0..100 {
        let (id, server) = host.request(0);
        host.now = host.now.plus(Span(50 * MS));
        let Some(server) = server else { continue };
        firsts += 1;
        let outcome = if n % 2 == 0 {
            AttemptOutcome::Rejected
        } else {
            AttemptOutcome::Ok
        };
        let last = outcome == AttemptOutcome::Ok;
        let answer = AttemptResult::new(id, 0, server, outcome, Span(MS), last);
        let actions = host.notify(Event::AttemptEnded(answer));
        let again = |a: &Action| matches!(a, Action::Send { request, .. } if *request == id);
        if actions.iter().any(again) {
            further += 1;
            host.notify(Event::ClientDisconnected(id));
        } else if !last {
            let refused =
                |a: &Action| matches!(a, Action::Reject { request, .. } if *request == id);
            assert!(
                actions.iter().any(refused),
                "not run, and refused at once: {actions:?}"
            );
        }
    }
    assert!(firsts > 90, "{firsts}");
    assert!(
        (12..=22).contains(&further),
        "{further}: a fifth of {firsts}, and 20 over ten balancers"
    );
}

#[test]
fn burst_headroom_is_for_first_attempts() {
    // Two upstreams of 20 slots over 10 balancers: an even part of 4.8, tolerance included, and 4.4 for bursts.
    let host = || {
        let mut settings = settings();
        settings.balancers = 10;
        let mut host = Host::new(settings, &[reporting(0, 20, 0), reporting(1, 20, 0)]);
        host.notify(Event::TimerFired(1));
        host
    };
    let admitted = |host: &mut Host, resent: bool| {
        let mut ask = || {
            host.next += 1;
            let id = RequestId(host.next);
            let request = Request::new(id, 0, host.now.plus(Span(600 * MS)));
            let actions = host.notify(Event::Request(Request {
                is_client_retry: resent,
                ..request
            }));
            !actions.iter().any(|a| matches!(a, Action::Reject { .. }))
        };
        (0..100).filter(|_| ask()).count()
    };
    let (mut one, mut other) = (host(), host());
    let (firsts, repeats) = (admitted(&mut one, false), admitted(&mut other, true));
    let share = repeats as f64 / firsts as f64;
    assert!(
        (0.45..0.6).contains(&share),
        "{repeats} repeats, {firsts} first tries"
    );
    assert_eq!(
        admitted(&mut one, true),
        0,
        "beside first attempts that fill it all"
    );
    assert_eq!(
        admitted(&mut other, false),
        firsts - repeats,
        "beside as many repeats as may be"
    );
}

#[test]
fn reconfiguring_keeps_class_indexes() {
    let mut host = Host::new(settings(), &[reporting(0, 2, 0)]);
    let (id, sent) = host.request(0);
    let mut more = settings();
    more.classes.push(class(Effect::Safe));
    host.balancer.reconfigure(more).expect("one class more");
    assert!(host.answer(id, sent.expect("sent"), 0.0).is_empty());
    assert!(host.request(3).1.is_some(), "the new class is served");
    let fewer = Settings {
        classes: vec![class(Effect::Safe)],
        ..settings()
    };
    assert_eq!(
        host.balancer.reconfigure(fewer),
        Err(SettingsError::FewerClasses(4))
    );
    assert!(host.request(3).1.is_some(), "and all is as it was");
}

#[test]
fn reported_slots_set_k() {
    let host = Host::new(settings(), &[reporting(0, 6, 0)]);
    let limits = host
        .balancer
        .upstream_limits(ServerId(0), Span(1000 * MS))
        .expect("known");
    assert_eq!(limits.max_in_flight, 6);
}

#[test]
fn a_rare_class_does_not_lower_the_queue_share_of_a_busy_one() {
    // Regression: ranked by value for their work alone, it had a fifth of the bearable wait.
    let mut settings = settings();
    settings.classes = vec![class(Effect::Safe), class(Effect::Safe)];
    settings.classes[1].value = 2.0;
    let refused = |rare: bool| {
        let mut host = Host::new(settings.clone(), &[reporting(0, 4, 0)]);
        for i in 0..400 {
            let (id, sent) = host.request(usize::from(rare && i % 100 == 0));
            host.answer(id, sent.expect("a free slot"), 0.0);
            if i % 10 == 0 {
                host.notify(Event::TimerFired(1));
            }
        }
        host.notify(Event::TimerFired(1));
        let mut refused = 0;
        for _ in 0..60 {
            host.next += 1;
            let request = Request::new(RequestId(host.next), 0, host.now.plus(Span(600 * MS)));
            let actions = host.notify(Event::Request(request));
            refused += actions
                .iter()
                .filter(|a| matches!(a, Action::Reject { .. }))
                .count();
        }
        refused
    };
    assert_eq!(refused(true), refused(false));
}

/// A host whose upstreams 0 and 1 run two each, where 1 has left two requests in a row unanswered.
fn host_with_an_unresponsive_upstream() -> Host {
    let mut host = Host::new(settings(), &[reporting(0, 2, 0), reporting(1, 2, 0)]);
    let mut failed = 0;
    while failed < 2 {
        let (id, server) = host.request(0);
        let server = server.expect("a free slot");
        if server == ServerId(1) {
            failed += 1;
            host.now = host.now.plus(Span(400 * MS));
            let lost = AttemptResult::new(
                id,
                0,
                server,
                AttemptOutcome::ConnectFailed,
                Span(400 * MS),
                true,
            );
            host.notify(Event::AttemptEnded(lost));
            host.now = host.now.plus(Span(2000 * MS));
        } else {
            host.answer(id, server, 2.0);
        }
        host.notify(Event::TimerFired(1));
        assert!(host.next < 100, "the other one is never asked");
    }
    host
}

#[test]
fn an_unresponsive_upstream_leaves_the_sums_and_gets_one_attempt_at_a_time() {
    let whole = Host::new(settings(), &[reporting(0, 2, 0), reporting(1, 2, 0)]);
    let half = Host::new(settings(), &[reporting(0, 2, 0)]);
    let mut host = host_with_an_unresponsive_upstream();
    let holds = |mut host: Host| {
        let sent: Vec<Option<ServerId>> = (0..40).map(|_| host.request(0).1).collect();
        sent.into_iter().flatten().fold([0, 0], |mut n, s| {
            n[s.0 as usize] += 1;
            n
        })
    };
    assert_eq!(holds(whole), [2, 2]);
    assert_eq!(holds(half), [2, 0]);
    host.now = host.now.plus(Span(60_000 * MS));
    host.notify(Event::TimerFired(1));
    let sent = holds(host);
    assert_eq!(sent[0], 2);
    assert!(
        sent[1] <= 1,
        "its slots are not known to be there: {sent:?}"
    );
}

/// What a fleet of balancers sends to one upstream in slow start in each step of 25 ms, if they want to from `from` on.
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
                ..reporting(0, 4, 0)
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
                host.next += 1;
                let until = host.now.plus(Span(600 * MS));
                actions.extend(host.notify(Event::Request(Request::new(
                    RequestId(host.next),
                    0,
                    until,
                ))));
            }
            let there = |a: &Action| match a {
                Action::Send {
                    request, server, ..
                } => Some((*request, *server)),
                _ => None,
            };
            let out: Vec<_> = actions.iter().filter_map(there).collect();
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
            let most = sent.windows(40).map(|w| w.iter().sum::<usize>()).max();
            assert!(
                most <= Some(8),
                "{most:?} of 3.5 * 1.5 + 3, from step {from}: {sent:?}"
            );
            if from == 0 {
                // The pace grows from 0.3 of 3.5 a second to all of it.
                assert!(sent.iter().sum::<usize>() >= 20, "{sent:?}");
            }
        }
    }
}

/// A request whose key only the owner may run, and what the balancer does about it.
fn request_with_key(host: &mut Host, key: u16) -> (RequestId, Vec<Action>) {
    host.next += 1;
    let id = RequestId(host.next);
    let request = Request {
        shard: Some(key),
        ..Request::new(id, 0, host.now.plus(Span(600 * MS)))
    };
    (id, host.notify(Event::Request(request)))
}

/// The upstream that the first of these actions sends to.
fn sent_to(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    })
}

/// Where upstreams divide the keys: the owner alone gets a request, which waits for an owner for a quarter of its
/// latency target and holds nobody else up.
#[test]
fn a_request_with_a_key_goes_to_its_owner_or_nowhere() {
    let list = [reporting(0, 2, 0), reporting(1, 2, 0), reporting(2, 2, 0)];
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
    assert_eq!(sent_to(&actions), None, "nobody owns it");
    let (_, actions) = request_with_key(&mut host, 4000);
    assert_eq!(sent_to(&actions), Some(1), "others don't wait behind it");
    // The owner says that it is not: another one may be by now, so it waits for an update.
    let rejection = AttemptResult::new(
        owned,
        0,
        ServerId(2),
        AttemptOutcome::NotOwner,
        Span(2 * MS),
        false,
    );
    let actions = host.notify(Event::AttemptEnded(rejection));
    assert_eq!(sent_to(&actions), None, "not sent there again at once");
    host.now = host.now.plus(Span(10 * MS));
    let actions = host.notify(Event::KeyOwners(&all));
    assert_eq!(sent_to(&actions), None, "told the same again");
    let moved = [keys(0, 99, Some(0)), all[1], all[2]];
    let actions = host.notify(Event::KeyOwners(&moved));
    assert_eq!(sent_to(&actions), Some(0), "the next owner");
    host.now = host.now.plus(Span(50 * MS));
    let actions = host.notify(Event::TimerFired(1));
    let is_rejection =
        |a: &Action| matches!(a, Action::Reject { request, .. } if *request == ownerless);
    assert!(
        actions.iter().any(is_rejection),
        "a quarter of its latency target has passed: {actions:?}"
    );
}

/// The least time that a balancer of so many classes takes for a second of its housekeeping.
fn housekeeping(classes: usize) -> std::time::Duration {
    let class = RequestClass::safe(Span(200 * MS), Span(600 * MS));
    let settings = Settings::basic(vec![class; classes]);
    let mut balancer = Balancer::new(settings, 7, Time(0)).expect("settings are sound");
    let mut out = Vec::new();
    let upstreams: Vec<_> = (0..40).map(|i| reporting(i, 4, 0)).collect();
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
    let token = token.expect("it keeps time");
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
    // Regression: it grew with their square, and 900 routes took all the time of a small machine. Sixteen times as many
    // would be 256 times as much then; a busy machine may double a figure.
    let (few, many) = (housekeeping(100), housekeeping(1600));
    assert!(
        many < 64 * few,
        "{few:?} for 100 routes, {many:?} for 1,600"
    );
}

#[test]
fn the_latency_target_of_a_retired_class_binds_no_other() {
    let class = |aim: i64| RequestClass::safe(Span(aim * MS), Span(2000 * MS));
    let tight = RequestClass {
        retired: true,
        ..class(20)
    };
    let admitted = |classes: Vec<RequestClass>| {
        let mut host = Host::new(
            Settings::basic(classes),
            &[reporting(1, 4, 0), reporting(2, 4, 0)],
        );
        let known = host.balancer.upstream_limits(ServerId(1), Span(400 * MS));
        let mut out = Vec::new();
        for id in 0..200 {
            let request = Request::new(RequestId(id), 0, Time(host.now.0 + 2000 * MS));
            host.balancer
                .handle(host.now, Event::Request(request), &mut out);
        }
        let refused = |action: &&Action| matches!(action, Action::Reject { .. });
        (known, out.iter().filter(refused).count())
    };
    let alone = admitted(vec![class(400)]);
    assert!(alone.1 > 0, "some find no room");
    assert_eq!(admitted(vec![class(400), tight.clone()]), alone);
    let bound = admitted(vec![
        class(400),
        RequestClass {
            retired: false,
            ..tight
        },
    ]);
    assert!(bound.1 > alone.1, "one in force does");
}
