//! Dispatch: decides which queued request is sent to which upstream.
//!
//! Following the paper named in [`policy`](super), an upstream gets requests only while it has fewer than K_i attempts
//! in flight. Among the upstreams with a free slot, the one with the lowest cost is chosen; where upstreams report
//! their load, the one expected to answer first.

use std::cell::LazyCell;

use super::Balancer;
use super::state::request::{Attempt, AttemptId, PendingRequest};
use super::state::upstream::Upstream;
use super::state::upstream_table::UpstreamIndex;
use super::subset;
use crate::interface::{Action, RequestId, Span, Time};

/// If more than this share of the upstreams of a class have their breaker for that class open, these breakers are
/// ignored: then the upstreams as a whole are slow.
const PANIC_THRESHOLD: f64 = 0.75;
/// How much longer, in mean service times, an answer from the balancer's own zone may take before an upstream in
/// another zone is preferred, where upstreams report their load.
const OTHER_ZONE_PENALTY: f64 = 0.25;
/// The same penalty for an upstream in another region.
const OTHER_REGION_PENALTY: f64 = 1.0;
/// The same penalty for an upstream outside the subset whose answers keep this balancer's estimates up to date.
const OUTSIDE_SUBSET_PENALTY: f64 = 0.5;

impl Balancer {
    /// Sends queued requests in order of arrival while upstreams have free slots. A request that waits for its key's
    /// turn, or that finds no free slot among the upstreams it is bound to, delays only requests with the same
    /// restriction.
    pub(super) fn dispatch(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut i = 0;
        // By capacity pool: whether a new request found no free slot in it.
        let mut is_exhausted = vec![false; self.capacity.pools.len()];
        while let Some(&id) = self.queue.get(i) {
            let Some(request) = self.requests.get(&id).filter(|r| r.is_queued) else {
                self.queue.remove(i);
                continue;
            };
            let is_new = request.attempts.is_empty() && request.shard.is_none();
            let pool = request.pool;
            if (is_new && is_exhausted[pool]) || !self.has_turn(now, id, request) {
                i += 1;
                continue;
            }
            let is_pool_full = self.capacity.pools[pool].is_full();
            if let Some(upstream) = self.choose_upstream(now, id, request, is_pool_full) {
                self.queue.remove(i);
                self.send(now, id, upstream, actions);
                continue;
            }
            // No slot is free for this request. If it is a retry it may merely be bound to other upstreams, so the
            // requests behind it are still considered.
            is_exhausted[pool] |= is_new;
            if is_exhausted.iter().all(|is_exhausted| *is_exhausted) {
                break;
            }
            i += 1;
        }
    }

    /// Returns the upstream with a free slot that a request should be sent to, if there is one. Upstreams to which this
    /// request has been sent before come last.
    fn choose_upstream(
        &self,
        now: Time,
        id: RequestId,
        request: &PendingRequest,
        is_pool_full: bool,
    ) -> Option<UpstreamIndex> {
        // Evaluated lazily and at most once: evaluating it for every class each time used all the CPU time of a small
        // machine with a thousand routes.
        let is_panicking = LazyCell::new(|| self.is_panicking(now, request));
        let owner = request.shard.map(|key| self.key_owners.owner_of(now, key));
        let mut best: Option<(bool, f64, UpstreamIndex)> = None;
        for &i in &self.by_cost {
            let upstream = &self.upstreams[i];
            let has_attempted = request.has_attempted(i);
            // Each request goes to its key's owner only once: when an upstream no longer owned the keys, every request
            // was sent to it twice.
            if owner.is_some_and(|owner| owner != Some(upstream.id) || has_attempted) {
                continue;
            }
            if !self.has_free_slot(now, upstream, is_pool_full) {
                continue;
            }
            let is_open_for_class =
                upstream.is_open_for_class(now, request.class_index) && !*is_panicking;
            if is_open_for_class
                || upstream.breaker.is_open(now)
                || !self.may_send(now, id, request, i)
            {
                continue;
            }
            if !upstream.reports_concurrency() && !has_attempted {
                return Some(i);
            }
            let cost = if upstream.reports_concurrency() {
                self.reported_cost(now, upstream)
            } else {
                0.0
            };
            if best.is_none_or(|(attempted, lowest, _)| (has_attempted, cost) < (attempted, lowest))
            {
                best = Some((has_attempted, cost, i));
            }
        }
        best.map(|(.., upstream)| upstream)
    }

