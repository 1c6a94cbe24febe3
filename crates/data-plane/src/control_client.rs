//! Client of the control plane: keeps sessions with control nodes, hands what they send to an [`UpdateHandler`], and
//! thereby shows that this balancer is up.
//!
//! It keeps two sessions, each with the nearest control node that answers, so that the silence of one node is not
//! the silence of the control plane. One session is the *primary*: it also reports the work on keys. Which one that
//! is stands in each watch request (`is_secondary`).
//!
//! - `transport`: how a control node is reached, and the time limits of a connection.
//! - `control_nodes`: which control nodes are known, and which one is called next.
//! - `session_table`: the sessions that are open, the state of each, and which one is the primary.
//! - `session`: one session, from the handshake to its end.
//!
//! **Time-outs.** A connection has to come up within [`CONNECT_TIMEOUT`]. Each side sends at least every
//! [`HEARTBEAT_INTERVAL`]; a session on which nothing arrives, or can be sent, for [`IDLE_TIMEOUT`] ends. After that
//! its control node comes behind all others for `RECONNECT_BACKOFF`, or for
//! `RECONNECT_BACKOFF_OUT_OF_CONTACT` if it had no quorum; the next connection is tried after
//! `RECONNECT_INTERVAL`.
//!
//! **Fallback sessions.** Seeds may name control nodes without a disk, which are no members of the replicated log and
//! hold nothing that is agreed on. They know who the members are, and a session with one of them keeps this balancer
//! in the directory while nobody else answers. Once members are known, at most one session may be such a fallback;
//! the other goes on looking for a member, and the fallback is left as soon as a member is free.
//!
//! **Promises.** At most one session at a time leaves its control node by choice, and only while another one stands:
//! the directory names a balancer only while a session of it stands somewhere.
//!
//! **May lose.** Work on keys that was counted but not delivered when a session broke. Everything else is requested
//! again by version.
//!
//! **Neighbours down.** A control node that is out of contact with a majority says so, and the session moves to
//! another node at once if one may be of more use. Without any control node, or with none in contact, the handler
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

/// Each side of a session sends a message at least this often. A test of liveness within [`IDLE_TIMEOUT`] has to
/// survive one message that comes late.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);
/// A session on which no message has arrived for this long, or on which a write has not ended by then, is over.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// A connection that has not come up within this time is tried anew. It is longer than a round trip takes anywhere,
/// and short because a machine that was without power a moment ago has dropped the opening packet.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Sessions that are kept at the same time.
const SESSIONS: usize = 2;
/// A control node whose session failed comes behind all others for this long.
const RECONNECT_BACKOFF: Duration = Duration::from_secs(5);
/// The same for one that was out of contact with a majority: it may be cut off for long.
const RECONNECT_BACKOFF_OUT_OF_CONTACT: Duration = Duration::from_secs(10);
/// Pause between the end of a session and the next connection, and between looks for a control node while none is free.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(200);
/// Changes here that no control node waits for are sent together, at most this long after the first.
const CHANGE_COALESCING: Duration = Duration::from_millis(400);

/// Takes what the control plane sends, and knows what is held already.
pub trait UpdateHandler: 'static {
    /// The versions that are held by now. The session fills in the fleet view, the digest of the control nodes and
    /// its role.
    fn watch_request(&self) -> WatchRequest;
    /// Takes an update in; what is not newer than what is held changes nothing. Returns whether something has to be
    /// sent whole, because an update built on a version that is not held.
    fn handle_update(&self, update: &WatchUpdate) -> bool;
    /// The work on keys that upstreams divide, counted since the last call.
    fn take_key_load(&self) -> KeyLoadReport;
    /// Takes the fleet's size and this balancer's position in it, as the sessions report it.
    fn handle_fleet_view(&self, fleet: FleetView);
    /// A watcher that wakes when [`Self::watch_request`] gives something else.
    fn watch_changes(&self) -> ChangeWatcher;
    /// Wakes all watchers: another session has become the primary.
    fn wake_sessions(&self);
}

