//! The other control balancers: who is there, what they are told, and what they tell.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use protocol::wire::{ControlNode, PeerMessage, Session};
use raft::NodeId;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use super::{ControlServer, DialRequest, Inner};

/// One that has said nothing for so long is lost, and its sessions and its cell with it.
const LAPSE: Duration = Duration::from_millis(3000);
/// What is on its way to one peer; more is dropped, and told anew.
const PEER_QUEUE: usize = 256;

/// What is known of another control balancer.
pub(super) struct Peer {
    pub(super) at: Option<ControlNode>,
    pub(super) to: mpsc::Sender<PeerMessage>,
    pub(super) connected: Rc<Notify>,
    pub(super) heard: Option<Instant>,
    /// Whom it takes for the leader, and when it said so.
    pub(super) leader: Option<(SocketAddr, Instant)>,
    /// Those that stand with it, by node.
    pub(super) sessions: BTreeMap<String, Session>,
    /// It has missed something that was told: it is told all sessions next.
    pub(super) behind: bool,
    /// It was silent for too long, and its sessions are forgotten: it has to introduce itself again.
    pub(super) lapsed: bool,
}

impl ControlServer {
    /// Another control balancer that may be there.
    pub fn add_peer(&self, at: SocketAddr, control: Option<ControlNode>) {
        let mut inner = self.inner.borrow_mut();
        self.meet_in(&mut inner, at, control);
    }

    pub(super) fn meet_in(&self, inner: &mut Inner, at: SocketAddr, control: Option<ControlNode>) {
        if at == self.control_node.internal_addr {
            return;
        }
        let peer = inner.peers.entry(at).or_insert_with(|| {
            let (to, queue) = mpsc::channel(PEER_QUEUE);
            let connected = Rc::new(Notify::new());
            let _ = self.channels.dial.send(DialRequest {
                address: at,
                messages: queue,
                connected: connected.clone(),
            });
            let sessions = BTreeMap::new();
            let (at, heard, leader) = (None, None, None);
            Peer {
                at,
                to,
                connected,
                heard,
                leader,
                sessions,
                behind: true,
                lapsed: false,
            }
        });
        if control.is_some() {
            peer.at = control;
        }
    }

    /// Those that the log names are called, whether they have called or not.
    pub(super) fn meet_members(&self) {
        let mut inner = self.inner.borrow_mut();
        let members: Vec<SocketAddr> = inner
            .core
            .members()
            .all()
            .filter_map(|(_, at)| at.parse().ok())
            .collect();
        for at in members {
            self.meet_in(&mut inner, at, None);
        }
    }

    /// A control balancer has connected.
    pub fn on_peer_connected(&self, id: NodeId, control: ControlNode) {
        let mut inner = self.inner.borrow_mut();
        inner.ids.insert(id, control.internal_addr);
        let at = control.internal_addr;
        self.meet_in(&mut inner, at, Some(control));
        if let Some(peer) = inner.peers.get_mut(&at) {
            peer.lapsed = false;
            peer.connected.notify_waiters();
        }
    }

    /// A control balancer has said something. Whether it may go on: after too long a silence it has to
    /// introduce itself again, because what it said before is forgotten.
    pub fn handle_peer_message(&self, from: SocketAddr, tell: PeerMessage) -> bool {
        let mut news = false;
        {
            let mut inner = self.inner.borrow_mut();
            let inner = &mut *inner;
            if let Some(peer) = inner.peers.get_mut(&from) {
                let now = Instant::now();
                if peer.lapsed {
                    return false;
                }
                if !peer.live(now) {
                    // Its sessions count again.
                    (inner.roll, news) = (None, true);
                }
                peer.heard = Some(now);
            }
        }
        match tell {
            PeerMessage::Raft(message) => self.with_core(|core| core.step(message)),
            PeerMessage::Join {
                node_id: id,
                internal_addr: inner,
            } => self.with_core(|core| core.handle_join_request(id, inner.to_string())),
            PeerMessage::Sessions {
                sessions,
                control_nodes: controls,
            } => {
                let all = sessions
                    .into_iter()
                    .map(|s| (s.balancer.node.clone(), s))
                    .collect();
                news |= self.sessions_of(from, Some(controls), |known| {
                    let other = *known != all;
                    *known = all;
                    other
                });
            }
            PeerMessage::SessionChanges {
                changed: sessions,
                removed: gone,
                control_nodes: controls,
            } => {
                news |= self.sessions_of(from, controls, |known| {
                    let mut other = false;
                    for node in &gone {
                        other |= known.remove(node).is_some();
                    }
                    for s in sessions {
                        let node = s.balancer.node.clone();
                        other |= known.get(&node) != Some(&s);
                        known.insert(node, s);
                    }
                    other
                });
            }
            PeerMessage::Heartbeat { leader } => {
                if let Some(peer) = self.inner.borrow_mut().peers.get_mut(&from) {
                    peer.leader = leader.map(|leader| (leader, Instant::now()));
                }
            }
            PeerMessage::KeyLoad(counts) => self.record_work(counts),
            PeerMessage::ConfirmLeadership { token } => self.confirm_for(from, token),
            PeerMessage::LeadershipConfirmed { token } => {
                self.inner.borrow_mut().read_ended(token, Some(0))
            }
            PeerMessage::ZoneUpdate { zone, update: told } => self.zone(from, &zone, &told),
            PeerMessage::ZoneSnapshotRequest { zone } => {
                let mut inner = self.inner.borrow_mut();
                let whole = inner
                    .zones
                    .get(&zone)
                    .and_then(|z| z.snapshot(self.clock().0));
                if let (Some(told), Some(peer)) = (whole, inner.peers.get_mut(&from)) {
                    let _ = peer
                        .to
                        .try_send(PeerMessage::ZoneUpdate { zone, update: told });
                }
            }
        }
        if news {
            self.notify_changed();
        }
        true
    }

