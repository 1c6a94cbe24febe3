//! Invariants, checked for each combination of effect and outcome and over random sequences of events.

use crate::harness::{MS, World, class_mut, endpoint_in_zone, settings};
use load_balancing::interface::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SAFE: usize = 0;
const KEYED: usize = 1;
const UNSAFE: usize = 2;

/// Returns what happens to a request whose first attempt ended with `outcome`: retried, rejected or failed.
fn result_of_first_attempt(class: usize, outcome: AttemptOutcome) -> &'static str {
    let mut w = World::with_servers(settings(), 4);
    w.request(1, class);
    w.advance(Span(5 * MS));
    w.end_attempt(1, 0, outcome);
    match (w.upstream_of(1).is_some(), w.is_rejected(1), w.is_failed(1)) {
        (true, false, false) => "retried",
        (false, true, false) => "rejected",
        (false, false, true) => "failed",
        other => panic!("{other:?}"),
    }
}

#[test]
fn retries_depend_on_effect_and_outcome() {
    let may_have_run = [
        AttemptOutcome::Error,
        AttemptOutcome::Reset,
        AttemptOutcome::Timeout,
        AttemptOutcome::Cancelled,
    ];
    let has_not_run = [
        AttemptOutcome::Rejected,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::NotIssued,
    ];
    for o in has_not_run.into_iter().chain(may_have_run) {
        assert_eq!(result_of_first_attempt(SAFE, o), "retried", "{o:?}");
        assert_eq!(result_of_first_attempt(KEYED, o), "retried", "{o:?}");
    }
    has_not_run
        .iter()
        .for_each(|o| assert_eq!(result_of_first_attempt(UNSAFE, *o), "retried", "{o:?}"));
    may_have_run
        .iter()
        .for_each(|o| assert_eq!(result_of_first_attempt(UNSAFE, *o), "failed", "{o:?}"));
}

#[test]
fn cancels_safe_attempts_when_the_client_disconnects() {
    for (class, ends) in [(SAFE, true), (KEYED, false), (UNSAFE, false)] {
        let mut w = World::with_servers(settings(), 1);
        w.request(1, class);
        w.end_attempt(1, 0, AttemptOutcome::Ok);
        let known = w.balancer.upstream_limits(ServerId(0), Span(200 * MS));
        w.request(2, class);
        w.advance(Span(5 * MS));
        w.disconnect(2);
        assert_eq!(w.upstream_of(2).is_none(), ends, "class {class}");
        let after = w.balancer.upstream_limits(ServerId(0), Span(200 * MS));
        assert_eq!(
            after == known,
            ends,
            "class {class}: the slot must be free and the estimates unchanged"
        );
    }
}

#[test]
fn attempts_run_on_where_cancelling_is_not_allowed() {
    let mut s = settings();
    s.limits.cancel = false;
    let mut w = World::with_servers(s, 1);
    w.request(1, SAFE);
    w.disconnect(1);
    assert!(w.upstream_of(1).is_some());
}

#[test]
fn a_keyed_retry_outside_its_dedup_group_fails() {
    let mut w = World::new(settings());
    w.update_membership(
        MembershipKind::Complete,
        &[endpoint_in_zone(0, 0), endpoint_in_zone(1, 1)],
    );
    w.request(1, KEYED);
    let first = w.upstream_of(1).unwrap();
    let other = endpoint_in_zone(1 - first.0, 1 - first.0);
    w.update_membership(MembershipKind::Complete, &[other]);
    w.end_attempt(1, 0, AttemptOutcome::Error);
    assert!(
        w.is_failed(1),
        "no live upstream would deduplicate the repeat"
    );
}

#[test]
fn a_timeout_at_the_deadline_is_answered_at_once() {
    let mut w = World::with_servers(settings(), 2);
    w.request(1, UNSAFE);
    w.request(2, SAFE);
    w.advance(Span(601 * MS));
    assert!(w.is_failed(1) && w.requests[&2].is_over);
}

#[test]
fn queued_requests_avoid_a_draining_upstream() {
    let mut w = World::with_servers(settings(), 2);
    for id in 0..30 {
        w.request(id, SAFE);
    }
    let draining = Endpoint {
        status: Status::Draining,
        ..endpoint_in_zone(0, 0)
    };
    w.update_membership(MembershipKind::Update, &[draining]);
    let before = w.sends_to(0);
    for id in 0..30 {
        w.advance(Span(MS));
        w.end_attempt(id, 0, AttemptOutcome::Ok);
    }
    assert_eq!(w.sends_to(0), before);
    assert!(w.sends_to(1) > 0);
}

