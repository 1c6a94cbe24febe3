//! Drives one balancer and checks each of its actions against the guarantees of the interface. The checks use their own
//! record of the events passed in and the requests sent. What is allowed for a request is decided by its class as it
//! was on arrival, whatever the settings have become since.

use std::collections::BTreeMap;
use std::sync::Arc;

use load_balancing::interface::*;
use load_balancing::policy::Balancer;

pub(crate) const MS: i64 = 1000;
/// How long before its latency target a request may be given up: two sweeps at the longest interval of any test.
const GIVE_UP_MARGIN: Span = Span(30 * MS);

pub(crate) fn class(effect: Effect) -> RequestClass {
    RequestClass {
        id: 0,
        latency_target: Span(200 * MS),
        deadline: Span(600 * MS),
        value: 1.0,
        late_value: 0.0,
        effect,
        dedup_group: DedupGroup::Zone,
        dedup_window: Span(300 * MS),
        latency_target_stretch: 0.0,
        streaming: false,
        in_order: false,
        zones: None,
        kinds: None,
        max_attempts: None,
        retired: false,
    }
}

pub(crate) fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Effect::Safe).into(),
            class(Effect::Keyed).into(),
            class(Effect::Unsafe).into(),
        ],
        tenants: vec![],
        balancers: 1,
        position: 0,
        zones: 2,
        zone: 0,
        zone_distances: vec![],
        tick: Span(MS),
        membership_by_request: false,
        limits: Limits {
            max_attempts: 3,
            hedging: true,
            cancel: true,
            probes: false,
            retry_after: true,
            max_retry_after: Span(300 * MS),
            connect_timeout: Span(100 * MS),
            keepalive: Span(5000 * MS),
            streams_per_conn: 1,
        },
        rules: Rules {
            slow_start_min_capacity: 0.2,
            slow_start_duration: Span(10_000 * MS),
            slow_start_rate_per_s: 0.0,
            slow_start_credit_ttl: Span(0),
            overload_multiple: 3.0,
            overload_window: Span(1000 * MS),
            drain_grace: Span(1000 * MS),
            answer_slack: Span(20 * MS),
            membership_poll_interval: Span(10_000 * MS),
            drain_close_timeout: Span(0),
            ordered_retry_delay: Span(0),
            retry_window: Span(0),
            retry_ratio: 0.0,
            retry_allowance: 0.0,
        },
        prices: Prices::default(),
        scoring_mix: ScoringMix {
            whole: 1.0,
            ..ScoringMix::default()
        },
        over_quota_value: 0.1,
        value_by_work: false,
        clients_mark_retries: false,
        load_report_source: LoadReportSource::None,
    }
}

/// Returns a class of the settings, to change it.
pub(crate) fn class_mut(settings: &mut Settings, class: usize) -> &mut RequestClass {
    Arc::make_mut(&mut settings.classes[class])
}

pub(crate) fn endpoint_in_zone(id: u32, zone: u32) -> Endpoint {
    Endpoint {
        id: ServerId(id),
        identity: u64::from(id) * 7919,
        zone,
        kind: 0,
        cell: id / 2,
        status: Status::Live,
        weight: 1.0,
        slots: 0,
        started: None,
    }
}

/// An attempt that the balancer made, and its outcome once it was passed to the balancer.
#[derive(Clone, Debug)]
pub(crate) struct TrackedAttempt {
    pub server: ServerId,
    pub sent_at: Time,
    pub outcome: Option<AttemptOutcome>,
    pub ended_at: Time,
}

/// A request that was passed to the balancer.
#[derive(Clone, Debug)]
pub(crate) struct TrackedRequest {
    pub class: usize,
    /// Its class as it was on arrival.
    pub accepted_class: RequestClass,
    /// Maximum number of attempts, by the settings on arrival.
    pub max_attempts: usize,
    pub arrived_at: Time,
    pub key: Option<u64>,
    /// Index of the request in order of arrival.
    pub arrival: usize,
    pub deadline: Time,
    pub attempts: Vec<TrackedAttempt>,
    pub is_over: bool,
}

