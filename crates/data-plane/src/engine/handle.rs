//! The events that the engine handles, and the handle by which other tasks send them and submit requests.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use hyper::Response;
use load_balancing::interface::{MembershipKind, RequestId, Settings, Span, Status};
use protocol::key_ranges::KeyRangeRow;
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::abandoned::AbandonedAttempts;
use crate::upstream_pool::{AttemptResult, ForwardedRequest};

/// An upstream as whoever lists it knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedUpstream {
    /// Names it for as long as it lives; one that starts anew has another id.
    pub id: String,
    /// Where it is; without a valid address the last one stays.
    pub address: Option<SocketAddr>,
    /// Number of its zone.
    pub zone: u32,
    /// Number of its kind of machine.
    pub kind: u32,
    /// Number of its cell, within which repeats of a request are recognized.
    pub cell: u32,
    /// Whether it takes requests.
    pub status: Status,
    /// Relative size; 1 where unknown.
    pub weight: f64,
    /// Requests that it runs side by side; 0 where unknown.
    pub slots: u32,
    /// When it last started, if not long ago.
    pub started: Option<SystemTime>,
}

/// What the engine handles. A service is named by its number, from 0.
pub enum EngineEvent {
    /// A client's request was read to its end.
    RequestArrived {
        /// Never used before.
        id: RequestId,
        /// The service that it is for.
        service: usize,
        /// What the load balancing needs to know of it.
        request: IncomingRequest,
        /// What goes to an upstream.
        forwarded: ForwardedRequest,
        /// Where its one final reply goes.
        reply: oneshot::Sender<EngineReply>,
    },
    /// The client of a request disconnected before its reply.
    ClientDisconnected(RequestId),
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Which of its attempts, from 0.
        attempt: usize,
        /// How it ended.
        result: AttemptResult,
    },
    /// A service has these settings from now on; the number after the last service's adds one.
    SettingsChanged {
        /// The service.
        service: usize,
        /// All of its settings.
        settings: Box<Settings>,
    },
    /// The list of a service's upstreams, or a change to it.
    MembershipChanged {
        /// The service.
        service: usize,
        /// Whether the list is complete.
        kind: MembershipKind,
        /// Its entries.
        upstreams: Vec<ListedUpstream>,
    },
    /// Which upstreams own which keys of a service, by their ids, all of them.
    KeyOwnersChanged {
        /// The service.
        service: usize,
        /// The ranges of keys and their owners.
        key_ranges: Vec<KeyRangeRow>,
    },
    /// The process is about to end: requests that wait to be sent are rejected now.
    ShutdownStarted,
}

/// A request as the load balancing needs to know it.
pub struct IncomingRequest {
    /// Number of its class in the service's settings.
    pub class: usize,
    /// Number of its tenant in the service's settings.
    pub tenant: usize,
    /// Hash of its routing key, if it has one.
    pub key: Option<u64>,
    /// Its key, where upstreams divide the keys of the service.
    pub shard: Option<u16>,
    /// When the client gives up.
    pub deadline: Instant,
    /// How long it keeps an upstream busy, if anyone guessed.
    pub estimated_work: Option<Span>,
    /// Whether the client has sent it before.
    pub is_client_retry: bool,
}

/// The one final reply to a request.
pub enum EngineReply {
    /// An upstream's response: a success, or its own error where there is nothing better.
    Served(Response<Bytes>),
    /// It has not run and never will.
    Rejected {
        /// When the client may send it again; 0 for no advice.
        retry_after: Span,
    },
    /// There is no response; it may have run.
    Failed {
        /// Whether that is because time ran out.
        timed_out: bool,
    },
}

/// A run of keys of a service, for which load is counted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyBucket {
    /// The service.
    pub service: usize,
    /// Number of the run: the keys divided by [`protocol::key_load::KEYS_PER_BUCKET`].
    pub bucket: u16,
}

/// How long upstreams were busy with requests for keys that they divide.
pub type KeyLoad = FxHashMap<KeyBucket, Duration>;

/// The engine as clients' connections and whoever brings lists see it.
pub struct EngineHandle {
    pub(super) events: mpsc::UnboundedSender<EngineEvent>,
    pub(super) next_request_id: Cell<u64>,
    pub(super) has_open_upstreams: Rc<Cell<bool>>,
    pub(super) key_load: Rc<RefCell<KeyLoad>>,
    pub(super) abandoned: AbandonedAttempts,
}

impl EngineHandle {
    /// The load of keys since the last call.
    pub fn take_key_load(&self) -> KeyLoad {
        std::mem::take(&mut *self.key_load.borrow_mut())
    }

    /// What is measured of attempts whose client has disconnected.
    pub fn abandoned_attempts(&self) -> &AbandonedAttempts {
        &self.abandoned
    }

    /// Whether any upstream takes requests.
    pub fn is_ready(&self) -> bool {
        self.has_open_upstreams.get()
    }

    /// Sends the engine an event. Nothing happens once the engine has ended.
    pub fn send_event(&self, event: EngineEvent) {
        let _ = self.events.send(event);
    }

    /// Sends the engine events, for tasks that outlive the borrow of this handle.
    pub fn event_sender(&self) -> impl Fn(EngineEvent) + use<> {
        let events = self.events.clone();
        move |event| drop(events.send(event))
    }

    /// Submits a request and waits for its final reply. If the future is dropped before that, the engine is told
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
        // The engine has ended without a reply.
        reply.unwrap_or(EngineReply::Failed { timed_out: false })
    }
}

/// Tells the engine, when dropped before the reply, that the client of a request has disconnected.
struct DisconnectGuard<'a> {
    id: RequestId,
    /// `None` once the reply is here.
    events: Option<&'a mpsc::UnboundedSender<EngineEvent>>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(events) = self.events {
            // Without a receiver the engine has ended, and so has the request.
            let _ = events.send(EngineEvent::ClientDisconnected(self.id));
        }
    }
}
