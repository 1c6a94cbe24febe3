//! Watches discovery for changes of the list of upstreams, and reports them to the engine.
//!
//! The state is the last received revision and one connection at a time. A connection that ends, or is silent for
//! [`IDLE_TIMEOUT`], is replaced; until then the engine keeps the last list. When the address of discovery changes, the
//! complete list is requested again.

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

use super::list::{SiteNames, UpstreamList};
use crate::SERVICE;

/// Silence after which a watch counts as broken. Discovery sends a heartbeat every 2 s, and a host that is cut off from
/// the network sends no reset. A balancer is assumed to know a change after 6 s, received or not, so the next request
/// has to fit into the remaining time.
const IDLE_TIMEOUT: Duration = Duration::from_millis(3500);
/// Timeout for connecting, and for the response head.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before a watch that is not on demand is reopened (see [`DiscoveryWatch`]). Short because the discovery agent
/// runs on the same machine, where requests cost little.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum length of a line, which holds one list. A longer line is not from a valid discovery service.
const MAX_LINE_BYTES: usize = 4 << 20;

/// Reason for the end of a watch.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("connect: {0}")]
    Connect(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("unexpected status {0}")]
    Status(hyper::StatusCode),
    #[error("timed out")]
    TimedOut(#[from] tokio::time::error::Elapsed),
    #[error("invalid list: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("line exceeds {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    #[error("closed by discovery")]
    Ended,
    #[error("invalid request: {0}")]
    Request(#[from] hyper::http::Error),
}

/// A message from the task of a connection. The connection number identifies messages of earlier connections.
enum WatchMessage {
    Updated { connection: u64, list: UpstreamList },
    Ended { connection: u64 },
}

/// Parameters of one connection.
#[derive(Clone, Copy)]
struct WatchParams {
    connection: u64,
    address: SocketAddr,
    revision: u64,
    /// Whether discovery sends heartbeats, so that silence means that the connection is broken.
    has_heartbeats: bool,
}

/// Watches discovery and reports changes to the engine.
///
/// A watch on demand is opened only when the load balancer requests it. Otherwise the watch is served by an agent on
/// this machine, and is reopened after [`RECONNECT_BACKOFF`].
pub(crate) struct DiscoveryWatch<T> {
    address: SocketAddr,
    revision: u64,
    /// Number of the current connection.
    connection: u64,
    /// Whether each watch is requested by the load balancer. Discovery sends heartbeats on such a watch.
    is_on_demand: bool,
    names: SiteNames,
    send_event: T,
    sender: mpsc::UnboundedSender<WatchMessage>,
    messages: mpsc::UnboundedReceiver<WatchMessage>,
    task: Option<AbortOnDrop>,
}

impl<T: Fn(EngineEvent)> DiscoveryWatch<T> {
    /// Creates a watch that continues from `revision`. It connects when it is run or, if `is_on_demand`, on the first
    /// request.
    pub(crate) fn new(
        address: SocketAddr,
        revision: u64,
        is_on_demand: bool,
        names: SiteNames,
        send_event: T,
    ) -> Self {
        let (sender, messages) = mpsc::unbounded_channel();
        Self {
            address,
            revision,
            connection: 0,
            is_on_demand,
            names,
            send_event,
            sender,
            messages,
            task: None,
        }
    }

    /// Runs until the process ends. `requests` open a watch, and `address_changes` set the address of discovery.
    pub(crate) async fn run(
        mut self,
        mut requests: mpsc::UnboundedReceiver<()>,
        mut address_changes: mpsc::UnboundedReceiver<SocketAddr>,
    ) {
        if !self.is_on_demand {
            self.connect();
        }
        loop {
            tokio::select! {
                Some(()) = requests.recv() => self.connect(),
                Some(address) = address_changes.recv() => self.on_address_changed(address),
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
            // Messages of earlier connections are ignored.
            WatchMessage::Updated { .. } | WatchMessage::Ended { .. } => {}
        }
    }

    /// Switches to another address of discovery. Upstreams, their connections and the engine's state are kept.
    fn on_address_changed(&mut self, address: SocketAddr) {
        if self.address == address {
            tracing::info!("configuration reloaded, discovery address unchanged");
            return;
        }
        tracing::info!(%address, "discovery address changed");
        self.address = address;
        // Revisions of different agents are unrelated. A request based on the current revision could return nothing,
        // while a request from 0 returns the complete list.
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
        if self.is_on_demand {
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

    /// Opens a connection, which replaces the current one.
    fn connect(&mut self) {
        self.connection += 1;
        let params = WatchParams {
            connection: self.connection,
            address: self.address,
            revision: self.revision,
            has_heartbeats: self.is_on_demand,
        };
        let sender = self.sender.clone();
        self.task = Some(AbortOnDrop(spawn_local(async move {
            if let Err(error) = watch(params, &sender).await {
                let revision = params.revision;
                tracing::info!(%error, revision, "discovery watch ended");
            }
            // The receiver is gone only while the process exits.
            let _ = sender.send(WatchMessage::Ended {
                connection: params.connection,
            });
        })));
    }
}

/// Forwards the lists from one connection until it ends.
async fn watch(
    params: WatchParams,
    messages: &mpsc::UnboundedSender<WatchMessage>,
) -> Result<(), WatchError> {
    let (mut sender, _connection) = connect(params.address).await?;
    let mut body = request_list(&mut sender, params).await?;
    let mut lines = BytesMut::new();
    loop {
        let frame = if params.has_heartbeats {
            timeout(IDLE_TIMEOUT, body.frame()).await?
        } else {
            body.frame().await // An agent sends nothing while discovery is down.
        };
        let frame = frame.ok_or(WatchError::Ended)??;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        lines.extend_from_slice(&data);
        // A body frame may contain a part of a line or several lines.
        while let Some(end) = lines.iter().position(|byte| *byte == b'\n') {
            let line = lines.split_to(end + 1);
            if line.trim_ascii().is_empty() {
                continue; // A heartbeat.
            }
            let list = serde_json::from_slice(&line)?;
            // The receiver is gone only while the process exits.
            let _ = messages.send(WatchMessage::Updated {
                connection: params.connection,
                list,
            });
        }
        if lines.len() > MAX_LINE_BYTES {
            return Err(WatchError::LineTooLong);
        }
    }
}

/// Opens a connection to discovery, and returns it with the task that drives it.
async fn connect(
    address: SocketAddr,
) -> Result<(SendRequest<Empty<Bytes>>, AbortOnDrop), WatchError> {
    let stream = timeout(CALL_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    let task = spawn_local(async move {
        // The error also ends the response body, whose reader reports it.
        let _ = connection.await;
    });
    Ok((sender, AbortOnDrop(task)))
}

/// Requests the changes after a revision. Each line of the response body is one list.
async fn request_list(
    sender: &mut SendRequest<Empty<Bytes>>,
    params: WatchParams,
) -> Result<Incoming, WatchError> {
    let revision = params.revision;
    let request = Request::get(format!("/api/targets?stream=1&index={revision}"))
        .header(HOST, params.address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = timeout(CALL_TIMEOUT, sender.send_request(request)).await??;
    if !response.status().is_success() {
        return Err(WatchError::Status(response.status()));
    }
    Ok(response.into_body())
}
