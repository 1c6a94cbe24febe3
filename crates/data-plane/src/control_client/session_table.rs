//! The sessions of a balancer that are open, the state of each, and which one is the primary. Only the
//! [`ControlClient`](super::ControlClient) changes it; it is empty while no control node is called.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use protocol::wire::FleetView;

/// How far a session has come. It goes through the states in this order and never back, and may end in any of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionState {
    /// The connection is being made, and the handshake sent.
    Connecting,
    /// Handshake and watch request are sent; no update has come.
    AwaitingUpdate,
    /// An update has come: the directory counts on this session.
    Established {
        /// The fleet as last received from this control node.
        fleet: Option<FleetView>,
    },
}

/// The sessions by the address of their control node; there is one to a node at most.
#[derive(Default)]
pub(super) struct SessionTable {
    sessions: BTreeMap<SocketAddr, SessionState>,
    /// The session that reports work; always an established one.
    primary: Option<SocketAddr>,
}

impl SessionTable {
    /// A session with this node begins.
    pub(super) fn open(&mut self, peer: SocketAddr) {
        self.sessions.insert(peer, SessionState::Connecting);
    }

    /// Handshake and watch request are sent.
    pub(super) fn await_update(&mut self, peer: SocketAddr) {
        self.sessions.insert(peer, SessionState::AwaitingUpdate);
    }

    /// An update has come. Returns whether it was the first one.
    pub(super) fn establish(&mut self, peer: SocketAddr) -> bool {
        if let Some(SessionState::Established { .. }) = self.sessions.get(&peer) {
            return false;
        }
        let established = SessionState::Established { fleet: None };
        self.sessions.insert(peer, established);
        true
    }

    /// The session is over. Returns the state that it had reached; who was the primary is for
    /// [`Self::release_primary`].
    pub(super) fn close(&mut self, peer: SocketAddr) -> Option<SessionState> {
        self.sessions.remove(&peer)
    }

    /// Makes this session the primary if there is none. Returns whether it became that.
    pub(super) fn claim_primary(&mut self, peer: SocketAddr) -> bool {
        let is_vacant = self.primary.is_none();
        self.primary.get_or_insert(peer);
        is_vacant
    }

    /// Leaves no session the primary if this one was. Returns whether it was.
    pub(super) fn release_primary(&mut self, peer: SocketAddr) -> bool {
        let was_primary = self.primary == Some(peer);
        if was_primary {
            self.primary = None;
        }
        was_primary
    }

    /// Whether another session is the primary.
    pub(super) fn is_secondary(&self, peer: SocketAddr) -> bool {
        self.primary.is_some_and(|primary| primary != peer)
    }

    /// Whether a session other than this one is established.
    pub(super) fn has_other_established(&self, peer: SocketAddr) -> bool {
        self.sessions.iter().any(|(other, state)| {
            *other != peer && matches!(state, SessionState::Established { .. })
        })
    }

    /// Notes the fleet as this session sees it. Returns the view of the most balancers among all sessions.
    pub(super) fn set_fleet(&mut self, peer: SocketAddr, view: FleetView) -> Option<FleetView> {
        let fleet = Some(view);
        self.sessions
            .insert(peer, SessionState::Established { fleet });
        let views = self.sessions.values().filter_map(|state| match state {
            SessionState::Established { fleet } => *fleet,
            SessionState::Connecting | SessionState::AwaitingUpdate => None,
        });
        views.max_by_key(|view| view.balancers)
    }
}
