//! A request that the balancer holds, with its attempts.

use std::collections::VecDeque;

use crate::interface::{RequestId, Time};
use crate::policy::state::upstream_table::UpstreamIndex;

/// Where an attempt stands, as far as it bears on sending the request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::policy) enum AttemptState {
    InFlight,
    /// Ended with proof that it has not run.
    NotRun,
    /// Ended without such proof.
    MayHaveRun,
}

/// One sending of a request to one upstream.
#[derive(Clone, Copy, Debug)]
pub(in crate::policy) struct Attempt {
    pub(in crate::policy) upstream: UpstreamIndex,
    pub(in crate::policy) sent_at: Time,
    pub(in crate::policy) state: AttemptState,
    /// Unanswered for longer than its class explains.
    pub(in crate::policy) is_overdue: bool,
    /// Still in flight at the time when a hedge has to be sent to be in time.
    pub(in crate::policy) is_hedge_due: bool,
    /// Its slot was given back before its outcome came.
    pub(in crate::policy) is_slot_released: bool,
}

impl Attempt {
    pub(in crate::policy) fn new(upstream: UpstreamIndex, sent_at: Time) -> Self {
        Self {
            upstream,
            sent_at,
            state: AttemptState::InFlight,
            is_overdue: false,
            is_hedge_due: false,
            is_slot_released: false,
        }
    }
}

/// Names an attempt of a request by its index.
#[derive(Clone, Copy, Debug)]
pub(in crate::policy) struct AttemptId {
    pub(in crate::policy) request: RequestId,
    pub(in crate::policy) attempt: usize,
}

/// A request that is queued, or has an attempt in flight.
#[derive(Debug)]
pub(in crate::policy) struct PendingRequest {
    pub(in crate::policy) class: usize,
    /// When the client gives up.
    pub(in crate::policy) deadline: Time,
    /// When an answer stops being worth anything.
    pub(in crate::policy) value_until: Time,
    /// When it must be given up if it is still queued.
    pub(in crate::policy) queue_until: Time,
    pub(in crate::policy) is_queued: bool,
    /// Nothing is owed to the client any more; kept for the attempts in flight.
    pub(in crate::policy) is_ended: bool,
    pub(in crate::policy) attempts: Vec<Attempt>,
    /// The key whose turn it waits for, if its class is ordered.
    pub(in crate::policy) ordering_key: Option<u64>,
    /// The key whose owner alone may run it.
    pub(in crate::policy) shard: Option<u16>,
}

impl PendingRequest {
    pub(in crate::policy) fn has_attempt_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Whether every attempt has ended with proof that it has not run.
    pub(in crate::policy) fn has_not_run(&self) -> bool {
        self.attempts
            .iter()
            .all(|attempt| attempt.state == AttemptState::NotRun)
    }

    pub(in crate::policy) fn has_attempted(&self, upstream: UpstreamIndex) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.upstream == upstream)
    }
}

/// The requests of one key that run one at a time.
#[derive(Debug)]
pub(in crate::policy) struct OrderedQueue {
    /// In the order of arrival; the first may run.
    pub(in crate::policy) waiting: VecDeque<RequestId>,
    /// Until when an earlier attempt may still be running, so that none may start.
    pub(in crate::policy) blocked_until: Time,
}

impl OrderedQueue {
    pub(in crate::policy) fn new(now: Time) -> Self {
        Self {
            waiting: VecDeque::new(),
            blocked_until: now,
        }
    }
}
