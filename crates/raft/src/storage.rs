//! What a member keeps on disk, and the requests by which the host brings it there.
//!
//! Term, vote and log have to be on stable storage before a member answers a request (Raft paper,
//! figure 2). The host writes each [`PersistRequest`] in the order given, syncs, and calls
//! [`RaftNode::on_persisted`](crate::RaftNode::on_persisted).

use crate::{Entry, NodeId, Snapshot};

/// What has to be written and synced before the member may promise it to others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PersistRequest {
    /// The number of the request, to be passed to
    /// [`RaftNode::on_persisted`](crate::RaftNode::on_persisted).
    pub sequence: u64,
    /// The current term.
    pub term: u64,
    /// The vote in that term.
    pub voted_for: Option<NodeId>,
    /// Entries that replace all that the stored log has from the index of the first of them on.
    pub entries: Vec<Entry>,
    /// A snapshot from the leader that replaces the whole stored log.
    pub snapshot: Option<Snapshot>,
}

/// What the disk of a member holds, as read at a start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// The latest term known to the member.
    pub term: u64,
    /// The vote in that term.
    pub voted_for: Option<NodeId>,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, in order.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// The state once a request is synced.
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

    /// The state once a snapshot that [`RaftNode::compact`](crate::RaftNode::compact) returned is
    /// synced: it replaces the entries that it covers.
    pub fn compact(&mut self, snapshot: Snapshot) {
        self.entries.retain(|entry| entry.index > snapshot.index);
        self.snapshot = Some(snapshot);
    }
}
