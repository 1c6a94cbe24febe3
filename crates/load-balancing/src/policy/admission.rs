//! Admission: which requests are queued, and which are rejected at once.
//!
//! The paper rejects a request when queued and in-flight ones reach the sum of N_i = T_QoS / (2*TP_i + TS_i). Here
//! T_QoS is one for all: the wait that even the tightest class can bear, or long latency targets would fill the
//! queue and starve short ones. Classes of less value for their work, and tenants beyond their quota, may use a
//! smaller part of it.

use super::Balancer;
use super::state::request::PendingRequest;
use crate::interface::{Action, Request, RequestClass, RequestId, Span, Time};

/// Share of the latency target that queue and service may take for a request to be admitted: the rest is for the
/// spread of service times.
const MAX_WAIT_SHARE_OF_TARGET: f64 = 0.7;
/// Part of the bearable wait that the class of least value for its work may use.
const MIN_QUEUE_SHARE: f64 = 0.2;
/// A class that asks for less than this share of what another does can't fill the queue of both.
const MIN_RIVAL_SHARE: f64 = 0.1;
/// A request leaves the queue so many sweeps before its latency target: its rejection must come while it is still
/// harmless.
const SWEEPS_BEFORE_TARGET: i64 = 2;

impl Balancer {
    /// A client's request has arrived; it is sent, queued or rejected.
    pub(super) fn on_request(&mut self, now: Time, request: &Request, actions: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(request.class) else {
            actions.push(Action::Reject {
                request: request.id,
                retry_after: Span(0),
            });
            return;
        };
        if self.requests.contains_key(&request.id) {
            return;
        }
        let pending = self.pending_request(now, request, class);
        let queue_until = pending.queue_until;
        let ahead = pending
            .ordering_key
            .and_then(|key| self.ordered_queues.get(&key))
            .map_or(0, |queue| queue.waiting.len());
        let rules = &self.settings.rules;
        self.fleet.retry_budget.count_request(now, rules);
        self.requests.insert(request.id, pending);
        let is_within_quota = self.is_within_quota(now, request.tenant);
        let wait_for_turn = ahead as f64 * self.fleet.classes[request.class].mean;
        let starts_at = now.plus(Span::from_micros(wait_for_turn));
        if starts_at >= queue_until
            || !self.is_admitted(request.class, is_within_quota, request.is_client_retry)
        {
            self.reject(request.id, actions);
            return;
        }
        if is_within_quota {
            self.spend_quota(request.tenant);
        }
        self.join_ordered_queue(now, request.id);
        self.enqueue(request.id, false);
        self.dispatch(now, actions);
    }

    fn pending_request(
        &self,
        now: Time,
        request: &Request,
        class: &RequestClass,
    ) -> PendingRequest {
        let target = request.deadline.min(now.plus(class.latency_target));
        // A queued request is worth its place only while its latency target can be met, also where a late answer
        // keeps some value: else, in lasting overload, the whole queue is served late.
        let margin = Span(-SWEEPS_BEFORE_TARGET * self.settings.sweep_interval().0);
        PendingRequest {
            class: request.class,
            deadline: request.deadline,
            value_until: if class.late_value > 0.0 {
                request.deadline
            } else {
                target
            },
            queue_until: target.plus(margin),
            is_queued: false,
            is_ended: false,
            attempts: Vec::new(),
            ordering_key: request.key.filter(|_| class.in_order),
            shard: request.shard,
        }
    }

    /// The paper's check: queued and in-flight requests stay under the sum of N_i.
    fn is_admitted(&self, class: usize, is_within_quota: bool, is_client_retry: bool) -> bool {
        // Over quota there is no part of the wait: a tenant that sent three times its quota took the others' part
        // of a full fleet.
        let queue_share = if is_within_quota {
            self.queue_share(class)
        } else {
            0.0
        };
        let pool = self.capacity.of_class(class);
        let qos_time = self.fleet.service_time + self.fleet.max_queue_wait * queue_share;
        let mut limit = pool.queue_limit_per_us * qos_time;
        // The headroom for bursts is for first tries: in overload it went to clients' retries, who can only be late,
        // and first tries were rejected for it and came again.
        if is_client_retry {
            limit *= pool.even_share;
        }
        // With no list yet there is no N to sum: queue until an upstream shows or time is up.
        limit == 0.0 || ((pool.queued + pool.in_flight) as f64) < limit.max(1.0)
    }

    /// The part of the bearable wait that a class may use, by the rank of its value for its work among the classes
    /// that ask for as much. Ranked among all, the route with all the traffic had the least part beside routes
    /// hardly asked for.
    fn queue_share(&self, class: usize) -> f64 {
        let fleet = &self.fleet;
        let value_of_work =
            |c: usize| self.settings.classes[c].value / fleet.classes[c].mean.max(1.0);
        let own_value = value_of_work(class);
        let least_share = fleet.class_share[class] * MIN_RIVAL_SHARE;
        let (mut rivals, mut below) = (0_usize, 0_usize);
        for rival in 0..fleet.class_share.len() {
            if fleet.class_share[rival] > least_share {
                rivals += 1;
                below += usize::from(value_of_work(rival) < own_value);
            }
        }
        let rank = if rivals <= 1 {
            1.0
        } else {
            below as f64 / (rivals - 1) as f64
        };
        MIN_QUEUE_SHARE + (1.0 - MIN_QUEUE_SHARE) * rank.min(1.0)
    }

    /// The longest wait that each class in use can bear.
    pub(super) fn refresh_max_queue_wait(&mut self) {
        let fleet = &mut self.fleet;
        let classes = self.settings.classes.iter().zip(&fleet.classes);
        let in_use = classes.filter(|(class, _)| !class.retired);
        let waits = in_use.map(|(class, known)| {
            class.latency_target.as_micros() * MAX_WAIT_SHARE_OF_TARGET - known.mean
        });
        fleet.max_queue_wait = waits.fold(f64::MAX, f64::min).max(0.0);
    }

    /// Ends a request unserved, with advice on when to retry.
    pub(super) fn reject(&mut self, request: RequestId, actions: &mut Vec<Action>) {
        // By then all that is queued now has ended: who comes sooner stands behind the same queue.
        let queue_time = Span::from_micros(self.fleet.service_time + self.fleet.max_queue_wait);
        actions.push(Action::Reject {
            request,
            retry_after: queue_time.min(self.settings.limits.max_retry_after),
        });
        self.end_request(request);
    }
}
