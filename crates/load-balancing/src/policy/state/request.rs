//! A pending request and its attempts.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::interface::{RequestClass, RequestId, Time};
use crate::policy::state::upstream_table::UpstreamIndex;

/// State of an attempt, as far as it matters for sending the request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::policy) enum AttemptState {
    InFlight,
    /// Ended with proof that the request has not run.
    NotRun,
    /// Ended without such proof.
    MayHaveRun,
}

/// One send of a request to one upstream.
#[derive(Clone, Copy, Debug)]
pub(in crate::policy) struct Attempt {
    pub(in crate::policy) upstream: UpstreamIndex,
    pub(in crate::policy) sent_at: Time,
    pub(in crate::policy) state: AttemptState,
    /// Whether it has been in flight for longer than the latencies of its class explain.
    pub(in crate::policy) is_overdue: bool,
    /// Whether it was still in flight when a hedge had to be sent to meet the latency target.
    pub(in crate::policy) is_hedge_due: bool,
    /// Whether its slot was released before its outcome was known.
    pub(in crate::policy) is_slot_released: bool,
    /// Whether the upstream has answered it, though its outcome is not known yet.
    pub(in crate::policy) is_answered: bool,
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
            is_answered: false,
        }
    }
}

/// Identifies an attempt by its request and its index there.
#[derive(Clone, Copy, Debug)]
pub(in crate::policy) struct AttemptId {
    pub(in crate::policy) request: RequestId,
    pub(in crate::policy) attempt: usize,
}

/// A request that is queued, or has an attempt in flight.
#[derive(Debug)]
pub(in crate::policy) struct PendingRequest {
    /// Its class as it was when the request was accepted. Every decision about the request depends on it, and not on
    /// the class that the settings contain now.
    pub(in crate::policy) class: Arc<RequestClass>,
    /// Index of the estimates and breakers of its class; `None` once the index belongs to another class.
    pub(in crate::policy) class_index: Option<usize>,
    /// Index of the capacity pool of the upstreams that it may be sent to.
    pub(in crate::policy) pool: usize,
    /// Maximum number of attempts, including the first, as of when it was accepted.
    pub(in crate::policy) max_attempts: usize,
    /// When the client gives up.
    pub(in crate::policy) deadline: Time,
    /// When an answer loses its value.
    pub(in crate::policy) value_until: Time,
    /// When the request is given up if it is still queued.
    pub(in crate::policy) queue_until: Time,
    pub(in crate::policy) is_queued: bool,
    /// Whether the client needs no answer any more; the record is kept for the attempts in flight.
    pub(in crate::policy) is_ended: bool,
    pub(in crate::policy) attempts: Vec<Attempt>,
    /// The ordering key, if its class is ordered: requests with the same key run one at a time.
    pub(in crate::policy) ordering_key: Option<u64>,
    /// The shard key, if the service is sharded: only the owner of this key may run the request.
    pub(in crate::policy) shard: Option<u16>,
}

impl PendingRequest {
    pub(in crate::policy) fn has_attempt_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Returns whether every attempt has ended with proof that the request has not run.
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

/// Requests with the same ordering key, which run one at a time.
#[derive(Debug)]
pub(in crate::policy) struct OrderedQueue {
    /// Requests in order of arrival; only the first may run.
    pub(in crate::policy) waiting: VecDeque<RequestId>,
    /// No request may start before this time, since an earlier attempt may still be running.
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
