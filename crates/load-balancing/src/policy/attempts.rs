//! Attempts: which upstream a request may be sent to, and how the outcome of an attempt affects the request and the
//! upstream.

use super::Balancer;
use super::state::circuit_breaker::CircuitBreaker;
use super::state::request::{Attempt, AttemptId, AttemptState, PendingRequest};
use super::state::upstream_table::UpstreamIndex;
use crate::interface::{
    Action, AttemptOutcome, AttemptResult, DedupGroup, Effect, RequestClass, RequestId, Status,
    Time,
};

/// Pause after an upstream rejected a request or could not be reached, as a multiple of the mean service time.
const PAUSE_IN_SERVICE_TIMES: f64 = 0.5;
/// Maximum number of times that this pause doubles: a dead upstream is retried about every thirty service times.
const MAX_PAUSE_DOUBLINGS: u32 = 6;
/// Maximum number of doublings of the pause of a class's breaker at an upstream. It is higher since each retry costs a
/// request and no pause is longer than the fault itself.
pub(super) const MAX_CLASS_PAUSE_DOUBLINGS: u32 = 10;

impl Balancer {
    /// Returns whether a request may be sent, for the first time or again, to this upstream now. Every send has to pass
    /// this check.
    pub(super) fn may_send(
        &self,
        now: Time,
        id: RequestId,
        request: &PendingRequest,
        upstream: UpstreamIndex,
    ) -> bool {
        self.is_eligible(now, request, upstream)
            && self.has_turn(now, id, request)
            && self.slow_start_allows(now, &self.upstreams[upstream])
    }

