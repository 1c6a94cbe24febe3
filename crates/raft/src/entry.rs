//! Entries of the replicated log, and the snapshot that replaces a prefix of it.
//!
//! These types are stored and sent. The control plane's golden-file tests fail if their serialized
//! names or field order change.

use serde::{Deserialize, Serialize};

use crate::{Members, byte_string};

/// The estimated size of an entry without its payload, in memory and in a message, in bytes.
pub(crate) const ENTRY_OVERHEAD_BYTES: usize = 32;
/// The estimated size of a member in a membership entry, its id and address, in bytes.
const MEMBER_BYTES: usize = 40;

/// The payload of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No operation: the first entry of each leader, which allows it to commit the entries of
    /// earlier terms (Raft paper, sections 5.4.2 and 8).
    Empty,
    /// A command of the host, which is opaque to the log.
    Data(#[serde(with = "byte_string")] Vec<u8>),
    /// The membership from this entry on. It takes effect as soon as the entry is in a member's
    /// log, committed or not (Raft thesis, section 4.1).
    Members(Members),
}

impl Payload {
    /// Returns the size in bytes, which is an estimate for [`Payload::Members`].
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
    /// The index in the log. The first entry has index 1.
    pub index: u64,
    /// The payload.
    pub payload: Payload,
}

impl Entry {
    /// Returns the estimated size in bytes, including term and index. It is used to limit batches
    /// and memory.
    pub(crate) fn size_bytes(&self) -> usize {
        self.payload.size_bytes() + ENTRY_OVERHEAD_BYTES
    }

    /// Returns the term and index of the entry.
    pub(crate) fn position(&self) -> LogPosition {
        LogPosition {
            index: self.index,
            term: self.term,
        }
    }

    /// Returns whether the entry changes the membership.
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

/// A snapshot of the host's state as of an entry, which replaces the log up to that entry (Raft
/// paper, section 7).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry that it covers.
    pub index: u64,
    /// The term of the last entry that it covers.
    pub term: u64,
    /// The membership as of the last entry that it covers.
    pub members: Members,
    /// The host's state, which is opaque to the log.
    #[serde(with = "byte_string")]
    pub data: Vec<u8>,
}

impl Snapshot {
    /// Returns the snapshot before the first entry, which holds only the initial members.
    pub fn initial(members: Members) -> Self {
        Self {
            index: 0,
            term: 0,
            members,
            data: Vec::new(),
        }
    }

    /// Returns the term and index of the last entry that the snapshot covers.
    pub(crate) fn position(&self) -> LogPosition {
        LogPosition {
            index: self.index,
            term: self.term,
        }
    }
}
