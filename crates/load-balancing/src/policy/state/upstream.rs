//! State of one upstream.

use crate::fleet::peer_load::ReportedLoad;
use crate::fleet::send_credit::SendCredit;
use crate::interface::{Endpoint, RequestClass, ServerId, Span, Status, Time};
use crate::policy::state::circuit_breaker::CircuitBreaker;
use crate::policy::state::latency_estimate::LatencyEstimate;

/// Number of consecutive failures after which an upstream is unresponsive; a single one may be due to an expensive
/// request.
const UNRESPONSIVE_AFTER_FAILURES: u32 = 2;
/// Machine types from this index on share one estimate, to bound the memory used for estimates per machine type.
const MAX_KIND: u32 = 255;

/// An upstream from the membership list.
#[derive(Debug)]
pub(in crate::policy) struct Upstream {
    pub(in crate::policy) id: ServerId,
    pub(in crate::policy) identity: u64,
    pub(in crate::policy) zone: u32,
    /// Index of its machine type, at most [`MAX_KIND`].
    pub(in crate::policy) kind: u32,
    pub(in crate::policy) cell: u32,
    pub(in crate::policy) status: Status,
    pub(in crate::policy) weight: f64,
    /// Requests that it runs concurrently, if it reports that; 0 otherwise.
    pub(in crate::policy) reported_concurrency: u32,
    pub(in crate::policy) started: Option<Time>,
    /// Attempts of this balancer in flight.
    pub(in crate::policy) in_flight: u32,
    pub(in crate::policy) in_flight_changed_at: Time,
    /// Open after it rejected an attempt or was unreachable.
    pub(in crate::policy) breaker: CircuitBreaker,
    /// By class, open after attempts went unanswered or ended in an error.
    pub(in crate::policy) class_breakers: Vec<CircuitBreaker>,
    /// Consecutive attempts that could not connect, went unanswered, or ended in an error.
    pub(in crate::policy) consecutive_failures: u32,
    /// Send time of the most recently sent attempt that was answered.
    pub(in crate::policy) last_answered_sent_at: Time,
    pub(in crate::policy) estimate: LatencyEstimate,
    /// Number of sends that it may still get during its slow start.
    pub(in crate::policy) send_credit: SendCredit,
    /// Requests of other balancers, from its last load report.
    pub(in crate::policy) reported: ReportedLoad,
    /// Difference between its concurrency on trial and that of its machine type.
    pub(in crate::policy) concurrency_trial: i32,
    /// Distance from this balancer's point on the ring, in even shares; see [`subset`](crate::policy::subset).
    pub(in crate::policy) subset_distance: f64,
    /// Until when idle connections to it are closed repeatedly, if the rules ask for it.
    pub(in crate::policy) close_idle_until: Time,
}

impl Upstream {
    /// Creates an upstream of which only the list entry is known.
    pub(in crate::policy) fn new(endpoint: &Endpoint, classes: usize, now: Time) -> Self {
        Self {
            id: endpoint.id,
            identity: endpoint.identity,
            zone: endpoint.zone,
            kind: endpoint.kind.min(MAX_KIND),
            cell: endpoint.cell,
            status: endpoint.status,
            weight: 1.0,
            reported_concurrency: 0,
            started: None,
            in_flight: 0,
            in_flight_changed_at: now,
            breaker: CircuitBreaker::default(),
            class_breakers: vec![CircuitBreaker::default(); classes],
            consecutive_failures: 0,
            last_answered_sent_at: Time(i64::MIN),
            estimate: LatencyEstimate::INITIAL,
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

    /// Updates the upstream from its list entry. If it has restarted, it starts with `credit` for its slow start, and
    /// its slowness and breakers are reset.
    pub(in crate::policy) fn update(&mut self, endpoint: &Endpoint, credit: f64, now: Time) {
        if self.started != endpoint.started && endpoint.started.is_some() {
            self.send_credit = SendCredit::new(credit, now);
            self.estimate.slowness = LatencyEstimate::INITIAL.slowness;
            self.breaker = CircuitBreaker::default();
            self.class_breakers.fill(CircuitBreaker::default());
        }
        self.zone = endpoint.zone;
        self.kind = endpoint.kind.min(MAX_KIND);
        self.cell = endpoint.cell;
        self.status = endpoint.status;
        self.started = endpoint.started;
        self.reported_concurrency = endpoint.slots;
        self.weight = if endpoint.weight > 0.0 && endpoint.weight.is_finite() {
            endpoint.weight
        } else {
            1.0
        };
    }

    pub(in crate::policy) fn is_live(&self) -> bool {
        self.status == Status::Live
    }

    /// Returns whether it is in the zones and of the machine types that a class is bound to.
    pub(in crate::policy) fn is_allowed_for(&self, class: &RequestClass) -> bool {
        let is_allowed =
            |allowed: &Option<Vec<u32>>, i: &u32| allowed.as_ref().is_none_or(|a| a.contains(i));
        is_allowed(&class.zones, &self.zone) && is_allowed(&class.kinds, &self.kind)
    }

    /// Returns whether its breaker for a class is open; `None` is a class without breakers.
    pub(in crate::policy) fn is_open_for_class(&self, now: Time, class: Option<usize>) -> bool {
        class.is_some_and(|class| self.class_breakers[class].is_open(now))
    }

    /// Returns its breaker for a class.
    pub(in crate::policy) fn class_breaker_mut(
        &mut self,
        class: Option<usize>,
    ) -> Option<&mut CircuitBreaker> {
        self.class_breakers.get_mut(class?)
    }

    pub(in crate::policy) fn is_unresponsive(&self) -> bool {
        self.consecutive_failures >= UNRESPONSIVE_AFTER_FAILURES
    }

    /// Returns whether it reports how many requests it runs concurrently.
    pub(in crate::policy) fn reports_concurrency(&self) -> bool {
        self.reported_concurrency > 0
    }

    /// Has idle connections to it closed repeatedly during the time `within` from now.
    pub(in crate::policy) fn close_idle_within(&mut self, now: Time, within: Span) {
        self.close_idle_until = now.plus(within);
    }
}
