//! The output that the host has to process after a step of the state machine.

use crate::{Entry, Message, PersistRequest, Snapshot};

/// The output of the state machine, returned by
/// [`RaftNode::take_ready`](crate::RaftNode::take_ready).
///
/// The parts can be processed independently except where an order is stated. `messages` never
/// depend on the `persist_requests` of the same `Ready`.
#[derive(Debug, Default)]
pub struct Ready {
    /// Requests to write and sync, in order.
    pub persist_requests: Vec<PersistRequest>,
    /// Messages to send. They may be lost.
    pub messages: Vec<Message>,
    /// A snapshot with which to replace the host's state before applying `committed_entries`.
    pub restored_snapshot: Option<Snapshot>,
    /// Entries to apply, in order and without gaps.
    pub committed_entries: Vec<Entry>,
    /// The results of reads.
    pub read_states: Vec<ReadState>,
}

/// The result of a read started by [`RaftNode::request_read`](crate::RaftNode::request_read).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadState {
    /// The token of the read.
    pub token: u64,
    /// The index that the host has to apply before it reads, or `None` if no leader confirmed the
    /// read and it has to be requested again.
    pub index: Option<u64>,
}