    /// Returns whether an upstream has fewer than K_i attempts in flight. Trial slots are used only once all ordinary
    /// slots of the pool are taken.
    fn has_free_slot(&self, now: Time, upstream: &Upstream, is_pool_full: bool) -> bool {
        // While the pool is full, trial slots are used only at upstreams whose ordinary slots are all taken, not at
        // those that this balancer left idle because they are slow.
        if is_pool_full && upstream.in_flight < self.max_in_flight(upstream, 0) {
            return false;
        }
        // An unresponsive upstream gets one attempt at a time. Otherwise, during overload, every request that found no
        // other slot went to the upstreams of a lost zone.
        let limit = if upstream.is_unresponsive() {
            1
        } else {
            let trial = upstream.concurrency_trial;
            self.max_in_flight(upstream, if is_pool_full { trial } else { trial.min(0) })
        };
        let load = f64::from(upstream.in_flight) + self.peers_in_flight(now, upstream);
        load < f64::from(limit)
    }

    /// Returns whether so many upstreams have their breaker for the class of a request open that these breakers are
    /// ignored; see [`PANIC_THRESHOLD`].
    fn is_panicking(&self, now: Time, request: &PendingRequest) -> bool {
        let (mut all, mut open) = (0.0, 0.0);
        for &i in &self.by_cost {
            let upstream = &self.upstreams[i];
            if upstream.is_allowed_for(&request.class) {
                all += 1.0;
                open += f64::from(upstream.is_open_for_class(now, request.class_index));
            }
        }
        open > all * PANIC_THRESHOLD
    }

    /// Returns the number of other balancers' requests at an upstream, of those in its last report, that are expected
    /// to be still running.
    fn peers_in_flight(&self, now: Time, upstream: &Upstream) -> f64 {
        let age = now.since(upstream.reported.at).as_micros();
        upstream.reported.peers * (-age / self.service_time(upstream)).exp()
    }

    /// Returns the expected time until an upstream that reports its load answers, in mean service times, plus penalties
    /// for distance. It includes the requests of other balancers expected to have arrived since the report. The
    /// balancer's own subset is preferred because its estimates are the most recent.
    fn reported_cost(&self, now: Time, upstream: &Upstream) -> f64 {
        let concurrency = self.concurrency(upstream);
        let load = f64::from(upstream.in_flight)
            + self.fleet.peer_load.expected(
                now,
                concurrency,
                upstream.reported,
                self.fleet.service_time,
                self.service_time(upstream),
            );
        let penalty = |distance: &Span| {
            if distance.0 > 0 {
                OTHER_REGION_PENALTY
            } else {
                OTHER_ZONE_PENALTY
            }
        };
        let (zone_penalty, subset_distance) = if upstream.zone == self.settings.zone {
            (0.0, upstream.subset_distance)
        } else {
            let distance = self.settings.zone_distances.get(upstream.zone as usize);
            (
                distance.map_or(0.0, penalty),
                upstream.subset_distance - subset::OTHER_ZONE_DISTANCE,
            )
        };
        let outside_subset = (subset_distance - subset::KNOWN_SUBSET_DISTANCE).clamp(0.0, 1.0);
        upstream.estimate.slowness * (1.0 + load / concurrency)
            + zone_penalty
            + OUTSIDE_SUBSET_PENALTY * outside_subset
    }

    fn send(
        &mut self,
        now: Time,
        id: RequestId,
        upstream: UpstreamIndex,
        actions: &mut Vec<Action>,
    ) {
        self.spend_send_credit(now, upstream);
        self.record_concurrency(now, upstream, None);
        self.dequeue(id);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let is_first = request.attempts.is_empty();
        self.in_flight.push(AttemptId {
            request: id,
            attempt: request.attempts.len(),
        });
        request.attempts.push(Attempt::new(upstream, now));
        let timeout = request.value_until.since(now);
        self.count_in_flight(upstream, 1);
        if is_first {
            self.earn_hedge_tokens();
        } else {
            let rules = &self.settings.rules;
            self.fleet.retry_budget.count_retry(now, rules);
        }
        actions.push(Action::Send {
            request: id,
            server: self.upstreams[upstream].id,
            timeout,
        });
    }

    /// Adds to or subtracts from the in-flight count of an upstream and of every capacity pool that it belongs to.
    pub(super) fn count_in_flight(&mut self, upstream: UpstreamIndex, change: i32) {
        let in_flight = &mut self.upstreams[upstream].in_flight;
        *in_flight = in_flight.saturating_add_signed(change);
        for i in 0..self.capacity.pools.len() {
            if self.is_counted(&self.capacity.pools[i], &self.upstreams[upstream]) {
                let in_flight = &mut self.capacity.pools[i].in_flight;
                *in_flight = in_flight.saturating_add_signed(change as isize);
            }
        }
    }
}
