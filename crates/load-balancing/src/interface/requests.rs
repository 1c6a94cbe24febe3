//! Requests as the host hands them over.

use super::{Span, Time};

/// The host's handle for a request; never reused while the request or one of its attempts lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A request that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The host's handle.
    pub id: RequestId,
    /// Index of its class in [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Index of its tenant in [`Settings::tenants`](super::Settings::tenants).
    pub tenant: usize,
    /// Hash of its routing key, if it has one.
    pub key: Option<u64>,
    /// When the client gives up.
    pub deadline: Time,
    /// Expected work on a reference core, if anyone has estimated it.
    pub estimated_work: Option<Span>,
    /// It is a client's retry, as marked by the client or as recognized by the host.
    pub is_client_retry: bool,
    /// It changes state at the upstream.
    pub is_write: bool,
    /// Its key, where upstreams divide the keys among them: only the owner may run it.
    pub shard: Option<u16>,
}

impl Request {
    /// A request of this class without tenant, key or hint.
    pub fn new(id: RequestId, class: usize, deadline: Time) -> Self {
        Self {
            id,
            class,
            tenant: 0,
            key: None,
            deadline,
            estimated_work: None,
            is_client_retry: false,
            is_write: false,
            shard: None,
        }
    }
}
