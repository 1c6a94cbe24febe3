//! A member's persistent state, and the requests by which the host updates it.
//!
//! Term, vote and log have to be on stable storage before a member responds to a request (Raft
//! paper, figure 2). The host writes each [`PersistRequest`] in the given order, syncs, and calls
//! [`RaftNode::on_persisted`](crate::RaftNode::on_persisted).

use crate::{Entry, NodeId, Snapshot};

/// A write that has to be synced before the member makes a promise based on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PersistRequest {
    /// The number of the request, to pass to
    /// [`RaftNode::on_persisted`](crate::RaftNode::on_persisted).
    pub sequence: u64,
    /// The current term.
    pub term: u64,
    /// The vote in the current term.
    pub voted_for: Option<NodeId>,
    /// Entries that replace the stored log from the index of the first one on.
    pub entries: Vec<Entry>,
    /// A snapshot from the leader that replaces the whole stored log.
    pub snapshot: Option<Snapshot>,
}

/// A member's state as read from disk at startup.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// The latest term known to the member.
    pub term: u64,
    /// The vote in `term`.
    pub voted_for: Option<NodeId>,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, in order.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Applies a request, giving the state after it is synced.
    pub fn apply(&mut self, request: PersistRequest) {
        (self.term, self.voted_for) = (request.term, request.voted_for);
        if let Some(snapshot) = request.snapshot {
            self.entries.clear();
            self.snapshot = Some(snapshot);
        }
        if let Some(first) = request.entries.first().map(|entry| entry.index) {
            self.entries.retain(|entry| entry.index < first);
            self.entries.extend(request.entries);
        }
    }

    /// Replaces the entries that a snapshot covers, giving the state after a snapshot returned by
    /// [`RaftNode::compact`](crate::RaftNode::compact) is synced.
    pub fn compact(&mut self, snapshot: Snapshot) {
        self.entries.retain(|entry| entry.index > snapshot.index);
        self.snapshot = Some(snapshot);
    }
}
