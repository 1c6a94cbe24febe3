//! Entries of the replicated log, and the snapshot that stands for a prefix of it.
//!
//! These types are stored and sent: their written names and order are fixed by the golden files of
//! the control plane.

use serde::{Deserialize, Serialize};

use crate::{Members, byte_string};

/// What an entry takes in memory and in a message beside its payload, in bytes: an estimate.
pub(crate) const ENTRY_OVERHEAD_BYTES: usize = 32;
/// What a member takes in a membership entry, its id and its address, in bytes: an estimate.
const MEMBER_BYTES: usize = 40;

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No operation. The first entry of each leader, which lets it commit the entries of earlier
    /// terms (Raft paper, sections 5.4.2 and 8).
    Empty,
    /// A command of the host, which the log does not interpret.
    Data(#[serde(with = "byte_string")] Vec<u8>),
    /// The members from this entry on. It takes effect once it is in a log, committed or not (Raft
    /// thesis, section 4.1).
    Members(Members),
}

impl Payload {
    /// The size in bytes, estimated for [`Payload::Members`].
    fn size_bytes(&self) -> usize {
        match self {
            Payload::Empty => 0,
            Payload::Data(data) => data.len(),
            Payload::Members(members) => MEMBER_BYTES * members.all().count(),
        }
    }
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that created it.
    pub term: u64,
    /// Its position in the log. The first entry has index 1.
    pub index: u64,
    /// What it carries.
    pub payload: Payload,
}

impl Entry {
    /// The size in bytes with an allowance for term and index: an estimate, by which batches and
    /// memory are bounded.
    pub(crate) fn size_bytes(&self) -> usize {
        self.payload.size_bytes() + ENTRY_OVERHEAD_BYTES
    }

    /// Term and index.
    pub(crate) fn position(&self) -> LogPosition {
        LogPosition {
            index: self.index,
            term: self.term,
        }
    }

    /// Whether it changes the members.
    pub(crate) fn is_membership_change(&self) -> bool {
        matches!(self.payload, Payload::Members(_))
    }
}

/// A position in a log. Two logs that have an entry of the same term at an index have the same
/// entries up to it (Log Matching Property: Raft paper, section 5.3).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// The index of the entry.
    pub index: u64,
    /// The term of the entry.
    pub term: u64,
}

/// The host's state as of an entry, which replaces the log up to it (Raft paper, section 7).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry that it covers.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The members as of that entry.
    pub members: Members,
    /// The host's state, which the log does not interpret.
    #[serde(with = "byte_string")]
    pub data: Vec<u8>,
}

impl Snapshot {
    /// The snapshot before any entry, which holds only the initial members.
    pub fn initial(members: Members) -> Self {
        Self {
            index: 0,
            term: 0,
            members,
            data: Vec::new(),
        }
    }

    /// Term and index of the last entry that it covers.
    pub(crate) fn position(&self) -> LogPosition {
        LogPosition {
            index: self.index,
            term: self.term,
        }
    }
}
