//! Retries and ends of requests: what happens after an attempt that did not serve the request, or after too long a
//! wait.
//!
//! A request ends in one of three ways: rejected ([`Balancer::reject`]: the client may safely repeat it), failed (it
//! may have run), or finished (the client has the answer or has disconnected). Its record is kept while attempts are in
//! flight.

use super::Balancer;
use super::state::request::{AttemptState, PendingRequest};
use crate::interface::{Action, Effect, RequestId, Span, Time};

/// Share of the latency target within which a rejection is harmless, because it leaves the client time for another try.
const HARMLESS_SHARE_OF_TARGET: f64 = 0.25;

impl Balancer {
    /// Handles an attempt that did not serve its request: puts the request back at the head of the queue if it may be
    /// sent again, and ends it otherwise.
    pub(super) fn retry_or_give_up(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.is_queued || request.has_attempt_in_flight() {
            return;
        }
        if now < request.queue_until && self.is_eligible_anywhere(now, request) {
            self.enqueue(id, true);
        } else {
            self.give_up(id, actions);
        }
    }

    /// Returns whether the request may be sent to some upstream, now or after a wait.
    pub(super) fn is_eligible_anywhere(&self, now: Time, request: &PendingRequest) -> bool {
        self.by_cost
            .iter()
            .any(|&upstream| self.is_eligible(now, request, upstream))
    }

    /// Gives up requests that were queued for too long.
    pub(super) fn give_up_expired(&mut self, now: Time, actions: &mut Vec<Action>) {
        let is_expired = |id: &&RequestId| {
            self.requests
                .get(id)
                .is_some_and(|r| r.is_queued && now >= self.expires_at(now, r))
        };
        let expired: Vec<RequestId> = self.queue.iter().filter(is_expired).copied().collect();
        for id in expired {
            // A request with an attempt in flight was waiting for a hedge; that attempt may still be answered.
            let request = self.requests.get(&id);
            if request.is_some_and(PendingRequest::has_attempt_in_flight) {
                self.dequeue(id);
            } else {
                self.give_up(id, actions);
            }
        }
    }

    /// Returns when a queued request is given up. If its key has no owner, or its owner has already been tried, it is
    /// rejected while that is still harmless, since it is unknown when there will be another owner.
    fn expires_at(&self, now: Time, request: &PendingRequest) -> Time {
        let Some(key) = request.shard else {
            return request.queue_until;
        };
        let has_attempted_owner = |owner| {
            request
                .attempts
                .iter()
                .any(|attempt| self.upstreams[attempt.upstream].id == owner)
        };
        let owner = self.key_owners.owner_of(now, key);
        if !owner.is_none_or(has_attempted_owner) {
            return request.queue_until;
        }
        let wait = request.class.latency_target.as_micros() * (1.0 - HARMLESS_SHARE_OF_TARGET);
        request.queue_until.plus(Span::from_micros(-wait))
    }

    /// Ends a request that was not served: rejects it if its client may safely repeat it, and fails it otherwise.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if self.may_reject(request) {
            self.reject(id, actions);
        } else {
            actions.push(Action::Fail { request: id });
            self.end_request(id);
        }
    }

    /// Ends a request whose client has the answer or has disconnected, so that further answers are of no use. Attempts
    /// of a safe request are cancelled; others continue, since they may already have taken effect.
    pub(super) fn finish_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(request) = self
            .requests
            .get(&id)
            .filter(|_| self.settings.limits.cancel)
            && request.class.effect == Effect::Safe
        {
            let in_flight = (0..request.attempts.len())
                .filter(|i| request.attempts[*i].state == AttemptState::InFlight);
            actions.extend(in_flight.map(|attempt| Action::Cancel {
                request: id,
                attempt,
            }));
        }
        self.end_request(id);
    }

    /// Ends a request for its client. The record is removed once no attempt is in flight.
    pub(super) fn end_request(&mut self, id: RequestId) {
        self.dequeue(id);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.is_ended = true;
        if request.has_attempt_in_flight() {
            return;
        }
        if let Some(queue) = request
            .ordering_key
            .and_then(|key| self.ordered_queues.get_mut(&key))
        {
            queue.waiting.retain(|waiting| *waiting != id);
        }
        self.requests.remove(&id);
    }
}
