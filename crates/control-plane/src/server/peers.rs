//! The other control processes: who is there, what they are sent, and what they say.
//!
//! Each process dials every other one and speaks on its own connection only (`connections`). A peer that is silent is
//! forgotten after a while, with its sessions; one that is gone stays listed and is dialled on. What a peer's queue has no
//! room for is dropped: the log sends its messages again, sessions are sent whole, zones by request.

use std::net::SocketAddr;

use protocol::wire::{ControlNode, PeerMessage, Session};
use raft::NodeId;
use tokio::time::Instant;

use super::ControlServer;
use super::state::{MessageAdmission, ReadToken};

impl ControlServer {
    /// Other machines that serve control, as the settings file names them by now.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        let mut state = self.state.borrow_mut();
        for seed in seeds {
            state.peers.add(self.settings.internal_addr_of(*seed));
        }
    }

    /// Dials all members of the log, whether they have connected to this process or not.
    pub(super) fn add_members_as_peers(&self) {
        let mut state = self.state.borrow_mut();
        for address in state.log.member_addresses() {
            state.peers.add(address);
        }
    }

    /// A peer has connected and introduced itself.
    pub fn on_peer_connected(&self, id: NodeId, node: ControlNode) {
        self.state.borrow_mut().peers.on_connected(id, node);
    }

    /// A peer has said something. Returns whether it may go on: after too long a silence it has to introduce itself
    /// again, because what it said before is forgotten.
    pub fn handle_peer_message(&self, from: SocketAddr, message: PeerMessage) -> bool {
        let is_back = {
            let mut state = self.state.borrow_mut();
            match state.peers.on_message(from, Instant::now()) {
                MessageAdmission::Refused => return false,
                MessageAdmission::Accepted => false,
                MessageAdmission::AcceptedAfterSilence => {
                    state.sessions.invalidate_all();
                    true
                }
            }
        };
        let has_changed = self.dispatch_peer_message(from, message);
        if is_back || has_changed {
            self.notify_changed();
        }
        true
    }

    /// Returns whether the sessions with peers have changed; what else changes is notified by its handler.
    fn dispatch_peer_message(&self, from: SocketAddr, message: PeerMessage) -> bool {
        match message {
            PeerMessage::Raft(message) => self.with_raft_node(|node| node.step(message)),
            PeerMessage::Join {
                node_id,
                internal_addr,
            } => {
                let address = internal_addr.to_string();
                self.with_raft_node(|node| node.handle_join_request(node_id, address));
            }
            PeerMessage::Sessions {
                sessions,
                control_nodes,
            } => {
                return self.handle_sessions(from, sessions, &control_nodes);
            }
            PeerMessage::SessionChanges {
                changed,
                removed,
                control_nodes,
            } => {
                let control_nodes = control_nodes.unwrap_or_default();
                return self.handle_session_changes(from, changed, &removed, &control_nodes);
            }
            PeerMessage::Heartbeat { leader } => {
                let mut state = self.state.borrow_mut();
                state.peers.record_leader_hint(from, leader);
            }
            PeerMessage::KeyLoad(counts) => self.record_key_load(counts),
            PeerMessage::ConfirmLeadership { token } => self.handle_confirm_leadership(from, token),
            PeerMessage::LeadershipConfirmed { token } => {
                let token = ReadToken::from_raw(token);
                self.state.borrow_mut().complete_read(token, Some(0));
            }
            PeerMessage::ZoneUpdate { zone, update } => {
                self.handle_zone_update(from, &zone, &update);
            }
            PeerMessage::ZoneSnapshotRequest { zone } => {
                self.handle_zone_snapshot_request(from, zone);
            }
        }
        false
    }

    /// A peer tells all its sessions, and which control processes it knows.
    fn handle_sessions(
        &self,
        from: SocketAddr,
        sessions: Vec<Session>,
        control_nodes: &[ControlNode],
    ) -> bool {
        let mut state = self.state.borrow_mut();
        for node in control_nodes {
            state.peers.add(node.internal_addr);
        }
        let has_changed = state.peers.replace_sessions(from, sessions);
        if has_changed {
            state.sessions.invalidate_all();
        }
        has_changed
    }

    /// A peer tells changes of its sessions, and which control processes it knows if those are others than before.
    fn handle_session_changes(
        &self,
        from: SocketAddr,
        changed: Vec<Session>,
        removed: &[String],
        control_nodes: &[ControlNode],
    ) -> bool {
        let mut state = self.state.borrow_mut();
        for node in control_nodes {
            state.peers.add(node.internal_addr);
        }
        let has_changed = state.peers.update_sessions(from, changed, removed);
        if has_changed {
            state.sessions.invalidate_all();
        }
        has_changed
    }

    /// Sends peers the sessions here that have changed since they were sent last, those of one tick together.
    pub(super) fn send_session_changes(&self) {
        let mut state = self.state.borrow_mut();
        let control_nodes = state.peers.take_changed_live_nodes();
        if !state.sessions.has_changes() && control_nodes.is_none() {
            return;
        }
        let changes = state.sessions.take_changes();
        let message = PeerMessage::SessionChanges {
            changed: changes.changed,
            removed: changes.removed,
            control_nodes,
        };
        state.peers.broadcast_session_changes(&message);
    }

    /// Sends peers a heartbeat, all sessions to those that missed changes, and the leader what balancers counted.
    pub(super) fn send_heartbeats(&self) {
        let leader = if self.control_node.has_disk {
            self.leader_address()
        } else {
            None
        };
        let all_sessions = self.sessions_message();
        if let Some(leader) = leader.filter(|at| *at != self.control_node.internal_addr) {
            let counts = self.take_key_load();
            if !counts.is_empty() {
                let state = self.state.borrow();
                state.peers.send(leader, PeerMessage::KeyLoad(counts));
            }
        }
        let mut state = self.state.borrow_mut();
        state.peers.broadcast_heartbeat(leader, &all_sessions);
    }

    /// All sessions with this process, and the control processes that it knows.
    fn sessions_message(&self) -> PeerMessage {
        let state = self.state.borrow();
        PeerMessage::Sessions {
            sessions: state.sessions.local().cloned().collect(),
            control_nodes: state.peers.live_nodes(),
        }
    }

    /// What a peer is sent on a new connection: it may have missed anything.
    pub fn introduction_messages(&self) -> Vec<PeerMessage> {
        let mut messages = vec![self.sessions_message()];
        let state = self.state.borrow();
        let zones = state.zones.snapshots(self.uptime_ms());
        messages.extend(zones.map(|(zone, update)| PeerMessage::ZoneUpdate { zone, update }));
        messages
    }

    /// Forgets the sessions of peers that have been silent for too long: they are not known to stand.
    pub fn expire_silent_peers(&self) {
        let has_changed = {
            let mut state = self.state.borrow_mut();
            let has_changed = state.peers.expire_silent(Instant::now());
            if has_changed {
                state.sessions.invalidate_all();
            }
            has_changed
        };
        if has_changed {
            self.notify_changed();
        }
    }

    /// Control processes with a disk that are there, this one included, in order.
    pub fn control_nodes(&self) -> Vec<ControlNode> {
        let mut nodes = self.state.borrow().peers.live_nodes();
        nodes.retain(|node| node.has_disk);
        if self.control_node.has_disk {
            nodes.push(self.control_node.clone());
        }
        nodes.sort();
        nodes
    }
}
