//! What the tests share: the timing of the control plane, initial members, and the host's part for
//! one node.

use raft::{Members, Message, NodeId, PersistentState, RaftNode, Ready, Role, Snapshot, Timing};

/// As the control process sets it.
pub(crate) const TIMING: Timing = Timing {
    heartbeat_interval_ms: 300,
    election_timeout_ms: 1000,
};

/// Voters with these ids.
pub(crate) fn voters(ids: impl IntoIterator<Item = NodeId>) -> Members {
    Members {
        voters: ids.into_iter().map(|id| (id, id.to_string())).collect(),
        ..Members::default()
    }
}

/// What the disk of an initial member holds at its first start.
pub(crate) fn initial_state(members: Members) -> PersistentState {
    PersistentState {
        snapshot: Some(Snapshot::initial(members)),
        ..PersistentState::default()
    }
}

/// A node that starts with the state of its disk.
pub(crate) fn start_node(id: NodeId, seed: u64, stored: PersistentState) -> RaftNode {
    RaftNode::new(id, TIMING, seed, stored, Members::default())
}

/// The disk of a node syncs all that `ready` asks for.
pub(crate) fn sync(node: &mut RaftNode, ready: &Ready) {
    for request in &ready.persist_requests {
        node.on_persisted(request.sequence);
    }
}

/// Carries out what a node asks for until it asks for no sync, with a disk that syncs at once. All
/// its messages.
pub(crate) fn sync_all(node: &mut RaftNode) -> Vec<Message> {
    let mut messages = Vec::new();
    loop {
        let ready = node.take_ready();
        sync(node, &ready);
        let is_synced = ready.persist_requests.is_empty();
        messages.extend(ready.messages);
        if is_synced {
            return messages;
        }
    }
}

/// Whether a node leads.
pub(crate) fn is_leader(node: &RaftNode) -> bool {
    node.status().role == Role::Leader
}
