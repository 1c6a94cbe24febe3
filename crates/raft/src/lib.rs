//! A replicated log after Raft: election with pre-vote and check-quorum, replication, membership
//! that changes one member at a time with learners first, snapshots, and reads confirmed by a
//! majority.
//!
//! The **Raft paper** is Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm
//! (Extended Version)", 2014; the **Raft thesis** is Ongaro, "Consensus: Bridging Theory and
//! Practice", 2014. Comments name their sections.
//!
//! No sockets, no clock, no files. The host passes in what happened ([`RaftNode::tick`],
//! [`RaftNode::step`], [`RaftNode::propose`], [`RaftNode::request_read`],
//! [`RaftNode::on_persisted`]) and carries out the [`Ready`]: it writes every [`PersistRequest`] to
//! disk, in order, and says when it is synced. What a message promises (a vote, an acknowledged
//! entry) leaves the node only after the request that backs it is synced; the leader's appends do
//! not wait for its own disk, which counts only once it is synced (Raft thesis, section 10.2.1).
//!
//! Nothing large is sent at once: a snapshot, or an entry over 16 KiB, is sent in chunks, and what
//! is in flight to a member is bounded, so that heartbeats never wait long behind it.
//!
//! **State:** term, vote and log, which the host keeps on disk, and what is derived from messages,
//! in memory. **Promises:** at most one leader a term; a committed entry is on the synced disks of
//! a majority of the voters and is never lost while a majority keeps its disks; all members apply
//! the same entries in the same order. **May lose:** what was proposed and is not committed.
//! **Neighbours silent:** without a majority nothing commits, no read is confirmed, and a leader
//! steps down after an election timeout. **Neighbours wiped or gone:** a machine without its disk
//! is a new member, and the old one is removed; see [`MembershipView`].
//!
//! Where to read: [`RaftNode`] dispatches messages to handlers by concern (`raft_node/`), and
//! composes the owners of the state (`raft_log`, `persistence`, `election_timer`, `broadcasts`,
//! `tracker/`, `read_only`, `contact_tracker`, `applicants`).

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

/// The identity of a member: drawn once for each incarnation of a disk, so that a wiped machine is
/// a new member.
pub type NodeId = u64;