/// Returns settings where the keyed class is ordered, with a retry delay of 30 ms.
fn settings_with_ordered_class() -> Settings {
    let mut s = settings();
    class_mut(&mut s, KEYED).in_order = true;
    s.rules.ordered_retry_delay = Span(30 * MS);
    s
}

fn request_with_key(w: &mut World, id: u64, class: usize, key: u64) {
    let until = w.now.plus(w.settings.classes[class].deadline);
    w.request_with(0, id, class, until, Some(key));
}

#[test]
fn ordered_requests_of_one_key_run_one_at_a_time() {
    // Regression: a request was sent while an earlier one with the same key was still in flight.
    let mut w = World::with_servers(settings_with_ordered_class(), 6);
    request_with_key(&mut w, 1, KEYED, 9);
    request_with_key(&mut w, 2, KEYED, 9);
    request_with_key(&mut w, 3, KEYED, 8);
    request_with_key(&mut w, 4, SAFE, 9);
    assert!(w.upstream_of(2).is_none() && w.upstream_of(3).is_some() && w.upstream_of(4).is_some());
    w.advance(Span(10 * MS));
    w.end_attempt(1, 0, AttemptOutcome::Ok);
    assert!(
        w.upstream_of(2).is_some(),
        "the next request is sent once the first has ended"
    );
}

#[test]
fn a_key_is_blocked_after_an_attempt_that_may_still_run() {
    let mut w = World::with_servers(settings_with_ordered_class(), 6);
    request_with_key(&mut w, 1, KEYED, 9);
    request_with_key(&mut w, 2, KEYED, 9);
    w.disconnect(1);
    assert!(
        w.upstream_of(2).is_none(),
        "its client has disconnected, but its attempt is still in flight"
    );
    w.end_attempt(1, 0, AttemptOutcome::Reset);
    w.advance(Span(20 * MS));
    assert!(w.upstream_of(2).is_none(), "the key is still blocked");
    w.advance(Span(20 * MS));
    assert!(w.upstream_of(2).is_some());
}

#[test]
fn rejects_early_what_cannot_get_its_turn_in_time() {
    let mut w = World::with_servers(settings_with_ordered_class(), 6);
    for id in 0..10 {
        request_with_key(&mut w, id, KEYED, id);
        w.advance(Span(50 * MS));
        w.end_attempt(id, 0, AttemptOutcome::Ok);
    }
    (10..16).for_each(|id| request_with_key(&mut w, id, KEYED, 1));
    assert!(
        !w.is_rejected(11) && w.is_rejected(15),
        "four requests of 50 ms ahead of it use up its 200 ms"
    );
}

#[test]
fn a_bound_class_stays_in_its_zones_and_holds_up_no_others() {
    // Regression: a class bound to zones was sent to any upstream with a free slot.
    let mut s = settings();
    class_mut(&mut s, SAFE).zones = Some(vec![1]);
    let mut w = World::with_servers(s, 6);
    (0..20).for_each(|id| w.request(id, SAFE));
    let at: Vec<_> = (0..20).filter_map(|id| w.upstream_of(id)).collect();
    assert!(!at.is_empty() && at.iter().all(|s| s.0 % 2 == 1), "{at:?}");
    assert!(
        w.is_rejected(19),
        "admitted by the sum over the upstreams it is bound to"
    );
    w.request(100, UNSAFE);
    assert!(
        w.upstream_of(100).is_some_and(|s| s.0 % 2 == 0),
        "other requests overtake those that wait for zone 1"
    );
    for i in [1, 3, 5] {
        w.update_membership(
            MembershipKind::Update,
            &[Endpoint {
                status: Status::Gone,
                ..endpoint_in_zone(i, 1)
            }],
        );
    }
    w.request(200, SAFE);
    w.advance(Span(600 * MS));
    assert!(
        w.is_rejected(200),
        "without any upstream in its zones, it is rejected in time"
    );
}

