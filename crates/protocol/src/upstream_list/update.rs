//! Wire format of upstreams and of updates to upstream lists.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::array_struct::array_struct;
use serde::{Deserialize, Serialize};

array_struct! {
    /// An upstream, as known to the control process that polls its zone. Encoded as an array of six elements.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub struct Upstream {
        /// Id in the platform's list. Ids are never reused: an id that has drained never becomes ready again.
        pub id: String,
        /// Name of its service.
        pub service: String,
        /// Address on which it accepts requests.
        pub addr: SocketAddr,
        /// Number of requests that it executes concurrently.
        pub slots: u32,
        /// Whether it is draining: it accepts no new requests and completes those in progress.
        pub draining: bool,
        /// Remaining slow start in milliseconds at the time of sending.
        pub warmup_remaining_ms: u64,
    }
}

/// An update of a zone's upstream list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamUpdate {
    /// The complete list.
    #[serde(rename = "w")]
    Snapshot(UpstreamSnapshot),
    /// The difference from an earlier version that the receiver has.
    #[serde(rename = "c")]
    Delta(UpstreamDelta),
}

array_struct! {
    /// A complete list. Encoded as an array of two elements.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub struct UpstreamSnapshot {
        /// Version of the list.
        pub version: u64,
        /// All upstreams in the list.
        pub upstreams: Vec<Upstream>,
    }
}

/// The difference between two versions of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamDelta {
    /// Version of the list after the delta is applied.
    #[serde(rename = "v")]
    pub version: u64,
    /// CRC-32 checksum of the complete list at that version. A receiver that computes a different checksum does not
    /// have the base version.
    #[serde(rename = "d")]
    pub digest: u32,
    /// New and changed upstreams, in their current state.
    #[serde(rename = "n")]
    pub changed: Vec<Upstream>,
    /// Ids of removed upstreams.
    #[serde(rename = "g")]
    pub removed: Vec<String>,
}

impl UpstreamUpdate {
    /// Returns the version of the list after the update is applied.
    pub(super) fn version(&self) -> u64 {
        match self {
            Self::Snapshot(snapshot) => snapshot.version,
            Self::Delta(delta) => delta.version,
        }
    }

    /// Returns the upstreams in the update.
    pub(super) fn upstreams(&self) -> &[Upstream] {
        match self {
            Self::Snapshot(snapshot) => &snapshot.upstreams,
            Self::Delta(delta) => &delta.changed,
        }
    }
}

/// Result of applying an [`UpstreamUpdate`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The update is not newer than the list and was not applied, except for drains: it marked these ids as draining.
    Stale(BTreeSet<String>),
    /// The update was applied. These ids were added, changed, removed, or marked as draining.
    Applied(BTreeSet<String>),
    /// The update is a delta from a version that the receiver does not have. A snapshot is required.
    MissingBase,
}
