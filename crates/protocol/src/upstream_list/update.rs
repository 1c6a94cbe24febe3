//! Upstreams and their lists as they go on the wire.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::array_struct::array_struct;
use serde::{Deserialize, Serialize};

array_struct! {
    /// An upstream, as the control process that polls its zone knows it. An array of six on the wire.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub struct Upstream {
        /// Its id in the platform's list. An id has one life: it is never ready again once it drained.
        pub id: String,
        /// The service that it belongs to.
        pub service: String,
        /// Address at which it takes requests.
        pub addr: SocketAddr,
        /// Requests that it runs at a time.
        pub slots: u32,
        /// It takes no new requests and ends those that it has.
        pub draining: bool,
        /// Milliseconds for which it is still in slow start, as of the moment at which it is sent.
        pub warmup_remaining_ms: u64,
    }
}

/// A zone's upstreams, from one process to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamUpdate {
    /// All of them.
    #[serde(rename = "w")]
    Snapshot(UpstreamSnapshot),
    /// What differs from an earlier version, which the receiver has.
    #[serde(rename = "c")]
    Delta(UpstreamDelta),
}

array_struct! {
    /// A complete list. An array of two on the wire.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub struct UpstreamSnapshot {
        /// Version of the list.
        pub version: u64,
        /// All upstreams in it.
        pub upstreams: Vec<Upstream>,
    }
}

/// The difference between two versions of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamDelta {
    /// Version that it leads to.
    #[serde(rename = "v")]
    pub version: u64,
    /// Checksum (CRC-32) of the complete list at that version: a receiver that comes to another one lacked the base.
    #[serde(rename = "d")]
    pub digest: u32,
    /// Upstreams that are new or changed, as they are now.
    #[serde(rename = "n")]
    pub changed: Vec<Upstream>,
    /// Ids of upstreams that are no longer in the list.
    #[serde(rename = "g")]
    pub removed: Vec<String>,
}

impl UpstreamUpdate {
    /// Version of the list that it leads to.
    pub(super) fn version(&self) -> u64 {
        match self {
            Self::Snapshot(snapshot) => snapshot.version,
            Self::Delta(delta) => delta.version,
        }
    }

    /// The upstreams that it carries.
    pub(super) fn upstreams(&self) -> &[Upstream] {
        match self {
            Self::Snapshot(snapshot) => &snapshot.upstreams,
            Self::Delta(delta) => &delta.changed,
        }
    }
}

/// What became of an [`UpstreamUpdate`] at its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// It is not newer than the list and was not taken in. These ids are newly known to drain all the same.
    Stale(BTreeSet<String>),
    /// It was taken in. These ids are new, changed, removed, or newly known to drain.
    Applied(BTreeSet<String>),
    /// It is a difference to a version that is not here: a complete list is wanted.
    MissingBase,
}
