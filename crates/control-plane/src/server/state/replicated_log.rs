//! This process's Raft node, and the state that results from the entries that it has applied.

use std::net::SocketAddr;
use std::sync::Arc;

use protocol::compact_config::CompactConfig;
use protocol::key_ranges::KeyRangeMap;
use protocol::wire::{Indexed, WatchRequest, WatchUpdate};
use raft::{NodeId, RaftNode, Snapshot};

use crate::configuration::{Command, CommandOutcome, ReplicatedState};
use crate::server::{COMPACT_AFTER_BYTES, COMPACT_AFTER_ENTRIES, FatalError};

/// The Raft node and the replicated state as of the applied index.
///
/// Invariant: the state is the result of applying the commands up to `applied_index` to an empty state, in order;
/// nothing else changes it. Only `server::log_driver` applies entries and steps the node, so the work that the node
/// requests is carried out after each step. Data that is synced to disk survives the process: on restart the state is
/// read from the last snapshot, and the entries after it are applied once they are known to be committed.
pub(crate) struct ReplicatedLog {
    node: RaftNode,
    state: ReplicatedState,
    applied_index: u64,
    /// Bytes of the commands applied since the last compaction.
    uncompacted_bytes: usize,
    /// The configuration in the form that is sent to balancers. It is built once for all sessions, on first use.
    compact_config: Option<Indexed<Arc<CompactConfig>>>,
    /// The leader at the time of the last log message about leadership.
    reported_leader: Option<NodeId>,
    /// Whether this process has become leader and has not yet announced it to its peers.
    has_won_election: bool,
}

impl ReplicatedLog {
    /// Creates a log of which no entry is applied.
    pub(crate) fn new(node: RaftNode) -> Self {
        Self {
            node,
            state: ReplicatedState::default(),
            applied_index: 0,
            uncompacted_bytes: 0,
            compact_config: None,
            reported_leader: None,
            has_won_election: false,
        }
    }

    /// Returns the Raft node.
    pub(crate) fn node(&self) -> &RaftNode {
        &self.node
    }

    /// Returns the Raft node for `ControlServer::with_state` and the code it calls: the work that the node requests
    /// after a step must be carried out before anything else happens.
    pub(crate) fn node_mut(&mut self) -> &mut RaftNode {
        &mut self.node
    }

    /// Returns the replicated state, as of the applied index.
    pub(crate) fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Returns the index of the last applied entry.
    pub(crate) fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Returns the address of a member, if the log contains a valid one.
    pub(crate) fn member_address(&self, id: NodeId) -> Option<SocketAddr> {
        let (_, address) = self
            .node
            .members()
            .all()
            .find(|(member, _)| *member == id)?;
        address.parse().ok()
    }

    /// Returns the valid addresses of all members.
    pub(crate) fn member_addresses(&self) -> Vec<SocketAddr> {
        let members = self.node.members().all();
        members
            .filter_map(|(_, address)| address.parse().ok())
            .collect()
    }

    /// Logs the leader if it has changed since the last call, and records whether this process has become leader.
    pub(crate) fn report_leader_change(&mut self, own_id: NodeId) {
        let status = self.node.status();
        if status.leader == self.reported_leader {
            return;
        }
        self.reported_leader = status.leader;
        self.has_won_election = status.leader == Some(own_id);
        let leader = status
            .leader
            .map(|id| format!("{id:016x}"))
            .unwrap_or_default();
        tracing::info!(
            leader,
            term = status.term,
            is_own = self.has_won_election,
            "leader of the log changed"
        );
    }

    /// Whether this process has become leader since the last call. The caller announces it to the peers immediately.
    pub(crate) fn take_won_election(&mut self) -> bool {
        std::mem::take(&mut self.has_won_election)
    }

