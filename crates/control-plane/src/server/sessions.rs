//! Sessions of the data plane, and the updates that are sent on them.
//!
//! A balancer keeps a session with one or two control processes. Each process tells the others of its own sessions
//! (`peers`), so every process knows the whole fleet. A balancer that loses its control process opens a session with
//! another one.

use std::rc::Rc;

use protocol::wire::{self, FleetView, Session, WatchRequest, WatchUpdate};

use super::ControlServer;
use super::state::SessionId;

impl ControlServer {
    /// Opens a balancer's session with this process.
    pub fn open_session(&self, session: Session) -> SessionId {
        let id = self.state.borrow_mut().sessions.next_id();
        self.update_session(id, session);
        id
    }

    /// Records what a balancer reports of itself on its session.
    pub fn update_session(&self, id: SessionId, session: Session) {
        let has_changed = self.state.borrow_mut().sessions.update(id, session);
        if has_changed {
            self.notify_changed();
        }
    }

    /// Ends a session. The same balancer may have opened another one already.
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

    /// Returns all open sessions with any control process, one for each node, ordered by node.
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

    /// Returns the changes since the versions in `known`, or `None` if there are none, and updates `known` as if the
    /// balancer had received them. Out of contact the update contains no replicated state and no smaller fleet, because
    /// missing balancers may merely be on the other side of a partition.
    pub fn watch_update(
        &self,
        node: &str,
        known: &mut WatchRequest,
        in_contact: bool,
    ) -> Option<WatchUpdate> {
        let mut fleet = self.fleet_view(node);
        let control_nodes = self.control_nodes();
        let mut state = self.state.borrow_mut();
        let mut update = WatchUpdate::default();
        if in_contact {
            state.log.add_changes_since(known, &mut update);
        } else if let Some(known_fleet) = known
            .fleet
            .filter(|known_fleet| known_fleet.balancers > fleet.balancers)
        {
            fleet = known_fleet;
        }
        let uptime_ms = self.uptime_ms();
        state.zones.add_changes_since(known, &mut update, uptime_ms);
        if known.fleet != Some(fleet) {
            known.fleet = Some(fleet);
            update.fleet = Some(fleet);
        }
        let digest = wire::digest(&control_nodes);
        if known.control_nodes_digest != digest {
            known.control_nodes_digest = digest;
            update.control_nodes = Some(control_nodes);
        }
        (update != WatchUpdate::default()).then_some(update)
    }
}
