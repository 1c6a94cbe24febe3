//! The other control processes: how to reach them, and what they last reported.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use protocol::wire::{ControlNode, PeerMessage, Session};
use raft::NodeId;
use rustc_hash::FxHashMap;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use crate::server::DialRequest;

/// A peer that is silent for this long counts as lost, with its sessions and zones.
const PEER_TIMEOUT: Duration = Duration::from_millis(3000);
/// How long a peer's report of who leads is valid. Peers report it every second.
const LEADER_HINT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Capacity of the message queue of one peer. Messages that don't fit are dropped; their content is sent again later.
const PEER_QUEUE_MESSAGES: usize = 256;

/// The process that a peer considers the leader.
struct LeaderHint {
    leader: SocketAddr,
    received_at: Instant,
}

struct Peer {
    /// The peer's description of itself from its handshake; `None` until it has connected.
    node: Option<ControlNode>,
    queue: mpsc::Sender<PeerMessage>,
    /// Notifies the task that dials the peer.
    connected: Rc<Notify>,
    last_heard: Option<Instant>,
    leader_hint: Option<LeaderHint>,
    /// The balancers' sessions with the peer, by node.
    sessions: BTreeMap<String, Session>,
    /// Whether a message about sessions did not fit into the queue, so that all sessions have to be sent.
    missed_session_changes: bool,
    /// Whether the peer was silent for too long, so that its sessions were dropped and it has to reconnect.
    is_expired: bool,
}

impl Peer {
    fn is_live(&self, now: Instant) -> bool {
        self.last_heard.is_some_and(|at| now < at + PEER_TIMEOUT)
    }

    /// Queues a message, or drops it if the queue is full: everything sent this way is either sent again later or may
    /// be lost.
    fn send(&self, message: PeerMessage) {
        let _ = self.queue.try_send(message);
    }
}

/// How to treat a message from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageAdmission {
    /// Handle it.
    Accepted,
    /// Handle it. It is the first message of the peer, or the first after a silence, so its sessions count from now on.
    AcceptedAfterSilence,
    /// Reject it: the peer has to reconnect first.
    Rejected,
}

/// The peers by address, and the address of each member of the log that has connected.
///
/// Invariants: this process is not among the peers. One dial request is sent for each peer, when it is added; peers are
/// never removed. An expired peer has no sessions here. Only `server::peers` changes the registry; whoever changes
/// sessions has to invalidate the merged list of the `SessionRegistry`. Everything is lost with the process: peers are
/// found again through the seeds in the settings, the members of the log, and other peers.
pub(crate) struct PeerRegistry {
    own_address: SocketAddr,
    dial: mpsc::UnboundedSender<DialRequest>,
    peers: BTreeMap<SocketAddr, Peer>,
    addresses: FxHashMap<NodeId, SocketAddr>,
    /// The live peers, as last announced to the others.
    announced_nodes: Vec<ControlNode>,
}

impl PeerRegistry {
    /// Creates an empty registry that sends dial requests through `dial`.
    pub(crate) fn new(own_address: SocketAddr, dial: mpsc::UnboundedSender<DialRequest>) -> Self {
        Self {
            own_address,
            dial,
            peers: BTreeMap::new(),
            addresses: FxHashMap::default(),
            announced_nodes: Vec::new(),
        }
    }

    /// Adds a control process that may exist at this address. It is dialled from now on.
    pub(crate) fn add(&mut self, address: SocketAddr) {
        if address != self.own_address {
            self.get_or_add(address);
        }
    }

    fn get_or_add(&mut self, address: SocketAddr) -> &mut Peer {
        self.peers.entry(address).or_insert_with(|| {
            let (queue, messages) = mpsc::channel(PEER_QUEUE_MESSAGES);
            let connected = Rc::new(Notify::new());
            // A closed channel means that the process is ending.
            let _ = self.dial.send(DialRequest {
                address,
                messages,
                connected: connected.clone(),
            });
            Peer {
                node: None,
                queue,
                connected,
                last_heard: None,
                leader_hint: None,
                sessions: BTreeMap::new(),
                missed_session_changes: true,
                is_expired: false,
            }
        })
    }

    /// Records that a peer has connected and sent its handshake.
    pub(crate) fn on_connected(&mut self, id: NodeId, node: ControlNode) {
        let address = node.internal_addr;
        self.addresses.insert(id, address);
        if address == self.own_address {
            return;
        }
        let peer = self.get_or_add(address);
        peer.node = Some(node);
        peer.is_expired = false;
        peer.connected.notify_waiters();
    }

    /// Records that a message of a peer was received, and decides whether to handle it.
    pub(crate) fn on_message(&mut self, from: SocketAddr, now: Instant) -> MessageAdmission {
        let Some(peer) = self.peers.get_mut(&from) else {
            return MessageAdmission::Accepted;
        };
        if peer.is_expired {
            return MessageAdmission::Rejected;
        }
        let was_live = peer.is_live(now);
        peer.last_heard = Some(now);
        if was_live {
            MessageAdmission::Accepted
        } else {
            MessageAdmission::AcceptedAfterSilence
        }
    }

