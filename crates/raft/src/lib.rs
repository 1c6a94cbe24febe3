//! A replicated log in the manner of Raft: election with pre-vote and check-quorum, replication, membership
//! changed one member at a time with learners first, snapshots, and reads confirmed by a majority.
//!
//! No sockets, no clock, no files. The host hands in what happened ([`RaftNode::tick`], [`RaftNode::step`],
//! [`RaftNode::propose`], [`RaftNode::request_read`], [`RaftNode::on_persisted`]) and carries out the [`Ready`]: it writes every
//! [`PersistRequest`] to disk, in order, and says when it is synced. Whatever a message promises (a vote, an
//! acknowledged entry) leaves the core only after the save that backs it is synced; the leader's appends do
//! not wait for its own disk, and its own copy counts only once it is synced.
//!
//! Nothing large is sent whole: a snapshot, or an entry over 16 KiB, goes in pieces, and what is in flight to a
//! member is bounded, so that heartbeats never wait long behind it.
//!
//! **Promises.** One leader a term; an entry that is committed is on the synced disks of a majority of the
//! voters and is never lost while a majority keeps its disks; all apply the same entries in the same order.
//! **May lose.** What was proposed and not yet committed. **Neighbours down.** Without a majority nothing
//! commits, no read is confirmed, and a leader steps down after an election time-out.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod core;
mod members;
mod membership;

pub use crate::core::{MemberReport, MembershipReport, RaftNode, Role, Status};
pub use crate::members::Members;
pub use crate::membership::{MembershipPolicy, MembershipView, Observation};

use serde::{Deserialize, Serialize};

/// A member's identity: drawn once for each life of a disk, so that a wiped machine is a new member.
pub type NodeId = u64;

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: a new leader's first entry, which lets it commit what came before.
    Empty,
    /// The host's.
    Data(#[serde(with = "bytes")] Vec<u8>),
    /// The members from here on.
    Members(Members),
}

impl Payload {
    /// About how many bytes it takes.
    fn len(&self) -> usize {
        /// Of a member: its id and its address.
        const MEMBER: usize = 40;
        match self {
            Payload::Empty => 0,
            Payload::Data(data) => data.len(),
            Payload::Members(members) => MEMBER * members.all().count(),
        }
    }
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that wrote it.
    pub term: u64,
    /// Its place, from 1.
    pub index: u64,
    /// What it carries.
    pub payload: Payload,
}

/// The applied state up to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it covers.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The members as of that entry.
    pub members: Members,
    /// The host's state.
    #[serde(with = "bytes")]
    pub data: Vec<u8>,
}

impl Snapshot {
    /// Before any entry: nothing but the first members.
    pub fn initial(members: Members) -> Self {
        Self {
            index: 0,
            term: 0,
            members,
            data: Vec::new(),
        }
    }
}

/// What a member says to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who says it.
    pub from: NodeId,
    /// To whom.
    pub to: NodeId,
    /// The sender's term (the one it would campaign in, for a pre-vote).
    pub term: u64,
    /// What it says.
    pub body: MessageBody,
}

/// A place in a log; an entry there with this term is the same in all logs, and all before it too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// The entry's place.
    pub index: u64,
    /// Its term.
    pub term: u64,
}

/// What is being sent in pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferId {
    /// The entry, or the last one that the snapshot covers.
    pub index: u64,
    /// Its term.
    pub term: u64,
    /// All its bytes.
    #[serde(rename = "total")]
    pub total_bytes: u64,
    /// Their CRC-32: two leaders may write the same state differently.
    pub checksum: u32,
}

/// What the bytes of a transfer are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransferContent {
    /// The data of a snapshot.
    Snapshot {
        /// The members as of it.
        members: Members,
    },
    /// The data of an entry.
    Entry {
        /// The term of the entry before it.
        #[serde(rename = "prev_term")]
        prev_log_term: u64,
    },
}

/// A part of a snapshot, or of a large entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Of what.
    pub transfer: TransferId,
    /// Where it begins.
    pub offset: u64,
    /// The bytes.
    #[serde(with = "bytes")]
    pub bytes: Vec<u8>,
    /// With the last piece, what the bytes are.
    pub content: Option<TransferContent>,
    /// The leader's commit index.
    #[serde(rename = "commit")]
    pub leader_commit: u64,
    /// As in an append.
    #[serde(rename = "round")]
    pub sequence: u64,
}

