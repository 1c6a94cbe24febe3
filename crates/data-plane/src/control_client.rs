//! Client of the control plane: maintains sessions with control nodes and passes their updates to an [`UpdateHandler`].
//! The open sessions also show the control plane that this balancer is up.
//!
//! The client maintains two sessions, each with the nearest control node that responds, so that the failure of one node
//! does not cut it off from the control plane. One session is the *primary*, which also reports the key load. Each
//! watch request states whether its session is the primary (`is_secondary`). Control nodes are the processes that the
//! command line calls control balancers.
//!
//! - `transport`: connects to control nodes, with a connect timeout.
//! - `control_nodes`: the known control nodes, and which one to connect to next.
//! - `session_table`: the open sessions, the state of each, and which one is the primary.
//! - `session`: one session, from the handshake to its end.
//!
//! **Timeouts.** A connection has to be established within [`CONNECT_TIMEOUT`]. Each side sends a message at least
//! every [`HEARTBEAT_INTERVAL`]; a session on which nothing arrives, or nothing can be sent, for [`IDLE_TIMEOUT`] ends.
//! After that its control node ranks behind all others for `RECONNECT_BACKOFF`, or for
//! `RECONNECT_BACKOFF_OUT_OF_CONTACT` if it had no contact with a majority. The next connection is attempted after
//! `RECONNECT_INTERVAL`.
//!
//! **Fallback sessions.** Seeds may name control nodes without a disk, which are not members of the replicated log and
//! hold no replicated state. They know the members, and a session with one of them keeps this balancer in the directory
//! while no other node responds. Once members are known, at most one session may be such a fallback; the other one
//! keeps looking for a member, and the fallback session ends as soon as a member is free.
//!
//! **Guarantees.** At most one session at a time leaves its control node voluntarily, and only while another one is
//! established: the directory lists a balancer only while it has a session with some control node.
//!
//! **Failures.** Key load that was taken but not delivered when a session broke is lost; everything else is requested
//! again by version. A control node that is out of contact with a majority reports that, and the session moves to
//! another node immediately if one may be more useful. Without any control node, or with none in contact, the handler
//! keeps what it last received; a balancer that has received nothing yet is not ready.

mod control_nodes;
mod session;
mod session_table;
mod transport;

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use protocol::key_load::KeyLoadReport;
use protocol::wire::{Balancer, ControlNode, FleetView, WatchRequest, WatchUpdate};
use tokio::time::{Instant, sleep};

use crate::change_notifier::ChangeWatcher;
use control_nodes::ControlNodes;
use session::Session;
use session_table::{SessionState, SessionTable};
pub use transport::{Network, TcpNetwork, configure_socket, connect};

/// The maximum interval between two messages of each side of a session. Short enough that one late message does not
/// exceed [`IDLE_TIMEOUT`].
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);
/// How long a session may be without an incoming message, and how long a write may take, before the session ends.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a connection may take to be established before it is tried again. Longer than any round trip, but short:
/// a machine that had no power until a moment ago has dropped the SYN packet, and a new attempt reaches it sooner.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The number of concurrent sessions.
const SESSIONS: usize = 2;
/// How long a control node ranks behind all others after its session failed.
const RECONNECT_BACKOFF: Duration = Duration::from_secs(5);
/// How long a control node ranks behind all others after it was out of contact with a majority. It may be partitioned
/// for a long time.
const RECONNECT_BACKOFF_OUT_OF_CONTACT: Duration = Duration::from_secs(10);
/// The pause between the end of a session and the next connection, and between checks for a free control node.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(200);
/// How long a non-urgent local change may be delayed so that it is sent together with later ones.
const CHANGE_COALESCING: Duration = Duration::from_millis(400);

/// Applies the updates of the control plane and knows which versions are held.
pub trait UpdateHandler: 'static {
    /// Returns the versions that are held now. The session adds the fleet view, the digest of the control nodes and its
    /// role.
    fn watch_request(&self) -> WatchRequest;
    /// Applies an update, except for parts that are not newer than what is held. Returns whether something has to be
    /// sent in full, because the update is relative to a version that is not held.
    fn handle_update(&self, update: &WatchUpdate) -> bool;
    /// Returns the load on the keys of sharded services since the last call.
    fn take_key_load(&self) -> KeyLoadReport;
    /// Applies the fleet's size and this balancer's position in it, as reported by the sessions.
    fn handle_fleet_view(&self, fleet: FleetView);
    /// Returns a watcher that wakes when the result of [`Self::watch_request`] changes.
    fn watch_changes(&self) -> ChangeWatcher;
    /// Wakes all watchers because the primary session has changed.
    fn wake_sessions(&self);
}

