//! Overdue attempts: faults of their upstreams, hedges, and slots that are given back.
//!
//! Guards against hung and vanished upstreams, lost answers, stalls, a class that goes unanswered, dead connections.
//! May hurt where requests of one class differ widely: a heavy one looks lost.

use super::Balancer;
use super::attempts::MAX_CLASS_PAUSE_DOUBLINGS;
use super::state::request::{Attempt, AttemptId, AttemptState, PendingRequest};
use crate::interface::{AttemptOutcome, Span, Time};

/// An attempt is overdue so many mean deviations past its class's mean latency.
const OVERDUE_DEVIATIONS: f64 = 3.0;
/// A hedge goes no sooner than after so many times the mean latency.
const MIN_HEDGE_DELAY_IN_MEANS: f64 = 1.5;
/// And only where more than this share of the attempts so late were never answered: a slow fleet needs no more load.
const MIN_UNANSWERED_SHARE: f64 = 0.4;
/// Hedges per first attempt: more is a storm on a fleet that is slow.
const HEDGES_PER_REQUEST: f64 = 0.3;

/// When an attempt is late.
struct LatenessTimes {
    /// It is overdue, past its class's latency.
    overdue_at: Time,
    /// A hedge must go to be in time.
    hedge_at: Time,
}

/// What a look at an attempt in flight gives.
struct AttemptCheck {
    is_overdue: bool,
    is_hedge_due: bool,
    /// A hedge goes now.
    needs_hedge: bool,
    /// Its answer is taken for lost, and its slot is given back.
    is_lost: bool,
}

impl Balancer {
    /// A first attempt allows for some hedges, up to one for each slot.
    pub(super) fn earn_hedge_tokens(&mut self) {
        let most = self.capacity.fleet().slots.max(1.0);
        self.hedge_tokens = (self.hedge_tokens + HEDGES_PER_REQUEST).min(most);
    }

    /// Looks at all attempts in flight. What is overdue is a fault of its upstream in its class; in time for a hedge,
    /// it is sent elsewhere too where that is allowed, promises something and the tokens last.
    pub(super) fn check_overdue_attempts(&mut self, now: Time) {
        for id in std::mem::take(&mut self.in_flight) {
            let Some(request) = self.requests.get(&id.request) else {
                continue;
            };
            let attempt = request.attempts.get(id.attempt).copied();
            let Some(attempt) = attempt.filter(|a| a.state == AttemptState::InFlight) else {
                continue;
            };
            self.in_flight.push(id);
            let class = request.class;
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
        // Lost answers held their slots for two latency targets, and requests were rejected for it. What is overtaken
        // is lost. With a K_i of one nothing overtakes (silent connections held all slots), so between two answers of
        // an upstream one is given up on time alone.
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

    /// When an attempt is overdue, and when a hedge must go to be in time.
    fn lateness_times(&self, request: &PendingRequest, attempt: &Attempt) -> LatenessTimes {
        let known = &self.fleet.classes[request.class];
        if known.mean == 0.0 {
            let target = self.settings.classes[request.class].latency_target;
            let at = attempt.sent_at.plus(target);
            return LatenessTimes {
                overdue_at: at,
                hedge_at: at,
            };
        }
        let overdue_after = known.mean + OVERDUE_DEVIATIONS * known.deviation;
        let time_left = request.queue_until.since(attempt.sent_at).as_micros() - known.mean;
        let hedge_after = overdue_after
            .min(time_left)
            .max(known.mean * MIN_HEDGE_DELAY_IN_MEANS);
        LatenessTimes {
            overdue_at: attempt.sent_at.plus(Span::from_micros(overdue_after)),
            hedge_at: attempt.sent_at.plus(Span::from_micros(hedge_after)),
        }
    }

    /// Whether a hedge is allowed, promises something, and takes nothing from others.
    fn may_hedge(&self, now: Time, request: &PendingRequest) -> bool {
        let pool = self.capacity.of_class(request.class);
        let is_idle = pool.queued == 0 && (pool.in_flight as f64) < pool.slots;
        let unanswered_share = self.fleet.classes[request.class].unanswered_share;
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
        class: usize,
        attempt: Attempt,
        check: &AttemptCheck,
    ) {
        let upstream = &mut self.upstreams[attempt.upstream];
        if check.is_lost && upstream.last_answered_sent_at <= attempt.sent_at {
            upstream.last_answered_sent_at = Time(i64::MIN);
        }
        if check.is_overdue && !attempt.is_overdue {
            let mean = self.fleet.classes[class].mean.max(1.0);
            let age = now.since(attempt.sent_at).as_micros();
            upstream.estimate.learn(AttemptOutcome::Timeout, age, mean);
            upstream.class_breakers[class].trip(now, mean, MAX_CLASS_PAUSE_DOUBLINGS);
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