    /// Drops the sessions of peers that have been silent for too long. Returns whether there were any.
    pub(crate) fn expire_silent(&mut self, now: Instant) -> bool {
        let mut has_changed = false;
        for peer in self.peers.values_mut().filter(|peer| !peer.is_expired) {
            if peer.last_heard.is_some_and(|at| now >= at + PEER_TIMEOUT) {
                // The connection may still be open, for example if this process was suspended. The next message on it
                // is rejected.
                peer.is_expired = true;
                has_changed |= !std::mem::take(&mut peer.sessions).is_empty();
            }
        }
        has_changed
    }

    /// Returns the address from which this member of the log has connected.
    pub(crate) fn address_of(&self, id: NodeId) -> Option<SocketAddr> {
        self.addresses.get(&id).copied()
    }

    /// Returns the balancers' sessions with peers.
    pub(crate) fn sessions(&self) -> impl Iterator<Item = &Session> {
        self.peers.values().flat_map(|peer| peer.sessions.values())
    }

    /// Returns the peers that are reachable.
    pub(crate) fn live_nodes(&self) -> Vec<ControlNode> {
        let now = Instant::now();
        self.peers
            .values()
            .filter(|peer| peer.is_live(now))
            .filter_map(|peer| peer.node.clone())
            .collect()
    }

    /// Returns the peers that are reachable, if they have changed since the last call.
    pub(crate) fn take_changed_live_nodes(&mut self) -> Option<Vec<ControlNode>> {
        let live = self.live_nodes();
        if live == self.announced_nodes {
            return None;
        }
        self.announced_nodes.clone_from(&live);
        Some(live)
    }

    /// Records which process a peer considers the leader.
    pub(crate) fn record_leader_hint(&mut self, from: SocketAddr, leader: Option<SocketAddr>) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.leader_hint = leader.map(|leader| LeaderHint {
                leader,
                received_at: Instant::now(),
            });
        }
    }

    /// Returns the leader that was reported last, if both the report and the leader's last message are recent.
    pub(crate) fn hinted_leader(&self) -> Option<SocketAddr> {
        let now = Instant::now();
        let is_recent = |at: Instant| now < at + LEADER_HINT_TIMEOUT;
        let hints = self
            .peers
            .values()
            .filter_map(|peer| peer.leader_hint.as_ref());
        let hint = hints.max_by_key(|hint| hint.received_at)?;
        let last_heard = self.peers.get(&hint.leader)?.last_heard?;
        (is_recent(hint.received_at) && is_recent(last_heard)).then_some(hint.leader)
    }

    /// Replaces all sessions of a peer. Returns whether they have changed.
    pub(crate) fn replace_sessions(&mut self, from: SocketAddr, sessions: Vec<Session>) -> bool {
        let Some(peer) = self.peers.get_mut(&from) else {
            return false;
        };
        let by_node = |session: Session| (session.balancer.node.clone(), session);
        let sessions = sessions.into_iter().map(by_node).collect();
        let has_changed = peer.sessions != sessions;
        peer.sessions = sessions;
        has_changed
    }

    /// Applies changes to the sessions of a peer. Returns whether anything has changed.
    pub(crate) fn update_sessions(
        &mut self,
        from: SocketAddr,
        changed: Vec<Session>,
        removed: &[String],
    ) -> bool {
        let Some(peer) = self.peers.get_mut(&from) else {
            return false;
        };
        let mut has_changed = false;
        for node in removed {
            has_changed |= peer.sessions.remove(node).is_some();
        }
        for session in changed {
            let node = session.balancer.node.clone();
            has_changed |= peer.sessions.get(&node) != Some(&session);
            peer.sessions.insert(node, session);
        }
        has_changed
    }

    /// Sends a message to a peer, if it is known. The message is dropped if the queue is full.
    pub(crate) fn send(&self, to: SocketAddr, message: PeerMessage) {
        if let Some(peer) = self.peers.get(&to) {
            peer.send(message);
        }
    }

    /// Sends a message to all peers. It is dropped for peers whose queue is full.
    pub(crate) fn broadcast(&self, message: &PeerMessage) {
        for peer in self.peers.values() {
            peer.send(message.clone());
        }
    }

    /// Sends changes of sessions to all peers. A peer that misses them gets all sessions with the next heartbeat.
    pub(crate) fn broadcast_session_changes(&mut self, changes: &PeerMessage) {
        for peer in self.peers.values_mut() {
            peer.missed_session_changes |= peer.queue.try_send(changes.clone()).is_err();
        }
    }

    /// Sends a heartbeat to all peers, and all sessions to those that missed changes.
    pub(crate) fn broadcast_heartbeat(
        &mut self,
        leader: Option<SocketAddr>,
        all_sessions: &PeerMessage,
    ) {
        for peer in self.peers.values_mut() {
            peer.send(PeerMessage::Heartbeat { leader });
            if peer.missed_session_changes {
                peer.missed_session_changes = peer.queue.try_send(all_sessions.clone()).is_err();
            }
        }
    }
}