/// Use and closing of idle connections to an upstream that is not live.
pub(crate) struct LeavingUpstream {
    /// When it stopped being live, or when an attempt there last ended.
    last_used: Time,
    last_closed: Option<Time>,
}

/// One balancer, its clock, and a record of its events and actions.
pub(crate) struct World {
    pub settings: Settings,
    /// Each class before its last change.
    former_classes: Vec<Arc<RequestClass>>,
    pub balancer: Balancer,
    pub now: Time,
    pub endpoints: BTreeMap<u32, Endpoint>,
    pub requests: BTreeMap<u64, TrackedRequest>,
    pub timers: Vec<(u64, Time)>,
    pub past_actions: Vec<Action>,
    /// Upstreams that are not live.
    pub leaving_upstreams: BTreeMap<u32, LeavingUpstream>,
    actions: Vec<Action>,
    /// Cancelled attempts whose end has not been passed to the balancer yet.
    cancelled: Vec<(u64, usize)>,
}

impl World {
    pub(crate) fn new(settings: Settings) -> Self {
        let now = Time(1_000_000 * MS);
        let balancer = Balancer::new(settings.clone(), 7, now).expect("valid settings");
        let mut world = Self {
            former_classes: settings.classes.clone(),
            settings,
            balancer,
            now,
            endpoints: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: vec![],
            past_actions: vec![],
            leaving_upstreams: BTreeMap::new(),
            actions: vec![],
            cancelled: vec![],
        };
        world.update_membership(MembershipKind::Restored, &[]);
        world
    }

    pub(crate) fn notify(&mut self, event: Event) {
        self.balancer.handle(self.now, event, &mut self.actions);
        self.apply_actions();
        for (id, attempt) in std::mem::take(&mut self.cancelled) {
            self.end_attempt(id, attempt, AttemptOutcome::Cancelled);
        }
    }

    pub(crate) fn with_servers(settings: Settings, n: u32) -> Self {
        let mut world = Self::new(settings);
        let list: Vec<_> = (0..n).map(|i| endpoint_in_zone(i, i % 2)).collect();
        world.update_membership(MembershipKind::Restored, &list);
        world
    }

    pub(crate) fn update_membership(&mut self, kind: MembershipKind, list: &[Endpoint]) {
        if matches!(kind, MembershipKind::Complete | MembershipKind::Restored) {
            self.endpoints
                .values_mut()
                .for_each(|m| m.status = Status::Gone);
        }
        if kind != MembershipKind::Unavailable {
            self.endpoints.extend(list.iter().map(|m| (m.id.0, *m)));
        }
        for (id, m) in &self.endpoints {
            if m.status == Status::Live {
                self.leaving_upstreams.remove(id);
            } else if kind != MembershipKind::Restored {
                self.leaving_upstreams
                    .entry(*id)
                    .or_insert(LeavingUpstream {
                        last_used: self.now,
                        last_closed: None,
                    });
            }
        }
        self.notify(Event::Membership { kind, list });
    }

    /// Changes the settings of a class.
    pub(crate) fn change_class(&mut self, class: usize, change: impl FnOnce(&mut RequestClass)) {
        self.former_classes[class] = Arc::clone(&self.settings.classes[class]);
        change(class_mut(&mut self.settings, class));
        let applied = self.balancer.reconfigure(self.settings.clone());
        applied.expect("valid settings");
    }

    pub(crate) fn request(&mut self, id: u64, class: usize) {
        let wait = self.settings.classes[class].deadline;
        self.request_until(id, class, self.now.plus(wait));
    }

    pub(crate) fn request_until(&mut self, id: u64, class: usize, deadline: Time) {
        self.request_of(0, id, class, deadline);
    }

    pub(crate) fn request_of(&mut self, tenant: usize, id: u64, class: usize, deadline: Time) {
        self.request_with(tenant, id, class, deadline, Some(id % 5));
    }

    pub(crate) fn request_with(
        &mut self,
        tenant: usize,
        id: u64,
        class: usize,
        deadline: Time,
        key: Option<u64>,
    ) {
        self.submit(Request {
            tenant,
            key,
            ..Request::new(RequestId(id), class, deadline)
        });
    }

