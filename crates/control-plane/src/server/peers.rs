//! The other control processes: which ones are reachable, and the messages exchanged with them.
//!
//! Each process dials every other one and sends only on the connection that it opened (`connections`). The sessions of
//! a peer that stays silent are dropped; the peer itself stays listed, and dialling continues. Messages that don't fit
//! into a peer's queue are dropped: Raft resends its messages, all sessions are sent with a later heartbeat, and zone
//! lists are sent on request.

use std::net::SocketAddr;

use protocol::wire::{ControlNode, PeerMessage, Session};
use raft::NodeId;
use tokio::time::Instant;

use super::ControlServer;
use super::state::{MessageAdmission, ReadToken};

impl ControlServer {
    /// Adds the control processes that the settings file lists as seeds, including those added since startup.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        let mut state = self.state.borrow_mut();
        for seed in seeds {
            state.peers.add(self.settings.internal_addr_of(*seed));
        }
    }

    /// Adds all members of the log as peers to dial, whether or not they have connected to this process.
    pub(super) fn add_members_as_peers(&self) {
        let mut state = self.state.borrow_mut();
        for address in state.log.member_addresses() {
            state.peers.add(address);
        }
    }

    /// Records that a peer has connected and sent its handshake.
    pub fn on_peer_connected(&self, id: NodeId, node: ControlNode) {
        self.state.borrow_mut().peers.on_connected(id, node);
    }

    /// Handles a message from a peer. Returns whether the connection may continue: a peer that was silent for too long
    /// has to reconnect, because its sessions were dropped.
    pub fn handle_peer_message(&self, from: SocketAddr, message: PeerMessage) -> bool {
        let has_returned = {
            let mut state = self.state.borrow_mut();
            match state.peers.on_message(from, Instant::now()) {
                MessageAdmission::Rejected => return false,
                MessageAdmission::Accepted => false,
                MessageAdmission::AcceptedAfterSilence => {
                    state.sessions.invalidate_all();
                    true
                }
            }
        };
        let has_changed = self.dispatch_peer_message(from, message);
        if has_returned || has_changed {
            self.notify_changed();
        }
        true
    }

    /// Passes a message to its handler. Returns whether the peers' sessions have changed; handlers notify watchers of
    /// any other change.
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

    /// Handles the full list of a peer's sessions and the control processes that it knows.
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

    /// Handles changes of a peer's sessions, and the control processes that it knows if they have changed.
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

    /// Sends peers the sessions of this process that have changed since they were last sent. Changes within one tick
    /// are sent together.
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

    /// Sends a heartbeat to all peers, all sessions to the peers that missed changes, and the balancers' request counts
    /// to the leader.
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

    /// Returns a message with all sessions of this process and the control processes that it knows.
    fn sessions_message(&self) -> PeerMessage {
        let state = self.state.borrow();
        PeerMessage::Sessions {
            sessions: state.sessions.local().cloned().collect(),
            control_nodes: state.peers.live_nodes(),
        }
    }

    /// Returns the messages to send first on a new connection: all sessions of this process and all zone lists, because
    /// the peer may have missed any earlier message.
    pub fn introduction_messages(&self) -> Vec<PeerMessage> {
        let mut messages = vec![self.sessions_message()];
        let state = self.state.borrow();
        let zones = state.zones.snapshots(self.uptime_ms());
        messages.extend(zones.map(|(zone, update)| PeerMessage::ZoneUpdate { zone, update }));
        messages
    }

    /// Drops the sessions of peers that have been silent for too long, because they may have ended.
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

    /// Returns the reachable control processes that have a disk, including this one, in sorted order.
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