#[test]
fn closes_idle_connections_to_a_draining_upstream() {
    // Regression: connections to a draining upstream stayed open until they expired by themselves.
    let mut s = settings();
    s.rules.drain_close_timeout = Span(50 * MS);
    let mut w = World::with_servers(s, 2);
    (0..4).for_each(|id| w.request(id, SAFE));
    w.update_membership(MembershipKind::Complete, &[endpoint_in_zone(1, 1)]);
    let closes = |w: &World| {
        w.past_actions
            .iter()
            .filter(|a| {
                matches!(
                    a,
                    Action::CloseIdle {
                        server: ServerId(0)
                    }
                )
            })
            .count()
    };
    assert_eq!(
        closes(&w),
        1,
        "an upstream missing from a complete list counts as leaving"
    );
    w.advance(Span(150 * MS));
    let before = closes(&w);
    let at = (0..4)
        .find(|&id| w.upstream_of(id) == Some(ServerId(0)))
        .expect("an attempt is in flight there");
    w.end_attempt(at, 0, AttemptOutcome::Ok);
    assert!(closes(&w) > before, "again after the last outcome there");
    w.advance(Span(500 * MS));
}

#[derive(Clone, Debug)]
enum RandomEvent {
    Request {
        class: usize,
        wait_ms: i64,
    },
    AttemptEnded {
        id: u64,
        attempt: usize,
        outcome: AttemptOutcome,
    },
    Advance {
        ms: i64,
    },
    ClientDisconnected {
        id: u64,
    },
    StatusChanged {
        id: u32,
        status: Status,
        just_started: bool,
    },
    CompleteList {
        count: u32,
    },
    Unavailable,
    StrayTimer {
        token: u64,
    },
    /// The route of a class changes under its name, or another route takes over the name.
    ClassChanged {
        class: usize,
        change: ClassChange,
    },
    /// A request arrives that was accepted before the last change of its class.
    LateRequest {
        class: usize,
        wait_ms: i64,
    },
}

/// Settings of a class that decide what may become of its requests.
#[derive(Clone, Debug)]
struct ClassChange {
    id: u64,
    effect: Effect,
    zone: Option<u32>,
    max_attempts: Option<usize>,
    latency_target_ms: i64,
    in_order: bool,
}

impl ClassChange {
    fn apply(self, class: &mut RequestClass) {
        class.id = self.id;
        class.effect = self.effect;
        class.zones = self.zone.map(|zone| vec![zone]);
        class.max_attempts = self.max_attempts;
        class.latency_target = Span(self.latency_target_ms * MS);
        class.in_order = self.in_order;
    }
}

fn outcomes() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        4 => Just(AttemptOutcome::Ok),
        1 => Just(AttemptOutcome::Error),
        1 => Just(AttemptOutcome::Rejected),
        1 => Just(AttemptOutcome::Timeout),
        1 => Just(AttemptOutcome::ConnectFailed),
        1 => Just(AttemptOutcome::Reset),
        1 => Just(AttemptOutcome::Cancelled),
        1 => Just(AttemptOutcome::NotIssued),
    ]
}

fn events() -> impl Strategy<Value = RandomEvent> {
    let status = prop_oneof![
        Just(Status::Live),
        Just(Status::Draining),
        Just(Status::Gone)
    ];
    prop_oneof![
        8 => (0..3usize, 0..700i64).prop_map(|(class, wait_ms)| RandomEvent::Request { class, wait_ms }),
        8 => (0..60u64, 0..3usize, outcomes())
            .prop_map(|(id, attempt, outcome)| RandomEvent::AttemptEnded { id, attempt, outcome }),
        6 => (0..80i64).prop_map(|ms| RandomEvent::Advance { ms }),
        1 => (0..60u64).prop_map(|id| RandomEvent::ClientDisconnected { id }),
        2 => (0..8u32, status, any::<bool>())
            .prop_map(|(id, status, just_started)| {
                RandomEvent::StatusChanged { id, status, just_started }
            }),
        1 => (0..8u32).prop_map(|count| RandomEvent::CompleteList { count }),
        1 => Just(RandomEvent::Unavailable),
        1 => (0..9u64).prop_map(|token| RandomEvent::StrayTimer { token }),
    ]
}

