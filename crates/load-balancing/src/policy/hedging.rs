//! Overdue attempts: they count as faults of their upstreams, may cause hedges (attempts sent while an earlier one of
//! the same request is in flight), and release their slots when lost.
//!
//! This guards against upstreams that hang or vanish, lost answers, stalls, a class that goes unanswered, and dead
//! connections. It can do harm where the work of requests within a class varies widely, since an expensive request
//! looks lost.

use super::Balancer;
use super::attempts::MAX_CLASS_PAUSE_DOUBLINGS;
use super::state::request::{Attempt, AttemptId, AttemptState, PendingRequest};
use crate::interface::{AttemptOutcome, Span, Time};

/// Number of mean deviations above the mean latency of its class at which an attempt is overdue.
const OVERDUE_DEVIATIONS: f64 = 3.0;
/// Minimum delay before a hedge, as a multiple of the mean latency.
const MIN_HEDGE_DELAY_IN_MEANS: f64 = 1.5;
/// A hedge is sent only if more than this share of the attempts for which one was due were never answered. Upstreams
/// that are merely slow need no additional load.
const MIN_UNANSWERED_SHARE: f64 = 0.4;
/// Hedges allowed per first attempt. More would overload upstreams that are already slow.
const HEDGES_PER_REQUEST: f64 = 0.3;

/// Points in time from which an attempt counts as late.
struct LatenessTimes {
    /// When the attempt is overdue by the latency of its class.
    overdue_at: Time,
    /// When a hedge must be sent to meet the latency target.
    hedge_at: Time,
}

/// Result of checking an attempt in flight.
struct AttemptCheck {
    is_overdue: bool,
    is_hedge_due: bool,
    /// Whether a hedge should be sent now.
    needs_hedge: bool,
    /// Whether the answer is considered lost, so that the slot is released.
    is_lost: bool,
}

impl Balancer {
    /// Adds the hedge tokens that a first attempt earns, up to one token per slot.
    pub(super) fn earn_hedge_tokens(&mut self) {
        let max_tokens = self.capacity.all_upstreams().slots.max(1.0);
        self.hedge_tokens = (self.hedge_tokens + HEDGES_PER_REQUEST).min(max_tokens);
    }

    /// Checks all attempts in flight. An overdue attempt counts as a fault of its upstream for its class. When a hedge
    /// is due, the request is also sent to another upstream if that is allowed, is likely to help, and hedge tokens are
    /// left.
    pub(super) fn check_overdue_attempts(&mut self, now: Time) {
        for id in std::mem::take(&mut self.in_flight) {
            let Some(request) = self.requests.get(&id.request) else {
                continue;
            };
            let attempt = request.attempts.get(id.attempt).copied();
            let is_unanswered = |a: &Attempt| a.state == AttemptState::InFlight && !a.is_answered;
            let Some(attempt) = attempt.filter(is_unanswered) else {
                continue;
            };
            self.in_flight.push(id);
            let class = request.class_index;
            let check = self.check_attempt(now, request, &attempt);
            self.apply_check(now, id, class, attempt, &check);
        }
    }

    fn check_attempt(
        &self,
        now: Time,
        request: &PendingRequest,
        attempt: &Attempt,
    ) -> AttemptCheck {
        let LatenessTimes {
            overdue_at,
            hedge_at,
        } = self.lateness_times(request, attempt);
        let is_overdue = attempt.is_overdue || now >= overdue_at;
        let is_hedge_due = attempt.is_hedge_due || now >= hedge_at;
        let is_newly_due = is_hedge_due && !attempt.is_hedge_due;
        // Lost answers that held their slots for two latency targets caused rejections, so an overdue attempt is
        // considered lost once its upstream has answered an attempt sent later. With a K_i of 1 no attempt is ever sent
        // later, and unresponsive connections held all slots; so one attempt may also be given up by time alone, and
        // the next only after the upstream has answered again.
        let last_answered = self.upstreams[attempt.upstream].last_answered_sent_at;
        let is_overtaken = last_answered > attempt.sent_at;
        let lateness = overdue_at.since(attempt.sent_at);
        let is_given_up = last_answered > Time(i64::MIN) && now >= overdue_at.plus(lateness);
        AttemptCheck {
            is_overdue,
            is_hedge_due,
            needs_hedge: is_newly_due && self.may_hedge(now, request),
            is_lost: is_overdue && !attempt.is_slot_released && (is_overtaken || is_given_up),
        }
    }

    /// Returns when an attempt is overdue and when a hedge must be sent to meet the latency target.
    fn lateness_times(&self, request: &PendingRequest, attempt: &Attempt) -> LatenessTimes {
        let estimate = self.fleet.class(request.class_index);
        if estimate.mean == 0.0 {
            let at = attempt.sent_at.plus(request.class.latency_target);
            return LatenessTimes {
                overdue_at: at,
                hedge_at: at,
            };
        }
        let overdue_after = estimate.mean + OVERDUE_DEVIATIONS * estimate.deviation;
        let time_left = request.queue_until.since(attempt.sent_at).as_micros() - estimate.mean;
        let hedge_after = overdue_after
            .min(time_left)
            .max(estimate.mean * MIN_HEDGE_DELAY_IN_MEANS);
        LatenessTimes {
            overdue_at: attempt.sent_at.plus(Span::from_micros(overdue_after)),
            hedge_at: attempt.sent_at.plus(Span::from_micros(hedge_after)),
        }
    }

    /// Returns whether a hedge is allowed, is likely to help, and takes no capacity from other requests.
    fn may_hedge(&self, now: Time, request: &PendingRequest) -> bool {
        let pool = &self.capacity.pools[request.pool];
        let is_idle = pool.queued == 0 && (pool.in_flight as f64) < pool.slots;
        let unanswered_share = self.fleet.class(request.class_index).unanswered_share;
        unanswered_share > MIN_UNANSWERED_SHARE
            && is_idle
            && self.hedge_tokens >= 1.0
            && !request.is_ended
            && !request.is_queued
            && now < request.queue_until
            && request.shard.is_none()
            && self.is_eligible_anywhere(now, request)
    }

    fn apply_check(
        &mut self,
        now: Time,
        id: AttemptId,
        class: Option<usize>,
        attempt: Attempt,
        check: &AttemptCheck,
    ) {
        let upstream = &mut self.upstreams[attempt.upstream];
        if check.is_lost && upstream.last_answered_sent_at <= attempt.sent_at {
            upstream.last_answered_sent_at = Time(i64::MIN);
        }
        if check.is_overdue && !attempt.is_overdue {
            let mean = self.fleet.class(class).mean.max(1.0);
            let age = now.since(attempt.sent_at).as_micros();
            upstream.estimate.learn(AttemptOutcome::Timeout, age, mean);
            if let Some(breaker) = upstream.class_breaker_mut(class) {
                breaker.trip(now, mean, MAX_CLASS_PAUSE_DOUBLINGS);
            }
            upstream.consecutive_failures += 1;
        }
        if check.needs_hedge {
            self.hedge_tokens -= 1.0;
            self.enqueue(id.request, true);
        }
        if check.is_lost {
            self.record_concurrency(now, attempt.upstream, None);
            self.count_in_flight(attempt.upstream, -1);
        }
        let attempts = self.requests.get_mut(&id.request).map(|r| &mut r.attempts);
        if let Some(attempt) = attempts.and_then(|attempts| attempts.get_mut(id.attempt)) {
            attempt.is_overdue = check.is_overdue;
            attempt.is_hedge_due = check.is_hedge_due;
            attempt.is_slot_released |= check.is_lost;
        }
    }
}
