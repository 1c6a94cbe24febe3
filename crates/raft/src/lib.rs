//! An implementation of the Raft consensus protocol: leader election with pre-vote and
//! check-quorum, log replication, single-member membership changes with learners, snapshots, and
//! linearizable reads confirmed by a majority.
//!
//! The **Raft paper** is Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm
//! (Extended Version)", 2014; the **Raft thesis** is Ongaro, "Consensus: Bridging Theory and
//! Practice", 2014. Comments refer to their sections.
//!
//! The crate performs no I/O and reads no clock. The host passes in events ([`RaftNode::tick`],
//! [`RaftNode::step`], [`RaftNode::propose`], [`RaftNode::request_read`],
//! [`RaftNode::on_persisted`]) and processes the resulting [`Ready`]: it writes each
//! [`PersistRequest`] to disk in order and reports when it is synced. A message that makes a
//! promise (a granted vote, an acknowledged entry) is released only after the request that backs it
//! is synced. The leader sends entries before its own disk has synced them, but counts itself
//! toward a majority only afterwards (Raft thesis, section 10.2.1).
//!
//! Snapshots, and entries over 16 KiB, are sent in chunks, and the bytes in flight to each member
//! are bounded, so that heartbeats are not queued for long behind large transfers.
//!
//! # State and guarantees
//!
//! The host keeps the term, the vote and the log on disk; everything else is rebuilt from messages
//! and held in memory only.
//!
//! - There is at most one leader per term.
//! - A committed entry is on the synced disks of a majority of the voters and is not lost while a
//!   majority keeps its disks.
//! - All members apply the same entries in the same order.
//!
//! Proposals that are not committed may be lost.
//!
//! # Failure handling
//!
//! Without a reachable majority nothing is committed, no read is confirmed, and a leader steps down
//! after an election timeout. A machine that loses its disk rejoins as a new member, and its old
//! identity is removed; see [`MembershipView`].
//!
//! # Code layout
//!
//! [`RaftNode`] dispatches messages to handlers, one module per protocol concern (`raft_node/`),
//! and combines the components that hold the state (`raft_log`, `persistence`, `election_timer`,
//! `broadcasts`, `tracker/`, `read_only`, `contact_tracker`, `applicants`).

mod applicants;
mod broadcasts;
mod byte_string;
mod contact_tracker;
mod election_timer;
mod entry;
mod incoming_transfer;
mod members;
mod membership_policy;
mod message;
mod persistence;
mod raft_log;
mod raft_node;
mod read_only;
mod ready;
mod storage;
mod timing;
mod tracker;

pub use crate::entry::{Entry, LogPosition, Payload, Snapshot};
pub use crate::members::Members;
pub use crate::membership_policy::{MembershipPolicy, MembershipView, Observation};
pub use crate::message::{
    AppendConflict, AppendEntries, AppendResponse, Chunk, ChunkResponse, Message, MessageBody,
    QuorumContact, QuorumContactResponse, ReadIndex, ReadIndexResponse, RequestVote,
    TransferContent, TransferId, VoteResponse,
};
pub use crate::raft_node::{MemberReport, MembershipReport, RaftNode, Role, Status};
pub use crate::ready::{ReadState, Ready};
pub use crate::storage::{PersistRequest, PersistentState};
pub use crate::timing::Timing;

/// Identifies a member. An id is generated each time a member's disk is initialized, so that a
/// machine that loses its disk becomes a new member.
pub type NodeId = u64;
