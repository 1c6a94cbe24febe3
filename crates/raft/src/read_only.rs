//! Linearizable reads that wait: at the leader for a majority, at a follower for the leader (Raft
//! thesis, section 6.4).

use std::collections::VecDeque;

use crate::NodeId;

/// A read that waits at the leader until a majority has answered a broadcast that began after it.
#[derive(Debug)]
pub(crate) struct PendingRead {
    /// The member that asked for it.
    pub(crate) from: NodeId,
    pub(crate) token: u64,
    /// What has to be applied before the read.
    pub(crate) read_index: u64,
    /// The broadcast that confirms it. It may not have begun.
    pub(crate) sequence: u64,
}

/// The reads that wait at the leader, in the order of their broadcasts.
pub(crate) type PendingReads = VecDeque<PendingRead>;

/// The reads of a follower. One request to the leader is under way at a time and stands for all
/// reads that waited when it was sent.
#[derive(Debug, Default)]
pub(crate) struct ForwardedReads {
    /// The reads that the request stands for. Its token is that of the last one.
    in_flight: Vec<u64>,
    sent_at: u64,
    /// The reads that came after it was sent: its response proves nothing for them.
    waiting: Vec<u64>,
}

impl ForwardedReads {
    /// Adds a read; whether no request is under way.
    pub(crate) fn push(&mut self, token: u64) -> bool {
        self.waiting.push(token);
        self.in_flight.is_empty()
    }

    /// Begins a request that stands for all reads here. Its token, if there are any.
    pub(crate) fn begin_request(&mut self, now: u64) -> Option<u64> {
        self.in_flight.append(&mut self.waiting);
        self.sent_at = now;
        self.in_flight.last().copied()
    }

    /// Whether the request under way has had no response for a heartbeat: it may be lost.
    pub(crate) fn is_overdue(&self, now: u64, heartbeat_interval_ms: u64) -> bool {
        !self.in_flight.is_empty() && now >= self.sent_at + heartbeat_interval_ms
    }

    /// Ends the request under way. The reads that it stood for; none if the token is that of
    /// another request.
    pub(crate) fn complete(&mut self, token: u64) -> Option<Vec<u64>> {
        (self.in_flight.last() == Some(&token)).then(|| std::mem::take(&mut self.in_flight))
    }

    /// Whether reads wait for the next request.
    pub(crate) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Takes out all reads.
    pub(crate) fn take_all(&mut self) -> impl Iterator<Item = u64> + use<> {
        let Self {
            in_flight, waiting, ..
        } = std::mem::take(self);
        in_flight.into_iter().chain(waiting)
    }
}
