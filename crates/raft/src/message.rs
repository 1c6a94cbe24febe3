//! Requests and responses between members.
//!
//! Any message may be lost, duplicated, delayed or reordered. The serialized names are those of
//! earlier builds (`#[serde(rename)]`) and are checked by golden files of the control plane,
//! because members of two builds talk to each other during a rolling upgrade.

use serde::{Deserialize, Serialize};

use crate::{Entry, LogPosition, Members, NodeId, byte_string};

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: NodeId,
    /// The receiver.
    pub to: NodeId,
    /// The sender's term; for a pre-vote and its grant, the term in which the candidate would
    /// campaign.
    pub term: u64,
    /// The request or response.
    pub body: MessageBody,
}

/// The body of a message: a request or a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// A candidate requests a vote (Raft paper, section 5.2) or a pre-vote (Raft thesis, section
    /// 9.6).
    #[serde(rename = "Vote")]
    RequestVote(RequestVote),
    /// The response to [`MessageBody::RequestVote`].
    #[serde(rename = "VoteReply")]
    VoteResponse(VoteResponse),
    /// The leader replicates entries or, without entries, sends a heartbeat (Raft paper, section
    /// 5.3).
    #[serde(rename = "Append")]
    AppendEntries(AppendEntries),
    /// Part of a snapshot (Raft paper, section 7), or of an entry that is too large for one
    /// message.
    #[serde(rename = "Piece")]
    Chunk(Chunk),
    /// The response to a [`MessageBody::Chunk`].
    #[serde(rename = "PieceReply")]
    ChunkResponse(ChunkResponse),
    /// The response to [`MessageBody::AppendEntries`] that matched, or to a complete transfer.
    #[serde(rename = "AppendReply")]
    AppendResponse(AppendResponse),
    /// The response to [`MessageBody::AppendEntries`] if the preceding entry is missing or has
    /// another term.
    #[serde(rename = "Conflict")]
    AppendConflict(AppendConflict),
    /// The leader transfers leadership to the receiver, which campaigns at once (Raft thesis,
    /// section 3.10).
    TimeoutNow,
    /// A follower requests a read index from the leader (Raft thesis, section 6.4).
    #[serde(rename = "Read")]
    ReadIndex(ReadIndex),
    /// The response to [`MessageBody::ReadIndex`].
    #[serde(rename = "ReadReply")]
    ReadIndexResponse(ReadIndexResponse),
    /// A follower asks when the leader last had contact with a majority.
    #[serde(rename = "Contact")]
    QuorumContact(QuorumContact),
    /// The response to [`MessageBody::QuorumContact`], sent only by a leader.
    #[serde(rename = "ContactReply")]
    QuorumContactResponse(QuorumContactResponse),
}

/// A candidate's request for a vote or a pre-vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestVote {
    /// Whether this is a pre-vote, which asks only if the vote would be granted. The receiver does
    /// not change its term (Raft thesis, section 9.6).
    #[serde(rename = "pre")]
    pub pre_vote: bool,
    /// Whether the leader has transferred leadership to the candidate. The vote is then granted
    /// even if the voter has heard from that leader within the election timeout (Raft thesis,
    /// section 3.10).
    #[serde(default)]
    pub transfer: bool,
    /// The index of the candidate's last entry.
    #[serde(rename = "last_index")]
    pub last_log_index: u64,
    /// The term of the candidate's last entry.
    #[serde(rename = "last_term")]
    pub last_log_term: u64,
}

/// The response to [`RequestVote`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteResponse {
    /// Whether this is the response to a pre-vote.
    #[serde(rename = "pre")]
    pub pre_vote: bool,
    /// Whether the vote is granted.
    pub granted: bool,
}

/// Entries from the leader and its commit index; a heartbeat if there are no entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendEntries {
    /// The index of the entry before `entries`.
    #[serde(rename = "prev_index")]
    pub prev_log_index: u64,
    /// The term of the entry before `entries`.
    #[serde(rename = "prev_term")]
    pub prev_log_term: u64,
    /// The entries, in order and without gaps.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    #[serde(rename = "commit")]
    pub leader_commit: u64,
    /// The number of the leader's latest broadcast, used to confirm reads and leadership (Raft
    /// thesis, section 6.4).
    #[serde(rename = "round")]
    pub sequence: u64,
}