/// The kinds of messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks for a vote, or (`pre`) whether one would be given.
    #[serde(rename = "Vote")]
    RequestVote {
        /// Only whether.
        #[serde(rename = "pre")]
        pre_vote: bool,
        /// The leader hands over: a vote is given although that leader was heard lately.
        #[serde(default)]
        transfer: bool,
        /// The candidate's last entry.
        #[serde(rename = "last_index")]
        last_log_index: u64,
        /// That entry's term.
        #[serde(rename = "last_term")]
        last_log_term: u64,
    },
    /// The answer to that.
    #[serde(rename = "VoteReply")]
    VoteResponse {
        /// To a pre-vote.
        #[serde(rename = "pre")]
        pre_vote: bool,
        /// The vote.
        granted: bool,
    },
    /// Entries that follow `prev`, and how far the log is committed; a heartbeat where there are none.
    #[serde(rename = "Append")]
    AppendEntries {
        /// The entry before them.
        #[serde(rename = "prev_index")]
        prev_log_index: u64,
        /// Its term.
        #[serde(rename = "prev_term")]
        prev_log_term: u64,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        #[serde(rename = "commit")]
        leader_commit: u64,
        /// Counts the leader's rounds, to confirm reads.
        #[serde(rename = "round")]
        sequence: u64,
    },
    /// A piece of a snapshot, or of an entry that is too large for an append.
    #[serde(rename = "Piece")]
    Chunk(Chunk),
    /// The answer to a piece: how many bytes of it the member has, from the first on.
    #[serde(rename = "PieceReply")]
    ChunkResponse {
        /// Of what.
        transfer: TransferId,
        /// So many.
        #[serde(rename = "received")]
        received_bytes: u64,
    },
    /// The answer to an append, or to a transfer that is whole.
    #[serde(rename = "AppendReply")]
    AppendResponse {
        /// Whether the sender takes the other for the leader; not so where it knows of a newer term.
        #[serde(rename = "ok")]
        accepted: bool,
        /// With `ok`, the last entry that is known to match and that its disk has synced.
        #[serde(rename = "index")]
        match_index: u64,
        /// The round it answers.
        #[serde(rename = "round")]
        sequence: u64,
    },
    /// The answer to an append whose entries don't follow what the member has.
    #[serde(rename = "Conflict")]
    AppendConflict {
        /// The entry before them, which the member does not have.
        #[serde(rename = "rejected")]
        rejected_index: u64,
        /// The last entry of the member at which the logs may still be the same.
        hint: LogPosition,
        /// The round it answers.
        #[serde(rename = "round")]
        sequence: u64,
    },
    /// The leader hands over to this member, which has all entries: it campaigns at once.
    TimeoutNow,
    /// A member asks the leader for a confirmed commit index.
    #[serde(rename = "Read")]
    ReadIndex {
        /// The member's own mark.
        token: u64,
    },
    /// The answer: the index, or nothing where the asked one does not lead.
    #[serde(rename = "ReadReply")]
    ReadIndexResponse {
        /// The mark.
        token: u64,
        /// What must be applied before the read.
        index: Option<u64>,
    },
    /// A member asks the leader how fresh what it knows is.
    #[serde(rename = "Contact")]
    QuorumContact {
        /// The member's own mark.
        token: u64,
    },
    /// The answer; none comes from who does not lead.
    #[serde(rename = "ContactReply")]
    QuorumContactResponse {
        /// The mark.
        token: u64,
        /// Milliseconds since the start of the last round that a majority has answered.
        #[serde(rename = "age")]
        age_ms: u64,
        /// What covers all that was acknowledged before that round.
        index: u64,
    },
}

/// Something to be written and synced, in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PersistRequest {
    /// To be handed back to [`RaftNode::on_persisted`].
    pub sequence: u64,
    /// The term and the vote in it.
    pub term: u64,
    /// The vote.
    pub voted_for: Option<NodeId>,
    /// Entries that replace whatever the log had from the first of them on.
    pub entries: Vec<Entry>,
    /// A snapshot that replaces the whole log (it was received, not made here).
    pub snapshot: Option<Snapshot>,
}

/// What a disk holds, as read at a start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// The term.
    pub term: u64,
    /// The vote in it.
    pub voted_for: Option<NodeId>,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after it, in order.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// What a disk holds once a save is on it.
    pub fn apply(&mut self, save: PersistRequest) {
        (self.term, self.voted_for) = (save.term, save.voted_for);
        if let Some(snapshot) = save.snapshot {
            self.entries.clear();
            self.snapshot = Some(snapshot);
        }
        if let Some(first) = save.entries.first().map(|entry| entry.index) {
            self.entries.retain(|entry| entry.index < first);
            self.entries.extend(save.entries);
        }
    }

    /// What it holds once a snapshot made here stands for the entries that it covers.
    pub fn compact(&mut self, snapshot: Snapshot) {
        self.entries.retain(|entry| entry.index > snapshot.index);
        self.snapshot = Some(snapshot);
    }
}

/// What the host is to do.
#[derive(Debug, Default)]
pub struct Ready {
    /// To write, in order.
    pub persist_requests: Vec<PersistRequest>,
    /// To send; may be lost.
    pub messages: Vec<Message>,
    /// A snapshot that replaces the host's state; comes before `committed`.
    pub restored_snapshot: Option<Snapshot>,
    /// Entries to apply, in order.
    pub committed_entries: Vec<Entry>,
    /// Reads that ended: the token, and the index to be applied first (`None`: ask again).
    pub read_states: Vec<(u64, Option<u64>)>,
}

/// How the core keeps time, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// A leader says something to each member this often.
    pub heartbeat_interval_ms: u64,
    /// Without a word from a leader for this long, up to twice as long, a member campaigns.
    pub election_timeout_ms: u64,
}

mod bytes {
    //! Bytes as one string of bytes instead of a list of numbers.
    use serde::de::{Error, Visitor};
    use serde::{Deserializer, Serializer};

    pub fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(bytes)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        struct Bytes;
        impl Visitor<'_> for Bytes {
            type Value = Vec<u8>;
            fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str("bytes")
            }
            fn visit_bytes<E: Error>(self, v: &[u8]) -> Result<Vec<u8>, E> {
                Ok(v.to_vec())
            }
            fn visit_byte_buf<E: Error>(self, v: Vec<u8>) -> Result<Vec<u8>, E> {
                Ok(v)
            }
        }
        from.deserialize_byte_buf(Bytes)
    }
}
