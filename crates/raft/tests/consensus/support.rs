//! Helpers shared by the tests: the control plane's timing, initial members, and the host's duties
//! towards a single node.

use raft::{Members, Message, NodeId, PersistentState, RaftNode, Ready, Role, Snapshot, Timing};

/// The timing that the control process uses.
pub(crate) const TIMING: Timing = Timing {
    heartbeat_interval_ms: 300,
    election_timeout_ms: 1000,
};

/// Returns a membership of voters with the given ids.
pub(crate) fn voters(ids: impl IntoIterator<Item = NodeId>) -> Members {
    Members {
        voters: ids.into_iter().map(|id| (id, id.to_string())).collect(),
        ..Members::default()
    }
}

/// Returns what the disk of an initial member holds at its first start.
pub(crate) fn initial_state(members: Members) -> PersistentState {
    PersistentState {
        snapshot: Some(Snapshot::initial(members)),
        ..PersistentState::default()
    }
}

/// Starts a node from the state on its disk.
pub(crate) fn start_node(id: NodeId, seed: u64, stored: PersistentState) -> RaftNode {
    RaftNode::new(id, TIMING, seed, stored, Members::default())
}

/// Reports every persist request in `ready` as synced.
pub(crate) fn sync(node: &mut RaftNode, ready: &Ready) {
    for request in &ready.persist_requests {
        node.on_persisted(request.sequence);
    }
}

/// Processes a node's output until it requests no further sync, with a disk that syncs at once.
/// Returns all messages that the node sent.
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

/// Returns whether a node is the leader.
pub(crate) fn is_leader(node: &RaftNode) -> bool {
    node.status().role == Role::Leader
}
