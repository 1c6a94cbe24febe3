//! The other control processes: how they are reached, and what they last said.

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

/// A peer that has said nothing for so long counts as lost, with its sessions and its zones.
const PEER_TIMEOUT: Duration = Duration::from_millis(3000);
/// What peers say of the leader is old after so long: they say it every second.
const LEADER_HINT_TIMEOUT: Duration = Duration::from_millis(1500);
/// So many messages wait for one peer; further ones are dropped, and their content is sent again later.
const PEER_QUEUE_MESSAGES: usize = 256;

/// Whom a peer takes for the leader.
struct LeaderHint {
    leader: SocketAddr,
    received_at: Instant,
}

struct Peer {
    /// How it introduced itself; `None` until it has connected.
    node: Option<ControlNode>,
    queue: mpsc::Sender<PeerMessage>,
    /// Wakes who dials it.
    connected: Rc<Notify>,
    last_heard: Option<Instant>,
    leader_hint: Option<LeaderHint>,
    /// The sessions that balancers keep with it, by node.
    sessions: BTreeMap<String, Session>,
    /// A message about sessions did not fit into its queue: it is sent all sessions next.
    missed_session_changes: bool,
    /// It was silent for too long, and its sessions are forgotten: it has to introduce itself again.
    has_lapsed: bool,
}

impl Peer {
    fn is_live(&self, now: Instant) -> bool {
        self.last_heard.is_some_and(|at| now < at + PEER_TIMEOUT)
    }

    /// A message that does not fit is dropped: everything that is sent this way is sent again later, or may be lost.
    fn send(&self, message: PeerMessage) {
        let _ = self.queue.try_send(message);
    }
}

/// What becomes of a message that a peer has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageAdmission {
    /// It is handled.
    Accepted,
    /// It is handled, and the peer's sessions count again after a silence.
    AcceptedAfterSilence,
    /// The peer has to introduce itself first.
    Refused,
}

/// The peers by address, and the address of each member of the log that has connected.
///
/// Invariants: this process itself is never among them. Each peer was asked to be dialled once, when it was added, and
/// is never removed. A lapsed peer has no sessions here. Changed by `server::peers` alone; whoever changes sessions has to
/// invalidate the merged list of the `SessionRegistry`. All is lost with the process: peers come back from the settings'
/// seeds, the members of the log and what other peers say.
pub(crate) struct PeerRegistry {
    own_address: SocketAddr,
    dial: mpsc::UnboundedSender<DialRequest>,
    peers: BTreeMap<SocketAddr, Peer>,
    addresses: FxHashMap<NodeId, SocketAddr>,
    /// The live peers as last sent to the others.
    announced_nodes: Vec<ControlNode>,
}

impl PeerRegistry {
    /// Without peers; new ones are dialled through `dial`.
    pub(crate) fn new(own_address: SocketAddr, dial: mpsc::UnboundedSender<DialRequest>) -> Self {
        Self {
            own_address,
            dial,
            peers: BTreeMap::new(),
            addresses: FxHashMap::default(),
            announced_nodes: Vec::new(),
        }
    }

    /// A control process that may be there: it is dialled from now on.
    pub(crate) fn add(&mut self, address: SocketAddr) {
        if address != self.own_address {
            self.get_or_add(address);
        }
    }

    fn get_or_add(&mut self, address: SocketAddr) -> &mut Peer {
        self.peers.entry(address).or_insert_with(|| {
            let (queue, messages) = mpsc::channel(PEER_QUEUE_MESSAGES);
            let connected = Rc::new(Notify::new());
            // Without a receiver the process is ending.
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
                has_lapsed: false,
            }
        })
    }

    /// A peer has connected and introduced itself.
    pub(crate) fn on_connected(&mut self, id: NodeId, node: ControlNode) {
        let address = node.internal_addr;
        self.addresses.insert(id, address);
        if address == self.own_address {
            return;
        }
        let peer = self.get_or_add(address);
        peer.node = Some(node);
        peer.has_lapsed = false;
        peer.connected.notify_waiters();
    }

    /// A peer has said something.
    pub(crate) fn on_message(&mut self, from: SocketAddr, now: Instant) -> MessageAdmission {
        let Some(peer) = self.peers.get_mut(&from) else {
            return MessageAdmission::Accepted;
        };
        if peer.has_lapsed {
            return MessageAdmission::Refused;
        }
        let was_live = peer.is_live(now);
        peer.last_heard = Some(now);
        if was_live {
            MessageAdmission::Accepted
        } else {
            MessageAdmission::AcceptedAfterSilence
        }
    }

    /// Forgets the sessions of peers that have been silent for too long. Returns whether there were any.
    pub(crate) fn expire_silent(&mut self, now: Instant) -> bool {
        let mut has_changed = false;
        for peer in self.peers.values_mut().filter(|peer| !peer.has_lapsed) {
            if peer.last_heard.is_some_and(|at| now >= at + PEER_TIMEOUT) {
                // Its connection may stand: this process may have stood still itself. The next message ends it.
                peer.has_lapsed = true;
                has_changed |= !std::mem::take(&mut peer.sessions).is_empty();
            }
        }
        has_changed
    }

    /// The address from which this member of the log has connected.
    pub(crate) fn address_of(&self, id: NodeId) -> Option<SocketAddr> {
        self.addresses.get(&id).copied()
    }

    /// The sessions that balancers keep with peers.
    pub(crate) fn sessions(&self) -> impl Iterator<Item = &Session> {
        self.peers.values().flat_map(|peer| peer.sessions.values())
    }

    /// The peers that are there.
    pub(crate) fn live_nodes(&self) -> Vec<ControlNode> {
        let now = Instant::now();
        self.peers
            .values()
            .filter(|peer| peer.is_live(now))
            .filter_map(|peer| peer.node.clone())
            .collect()
    }

    /// The peers that are there, where they are others than at the last call.
    pub(crate) fn take_changed_live_nodes(&mut self) -> Option<Vec<ControlNode>> {
        let live = self.live_nodes();
        if live == self.announced_nodes {
            return None;
        }
        self.announced_nodes.clone_from(&live);
        Some(live)
    }

    /// A peer says whom it takes for the leader.
    pub(crate) fn record_leader_hint(&mut self, from: SocketAddr, leader: Option<SocketAddr>) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.leader_hint = leader.map(|leader| LeaderHint {
                leader,
                received_at: Instant::now(),
            });
        }
    }

    /// The leader that was named last, if that was lately and the leader was heard lately itself.
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

    /// All sessions that a peer has. Returns whether they differ from those known.
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

    /// Sessions of a peer that have opened, changed or ended. Returns whether that was not known.
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

    /// Sends to one peer, if it is known; dropped where its queue is full.
    pub(crate) fn send(&self, to: SocketAddr, message: PeerMessage) {
        if let Some(peer) = self.peers.get(&to) {
            peer.send(message);
        }
    }

    /// Sends to all peers; dropped where a queue is full.
    pub(crate) fn broadcast(&self, message: &PeerMessage) {
        for peer in self.peers.values() {
            peer.send(message.clone());
        }
    }

    /// Sends changes of sessions to all peers. One that misses them is sent all sessions with the next heartbeat.
    pub(crate) fn broadcast_session_changes(&mut self, changes: &PeerMessage) {
        for peer in self.peers.values_mut() {
            peer.missed_session_changes |= peer.queue.try_send(changes.clone()).is_err();
        }
    }

    /// Sends a heartbeat to all peers, and all sessions to those that missed some.
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
