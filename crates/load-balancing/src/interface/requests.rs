//! Requests, as the host passes them to the balancer.

use std::sync::Arc;

use super::{RequestClass, Span, Time};

/// The host's handle for a request; not reused while the request or one of its attempts is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A request that has arrived.
#[derive(Clone, Debug)]
pub struct Request {
    /// The host's handle.
    pub id: RequestId,
    /// Index of its class in [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Its class as it was when the host accepted the request; `None` for the class that has the index now. Whether,
    /// where, how often and until when the request may be sent depends on this class until the request ends, whatever
    /// the settings become. The index may have been given to another class since.
    pub accepted_class: Option<Arc<RequestClass>>,
    /// Index of its tenant in [`Settings::tenants`](super::Settings::tenants).
    pub tenant: usize,
    /// Hash of its routing key, if it has one.
    pub key: Option<u64>,
    /// When the client stops waiting.
    pub deadline: Time,
    /// Estimated CPU time on a reference core, if known.
    pub estimated_work: Option<Span>,
    /// Whether it is a client's retry, as marked by the client or recognized by the host.
    pub is_client_retry: bool,
    /// Whether it changes state at the upstream.
    pub is_write: bool,
    /// Its shard key, if the service is sharded: only the owner of that key may run the request.
    pub shard: Option<u16>,
}

impl Request {
    /// Returns a request of this class without tenant, key or hints.
    pub fn new(id: RequestId, class: usize, deadline: Time) -> Self {
        Self {
            id,
            class,
            accepted_class: None,
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