/// Why a session ended.
#[derive(Debug, thiserror::Error)]
enum SessionEnd {
    /// The session was left voluntarily for a nearer control node.
    #[error("a nearer control node is available")]
    NearerAvailable,
    /// The session was left voluntarily, because another node may be in contact with a majority.
    #[error("the control node is out of contact with a majority")]
    OutOfContact,
    /// The connection could not be established, broke, or was idle for [`IDLE_TIMEOUT`].
    #[error(transparent)]
    Failed(#[from] io::Error),
}

impl SessionEnd {
    /// Returns for how long the control node ranks behind all others.
    fn backoff(&self) -> Option<Duration> {
        match self {
            Self::NearerAvailable => None,
            Self::OutOfContact => Some(RECONNECT_BACKOFF_OUT_OF_CONTACT),
            Self::Failed(_) => Some(RECONNECT_BACKOFF),
        }
    }
}

/// The sessions of one data-plane balancer with the control plane.
pub struct ControlClient<F, N = TcpNetwork> {
    /// How this balancer identifies itself in the handshake.
    balancer: Balancer,
    handler: Rc<F>,
    network: N,
    control_nodes: RefCell<ControlNodes>,
    sessions: RefCell<SessionTable>,
}

impl<F: UpdateHandler> ControlClient<F> {
    /// Creates a client that uses TCP. It does nothing before [`Self::run`].
    pub fn new(balancer: Balancer, handler: Rc<F>) -> Rc<Self> {
        Self::with_network(TcpNetwork, balancer, handler)
    }
}

impl<F: UpdateHandler, N: Network> ControlClient<F, N> {
    /// Creates a client that uses `network`. It does nothing before [`Self::run`].
    pub fn with_network(network: N, balancer: Balancer, handler: Rc<F>) -> Rc<Self> {
        Rc::new(Self {
            balancer,
            handler,
            network,
            control_nodes: RefCell::default(),
            sessions: RefCell::default(),
        })
    }

    /// Adds addresses at which control nodes may be found.
    pub fn add_seeds(&self, seeds: impl Iterator<Item = SocketAddr>) {
        self.control_nodes.borrow_mut().add_seeds(seeds);
    }

    /// Maintains the sessions; never returns.
    pub async fn run(self: Rc<Self>) {
        for _ in 1..SESSIONS {
            tokio::task::spawn_local(self.clone().maintain_session());
        }
        self.maintain_session().await;
    }

    /// Maintains one session, with one control node after another.
    async fn maintain_session(self: Rc<Self>) {
        loop {
            let next = self.control_nodes.borrow().nearest_free(&self.balancer);
            let Some(peer) = next else {
                sleep(RECONNECT_INTERVAL).await;
                continue;
            };
            self.control_nodes.borrow_mut().occupy(peer);
            self.sessions.borrow_mut().open(peer);
            let Err(end) = Session::run(&self, peer).await;
            let state = self.sessions.borrow_mut().close(peer);
            self.release_primary(peer);
            log_end(peer, state, &end);
            let backoff_until = end.backoff().map(|backoff| Instant::now() + backoff);
            self.control_nodes.borrow_mut().release(peer, backoff_until);
            // No pause when the node was out of contact: another node is available, and the one just left ranks last
            // for a while, so that this does not become a busy loop.
            if !matches!(end, SessionEnd::OutOfContact) {
                sleep(RECONNECT_INTERVAL).await;
            }
        }
    }

    /// Makes this session the primary if there is none. Called by sessions that receive updates.
    fn claim_primary(&self, peer: SocketAddr) {
        if self.sessions.borrow_mut().claim_primary(peer) {
            self.handler.wake_sessions();
        }
    }

    /// Releases the primary role if this session has it; another session claims it with its next update.
    fn release_primary(&self, peer: SocketAddr) {
        if self.sessions.borrow_mut().release_primary(peer) {
            self.handler.wake_sessions();
        }
    }

    /// Records the fleet view of this session and passes the largest view of all sessions to the handler, since a node
    /// that knows more balancers has the more complete view.
    fn handle_fleet_view(&self, peer: SocketAddr, fleet: FleetView) {
        let largest = self.sessions.borrow_mut().set_fleet(peer, fleet);
        if let Some(largest) = largest {
            self.handler.handle_fleet_view(largest);
        }
    }

    /// Records the members of the replicated log.
    fn handle_control_nodes(&self, nodes: &[ControlNode]) {
        self.control_nodes.borrow_mut().record_members(nodes);
    }

    /// Returns why this session should leave its control node voluntarily, or `None` if it should not or may not.
    fn reason_to_leave(&self, peer: SocketAddr, out_of_contact: bool) -> Option<SessionEnd> {
        let end = {
            let nodes = self.control_nodes.borrow();
            if out_of_contact && nodes.has_alternative(peer) {
                SessionEnd::OutOfContact
            } else if nodes.has_nearer(peer, &self.balancer) {
                SessionEnd::NearerAvailable
            } else {
                return None;
            }
        };
        self.may_leave(peer).then_some(end)
    }

    /// Returns whether this session may end voluntarily. The directory lists a balancer only while it has an
    /// established session, so another one must exist; a balancer without a configuration is not ready and not listed
    /// anyway.
    fn may_leave(&self, peer: SocketAddr) -> bool {
        let has_other = self.sessions.borrow().has_other_established(peer);
        has_other || self.handler.watch_request().config_index == 0
    }
}

/// Logs the end of a session. An established session that fails is logged as a warning. A session that was never
/// established is retried every `RECONNECT_INTERVAL` and would flood the log, so it is logged at debug level.
fn log_end(peer: SocketAddr, state: Option<SessionState>, end: &SessionEnd) {
    match (end, state) {
        (SessionEnd::Failed(error), Some(SessionState::Established { .. })) => {
            tracing::warn!(%peer, %error, "session with a control node failed");
        }
        (SessionEnd::Failed(error), _) => {
            tracing::debug!(%peer, %error, "failed to establish a session with a control node");
        }
        (SessionEnd::NearerAvailable | SessionEnd::OutOfContact, _) => {
            tracing::info!(%peer, reason = %end, "leaving a control node for another one");
        }
    }
}

#[cfg(test)]
mod tests;
