//! What the engine is told, and the handle by which it is told and asked.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use hyper::Response;
use load_balancing::interface as d;
use load_balancing::interface::{MembershipKind, RequestId, Span};
use protocol::key_ranges::KeyRangeRow;
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::abandoned::Abandoned;
use crate::upstream_pool::{AttemptResult, ForwardedRequest};

/// An upstream as whoever lists it knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedUpstream {
    /// Who it is, in this life.
    pub id: String,
    /// Where it is; without a valid address the last one stands.
    pub address: Option<SocketAddr>,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub status: d::Status,
    /// Relative size.
    pub weight: f64,
    /// Requests it runs side by side; 0 where nobody tells.
    pub slots: u32,
    /// When it last started, if not long ago.
    pub started: Option<SystemTime>,
}

/// What the engine is told.
pub enum EngineEvent {
    Arrived {
        id: RequestId,
        service: usize,
        arrival: IncomingRequest,
        forward: ForwardedRequest,
        reply: oneshot::Sender<EngineReply>,
    },
    Left(RequestId),
    Ended {
        id: RequestId,
        attempt: usize,
        ended: AttemptResult,
    },
    /// A service has these settings from now on; the next one after the last is new.
    Settings {
        service: usize,
        settings: Box<d::Settings>,
    },
    /// The list of a service's upstreams, or a change to it.
    Members {
        service: usize,
        kind: MembershipKind,
        list: Vec<ListedUpstream>,
    },
    /// Who holds which keys of a service, by id, all of them.
    Holders {
        service: usize,
        rows: Vec<KeyRangeRow>,
    },
    /// The process is about to end: what waits to be sent is answered now.
    Ending,
}

/// A request as the module needs to know it.
pub struct IncomingRequest {
    pub class: usize,
    pub tenant: usize,
    pub key: Option<u64>,
    /// Its key, where upstreams divide the keys of the service.
    pub shard: Option<u16>,
    /// When the client gives up.
    pub until: Instant,
    pub cost_guess: Option<Span>,
    pub resent: bool,
}

/// The one final answer.
pub enum EngineReply {
    Served(Response<Bytes>),
    Refused { retry_after: Span },
    Failed { late: bool },
}

/// The engine as clients' connections see it.
pub struct EngineHandle {
    pub(super) notes: mpsc::UnboundedSender<EngineEvent>,
    pub(super) next: Cell<u64>,
    pub(super) ready: Rc<Cell<bool>>,
    pub(super) work: Rc<RefCell<Work>>,
    pub(super) abandoned: Abandoned,
}

/// How long upstreams were at requests for keys that they divide, by service and run of keys.
pub(super) type Work = FxHashMap<(usize, u16), Duration>;

impl EngineHandle {
    /// The work since this was asked last.
    pub fn work(&self) -> Work {
        std::mem::take(&mut *self.work.borrow_mut())
    }

    /// What is measured of requests whose client has left.
    pub fn abandoned(&self) -> &Abandoned {
        &self.abandoned
    }

    /// Whether there is anywhere to send to.
    pub fn ready(&self) -> bool {
        self.ready.get()
    }

    /// Tells the engine something.
    pub fn tell(&self, note: EngineEvent) {
        let _ = self.notes.send(note);
    }

    /// Another handle, for whoever brings the lists.
    pub fn teller(&self) -> impl Fn(EngineEvent) + use<> {
        let notes = self.notes.clone();
        move |note| drop(notes.send(note))
    }

    /// Hands in a request and waits for its answer. Dropped before that, it tells that the client left.
    pub async fn ask(
        &self,
        service: usize,
        arrival: IncomingRequest,
        forward: ForwardedRequest,
    ) -> EngineReply {
        let id = RequestId(self.next.replace(self.next.get() + 1));
        let (reply, answer) = oneshot::channel();
        let _ = self.notes.send(EngineEvent::Arrived {
            id,
            service,
            arrival,
            forward,
            reply,
        });
        let mut leaving = Leaving {
            id,
            notes: Some(&self.notes),
        };
        let answer = answer.await;
        leaving.notes = None;
        answer.unwrap_or(EngineReply::Failed { late: false })
    }
}

/// Tells of a client that went away before its answer.
struct Leaving<'a> {
    id: RequestId,
    notes: Option<&'a mpsc::UnboundedSender<EngineEvent>>,
}

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        if let Some(notes) = self.notes {
            let _ = notes.send(EngineEvent::Left(self.id));
        }
    }
}
