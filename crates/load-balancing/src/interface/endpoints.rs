//! The list of upstreams, and which of them owns which keys.

use super::Time;

/// The host's handle for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// State of an upstream in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Takes requests.
    Live,
    /// Completes what it has; gets nothing new.
    Draining,
    /// Withdrawn from the list.
    Gone,
}

/// One entry of the list of upstreams.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The host's handle.
    pub id: ServerId,
    /// A hash of its name that is the same at every balancer.
    pub identity: u64,
    /// Index of its zone.
    pub zone: u32,
    /// Index of its machine kind.
    pub kind: u32,
    /// Its cell within the zone.
    pub cell: u32,
    /// Its state.
    pub status: Status,
    /// Relative capacity; 1 where unknown.
    pub weight: f64,
    /// Requests that it runs concurrently; 0 where nobody tells.
    pub slots: u32,
    /// When it last started, if not long ago.
    pub started: Option<Time>,
}

impl Endpoint {
    /// A live upstream of zone, kind and cell 0 and of weight 1, started long ago.
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

/// What kind of membership event came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipKind {
    /// Changed entries only.
    Update,
    /// The complete list.
    Complete,
    /// The complete list as last held, perhaps out of date.
    Restored,
    /// A call for the list failed, or the subscription broke. Carries no entries.
    Unavailable,
}

/// A range of keys, both ends included, and the upstream that owns them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnedKeyRange {
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
    /// The owner; `None` while there is none.
    pub server: Option<ServerId>,
}