fn class_changes() -> impl Strategy<Value = RandomEvent> {
    let effect = prop_oneof![
        Just(Effect::Safe),
        Just(Effect::Keyed),
        Just(Effect::Unsafe)
    ];
    let zone = prop::option::of(0..2u32);
    let max_attempts = prop::option::of(1..4usize);
    let settings = (
        0..3u64,
        effect,
        zone,
        max_attempts,
        100..400i64,
        any::<bool>(),
    );
    (0..3usize, settings).prop_map(|(class, settings)| {
        let (id, effect, zone, max_attempts, latency_target_ms, in_order) = settings;
        let change = ClassChange {
            id,
            effect,
            zone,
            max_attempts,
            latency_target_ms,
            in_order,
        };
        RandomEvent::ClassChanged { class, change }
    })
}

fn run_events(w: &mut World, events: Vec<RandomEvent>) {
    let mut next = 0;
    for event in events {
        match event {
            RandomEvent::Request { class, wait_ms } => {
                w.request_until(next, class, w.now.plus(Span(wait_ms * MS)));
                next += 1;
            }
            RandomEvent::AttemptEnded {
                id,
                attempt,
                outcome,
            } => w.end_attempt(id, attempt, outcome),
            RandomEvent::Advance { ms } => w.advance(Span(ms * MS)),
            RandomEvent::ClientDisconnected { id } => w.disconnect(id),
            RandomEvent::StatusChanged {
                id,
                status,
                just_started,
            } => {
                let started = just_started.then_some(w.now);
                let kind = id / 6;
                w.update_membership(
                    MembershipKind::Update,
                    &[Endpoint {
                        status,
                        started,
                        kind,
                        ..endpoint_in_zone(id, id % 2)
                    }],
                );
            }
            RandomEvent::CompleteList { count } => {
                let list: Vec<_> = (0..count).map(|i| endpoint_in_zone(i, i % 2)).collect();
                w.update_membership(MembershipKind::Complete, &list);
            }
            RandomEvent::Unavailable => w.update_membership(MembershipKind::Unavailable, &[]),
            RandomEvent::StrayTimer { token } => {
                let mut out = vec![];
                w.balancer
                    .handle(w.now, Event::TimerFired(token + 1000), &mut out);
                assert!(out.is_empty());
            }
            RandomEvent::LateRequest { class, wait_ms } => {
                w.request_accepted_before_change(next, class, Span(wait_ms * MS));
                next += 1;
            }
            RandomEvent::ClassChanged { class, change } => {
                w.change_class(class, |class| change.apply(class));
            }
        }
    }
}

/// Checks that every client has exactly one answer after its deadline.
fn check_all_answered(w: &mut World) -> Result<(), TestCaseError> {
    w.advance(Span(2000 * MS));
    let unanswered = w.requests.iter().filter(|(_, a)| !a.is_over);
    let unanswered: Vec<_> = unanswered.map(|(id, _)| id).collect();
    prop_assert!(
        unanswered.is_empty(),
        "no final answer for {:?}",
        unanswered
    );
    Ok(())
}

fn seeded_runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[41; 32]);
    TestRunner::new_with_rng(config, rng)
}

#[test]
fn rules_hold_over_random_orders_of_events() {
    let mut runner = seeded_runner(300);
    let input = (any::<[bool; 5]>(), prop::collection::vec(events(), 1..250));
    let result = runner.run(
        &input,
        |([hedging, by_request, in_order, zones, kinds], events)| {
            let mut s = settings();
            (s.limits.hedging, s.membership_by_request) = (hedging, by_request);
            (s.rules.ordered_retry_delay, s.rules.drain_close_timeout) =
                (Span(30 * MS), Span(50 * MS));
            class_mut(&mut s, SAFE).in_order = in_order;
            class_mut(&mut s, KEYED).in_order = in_order;
            class_mut(&mut s, UNSAFE).zones = zones.then(|| vec![1]);
            class_mut(&mut s, SAFE).kinds = kinds.then(|| vec![0]);
            let mut w = World::with_servers(s, 4);
            run_events(&mut w, events);
            check_all_answered(&mut w)
        },
    );
    result.unwrap();
}

/// Guards against requests that take over what a later configuration allows the route of their name: a request that
/// may run only once ran twice, or was rejected after it had run, once its class had become idempotent.
#[test]
fn requests_keep_what_their_class_allowed_on_arrival() {
    let mut runner = seeded_runner(1000);
    let late_request = (0..3usize, 0..700i64)
        .prop_map(|(class, wait_ms)| RandomEvent::LateRequest { class, wait_ms });
    let event = prop_oneof![
        6 => events().boxed(),
        2 => class_changes().boxed(),
        1 => late_request.boxed(),
    ];
    let input = (any::<bool>(), prop::collection::vec(event, 1..250));
    let result = runner.run(&input, |(hedging, events)| {
        let mut s = settings();
        s.limits.hedging = hedging;
        s.rules.ordered_retry_delay = Span(30 * MS);
        let mut w = World::with_servers(s, 4);
        run_events(&mut w, events);
        check_all_answered(&mut w)
    });
    result.unwrap();
}

