//! What the host has to carry out after a step of the state machine.

use crate::{Entry, Message, PersistRequest, Snapshot};

/// What the host has to carry out, from [`RaftNode::take_ready`](crate::RaftNode::take_ready). The
/// parts are independent of each other but for the order that is stated here; messages never depend
/// on `persist_requests` of the same `Ready`.
#[derive(Debug, Default)]
pub struct Ready {
    /// To be written and synced, in order.
    pub persist_requests: Vec<PersistRequest>,
    /// To be sent. May be lost.
    pub messages: Vec<Message>,
    /// A snapshot that replaces the host's state, before `committed_entries` are applied.
    pub restored_snapshot: Option<Snapshot>,
    /// Entries to be applied, in order and without gaps.
    pub committed_entries: Vec<Entry>,
    /// Reads that ended.
    pub read_states: Vec<ReadState>,
}

/// The end of a read that was begun by [`RaftNode::request_read`](crate::RaftNode::request_read).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadState {
    /// The token of the read.
    pub token: u64,
    /// The index that the host has to apply before it reads; `None` if the read has to be requested
    /// again, since no leader confirmed it.
    pub index: Option<u64>,
}