/// Why a session ended.
#[derive(Debug, thiserror::Error)]
enum SessionEnd {
    /// Left by choice.
    #[error("a nearer control node is available")]
    NearerAvailable,
    /// Left by choice: another node may be in contact with a majority.
    #[error("the control node is out of contact with a majority")]
    OutOfContact,
    /// The connection could not be made, broke, or was silent for [`IDLE_TIMEOUT`].
    #[error(transparent)]
    Failed(#[from] io::Error),
}

impl SessionEnd {
    /// How long the control node comes behind all others.
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
    /// This balancer, as it introduces itself.
    balancer: Balancer,
    handler: Rc<F>,
    network: N,
    control_nodes: RefCell<ControlNodes>,
    sessions: RefCell<SessionTable>,
}

impl<F: UpdateHandler> ControlClient<F> {
    /// A client over the machine's own network. It does nothing before [`Self::run`].
    pub fn new(balancer: Balancer, handler: Rc<F>) -> Rc<Self> {
        Self::with_network(TcpNetwork, balancer, handler)
    }
}

impl<F: UpdateHandler, N: Network> ControlClient<F, N> {
    /// A client over this network. It does nothing before [`Self::run`].
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

    /// Keeps the sessions; never returns.
    pub async fn run(self: Rc<Self>) {
        for _ in 1..SESSIONS {
            tokio::task::spawn_local(self.clone().keep_session());
        }
        self.keep_session().await;
    }

    /// Keeps one session up, with one control node after another.
    async fn keep_session(self: Rc<Self>) {
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
            self.step_down(peer);
            log_end(peer, state, &end);
            let backoff_until = end.backoff().map(|backoff| Instant::now() + backoff);
            self.control_nodes.borrow_mut().release(peer, backoff_until);
            // Out of contact, there was another node to go to, and the one just left comes last for a while: going on
            // at once does not go round in circles.
            if !matches!(end, SessionEnd::OutOfContact) {
                sleep(RECONNECT_INTERVAL).await;
            }
        }
    }

    /// The session that gets updates first becomes the primary if there is none.
    fn claim_primary(&self, peer: SocketAddr) {
        if self.sessions.borrow_mut().claim_primary(peer) {
            self.handler.wake_sessions();
        }
    }

    /// If this session was the primary there is none now; another one claims that with its next update.
    fn step_down(&self, peer: SocketAddr) {
        if self.sessions.borrow_mut().release_primary(peer) {
            self.handler.wake_sessions();
        }
    }

    /// Notes the fleet as this session sees it, and passes the largest on: a node that knows more balancers sees more
    /// of the fleet.
    fn handle_fleet_view(&self, peer: SocketAddr, fleet: FleetView) {
        let largest = self.sessions.borrow_mut().set_fleet(peer, fleet);
        if let Some(largest) = largest {
            self.handler.handle_fleet_view(largest);
        }
    }

    /// Takes in who the control nodes are.
    fn handle_control_nodes(&self, nodes: &[ControlNode]) {
        self.control_nodes.borrow_mut().learn(nodes);
    }

    /// Why this session should leave its control node by choice, if it should and may.
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

    /// Whether this session may end by choice: the directory names a balancer while a session of it stands
    /// somewhere. One that has received nothing yet is not ready, and is not named.
    fn may_leave(&self, peer: SocketAddr) -> bool {
        let stands = self.sessions.borrow().has_other_established(peer);
        stands || self.handler.watch_request().config_index == 0
    }
}

/// A session that stood and broke is worth a warning; one that never came up is retried every
/// `RECONNECT_INTERVAL`, and would fill the log.
fn log_end(peer: SocketAddr, state: Option<SessionState>, end: &SessionEnd) {
    match (end, state) {
        (SessionEnd::Failed(error), Some(SessionState::Established { .. })) => {
            tracing::warn!(%peer, %error, "session with a control node failed");
        }
        (SessionEnd::Failed(error), _) => {
            tracing::debug!(%peer, %error, "no session with a control node could be established");
        }
        (SessionEnd::NearerAvailable | SessionEnd::OutOfContact, _) => {
            tracing::info!(%peer, reason = %end, "leaving a control node for another one");
        }
    }
}

#[cfg(test)]
mod tests;