/// Six balancers and twelve upstreams, of which number 5 is in slow start. The other upstreams run one request at a
/// time.
struct SlowStartFleet {
    /// Each balancer with its attempts in flight: when they end, and the id of their request.
    balancers: Vec<(World, Vec<(Time, u64)>)>,
    /// When each upstream has finished the requests that it holds.
    free_at: [Time; 12],
    next_id: u64,
    /// Times of the sends to the upstream in slow start.
    sent: Vec<Time>,
}

impl SlowStartFleet {
    const STARTING: u32 = 5;
    const WORK: Span = Span(20 * MS);

    fn new() -> Self {
        let balancer = |position| {
            let mut s = Settings {
                balancers: 6,
                position,
                ..settings()
            };
            class_mut(&mut s, SAFE).deadline = Span(60_000 * MS);
            let mut w = World::with_servers(s, 12);
            let just_started = Endpoint {
                started: Some(w.now),
                ..endpoint_in_zone(Self::STARTING, 1)
            };
            w.update_membership(MembershipKind::Update, &[just_started]);
            (w, Vec::new())
        };
        Self {
            balancers: (0..6).map(balancer).collect(),
            free_at: [Time(0); 12],
            next_id: 0,
            sent: vec![],
        }
    }

    /// Advances by five milliseconds: ends the attempts that are due, then sends each balancer three new requests.
    fn step(&mut self) {
        for (w, due) in &mut self.balancers {
            w.advance(Span(5 * MS));
            let done: Vec<_> = due.iter().filter(|d| d.0 <= w.now).map(|d| d.1).collect();
            due.retain(|d| d.0 > w.now);
            for id in done {
                w.end_attempt(id, 0, AttemptOutcome::Ok);
            }
            let known = w.past_actions.len();
            (0..3).for_each(|i| w.request(self.next_id + i, SAFE));
            self.next_id += 3;
            let recent: Vec<_> = w.past_actions[known.saturating_sub(40)..].to_vec();
            for action in recent {
                let Action::Send {
                    request, server, ..
                } = action
                else {
                    continue;
                };
                if due.iter().any(|d| d.1 == request.0) || w.requests[&request.0].is_over {
                    continue;
                }
                let is_starting = server.0 == Self::STARTING;
                let free = &mut self.free_at[server.0 as usize];
                let starts = if is_starting { w.now } else { w.now.max(*free) };
                *free = starts.plus(Self::WORK);
                due.push((*free, request.0));
                if is_starting {
                    self.sent.push(w.now);
                }
            }
        }
    }
}

#[test]
fn a_fleet_does_not_overload_an_upstream_in_slow_start() {
    // Six balancers get more requests than can be served. Warm upstreams serve 50 per second; the one in slow start
    // begins at a fifth of that and must not be sent three times its capacity within a second. It answers as fast as
    // the others, so K_i alone would not limit the sends to it.
    let mut fleet = SlowStartFleet::new();
    for _ in 0..400 {
        fleet.step();
    }
    let sent = fleet.sent;
    let start = fleet.balancers[0].0.now.plus(Span(-2000 * MS));
    for t in &sent {
        let within = sent
            .iter()
            .filter(|s| (0..1000 * MS).contains(&s.since(*t).0))
            .count();
        let share = 0.2 + 0.8 * t.since(start).as_micros() / (10_000.0 * MS as f64);
        let limit = 3.0 * share * 50.0;
        assert!(
            within as f64 <= limit,
            "{within} sends within a second, the limit is {limit}"
        );
    }
    assert!(
        sent.len() >= 4,
        "it must get some requests, got {}",
        sent.len()
    );
}

