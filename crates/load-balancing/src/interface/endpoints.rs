//! The list of upstreams, and the owners of key ranges.

use super::Time;

/// The host's handle for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// State of an upstream in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Accepts requests.
    Live,
    /// Completes the requests that it has, and gets no new ones.
    Draining,
    /// Removed from the list.
    Gone,
}

/// One entry of the list of upstreams.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The host's handle.
    pub id: ServerId,
    /// A hash of its name, the same at every balancer.
    pub identity: u64,
    /// Index of its zone.
    pub zone: u32,
    /// Index of its machine type.
    pub kind: u32,
    /// Index of its cell within the zone.
    pub cell: u32,
    /// Its state.
    pub status: Status,
    /// Relative capacity; 1 where unknown.
    pub weight: f64,
    /// Number of requests that it runs concurrently; 0 if unknown.
    pub slots: u32,
    /// When it last started, if that was recently.
    pub started: Option<Time>,
}

impl Endpoint {
    /// Returns a live upstream in zone and cell 0, of machine type 0 and weight 1, that started long ago.
    pub fn live(id: ServerId) -> Self {
        Self {
            id,
            identity: u64::from(id.0),
            zone: 0,
            kind: 0,
            cell: 0,
            status: Status::Live,
            weight: 1.0,
            slots: 0,
            started: None,
        }
    }
}

/// Kind of a membership event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipKind {
    /// The entries that changed.
    Update,
    /// The complete list.
    Complete,
    /// The complete list as it was last known; it may be out of date.
    Restored,
    /// A request for the list failed, or the subscription broke. Carries no entries.
    Unavailable,
}

/// A range of keys, both ends included, and its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnedKeyRange {
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
    /// The upstream that owns the range, if any.
    pub server: Option<ServerId>,
}
