//! The open sessions of a balancer, the state of each, and which one is the primary. Changed only by the
//! [`ControlClient`](super::ControlClient) and its sessions.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use protocol::wire::FleetView;

/// The state of a session. A session passes through the states in this order, never back, and may end in any of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionState {
    /// The connection is being established and the handshake sent.
    Connecting,
    /// The handshake and the watch request have been sent; no update has been received.
    AwaitingUpdate,
    /// An update has been received; from now on the session keeps the balancer in the directory.
    Established {
        /// The fleet view last received from this control node.
        fleet: Option<FleetView>,
    },
}

/// The sessions by the address of their control node; at most one per node.
#[derive(Default)]
pub(super) struct SessionTable {
    sessions: BTreeMap<SocketAddr, SessionState>,
    /// The session that reports the key load; always an established one.
    primary: Option<SocketAddr>,
}

impl SessionTable {
    /// Adds a session that is being opened.
    pub(super) fn open(&mut self, peer: SocketAddr) {
        self.sessions.insert(peer, SessionState::Connecting);
    }

    /// Records that the handshake and the watch request have been sent.
    pub(super) fn await_update(&mut self, peer: SocketAddr) {
        self.sessions.insert(peer, SessionState::AwaitingUpdate);
    }

    /// Records that an update has been received. Returns whether it was the first one.
    pub(super) fn establish(&mut self, peer: SocketAddr) -> bool {
        if let Some(SessionState::Established { .. }) = self.sessions.get(&peer) {
            return false;
        }
        let established = SessionState::Established { fleet: None };
        self.sessions.insert(peer, established);
        true
    }

    /// Removes a session that has ended and returns its last state. Does not change the primary; see
    /// [`Self::release_primary`].
    pub(super) fn close(&mut self, peer: SocketAddr) -> Option<SessionState> {
        self.sessions.remove(&peer)
    }

    /// Makes this session the primary if there is none. Returns whether there was none.
    pub(super) fn claim_primary(&mut self, peer: SocketAddr) -> bool {
        let is_vacant = self.primary.is_none();
        self.primary.get_or_insert(peer);
        is_vacant
    }

    /// Releases the primary role if this session has it. Returns whether it did.
    pub(super) fn release_primary(&mut self, peer: SocketAddr) -> bool {
        let was_primary = self.primary == Some(peer);
        if was_primary {
            self.primary = None;
        }
        was_primary
    }

    /// Returns whether another session is the primary.
    pub(super) fn is_secondary(&self, peer: SocketAddr) -> bool {
        self.primary.is_some_and(|primary| primary != peer)
    }

    /// Returns whether a session other than this one is established.
    pub(super) fn has_other_established(&self, peer: SocketAddr) -> bool {
        self.sessions.iter().any(|(other, state)| {
            *other != peer && matches!(state, SessionState::Established { .. })
        })
    }

    /// Records the fleet view of this session. Returns the view with the most balancers among all sessions.
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