#[test]
fn invalid_endpoint_values_are_made_safe() {
    let mut w = World::with_servers(settings(), 2);
    for (id, weight) in [(0, 0.0), (1, f64::NAN), (2, f64::INFINITY), (3, -1.0)] {
        w.update_membership(
            MembershipKind::Update,
            &[Endpoint {
                weight,
                ..endpoint_in_zone(id, 0)
            }],
        );
    }
    let future = Some(Time(w.now.0 + 3_600_000 * MS));
    w.update_membership(
        MembershipKind::Update,
        &[Endpoint {
            started: future,
            kind: u32::MAX,
            ..endpoint_in_zone(4, 0)
        }],
    );
    for id in 0..60 {
        w.request(id, SAFE);
        w.advance(Span(10 * MS));
        w.end_attempt(id, 0, AttemptOutcome::Ok);
    }
    assert!(
        (0..60).all(|id| !w.is_rejected(id)),
        "upstreams with invalid weights are used"
    );
    assert!(
        w.sends_to(4) <= 15,
        "an upstream with a start time in the future gets the minimum rate"
    );
}

#[test]
fn rejects_a_past_deadline_at_once() {
    let mut w = World::with_servers(settings(), 2);
    w.request_until(1, UNSAFE, Time(w.now.0 - MS));
    w.request_until(2, KEYED, Time(i64::MIN));
    assert!(w.is_rejected(1) && w.is_rejected(2));
}

#[test]
fn an_implausible_latency_has_no_lasting_effect() {
    // Regression: a single implausible latency made the mean latency of its class unusable for good.
    let mut w = World::with_servers(settings(), 2);
    let answer = |id: u64, latency| AttemptResult {
        request: RequestId(id),
        attempt: 0,
        server: ServerId(0),
        outcome: AttemptOutcome::Ok,
        latency,
        last: true,
        report: LoadReport {
            inflight: Some(f64::NAN),
            requests_per_s: Some(-1.0),
            ..LoadReport::default()
        },
    };
    for id in 0..40 {
        w.request(id, SAFE);
        let implausible = if id % 2 == 0 {
            Span(i64::MAX)
        } else {
            Span(-5)
        };
        let latency = if id < 4 { implausible } else { Span(20 * MS) };
        w.requests.get_mut(&id).expect("a known request").is_over = true;
        w.now = w.now.plus(Span(20 * MS));
        w.balancer
            .handle(w.now, Event::AttemptEnded(answer(id, latency)), &mut vec![]);
    }
    let limits = w
        .balancer
        .upstream_limits(ServerId(0), Span(200 * MS))
        .unwrap();
    assert!(
        limits.max_in_flight >= 1 && limits.max_admitted > 0.1,
        "{limits:?}"
    );
    // Repeated, late and unknown events change nothing.
    let mut out = vec![];
    w.balancer
        .handle(w.now, Event::AttemptEnded(answer(39, Span(MS))), &mut out);
    w.balancer
        .handle(w.now, Event::AttemptEnded(answer(999, Span(MS))), &mut out);
    w.balancer
        .handle(w.now, Event::ClientDisconnected(RequestId(999)), &mut out);
    w.balancer
        .handle(w.now, Event::ResponseStarted(RequestId(999)), &mut out);
    assert!(out.is_empty());
}

#[test]
fn gone_upstreams_are_removed_once_no_request_needs_them() {
    let mut w = World::with_servers(settings(), 2);
    w.request(1, KEYED);
    let first = w.upstream_of(1).expect("sent");
    let known = |w: &World| {
        (0..3000)
            .filter(|id| {
                w.balancer
                    .upstream_limits(ServerId(*id), Span(MS))
                    .is_some()
            })
            .count()
    };
    for id in 2..3000 {
        w.update_membership(MembershipKind::Complete, &[endpoint_in_zone(id, 5)]);
    }
    assert!(
        w.balancer.upstream_limits(first, Span(MS)).is_some(),
        "needed to check the dedup group of a repeat"
    );
    assert_eq!(known(&w), 2);
    w.end_attempt(1, 0, AttemptOutcome::Error);
    assert!(
        w.is_failed(1),
        "no live upstream would deduplicate the repeat"
    );
    w.update_membership(MembershipKind::Update, &[endpoint_in_zone(2999, 5)]);
    assert_eq!(known(&w), 1);
    // An upstream that comes back is treated like any other.
    w.update_membership(MembershipKind::Update, &[endpoint_in_zone(first.0, 0)]);
    w.request(2, KEYED);
    w.request(3, KEYED);
    assert_eq!((w.sends_to(first.0), w.sends_to(2999)), (2, 1));
}
