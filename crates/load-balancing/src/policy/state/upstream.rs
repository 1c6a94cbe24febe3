//! What the balancer knows of one upstream.

use crate::fleet::peer_load::ReportedLoad;
use crate::fleet::send_credit::SendCredit;
use crate::interface::{Endpoint, ServerId, Span, Status, Time};
use crate::policy::state::circuit_breaker::CircuitBreaker;
use crate::policy::state::latency_estimate::LatencyEstimate;

/// An upstream that failed so many in a row is unresponsive; a single one may have been a heavy request.
const UNRESPONSIVE_AFTER_FAILURES: u32 = 2;
/// Machine kinds beyond this are taken as one: what is learned of each takes memory.
const MAX_KIND: u32 = 255;

/// An upstream of the list.
#[derive(Debug)]
pub(in crate::policy) struct Upstream {
    pub(in crate::policy) id: ServerId,
    pub(in crate::policy) identity: u64,
    pub(in crate::policy) zone: u32,
    pub(in crate::policy) kind: u32,
    pub(in crate::policy) cell: u32,
    pub(in crate::policy) status: Status,
    pub(in crate::policy) weight: f64,
    /// Requests that it runs concurrently, if it tells; else 0.
    pub(in crate::policy) slots: u32,
    pub(in crate::policy) started: Option<Time>,
    /// Attempts of this balancer.
    pub(in crate::policy) in_flight: u32,
    pub(in crate::policy) in_flight_changed_at: Time,
    /// Open after it rejected an attempt or was unreachable.
    pub(in crate::policy) breaker: CircuitBreaker,
    /// By class, open after attempts went unanswered or ended in error.
    pub(in crate::policy) class_breakers: Vec<CircuitBreaker>,
    /// Attempts in a row that found it unreachable or that it left unanswered.
    pub(in crate::policy) consecutive_failures: u32,
    /// When the latest-sent of its answered attempts was sent.
    pub(in crate::policy) last_answered_sent_at: Time,
    pub(in crate::policy) estimate: LatencyEstimate,
    /// Sends that it may still get during its slow start.
    pub(in crate::policy) send_credit: SendCredit,
    /// Requests of other balancers there, as its last answer reported.
    pub(in crate::policy) reported: ReportedLoad,
    /// Concurrency above or below that of its kind, by way of trial.
    pub(in crate::policy) concurrency_trial: i32,
    /// How far it is from this balancer's point of the ring, in even parts of the fleet.
    pub(in crate::policy) subset_distance: f64,
    /// Until when idle connections to it are closed again and again, where a rule asks for it.
    pub(in crate::policy) close_idle_until: Time,
}

impl Upstream {
    /// One of which only the list is known.
    pub(in crate::policy) fn new(endpoint: &Endpoint, classes: usize, now: Time) -> Self {
        Self {
            id: endpoint.id,
            identity: endpoint.identity,
            zone: endpoint.zone,
            kind: endpoint.kind.min(MAX_KIND),
            cell: endpoint.cell,
            status: endpoint.status,
            weight: 1.0,
            slots: 0,
            started: None,
            in_flight: 0,
            in_flight_changed_at: now,
            breaker: CircuitBreaker::default(),
            class_breakers: vec![CircuitBreaker::default(); classes],
            consecutive_failures: 0,
            last_answered_sent_at: Time(i64::MIN),
            estimate: LatencyEstimate::NONE,
            send_credit: SendCredit::new(0.0, now),
            reported: ReportedLoad {
                peers: 0.0,
                at: now,
            },
            concurrency_trial: 0,
            subset_distance: 0.0,
            close_idle_until: now,
        }
    }

    /// Takes over what the list says. An upstream that has restarted begins with `credit` for its slow start, and
    /// without what was learned of its earlier incarnation.
    pub(in crate::policy) fn update(&mut self, endpoint: &Endpoint, credit: f64, now: Time) {
        if self.started != endpoint.started && endpoint.started.is_some() {
            self.send_credit = SendCredit::new(credit, now);
            self.estimate.slowness = LatencyEstimate::NONE.slowness;
            self.breaker = CircuitBreaker::default();
            self.class_breakers.fill(CircuitBreaker::default());
        }
        self.zone = endpoint.zone;
        self.kind = endpoint.kind.min(MAX_KIND);
        self.cell = endpoint.cell;
        self.status = endpoint.status;
        self.started = endpoint.started;
        self.slots = endpoint.slots;
        self.weight = if endpoint.weight > 0.0 && endpoint.weight.is_finite() {
            endpoint.weight
        } else {
            1.0
        };
    }

    pub(in crate::policy) fn is_live(&self) -> bool {
        self.status == Status::Live
    }

    pub(in crate::policy) fn is_unresponsive(&self) -> bool {
        self.consecutive_failures >= UNRESPONSIVE_AFTER_FAILURES
    }

    /// Whether it tells how many requests it runs concurrently.
    pub(in crate::policy) fn has_reported_slots(&self) -> bool {
        self.slots > 0
    }

    /// Schedules the closing of idle connections until `within` from now.
    pub(in crate::policy) fn close_idle_within(&mut self, now: Time, within: Span) {
        self.close_idle_until = now.plus(within);
    }
}