    /// Submits a request that was accepted before the last change of its class.
    pub(crate) fn request_accepted_before_change(&mut self, id: u64, class: usize, wait: Span) {
        let former = Arc::clone(&self.former_classes[class]);
        self.submit(Request {
            accepted_class: Some(former),
            key: Some(id % 5),
            ..Request::new(RequestId(id), class, self.now.plus(wait))
        });
    }

    fn submit(&mut self, request: Request) {
        let current = &self.settings.classes[request.class];
        let accepted_class = request.accepted_class.as_ref().unwrap_or(current);
        let site_limit = self.settings.limits.max_attempts;
        let max_attempts = accepted_class.max_attempts.unwrap_or(site_limit);
        let tracked = TrackedRequest {
            max_attempts: max_attempts.min(site_limit),
            class: request.class,
            accepted_class: RequestClass::clone(accepted_class),
            arrived_at: self.now,
            key: request.key,
            arrival: self.requests.len(),
            deadline: request.deadline,
            attempts: vec![],
            is_over: false,
        };
        let id = request.id.0;
        assert!(
            self.requests.insert(id, tracked).is_none(),
            "request id {id} is used twice"
        );
        self.notify(Event::Request(request));
    }

    /// Ends an attempt in flight. Does nothing if there is no such attempt.
    pub(crate) fn end_attempt(&mut self, id: u64, attempt: usize, outcome: AttemptOutcome) {
        let Some(tracked) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(t) = tracked
            .attempts
            .get_mut(attempt)
            .filter(|t| t.outcome.is_none())
        else {
            return;
        };
        (t.outcome, t.ended_at) = (Some(outcome), self.now);
        if let Some(l) = self.leaving_upstreams.get_mut(&t.server.0) {
            l.last_used = self.now;
        }
        tracked.is_over |= outcome == AttemptOutcome::Ok;
        let answer = AttemptResult {
            request: RequestId(id),
            attempt,
            server: t.server,
            outcome,
            latency: self.now.since(t.sent_at),
            last: tracked.is_over,
            report: LoadReport::default(),
        };
        self.notify(Event::AttemptEnded(answer));
        if outcome == AttemptOutcome::Ok {
            self.check_cancelled(id);
        }
    }

    pub(crate) fn disconnect(&mut self, id: u64) {
        if let Some(tracked) = self.requests.get_mut(&id) {
            tracked.is_over = true;
        }
        self.notify(Event::ClientDisconnected(RequestId(id)));
        self.check_cancelled(id);
    }

    /// Checks that no attempt of a safe request continues for a client that has disconnected or has its answer.
    fn check_cancelled(&self, id: u64) {
        let Some(tracked) = self.requests.get(&id) else {
            return;
        };
        let is_safe = tracked.accepted_class.effect == Effect::Safe;
        let has_attempt_in_flight = tracked.attempts.iter().any(|t| t.outcome.is_none());
        let must_be_cancelled = self.settings.limits.cancel && is_safe;
        assert!(
            !must_be_cancelled || !has_attempt_in_flight,
            "attempt of request {id} continues after its client disconnected or was served"
        );
    }

    /// Advances the clock and fires timers. Attempts of a request end as time-outs at its deadline.
    pub(crate) fn advance(&mut self, span: Span) {
        let end = self.now.plus(span);
        while let Some(i) = (0..self.timers.len()).min_by_key(|&i| self.timers[i].1) {
            if self.timers[i].1 > end {
                break;
            }
            let (token, at) = self.timers.swap_remove(i);
            self.now = self.now.max(at);
            self.check_idle_closed();
            self.expire_attempts();
            self.notify(Event::TimerFired(token));
        }
        self.now = end;
        self.check_idle_closed();
        self.expire_attempts();
    }

    /// Checks that idle connections to upstreams that are not live are closed in time.
    fn check_idle_closed(&self) {
        let within = self.settings.rules.drain_close_timeout;
        for (id, upstream) in &self.leaving_upstreams {
            let is_overdue = within.0 > 0 && self.now > upstream.last_used.plus(within);
            let is_left_open = upstream
                .last_closed
                .is_none_or(|closed| closed < upstream.last_used);
            assert!(
                !(is_overdue && is_left_open),
                "idle connections to upstream {id} left open since {:?}",
                upstream.last_used
            );
        }
    }