    /// Replaces the state by that of a snapshot. An initial snapshot contains no data and leaves the state unchanged.
    pub(crate) fn restore(&mut self, snapshot: &Snapshot) -> Result<(), FatalError> {
        (self.applied_index, self.uncompacted_bytes) = (snapshot.index, 0);
        if !snapshot.data.is_empty() {
            self.state = crate::snapshot::decode(&snapshot.data)?;
        }
        Ok(())
    }

    /// Records that the entry at this index, with a command of this size, is being applied.
    pub(crate) fn advance_applied(&mut self, index: u64, command_bytes: usize) {
        self.applied_index = index;
        self.uncompacted_bytes += command_bytes;
    }

    /// Applies the command at this index.
    pub(crate) fn apply(&mut self, index: u64, command: &Command) -> CommandOutcome {
        let outcome = self.state.apply(index, command);
        if outcome == CommandOutcome::Applied {
            self.log_applied(index, command);
        }
        outcome
    }

    fn log_applied(&self, index: u64, command: &Command) {
        match command {
            Command::AssignKeys { service, .. } => {
                tracing::debug!(index, service, "key assignment applied");
            }
            Command::ZoneStep { zone, step } => {
                let evacuations = self.state.evacuation_count(zone);
                tracing::info!(index, zone, ?step, evacuations, "zone command applied");
            }
            _ => {
                let revision = self.state.revision;
                tracing::info!(index, revision, "configuration applied");
            }
        }
    }

    /// Compacts the log if it is too long. Returns the snapshot with which the disk replaces the entries.
    pub(crate) fn compact_if_due(&mut self) -> Option<Snapshot> {
        let is_due = self.node.log_len() > COMPACT_AFTER_ENTRIES
            || self.uncompacted_bytes > COMPACT_AFTER_BYTES;
        if !is_due {
            return None;
        }
        let data = crate::snapshot::encode(&self.state)
            .inspect_err(|error| tracing::error!(%error, "failed to encode a snapshot, the log is not compacted"))
            .ok()?;
        let snapshot = self.node.compact(self.applied_index, data)?;
        self.uncompacted_bytes = 0;
        Some(snapshot)
    }

    /// Returns the configuration, with its index, in the form that is sent to balancers. Applied configurations are
    /// always valid.
    fn compact_config(&mut self) -> Option<Indexed<Arc<CompactConfig>>> {
        let index = self.state.config_index;
        if self
            .compact_config
            .as_ref()
            .is_none_or(|known| known.index != index)
        {
            let config = serde_json::from_str(&self.state.config).inspect_err(|error| {
                tracing::error!(%error, index, "failed to parse the current configuration");
            });
            self.compact_config = Some(Indexed {
                index,
                value: Arc::new(CompactConfig::from_config(&config.ok()?)),
            });
        }
        self.compact_config.clone()
    }

    /// Adds the replicated state that the balancer lacks to `update`, and updates `known` as if the balancer had
    /// received it.
    pub(crate) fn add_changes_since(&mut self, known: &mut WatchRequest, update: &mut WatchUpdate) {
        if self.state.config_index > known.config_index {
            update.config = self.compact_config();
            known.config_index = self.state.config_index;
        }
        let state = &self.state;
        if state.evacuations_index > known.evacuations_index {
            known.evacuations_index = state.evacuations_index;
            let zones = state
                .evacuated_zones()
                .map(|(zone, _)| zone.clone())
                .collect();
            update.evacuated_zones = Some(Indexed {
                index: state.evacuations_index,
                value: zones,
            });
        }
        if state.keys_index > known.key_ranges_index {
            let changed_ranges = |(service, ranges): (&String, &KeyRangeMap)| {
                let changed = ranges.changed_since(known.key_ranges_index);
                (!changed.is_empty()).then(|| (service.clone(), changed))
            };
            let changes = state.keys.iter().filter_map(changed_ranges).collect();
            known.key_ranges_index = state.keys_index;
            update.key_ranges = Some(Indexed {
                index: state.keys_index,
                value: changes,
            });
        }
    }
}
