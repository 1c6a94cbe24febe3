//! This process's member of the log, and the state that follows from the entries it has applied.

use std::net::SocketAddr;
use std::sync::Arc;

use protocol::compact_config::CompactConfig;
use protocol::key_ranges::KeyRangeMap;
use protocol::wire::{Indexed, WatchRequest, WatchUpdate};
use raft::{NodeId, RaftNode, Snapshot};

use crate::configuration::{Command, CommandOutcome, ReplicatedState};
use crate::server::{COMPACT_AFTER_BYTES, COMPACT_AFTER_ENTRIES, FatalError};

/// The member of the log and the state of its entries up to the applied one.
///
/// Invariant: the state is what the commands up to `applied_index` make of an empty one, in their order; nothing else
/// changes it. Only `server::log_driver` applies entries and reaches the member, so that each step of the member is
/// followed by carrying out what it asks for. What the disk has synced survives the process; the state is read from the
/// last snapshot and the entries after it are applied once they are known to be committed.
pub(crate) struct ReplicatedLog {
    node: RaftNode,
    state: ReplicatedState,
    applied_index: u64,
    /// Bytes of the commands applied since the last compaction.
    uncompacted_bytes: usize,
    /// Made once for all sessions, when the first asks for it.
    compact_config: Option<Indexed<Arc<CompactConfig>>>,
    /// Who led when that was last reported.
    reported_leader: Option<NodeId>,
    /// It has begun to lead, and has not announced it to the others yet.
    has_won_election: bool,
}

impl ReplicatedLog {
    /// With nothing applied.
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

    /// The member of the log.
    pub(crate) fn node(&self) -> &RaftNode {
        &self.node
    }

    /// The member of the log, for `ControlServer::with_state` and what runs inside it: what the member wants done
    /// after a step must be carried out before anything else happens.
    pub(crate) fn node_mut(&mut self) -> &mut RaftNode {
        &mut self.node
    }

    /// What is agreed on, as of the applied index.
    pub(crate) fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// The last entry that is applied.
    pub(crate) fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// The address of a member, where the log names one that can be read.
    pub(crate) fn member_address(&self, id: NodeId) -> Option<SocketAddr> {
        let (_, address) = self
            .node
            .members()
            .all()
            .find(|(member, _)| *member == id)?;
        address.parse().ok()
    }

    /// The addresses of all members.
    pub(crate) fn member_addresses(&self) -> Vec<SocketAddr> {
        let members = self.node.members().all();
        members
            .filter_map(|(_, address)| address.parse().ok())
            .collect()
    }

    /// Logs who leads, if that is another than at the last call.
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

    /// Whether this process has begun to lead since the last call: it tells the others at once.
    pub(crate) fn take_won_election(&mut self) -> bool {
        std::mem::take(&mut self.has_won_election)
    }

    /// Replaces the state by a snapshot's. An initial snapshot carries none: the state stays as it is.
    pub(crate) fn restore(&mut self, snapshot: &Snapshot) -> Result<(), FatalError> {
        (self.applied_index, self.uncompacted_bytes) = (snapshot.index, 0);
        if !snapshot.data.is_empty() {
            self.state = crate::snapshot::decode(&snapshot.data)?;
        }
        Ok(())
    }

    /// The entry at this index, with so many bytes of a command, is being applied.
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

    /// Compacts the log where it is long. Returns the snapshot that the disk has to keep in place of the entries.
    pub(crate) fn compact_if_due(&mut self) -> Option<Snapshot> {
        let is_due = self.node.log_len() > COMPACT_AFTER_ENTRIES
            || self.uncompacted_bytes > COMPACT_AFTER_BYTES;
        if !is_due {
            return None;
        }
        let data = crate::snapshot::encode(&self.state)
            .inspect_err(|error| tracing::error!(%error, "the log can't be compacted"))
            .ok()?;
        let snapshot = self.node.compact(self.applied_index, data)?;
        self.uncompacted_bytes = 0;
        Some(snapshot)
    }

    /// The configuration in the form that balancers are sent, with its index. Only valid ones are ever applied.
    fn compact_config(&mut self) -> Option<Indexed<Arc<CompactConfig>>> {
        let index = self.state.config_index;
        if self
            .compact_config
            .as_ref()
            .is_none_or(|known| known.index != index)
        {
            let config = serde_json::from_str(&self.state.config).inspect_err(|error| {
                tracing::error!(%error, index, "the configuration in force can't be read");
            });
            self.compact_config = Some(Indexed {
                index,
                value: Arc::new(CompactConfig::from_config(&config.ok()?)),
            });
        }
        self.compact_config.clone()
    }

    /// Adds to `update` what is agreed on and the balancer lacks; `has` counts it as had from then on.
    pub(crate) fn add_changes_since(&mut self, has: &mut WatchRequest, update: &mut WatchUpdate) {
        if self.state.config_index > has.config_index {
            update.config = self.compact_config();
            has.config_index = self.state.config_index;
        }
        let state = &self.state;
        if state.evacuations_index > has.evacuations_index {
            has.evacuations_index = state.evacuations_index;
            let zones = state
                .evacuated_zones()
                .map(|(zone, _)| zone.clone())
                .collect();
            update.evacuated_zones = Some(Indexed {
                index: state.evacuations_index,
                value: zones,
            });
        }
        if state.keys_index > has.key_ranges_index {
            let changed_ranges = |(service, ranges): (&String, &KeyRangeMap)| {
                let changed = ranges.changed_since(has.key_ranges_index);
                (!changed.is_empty()).then(|| (service.clone(), changed))
            };
            let changes = state.keys.iter().filter_map(changed_ranges).collect();
            has.key_ranges_index = state.keys_index;
            update.key_ranges = Some(Indexed {
                index: state.keys_index,
                value: changes,
            });
        }
    }
}
