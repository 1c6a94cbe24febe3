//! The watch on discovery, which tells the engine of each change of the list.
//!
//! State: the revision that was reached, and one connection at a time. A connection that ends, or says nothing for
//! [`IDLE_TIMEOUT`], is replaced; until then the engine keeps the last list. When discovery moves to another address,
//! its list is asked for from the beginning.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use data_plane::abort_on_drop::AbortOnDrop;
use data_plane::engine::EngineEvent;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use load_balancing::interface::MembershipKind;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::list::{Names, UpstreamList};
use crate::SERVICE;

/// A watch says something every 2 s; without a message for this long it is dead, though nothing told so (a machine
/// that is cut off sends no reset). A change counts as told after 6 s, heard or not: the next call must fit in before
/// that.
const IDLE_TIMEOUT: Duration = Duration::from_millis(3500);
/// A call that waits for its answer longer than this has failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Wait before a list that comes unrequested is watched again; the agent is on this machine and answers at no cost.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(500);
/// No line of a list is longer than this; more is not discovery.
const MAX_LINE_BYTES: usize = 4 << 20;

/// Why a watch is over.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("connect: {0}")]
    Connect(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("answered {0}")]
    Status(hyper::StatusCode),
    #[error("silent for too long")]
    Idle(#[from] tokio::time::error::Elapsed),
    #[error("a line that is no list: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("a line without end")]
    Endless,
    #[error("ended")]
    Ended,
    #[error("request: {0}")]
    Request(#[from] hyper::http::Error),
}

/// What a connection tells. The number tells it from those before it.
enum WatchMessage {
    Updated { connection: u64, list: UpstreamList },
    Ended { connection: u64 },
}

/// What one connection needs to know.
#[derive(Clone, Copy)]
struct WatchCall {
    connection: u64,
    address: SocketAddr,
    revision: u64,
    /// Whether silence means that the connection is dead.
    has_heartbeats: bool,
}

/// Watches discovery and tells the engine. Where lists come only on request, the balancer says when to ask again; an
/// agent on this machine, who answers at no cost, is watched again a moment later.
pub(crate) struct DiscoveryWatch<T> {
    address: SocketAddr,
    revision: u64,
    /// Number of the latest connection.
    connection: u64,
    /// The balancer requests each watch, and each sends heartbeats.
    is_requested: bool,
    names: Names,
    send_event: T,
    sender: mpsc::UnboundedSender<WatchMessage>,
    messages: mpsc::UnboundedReceiver<WatchMessage>,
    task: Option<AbortOnDrop>,
}

impl<T: Fn(EngineEvent)> DiscoveryWatch<T> {
    /// A watch that goes on from `revision`. It begins when it is run, or, if `is_requested`, at the first request.
    pub(crate) fn new(
        address: SocketAddr,
        revision: u64,
        is_requested: bool,
        names: Names,
        send_event: T,
    ) -> Self {
        let (sender, messages) = mpsc::unbounded_channel();
        Self {
            address,
            revision,
            connection: 0,
            is_requested,
            names,
            send_event,
            sender,
            messages,
            task: None,
        }
    }

    /// Runs for good: `requests` ask for a watch, `moves` tell of another address.
    pub(crate) async fn run(
        mut self,
        mut requests: mpsc::UnboundedReceiver<()>,
        mut moves: mpsc::UnboundedReceiver<SocketAddr>,
    ) {
        if !self.is_requested {
            self.connect();
        }
        loop {
            tokio::select! {
                Some(()) = requests.recv() => self.connect(),
                Some(address) = moves.recv() => self.on_moved(address),
                Some(message) = self.messages.recv() => self.on_message(message).await,
                else => return,
            }
        }
    }

    async fn on_message(&mut self, message: WatchMessage) {
        match message {
            WatchMessage::Updated { connection, list } if connection == self.connection => {
                self.on_updated(&list);
            }
            WatchMessage::Ended { connection } if connection == self.connection => {
                self.on_ended().await;
            }
            // Of an earlier connection.
            WatchMessage::Updated { .. } | WatchMessage::Ended { .. } => {}
        }
    }

    /// Follows discovery to another address; upstreams, connections and all that was learned stay.
    fn on_moved(&mut self, address: SocketAddr) {
        if self.address == address {
            tracing::info!("discovery address unchanged by the configuration");
            return;
        }
        tracing::info!(%address, "discovery moved to another address");
        self.address = address;
        // Another agent counts in its own way: asked for what follows our revision, it could keep silent about all
        // that it has. From 0 on it tells everything.
        self.revision = 0;
        self.connect();
    }

    fn on_updated(&mut self, list: &UpstreamList) {
        self.revision = list.revision;
        let kind = if list.complete {
            MembershipKind::Complete
        } else {
            MembershipKind::Update
        };
        (self.send_event)(EngineEvent::MembershipChanged {
            service: SERVICE,
            kind,
            upstreams: self.names.listed_upstreams(list),
        });
    }

    async fn on_ended(&mut self) {
        self.task = None;
        if self.is_requested {
            (self.send_event)(EngineEvent::MembershipChanged {
                service: SERVICE,
                kind: MembershipKind::Unavailable,
                upstreams: Vec::new(),
            });
        } else {
            sleep(RECONNECT_BACKOFF).await;
            self.connect();
        }
    }

    /// Opens a connection in place of the one before.
    fn connect(&mut self) {
        self.connection += 1;
        let call = WatchCall {
            connection: self.connection,
            address: self.address,
            revision: self.revision,
            has_heartbeats: self.is_requested,
        };
        let sender = self.sender.clone();
        self.task = Some(AbortOnDrop(spawn_local(async move {
            if let Err(error) = watch(call, &sender).await {
                let revision = call.revision;
                tracing::info!(%error, revision, "discovery watch ended");
            }
            // Nobody listens any more only where the process ends.
            let _ = sender.send(WatchMessage::Ended {
                connection: call.connection,
            });
        })));
    }
}

/// Passes on what one connection tells, until it ends.
async fn watch(
    call: WatchCall,
    messages: &mpsc::UnboundedSender<WatchMessage>,
) -> Result<(), WatchError> {
    let (mut sender, _connection) = connect(call.address).await?;
    let mut body = request_list(&mut sender, call).await?;
    let mut lines = BytesMut::new();
    loop {
        let frame = if call.has_heartbeats {
            timeout(IDLE_TIMEOUT, body.frame()).await?
        } else {
            body.frame().await // An agent is silent while discovery is down.
        };
        let frame = frame.ok_or(WatchError::Ended)??;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        lines.extend_from_slice(&data);
        // A line may come in pieces, and several may come at once.
        while let Some(end) = lines.iter().position(|byte| *byte == b'\n') {
            let line = lines.split_to(end + 1);
            if line.trim_ascii().is_empty() {
                continue; // A heartbeat.
            }
            let list = serde_json::from_slice(&line)?;
            // As above.
            let _ = messages.send(WatchMessage::Updated {
                connection: call.connection,
                list,
            });
        }
        if lines.len() > MAX_LINE_BYTES {
            return Err(WatchError::Endless);
        }
    }
}

/// A connection to discovery, and the task that drives it.
async fn connect(
    address: SocketAddr,
) -> Result<(SendRequest<Empty<Bytes>>, AbortOnDrop), WatchError> {
    let stream = timeout(CALL_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    let task = spawn_local(async move {
        // Its error is seen by whoever reads the response.
        let _ = connection.await;
    });
    Ok((sender, AbortOnDrop(task)))
}

/// Asks for the list after a revision; the body of the response tells of it line by line.
async fn request_list(
    sender: &mut SendRequest<Empty<Bytes>>,
    call: WatchCall,
) -> Result<Incoming, WatchError> {
    let revision = call.revision;
    let request = Request::get(format!("/api/targets?stream=1&index={revision}"))
        .header(HOST, call.address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = timeout(CALL_TIMEOUT, sender.send_request(request)).await??;
    if !response.status().is_success() {
        return Err(WatchError::Status(response.status()));
    }
    Ok(response.into_body())
}
