//! Lease calls in flight between leaders and upstreams.

use placement::{LeaseCall, LeaseCallOutcome, LeaseRequest};

use crate::world::{TIMING, World};

/// A call in flight.
pub(crate) struct CallInFlight {
    /// Term of the leader that made it.
    pub(crate) leader: usize,
    call: LeaseCall,
    /// When it arrives; `None` if it has arrived or never will.
    pub(crate) arrives_at: Option<u64>,
    /// When its response arrives; `None` if it never will.
    pub(crate) response_at: Option<u64>,
    /// When the leader's timeout for it expires.
    pub(crate) times_out_at: u64,
    outcome: Option<LeaseCallOutcome>,
    /// Whether its leader was paused while sending it.
    pub(crate) is_late: bool,
}

impl CallInFlight {
    fn is_release(&self) -> bool {
        self.call.request == LeaseRequest::Release
    }

    /// Returns the outcome that the leader sees at `now`, if any.
    fn outcome_at(&self, now: u64) -> Option<LeaseCallOutcome> {
        if self.outcome.is_some() && self.response_at.is_some_and(|at| at <= now) {
            return self.outcome.clone();
        }
        let extra_timeout_ms = if self.is_release() { 200 } else { 0 };
        (now >= self.times_out_at + extra_timeout_ms).then_some(LeaseCallOutcome::NoResponse)
    }
}

impl World {
    pub(crate) fn send(&mut self, leader: usize, call: LeaseCall, with_faults: bool) {
        let is_lost = |world: &mut Self| with_faults && world.chance(15);
        // Without faults, the response arrives before the timeout.
        let max_delay = if with_faults {
            TIMING.call_timeout_ms
        } else {
            TIMING.call_timeout_ms / 2
        };
        let arrives_at = self.now + self.rng.rand_range(0..max_delay);
        let response_at = arrives_at + self.rng.rand_range(0..max_delay);
        let arrives_at = (!is_lost(self)).then_some(arrives_at);
        let response_at = (!is_lost(self)).then_some(response_at);
        self.calls.push(CallInFlight {
            leader,
            call,
            arrives_at,
            response_at,
            times_out_at: self.now + TIMING.call_timeout_ms,
            outcome: None,
            is_late: false,
        });
    }

    pub(crate) fn deliver_calls(&mut self, with_faults: bool) {
        let now = self.now;
        let mut rest = Vec::new();
        for mut in_flight in std::mem::take(&mut self.calls) {
            self.deliver_call(&mut in_flight, with_faults);
            let Some(outcome) = in_flight.outcome_at(now) else {
                rest.push(in_flight);
                continue;
            };
            if let Some(leader) = self.leaders.get_mut(&in_flight.leader) {
                let call = &in_flight.call;
                leader.planner.on_call_completed(now, call, outcome);
            }
        }
        self.calls.extend(rest);
    }

    fn deliver_call(&mut self, in_flight: &mut CallInFlight, with_faults: bool) {
        let now = self.now;
        if in_flight.arrives_at.is_none_or(|at| at > now) {
            return;
        }
        let id = &in_flight.call.holder.id;
        let frozen_until = self.upstreams.get(id).map_or(0, |u| u.frozen_until);
        if frozen_until > now {
            // If the call times out before the upstream resumes, its connection is reset and it is never read.
            in_flight.arrives_at = (frozen_until <= in_flight.times_out_at).then_some(frozen_until);
            return;
        }
        in_flight.arrives_at = None;
        self.late_calls += u64::from(in_flight.is_late);
        let checks_tokens = self.checks_grant_tokens;
        let upstream = self.upstreams.get_mut(id);
        in_flight.outcome = upstream.and_then(|upstream| {
            upstream.handle_call(now, &in_flight.call, in_flight.is_late, checks_tokens)
        });
        // A release is answered once the running requests have ended.
        let max_work_ms = if with_faults && in_flight.is_release() {
            120
        } else {
            1
        };
        in_flight.response_at = in_flight
            .response_at
            .map(|at| at + self.rng.rand_range(0..max_work_ms));
    }
}
