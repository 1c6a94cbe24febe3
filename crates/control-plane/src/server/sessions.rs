//! Sessions of the data plane, and the updates that a session is sent.
//!
//! A balancer keeps a session with one or two control processes. Each process tells the others of its own (`peers`), so
//! that every one knows the whole fleet. A balancer whose control process is gone opens a session with another.

use std::rc::Rc;

use protocol::wire::{self, FleetView, Session, WatchRequest, WatchUpdate};

use super::ControlServer;
use super::state::SessionId;

impl ControlServer {
    /// A balancer opens a session with this process.
    pub fn open_session(&self, session: Session) -> SessionId {
        let id = self.state.borrow_mut().sessions.next_id();
        self.update_session(id, session);
        id
    }

    /// A balancer says something of itself on its session.
    pub fn update_session(&self, id: SessionId, session: Session) {
        let is_new = self.state.borrow_mut().sessions.update(id, session);
        if is_new {
            self.notify_changed();
        }
    }

    /// A session has ended; another of the same balancer may stand already.
    pub fn end_session(&self, id: SessionId, node: &str) {
        let has_ended = self.state.borrow_mut().sessions.end(id, node);
        if has_ended {
            self.notify_changed();
        }
    }

    /// Whether a balancer has a session with this process.
    pub fn has_session(&self, node: &str) -> bool {
        self.state.borrow().sessions.contains(node)
    }

    /// All sessions that stand, with any control process, one a node, ordered by node.
    pub fn all_sessions(&self) -> Rc<Vec<Session>> {
        self.state.borrow_mut().all_sessions()
    }

    fn fleet_view(&self, node: &str) -> FleetView {
        let sessions = self.all_sessions();
        let position = sessions.binary_search_by(|s| s.balancer.node.as_str().cmp(node));
        FleetView {
            balancers: sessions.len().max(1) as u32,
            position: position.unwrap_or(0) as u32,
        }
    }

    /// What a balancer that has this lacks; `has` counts it as had from then on. Out of contact nothing is told of what
    /// is agreed on, and no smaller fleet: whoever is missing may be beyond a partition.
    pub fn watch_update(
        &self,
        node: &str,
        has: &mut WatchRequest,
        in_contact: bool,
    ) -> Option<WatchUpdate> {
        let mut fleet = self.fleet_view(node);
        let control_nodes = self.control_nodes();
        let mut state = self.state.borrow_mut();
        let mut update = WatchUpdate::default();
        if in_contact {
            state.log.add_changes_since(has, &mut update);
        } else if let Some(known) = has.fleet.filter(|known| known.balancers > fleet.balancers) {
            fleet = known;
        }
        let uptime_ms = self.uptime_ms();
        state.zones.add_changes_since(has, &mut update, uptime_ms);
        if has.fleet != Some(fleet) {
            has.fleet = Some(fleet);
            update.fleet = Some(fleet);
        }
        let digest = wire::digest(&control_nodes);
        if has.control_nodes_digest != digest {
            has.control_nodes_digest = digest;
            update.control_nodes = Some(control_nodes);
        }
        (update != WatchUpdate::default()).then_some(update)
    }
}
