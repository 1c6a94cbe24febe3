//! Linearizable reads in progress. At the leader they wait for a majority, at a follower for the
//! leader (Raft thesis, section 6.4).

use std::collections::VecDeque;

use crate::NodeId;

/// A read at the leader that waits until a majority has answered a broadcast that started after the
/// read.
#[derive(Debug)]
pub(crate) struct PendingRead {
    /// The member that requested the read.
    pub(crate) from: NodeId,
    pub(crate) token: u64,
    /// The index that has to be applied before the read.
    pub(crate) read_index: u64,
    /// The number of the broadcast that confirms the read, which may not have started yet.
    pub(crate) sequence: u64,
}

/// The reads that wait at the leader, in the order of their broadcasts.
pub(crate) type PendingReads = VecDeque<PendingRead>;

/// The reads of a follower. At most one request to the leader is in flight; it covers all reads
/// that were waiting when it was sent.
#[derive(Debug, Default)]
pub(crate) struct ForwardedReads {
    /// The reads covered by the request in flight. The request carries the token of the last one.
    in_flight: Vec<u64>,
    sent_at: u64,
    /// The reads that arrived after the request was sent, for which its response proves nothing.
    waiting: Vec<u64>,
}

impl ForwardedReads {
    /// Adds a read. Returns whether no request is in flight.
    pub(crate) fn push(&mut self, token: u64) -> bool {
        self.waiting.push(token);
        self.in_flight.is_empty()
    }

    /// Starts a request that covers all reads. Returns its token, or `None` if there are no reads.
    pub(crate) fn begin_request(&mut self, now: u64) -> Option<u64> {
        self.in_flight.append(&mut self.waiting);
        self.sent_at = now;
        self.in_flight.last().copied()
    }

    /// Returns whether the request in flight has had no response for a heartbeat interval and may
    /// be lost.
    pub(crate) fn is_overdue(&self, now: u64, heartbeat_interval_ms: u64) -> bool {
        !self.in_flight.is_empty() && now >= self.sent_at + heartbeat_interval_ms
    }

    /// Ends the request in flight and returns the reads that it covered, or `None` if `token` is
    /// not that of the request.
    pub(crate) fn complete(&mut self, token: u64) -> Option<Vec<u64>> {
        (self.in_flight.last() == Some(&token)).then(|| std::mem::take(&mut self.in_flight))
    }

    /// Returns whether reads wait for the next request.
    pub(crate) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Removes and returns all reads.
    pub(crate) fn take_all(&mut self) -> impl Iterator<Item = u64> + use<> {
        let Self {
            in_flight, waiting, ..
        } = std::mem::take(self);
        in_flight.into_iter().chain(waiting)
    }
}
