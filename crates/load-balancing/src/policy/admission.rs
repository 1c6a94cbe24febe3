//! Admission control: decides which requests are queued and which are rejected on arrival.
//!
//! The paper that [`policy`](super) follows rejects a request when the number of queued and in-flight requests reaches
//! the sum of N_i = T_QoS / (2*TP_i + TS_i). Here T_QoS is the mean service time plus the longest queue wait that every
//! class can tolerate; if each class had its own T_QoS, requests with long latency targets would fill the queue and
//! starve those with short ones. Classes with a low value per unit of work may use only part of that wait, and tenants
//! over their quota none of it.

use std::sync::Arc;

use super::Balancer;
use super::state::request::PendingRequest;
use crate::interface::{Action, Request, RequestClass, RequestId, Span, Time};

/// Share of the latency target that queueing plus mean service may take for a request to be admitted. The rest absorbs
/// the variance of service times.
const MAX_WAIT_SHARE_OF_TARGET: f64 = 0.7;
/// Share of the maximum queue wait that the class with the lowest value per unit of work may use.
const MIN_QUEUE_SHARE: f64 = 0.2;
/// A class whose traffic share is below this fraction of another class's is not ranked against it: it can't fill the
/// queue that both use.
const MIN_RIVAL_SHARE: f64 = 0.1;
/// Number of sweep intervals before its latency target at which a request leaves the queue, so that its rejection still
/// arrives early enough to be harmless.
const SWEEPS_BEFORE_TARGET: i64 = 2;

impl Balancer {
    /// Handles a new client request: sends, queues or rejects it.
    pub(super) fn on_request(&mut self, now: Time, request: &Request, actions: &mut Vec<Action>) {
        let Some(class) = self.accepted_class(request) else {
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
        let is_within_quota = self.is_within_quota(now, request.tenant);
        let is_admitted = self.turn_of(now, &pending) < pending.queue_until
            && self.is_admitted(&pending, is_within_quota, request.is_client_retry);
        let rules = &self.settings.rules;
        self.fleet.retry_budget.count_request(now, rules);
        self.requests.insert(request.id, pending);
        if !is_admitted {
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

    /// Returns the class that a request was accepted with; `None` if it is unknown.
    fn accepted_class(&self, request: &Request) -> Option<Arc<RequestClass>> {
        let accepted = request.accepted_class.as_ref();
        let current = || self.settings.classes.get(request.class);
        accepted.or_else(current).cloned()
    }

    fn pending_request(
        &mut self,
        now: Time,
        request: &Request,
        class: Arc<RequestClass>,
    ) -> PendingRequest {
        let pool = self.pool_of_class(&class);
        let target = request.deadline.min(now.plus(class.latency_target));
        // A request is queued only while it can still meet its latency target, even if a late answer keeps some value.
        // Otherwise the whole queue would be served late during sustained overload.
        let margin = Span(-SWEEPS_BEFORE_TARGET * self.sweep_interval.0);
        PendingRequest {
            class_index: self.index_of_class(request.class, &class),
            pool,
            max_attempts: class.max_attempts_within(self.settings.limits.max_attempts),
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
            class,
        }
    }

    /// Returns when a request is expected to be the first of its ordering key.
    fn turn_of(&self, now: Time, request: &PendingRequest) -> Time {
        let key = request.ordering_key;
        let queue = key.and_then(|key| self.ordered_queues.get(&key));
        let ahead = queue.map_or(0, |queue| queue.waiting.len());
        let mean = self.fleet.class(request.class_index).mean;
        now.plus(Span::from_micros(ahead as f64 * mean))
    }

    /// Applies the admission check: the number of queued and in-flight requests must stay below the sum of N_i.
    fn is_admitted(
        &self,
        request: &PendingRequest,
        is_within_quota: bool,
        is_client_retry: bool,
    ) -> bool {
        // A request over quota may not use any of the queue wait: otherwise a tenant that sent three times its quota
        // took other tenants' share while the upstreams were full.
        let queue_share = if is_within_quota {
            self.queue_share(request)
        } else {
            0.0
        };
        let pool = &self.capacity.pools[request.pool];
        let qos_time = self.fleet.service_time + self.fleet.max_queue_wait * queue_share;
        let mut limit = pool.admission_limit_per_us * qos_time;
        // The burst headroom is reserved for first tries. During overload it was used up by clients' retries, which are
        // late anyway, and the first tries rejected in their place came back as more retries.
        if is_client_retry {
            limit *= pool.even_share;
        }
        // Before the first membership list there is no N_i to sum, so requests queue until an upstream appears or they
        // expire.
        limit == 0.0 || ((pool.queued + pool.in_flight) as f64) < limit.max(1.0)
    }

    /// Returns the share of the maximum queue wait that a class may use, by the rank of its value per unit of work
    /// among the classes with comparable traffic. When all classes were ranked, a route that carried all the traffic
    /// got the smallest share because of routes that were hardly used.
    fn queue_share(&self, request: &PendingRequest) -> f64 {
        let fleet = &self.fleet;
        let value_of_work = |class: &RequestClass, index: Option<usize>| {
            let mean_work = fleet.class(index).mean.max(1.0);
            class.value / mean_work
        };
        let own_index = request.class_index;
        let own_value = value_of_work(&request.class, own_index);
        let own_share = own_index.map_or(0.0, |index| fleet.class_share[index]);
        let least_share = own_share * MIN_RIVAL_SHARE;
        let (mut rivals, mut below) = (0_usize, 0_usize);
        for (rival, class) in self.settings.classes.iter().enumerate() {
            if fleet.class_share[rival] > least_share {
                rivals += 1;
                below += usize::from(value_of_work(class, Some(rival)) < own_value);
            }
        }
        let rank = if rivals <= 1 {
            1.0
        } else {
            below as f64 / (rivals - 1) as f64
        };
        MIN_QUEUE_SHARE + (1.0 - MIN_QUEUE_SHARE) * rank.min(1.0)
    }

    /// Recomputes the longest queue wait that every class in use can tolerate.
    pub(super) fn refresh_max_queue_wait(&mut self) {
        let fleet = &mut self.fleet;
        let classes = self.settings.classes.iter().zip(&fleet.classes);
        let in_use = classes.filter(|(class, _)| !class.retired);
        let waits = in_use.map(|(class, estimate)| {
            class.latency_target.as_micros() * MAX_WAIT_SHARE_OF_TARGET - estimate.mean
        });
        fleet.max_queue_wait = waits.fold(f64::MAX, f64::min).max(0.0);
    }

    /// Rejects a request and advises the client when to retry.
    pub(super) fn reject(&mut self, request: RequestId, actions: &mut Vec<Action>) {
        // By then everything queued now has ended; a client that retries sooner waits behind the same queue.
        let queue_time = Span::from_micros(self.fleet.service_time + self.fleet.max_queue_wait);
        actions.push(Action::Reject {
            request,
            retry_after: queue_time.min(self.settings.limits.max_retry_after),
        });
        self.end_request(request);
    }
}