impl AppendEntries {
    /// Returns the position of the entry before `entries`.
    pub(crate) fn prev(&self) -> LogPosition {
        LogPosition {
            index: self.prev_log_index,
            term: self.prev_log_term,
        }
    }
}

/// The response to [`AppendEntries`] that matched the receiver's log, or to a complete transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Whether the responder accepts the receiver as leader of the term; false if it knows of a
    /// newer term.
    #[serde(rename = "ok")]
    pub accepted: bool,
    /// If accepted, the last entry that is known to match the leader's log and is synced on the
    /// responder's disk.
    #[serde(rename = "index")]
    pub match_index: u64,
    /// The `sequence` of the request.
    #[serde(rename = "round")]
    pub sequence: u64,
}

/// The response to an [`AppendEntries`] request that does not follow the receiver's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendConflict {
    /// The `prev_log_index` of the request, at which the responder has no entry of that term.
    #[serde(rename = "rejected")]
    pub rejected_index: u64,
    /// The last entry of the responder at which the logs may still match.
    pub hint: LogPosition,
    /// The `sequence` of the request.
    #[serde(rename = "round")]
    pub sequence: u64,
}

/// Identifies a transfer of a snapshot or an entry in chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferId {
    /// The index of the entry, or of the last entry that the snapshot covers.
    pub index: u64,
    /// The term of the entry at `index`.
    pub term: u64,
    /// The total size of all chunks, in bytes.
    #[serde(rename = "total")]
    pub total_bytes: u64,
    /// The CRC-32 of all bytes. It is part of the id because two leaders may serialize the same
    /// state differently.
    pub checksum: u32,
}

impl TransferId {
    /// Returns the position up to which the receiver has the log once the transfer is complete.
    pub(crate) fn position(&self) -> LogPosition {
        LogPosition {
            index: self.index,
            term: self.term,
        }
    }
}

/// The kind of data in a transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransferContent {
    /// The data of a snapshot.
    Snapshot {
        /// The members as of the snapshot.
        members: Members,
    },
    /// The data of an entry.
    Entry {
        /// The term of the entry that precedes the transferred one.
        #[serde(rename = "prev_term")]
        prev_log_term: u64,
    },
}

/// A part of a snapshot or of a large entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The transfer that the chunk belongs to.
    pub transfer: TransferId,
    /// The offset of the chunk's first byte in the transfer.
    pub offset: u64,
    /// The bytes of the chunk.
    #[serde(with = "byte_string")]
    pub bytes: Vec<u8>,
    /// The kind of data in the transfer; set only in the last chunk.
    pub content: Option<TransferContent>,
    /// The leader's commit index.
    #[serde(rename = "commit")]
    pub leader_commit: u64,
    /// The number of the leader's latest broadcast, as in [`AppendEntries::sequence`].
    #[serde(rename = "round")]
    pub sequence: u64,
}

/// The response to a [`Chunk`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkResponse {
    /// The transfer that the chunk belongs to.
    pub transfer: TransferId,
    /// The number of bytes of the transfer that the responder has received without a gap.
    #[serde(rename = "received")]
    pub received_bytes: u64,
}

/// A follower's request for a read index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadIndex {
    /// An identifier chosen by the follower and returned in the response.
    pub token: u64,
}

/// The response to [`ReadIndex`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadIndexResponse {
    /// The token of the request.
    pub token: u64,
    /// The index that has to be applied before the read, or `None` if the responder does not lead.
    pub index: Option<u64>,
}

/// A follower's request for the time of the leader's last contact with a majority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuorumContact {
    /// An identifier chosen by the follower and returned in the response.
    pub token: u64,
}

/// The response to [`QuorumContact`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuorumContactResponse {
    /// The token of the request.
    pub token: u64,
    /// The time since the leader sent the last broadcast that a majority has answered, in
    /// milliseconds.
    #[serde(rename = "age")]
    pub age_ms: u64,
    /// An index that covers everything acknowledged before that broadcast.
    pub index: u64,
}
