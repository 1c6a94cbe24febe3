//! The events that the engine handles, and the handle through which other tasks send events and submit requests.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use hyper::Response;
use load_balancing::interface::{MembershipKind, RequestClass, RequestId, Settings, Span, Status};
use protocol::key_ranges::KeyRangeRow;
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::abandoned::AbandonedAttempts;
use crate::upstream_pool::{AttemptResult, ForwardedRequest};

/// An entry in a list of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedUpstream {
    /// Identifies one run of the upstream; after a restart it has another id.
    pub id: String,
    /// The address; `None` if the listed one is invalid, in which case the last known one stays in use.
    pub address: Option<SocketAddr>,
    /// Number of the zone.
    pub zone: u32,
    /// Number of the machine type.
    pub kind: u32,
    /// Number of the cell. Upstreams of the same cell recognize a repeated request.
    pub cell: u32,
    /// Whether the upstream accepts requests.
    pub status: Status,
    /// Relative capacity; 1 if unknown.
    pub weight: f64,
    /// Number of requests that the upstream runs concurrently; 0 if unknown.
    pub slots: u32,
    /// When the upstream last started, if recently.
    pub started: Option<SystemTime>,
}

/// An event for the engine. Services are identified by their number, from 0.
pub enum EngineEvent {
    /// A client's request was read completely.
    RequestArrived {
        /// The id of the request, which was never used before.
        id: RequestId,
        /// The service that the request is for.
        service: usize,
        /// The properties of the request that the balancer uses.
        request: IncomingRequest,
        /// The request as it is sent to an upstream.
        forwarded: ForwardedRequest,
        /// Receives the one final reply.
        reply: oneshot::Sender<EngineReply>,
    },
    /// The client of a request disconnected before the reply.
    ClientDisconnected(RequestId),
    /// An attempt has ended.
    AttemptEnded {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// Index of the attempt within the request, from 0.
        attempt: usize,
        /// How the attempt ended.
        result: AttemptResult,
    },
    /// The upstream has responded to an attempt, but the response has to wait for memory of this process.
    ResponseDelayed {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// Index of the attempt within the request, from 0.
        attempt: usize,
    },
    /// The settings of a service changed. Adds a service if `service` is the number after the last one.
    SettingsChanged {
        /// The service.
        service: usize,
        /// The complete settings of the service.
        settings: Box<Settings>,
    },
    /// A list of a service's upstreams, or a change to it, was received.
    MembershipChanged {
        /// The service.
        service: usize,
        /// Whether the list is complete.
        kind: MembershipKind,
        /// The entries of the list.
        upstreams: Vec<ListedUpstream>,
    },
    /// The complete assignment of a service's keys to upstreams was received.
    KeyOwnersChanged {
        /// The service.
        service: usize,
        /// The key ranges and the ids of their owners.
        key_ranges: Vec<KeyRangeRow>,
    },
    /// The process is shutting down: queued requests are rejected now.
    ShutdownStarted,
}

/// The properties of a request that the balancer uses.
pub struct IncomingRequest {
    /// Index of the request class in the service's settings.
    pub class: usize,
    /// The request class as of when the request was accepted, which the settings may no longer contain; `None` for the
    /// class that has the index when the engine receives the request.
    pub accepted_class: Option<Arc<RequestClass>>,
    /// Index of the tenant in the service's settings.
    pub tenant: usize,
    /// Hash of the routing key, if the request has one.
    pub key: Option<u64>,
    /// The shard key, if the service is sharded: each of its keys is owned by certain upstreams.
    pub shard: Option<u16>,
    /// When the client gives up.
    pub deadline: Instant,
    /// Estimate of how long the request keeps an upstream busy, if there is one.
    pub estimated_work: Option<Span>,
    /// Whether the client has sent the request before.
    pub is_client_retry: bool,
}

/// The one final reply to a request.
pub enum EngineReply {
    /// An upstream's response: a success, or the upstream's own error if no attempt succeeded.
    Served(Response<Bytes>),
    /// The request has not run and never will.
    Rejected {
        /// After which time the client may send it again; 0 for no advice.
        retry_after: Span,
    },
    /// There is no response; the request may have run.
    Failed {
        /// Whether the reason is a timeout.
        timed_out: bool,
    },
}

/// A bucket of consecutive keys of a service, whose load is counted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyBucket {
    /// The service.
    pub service: usize,
    /// Number of the bucket: a key divided by [`protocol::key_load::KEYS_PER_BUCKET`].
    pub bucket: u16,
}

/// How long upstreams were busy with requests for the keys of sharded services.
pub type KeyLoad = FxHashMap<KeyBucket, Duration>;

/// Handle through which client connections and the sources of lists and settings communicate with the engine.
pub struct EngineHandle {
    pub(super) events: mpsc::UnboundedSender<EngineEvent>,
    pub(super) next_request_id: Cell<u64>,
    pub(super) has_open_upstreams: Rc<Cell<bool>>,
    pub(super) key_load: Rc<RefCell<KeyLoad>>,
    pub(super) abandoned: AbandonedAttempts,
}

impl EngineHandle {
    /// Returns the load on the keys of sharded services since the last call, and resets it.
    pub fn take_key_load(&self) -> KeyLoad {
        std::mem::take(&mut *self.key_load.borrow_mut())
    }

    /// Returns the statistics of attempts whose client has disconnected.
    pub fn abandoned_attempts(&self) -> &AbandonedAttempts {
        &self.abandoned
    }

    /// Returns whether any upstream accepts requests.
    pub fn is_ready(&self) -> bool {
        self.has_open_upstreams.get()
    }

    /// Sends an event to the engine. Has no effect once the engine has ended.
    pub fn send_event(&self, event: EngineEvent) {
        let _ = self.events.send(event);
    }

    /// Returns a function that sends events to the engine, for tasks that outlive the borrow of this handle.
    pub fn event_sender(&self) -> impl Fn(EngineEvent) + use<> {
        let events = self.events.clone();
        move |event| drop(events.send(event))
    }

    /// Submits a request and waits for its final reply. If the future is dropped before that, the engine is notified
    /// that the client has disconnected.
    pub async fn submit(
        &self,
        service: usize,
        request: IncomingRequest,
        forwarded: ForwardedRequest,
    ) -> EngineReply {
        let id = RequestId(self.next_request_id.replace(self.next_request_id.get() + 1));
        let (reply, received) = oneshot::channel();
        self.send_event(EngineEvent::RequestArrived {
            id,
            service,
            request,
            forwarded,
            reply,
        });
        let mut guard = DisconnectGuard {
            id,
            events: Some(&self.events),
        };
        let reply = received.await;
        guard.events = None;
        // Receiving fails if the engine has ended without a reply.
        reply.unwrap_or(EngineReply::Failed { timed_out: false })
    }
}

/// Notifies the engine, if dropped before the reply, that the client of a request has disconnected.
struct DisconnectGuard<'a> {
    id: RequestId,
    /// `None` once the reply was received.
    events: Option<&'a mpsc::UnboundedSender<EngineEvent>>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(events) = self.events {
            // Fails only if the engine, and with it the request, has ended.
            let _ = events.send(EngineEvent::ClientDisconnected(self.id));
        }
    }
}