    /// Checks the order of requests with the same key, and the zones and kinds that classes are bound to.
    fn check_order_and_binding(&self, id: u64, server: ServerId) {
        let tracked = &self.requests[&id];
        let class = &tracked.accepted_class;
        let m = &self.endpoints[&server.0];
        assert!(is_in_zones(class, m), "request {id} sent outside its zones");
        assert!(
            is_of_kinds(class, m),
            "request {id} sent to a kind that it is not bound to"
        );
        if !class.in_order || tracked.key.is_none() || !tracked.attempts.is_empty() {
            return;
        }
        let is_earlier_of_key = |a: &&TrackedRequest| {
            a.accepted_class.in_order && a.key == tracked.key && a.arrival < tracked.arrival
        };
        for earlier in self.requests.values().filter(is_earlier_of_key) {
            let done = earlier.is_over && earlier.attempts.iter().all(|t| t.outcome.is_some());
            assert!(
                done,
                "request {id} sent before an earlier one with its key has ended"
            );
            for t in &earlier.attempts {
                let uncertain_outcomes = [
                    AttemptOutcome::Timeout,
                    AttemptOutcome::Reset,
                    AttemptOutcome::Cancelled,
                ];
                let may_still_run = t.outcome.is_some_and(|o| uncertain_outcomes.contains(&o));
                let has_delay_passed =
                    self.now.since(t.ended_at) >= self.settings.rules.ordered_retry_delay;
                assert!(
                    !may_still_run || has_delay_passed,
                    "request {id} sent before the retry delay of its key has passed"
                );
            }
        }
    }