    /// What a peer told of its sessions, and of who serves control. Whether that is news.
    pub(super) fn sessions_of(
        &self,
        from: SocketAddr,
        controls: Option<Vec<ControlNode>>,
        apply: impl FnOnce(&mut BTreeMap<String, Session>) -> bool,
    ) -> bool {
        let mut inner = self.inner.borrow_mut();
        for control in controls.into_iter().flatten() {
            self.meet_in(&mut inner, control.internal_addr, None);
        }
        let news = inner
            .peers
            .get_mut(&from)
            .is_some_and(|peer| apply(&mut peer.sessions));
        if news {
            inner.roll = None;
        }
        news
    }

    pub(super) fn tell_all(&self, tell: &PeerMessage) {
        for peer in self.inner.borrow().peers.values() {
            let _ = peer.to.try_send(tell.clone());
        }
    }

    /// Tells the peers which sessions here are other than they were told last: those that changed since the
    /// last tick together.
    pub(super) fn tell_moved(&self) {
        let mut inner = self.inner.borrow_mut();
        let known = inner.live_controls();
        let controls = (known != inner.controls).then_some(known);
        if inner.moved.is_empty() && controls.is_none() {
            return;
        }
        if let Some(controls) = &controls {
            inner.controls.clone_from(controls);
        }
        let moved = std::mem::take(&mut inner.moved);
        let (stand, gone): (Vec<_>, Vec<_>) = moved
            .into_iter()
            .partition(|node| inner.local.contains_key(node));
        let stand = stand.iter().filter_map(|node| inner.local.get(node));
        let sessions = stand.map(|(_, s)| s.clone()).collect();
        let tell = PeerMessage::SessionChanges {
            changed: sessions,
            removed: gone,
            control_nodes: controls,
        };
        for peer in inner.peers.values_mut() {
            peer.behind |= peer.to.try_send(tell.clone()).is_err();
        }
    }

    /// Tells the peers that this one is there, and all sessions to who has missed some.
    pub(super) fn tell_alive(&self) {
        let leader = if self.control_node.has_disk {
            self.leader_address()
        } else {
            None
        };
        let all = self.sessions();
        if let Some(leader) = leader.filter(|at| *at != self.control_node.internal_addr) {
            let counts = self.take_work_counts();
            if let Some(peer) = self.inner.borrow().peers.get(&leader)
                && !counts.is_empty()
            {
                let _ = peer.to.try_send(PeerMessage::KeyLoad(counts));
            }
        }
        for peer in self.inner.borrow_mut().peers.values_mut() {
            let _ = peer.to.try_send(PeerMessage::Heartbeat { leader });
            if peer.behind {
                peer.behind = peer.to.try_send(all.clone()).is_err();
            }
        }
    }

    /// All sessions that stand here.
    pub(super) fn sessions(&self) -> PeerMessage {
        let inner = self.inner.borrow();
        let sessions = inner.local.values().map(|(_, s)| s.clone()).collect();
        PeerMessage::Sessions {
            sessions,
            control_nodes: inner.live_controls(),
        }
    }

    /// All that a peer is told which has just been reached, or may have missed something.
    pub fn introduction_messages(&self) -> Vec<PeerMessage> {
        let (inner, now) = (self.inner.borrow(), self.clock().0);
        let zones = inner
            .zones
            .iter()
            .filter_map(|(zone, z)| Some((zone.clone(), z.snapshot(now)?)));
        let zones: Vec<PeerMessage> = zones
            .map(|(zone, told)| PeerMessage::ZoneUpdate { zone, update: told })
            .collect();
        drop(inner);
        std::iter::once(self.sessions()).chain(zones).collect()
    }

    /// Sessions with a control balancer that has been silent for too long are not known to stand.
    pub fn expire_silent_peers(&self) {
        let now = Instant::now();
        let news = {
            let mut inner = self.inner.borrow_mut();
            let mut news = false;
            let silent = |p: &&mut Peer| p.heard.is_some_and(|at| now >= at + LAPSE);
            for peer in inner
                .peers
                .values_mut()
                .filter(|p| !p.lapsed)
                .filter(silent)
            {
                // Its connection may stand: this process may have stood still itself. It ends by the next word.
                peer.lapsed = true;
                news |= !std::mem::take(&mut peer.sessions).is_empty();
            }
            if news {
                inner.roll = None;
            }
            news
        };
        if news {
            self.notify_changed();
        }
    }

    /// Control balancers with a disk that are there, this one included.
    pub fn control_nodes(&self) -> Vec<ControlNode> {
        let mut all = self.inner.borrow().live_controls();
        all.retain(|c| c.has_disk);
        if self.control_node.has_disk {
            all.push(self.control_node.clone());
        }
        all.sort();
        all
    }
}

impl Inner {
    /// Other control balancers that are there.
    pub(super) fn live_controls(&self) -> Vec<ControlNode> {
        let now = Instant::now();
        self.peers
            .values()
            .filter(|p| p.live(now))
            .filter_map(|p| p.at.clone())
            .collect()
    }
}

impl Peer {
    pub(super) fn live(&self, now: Instant) -> bool {
        self.heard.is_some_and(|at| now < at + LAPSE)
    }
}