    /// Returns whether a request may be sent to this upstream, ignoring its key's turn and slow start, which only delay
    /// it. Checks draining, zone and machine type bindings, the deadline, the number of attempts, the retry budget, the
    /// conditions for hedging and the effect of the request, all by the class that it was accepted with.
    pub(super) fn is_eligible(
        &self,
        now: Time,
        request: &PendingRequest,
        upstream: UpstreamIndex,
    ) -> bool {
        let target = &self.upstreams[upstream];
        if target.status != Status::Live || !target.is_allowed_for(&request.class) {
            return false;
        }
        let limits = &self.settings.limits;
        let class = &request.class;
        let attempts = request.attempts.len();
        if request.is_ended || now >= request.deadline || attempts >= request.max_attempts {
            return false;
        }
        if attempts > 0 && !self.fleet.retry_budget.allows_retry(now, &self.settings) {
            return false;
        }
        let is_in_flight_there =
            |a: &Attempt| a.state == AttemptState::InFlight && a.upstream == upstream;
        if request.has_attempt_in_flight()
            && (!limits.hedging || request.attempts.iter().any(is_in_flight_there))
        {
            return false;
        }
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => request.has_not_run(),
            Effect::Keyed => request
                .attempts
                .iter()
                .filter(|attempt| attempt.state != AttemptState::NotRun)
                .all(|attempt| self.is_repeat_dropped(now, class, attempt, upstream)),
        }
    }

    /// Returns whether `upstream` would deduplicate a repeat of this attempt of a keyed request.
    fn is_repeat_dropped(
        &self,
        now: Time,
        class: &RequestClass,
        attempt: &Attempt,
        upstream: UpstreamIndex,
    ) -> bool {
        let (a, b) = (&self.upstreams[attempt.upstream], &self.upstreams[upstream]);
        let is_same_group = match class.dedup_group {
            DedupGroup::All => true,
            DedupGroup::Zone => a.zone == b.zone,
            DedupGroup::Cell => a.zone == b.zone && a.cell == b.cell,
        };
        now.since(attempt.sent_at) < class.dedup_window && is_same_group
    }

    /// Returns whether a request may be rejected, that is, whether it is harmless if the client repeats it. Every
    /// rejection after an attempt has to pass this check.
    pub(super) fn may_reject(&self, request: &PendingRequest) -> bool {
        let class = &request.class;
        let is_dropped_anywhere =
            class.effect == Effect::Keyed && class.dedup_group == DedupGroup::All;
        class.effect == Effect::Safe || is_dropped_anywhere || request.has_not_run()
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        now: Time,
        result: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&result.request) else {
            return;
        };
        let Some(attempt) = request
            .attempts
            .get_mut(result.attempt)
            .filter(|attempt| attempt.state == AttemptState::InFlight)
        else {
            return;
        };
        attempt.state = if result.outcome.has_not_run() {
            AttemptState::NotRun
        } else {
            AttemptState::MayHaveRun
        };
        let attempt = *attempt;
        let class = request.class_index;
        let deadline = request.class.deadline;
        let shard = request.shard;
        let is_over = request.is_ended || result.last;
        let ordering_key = request.ordering_key;
        if let Some(key) = ordering_key {
            self.block_key(now, key, result.outcome);
        }
        if let Some(key) = shard {
            let pause = self.fleet.service_time * PAUSE_IN_SERVICE_TIMES;
            self.key_owners.on_attempt_ended(now, key, result, pause);
        }
        self.learn(now, class, deadline, attempt, result);
        self.close_idle(now, attempt.upstream, actions);
        if result.outcome == AttemptOutcome::Ok {
            self.finish_request(result.request, actions);
        } else if is_over {
            self.end_request(result.request);
        } else {
            self.retry_or_give_up(now, result.request, actions);
        }
        self.dispatch(now, actions);
    }

    /// Handles an attempt that its upstream has answered, while the answer waits for memory of the host. The upstream has
    /// done its work, so its slot is free. Had such attempts kept their slots and become overdue, a few clients that read
    /// nothing would have all upstreams look unresponsive.
    pub(super) fn on_response_delayed(
        &mut self,
        now: Time,
        id: AttemptId,
        actions: &mut Vec<Action>,
    ) {
        let request = self.requests.get_mut(&id.request);
        let attempt = request.and_then(|request| request.attempts.get_mut(id.attempt));
        let Some(attempt) = attempt.filter(|a| a.state == AttemptState::InFlight) else {
            return;
        };
        attempt.is_answered = true;
        let had_slot = !std::mem::replace(&mut attempt.is_slot_released, true);
        let (index, sent_at) = (attempt.upstream, attempt.sent_at);
        let upstream = &mut self.upstreams[index];
        upstream.last_answered_sent_at = upstream.last_answered_sent_at.max(sent_at);
        if had_slot {
            self.record_concurrency(now, index, None);
            self.count_in_flight(index, -1);
        }
        self.dispatch(now, actions);
    }

    /// Blocks an ordering key after an attempt that may still be running.
    fn block_key(&mut self, now: Time, key: u64, outcome: AttemptOutcome) {
        let may_be_running = matches!(
            outcome,
            AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Cancelled
        );
        if !may_be_running {
            return;
        }
        if let Some(queue) = self.ordered_queues.get_mut(&key) {
            queue.blocked_until = now.plus(self.settings.rules.ordered_retry_delay);
        }
    }

    /// Updates the breakers of an upstream after an outcome. `class_mean` is the mean latency of the class in
    /// microseconds.
    pub(super) fn update_breakers(
        &mut self,
        now: Time,
        class: Option<usize>,
        attempt: Attempt,
        outcome: AttemptOutcome,
        class_mean: f64,
    ) {
        let upstream = &mut self.upstreams[attempt.upstream];
        match outcome {
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed => {
                let pause = self.fleet.service_time * PAUSE_IN_SERVICE_TIMES;
                upstream.breaker.trip(now, pause, MAX_PAUSE_DOUBLINGS);
                upstream.consecutive_failures +=
                    u32::from(outcome == AttemptOutcome::ConnectFailed);
            }
            AttemptOutcome::Ok => {
                upstream.last_answered_sent_at =
                    upstream.last_answered_sent_at.max(attempt.sent_at);
                upstream.breaker.reset_faults();
                upstream.consecutive_failures = 0;
                if let Some(breaker) = upstream.class_breaker_mut(class) {
                    *breaker = CircuitBreaker::default();
                }
            }
            AttemptOutcome::Error | AttemptOutcome::Timeout | AttemptOutcome::Reset
                if !attempt.is_overdue =>
            {
                if let Some(breaker) = upstream.class_breaker_mut(class) {
                    breaker.trip(now, class_mean, MAX_CLASS_PAUSE_DOUBLINGS);
                }
                upstream.consecutive_failures += 1;
            }
            _ => {}
        }
    }
}