    fn expire_attempts(&mut self) {
        let due = |a: &TrackedRequest| a.deadline <= self.now;
        let expired: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, a)| due(a))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            for attempt in 0..self.requests[&id].attempts.len() {
                self.end_attempt(id, attempt, AttemptOutcome::Timeout);
            }
        }
    }

    fn apply_actions(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            self.past_actions.push(action);
            match action {
                Action::Send {
                    request,
                    server,
                    timeout,
                } => self.on_send(request.0, server, timeout),
                Action::Reject { request, .. } => {
                    let class = &self.requests[&request.0].accepted_class;
                    let any_may_have_run =
                        self.requests[&request.0].attempts.iter().any(may_have_run);
                    let is_harmless = class.effect == Effect::Safe
                        || (class.effect == Effect::Keyed && class.dedup_group == DedupGroup::All);
                    assert!(
                        is_harmless || !any_may_have_run,
                        "rejected {request:?}, which may have run"
                    );
                    self.on_final_answer(request.0);
                }
                Action::Fail { request } => self.on_final_answer(request.0),
                Action::SetTimer { token, at } => self.timers.push((token, at)),
                Action::Cancel { request, attempt } => {
                    let tracked = &self.requests[&request.0];
                    assert_eq!(
                        tracked.accepted_class.effect,
                        Effect::Safe,
                        "cancelled an attempt of a request that is not safe"
                    );
                    assert!(
                        tracked.is_over,
                        "cancelled an attempt that a client waits for"
                    );
                    assert_eq!(
                        tracked.attempts[attempt].outcome, None,
                        "cancelled an attempt that is not in flight"
                    );
                    self.cancelled.push((request.0, attempt));
                }
                Action::CloseIdle { server } => {
                    if let Some(l) = self.leaving_upstreams.get_mut(&server.0) {
                        l.last_closed = Some(self.now);
                    }
                }
                Action::Probe { .. } | Action::Subscribe => {}
            }
        }
    }

    fn on_final_answer(&mut self, id: u64) {
        self.check_no_retry_left(id);
        let tracked = self.requests.get_mut(&id).expect("a known request");
        assert!(!tracked.is_over, "second final answer for request {id}");
        tracked.is_over = true;
    }

    /// Checks that a request that was sent is given up only if it may not be sent again: because of its effect, its
    /// zones and kinds, the number of its attempts or its latency target.
    fn check_no_retry_left(&self, id: u64) {
        let tracked = &self.requests[&id];
        let class = &tracked.accepted_class;
        let until = tracked
            .deadline
            .min(tracked.arrived_at.plus(class.latency_target));
        let is_repeatable = match class.effect {
            Effect::Safe => true,
            Effect::Keyed => false, // Depends on the upstreams that have run it.
            Effect::Unsafe => !tracked.attempts.iter().any(may_have_run),
        };
        let has_upstream = self
            .endpoints
            .values()
            .any(|m| m.status == Status::Live && is_in_zones(class, m) && is_of_kinds(class, m));
        let may_be_sent_again = is_repeatable
            && has_upstream
            && tracked.attempts.len() < tracked.max_attempts
            && self.now.plus(GIVE_UP_MARGIN) < until;
        assert!(
            tracked.attempts.is_empty() || !may_be_sent_again,
            "request {id} was given up, although it may be sent again"
        );
    }

    fn on_send(&mut self, id: u64, server: ServerId, timeout: Span) {
        let tracked = &self.requests[&id];
        assert!(!tracked.is_over, "request {id} sent after its end");
        assert!(self.now < tracked.deadline && timeout.0 > 0);
        assert!(
            self.now.plus(timeout) <= tracked.deadline,
            "attempt time-out after the client's deadline"
        );
        assert_eq!(
            self.endpoints[&server.0].status,
            Status::Live,
            "request {id} sent to an upstream that is not live"
        );
        assert!(
            tracked.attempts.len() < tracked.max_attempts,
            "too many attempts of request {id}"
        );
        if !self.settings.limits.hedging {
            assert!(
                tracked.attempts.iter().all(|t| t.outcome.is_some()),
                "two attempts of request {id} in flight without hedging"
            );
        }
        let class = &tracked.accepted_class;
        for before in tracked.attempts.iter().filter(|t| may_have_run(t)) {
            let is_same_group = match class.dedup_group {
                DedupGroup::All => true,
                DedupGroup::Zone => self.zone(before.server) == self.zone(server),
                DedupGroup::Cell => {
                    self.endpoints[&before.server.0].cell == self.endpoints[&server.0].cell
                }
            };
            let is_in_window = self.now.since(before.sent_at) < class.dedup_window;
            let allowed = match class.effect {
                Effect::Safe => true,
                Effect::Keyed => is_same_group && is_in_window,
                Effect::Unsafe => false,
            };
            assert!(allowed, "the effect of request {id} may happen twice");
        }
        self.check_order_and_binding(id, server);
        let sent = TrackedAttempt {
            server,
            sent_at: self.now,
            outcome: None,
            ended_at: self.now,
        };
        self.requests
            .get_mut(&id)
            .expect("a known request")
            .attempts
            .push(sent);
    }

    fn zone(&self, id: ServerId) -> u32 {
        self.endpoints[&id.0].zone
    }

    pub(crate) fn upstream_of(&self, id: u64) -> Option<ServerId> {
        self.requests[&id]
            .attempts
            .iter()
            .rev()
            .find(|t| t.outcome.is_none())
            .map(|t| t.server)
    }

    pub(crate) fn is_rejected(&self, id: u64) -> bool {
        self.past_actions
            .iter()
            .any(|a| matches!(a, Action::Reject { request, .. } if request.0 == id))
    }

    pub(crate) fn is_failed(&self, id: u64) -> bool {
        self.past_actions.contains(&Action::Fail {
            request: RequestId(id),
        })
    }

    pub(crate) fn sends_to(&self, server: u32) -> usize {
        let to = |a: &&Action| matches!(a, Action::Send { server: s, .. } if s.0 == server);
        self.past_actions.iter().filter(to).count()
    }
}

fn is_in_zones(class: &RequestClass, upstream: &Endpoint) -> bool {
    let zones = class.zones.as_ref();
    zones.is_none_or(|zones| zones.contains(&upstream.zone))
}

fn is_of_kinds(class: &RequestClass, upstream: &Endpoint) -> bool {
    let kinds = class.kinds.as_ref();
    kinds.is_none_or(|kinds| kinds.contains(&upstream.kind))
}

fn may_have_run(t: &TrackedAttempt) -> bool {
    !t.outcome.is_some_and(AttemptOutcome::has_not_run)
}
