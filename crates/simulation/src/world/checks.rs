//! Checks that need the state of more than one machine. Checks against earlier observations are in `history`.

use raft::{Entry, Members, NodeId, Role};

use super::World;
use crate::schedule::Profile;

/// A command has to be acknowledged within this time after the last acknowledgement and the last disturbance, in
/// milliseconds. See [`World::last_disturbance_ms`].
const PROGRESS_TIMEOUT_MS: u64 = 14_000;

impl World<'_> {
    /// Checks [`Invariant::Liveness`](crate::Invariant::Liveness): commands are acknowledged regularly while no more
    /// machines are lost than the deployment tolerates.
    pub(super) fn check_liveness(&mut self) {
        let since_ms = self.last_disturbance_ms.max(self.last_acknowledged_ms);
        let is_progress_required =
            self.schedule.profile == Profile::Tolerated || self.now_ms >= self.quiet_from_ms();
        if is_progress_required && self.now_ms > since_ms + PROGRESS_TIMEOUT_MS {
            let voters: Vec<NodeId> = self.history.members().voters.keys().copied().collect();
            let running = self.machines.iter().filter(|m| m.process.is_some());
            let running: Vec<NodeId> = running.map(|m| m.id).collect();
            let count = voters.len();
            self.history.on_stalled(format!(
                "no command acknowledged since {since_ms}: {count} voters {voters:?}, running {running:?}"
            ));
        }
    }

    /// Handles an entry applied by a machine. A leader that is the first to apply an entry has just committed it, so
    /// its durability is checked: [`Invariant::Durability`](crate::Invariant::Durability).
    pub(super) fn check_applied(&mut self, machine: usize, entry: &Entry) {
        self.history.on_written(entry);
        let is_first = !self.history.is_committed(entry.index);
        self.history.on_applied(entry);
        let Some(process) = &self.machines[machine].process else {
            return;
        };
        if !is_first || process.raft.status().role != Role::Leader {
            return;
        }
        let (machines, lost_members) = (&self.machines, &self.lost_members);
        let is_synced = |id: NodeId| match machines.iter().find(|m| m.id == id) {
            Some(m) => m.disk.has_entry(entry),
            None => lost_members.contains(&id),
        };
        self.history
            .on_leader_commit(entry.index, process.raft.members(), is_synced);
    }

    /// Checks the members that a leader is about to make voters:
    /// [`Invariant::NewVoterIsCaughtUp`](crate::Invariant::NewVoterIsCaughtUp).
    pub(super) fn check_new_voters(&mut self, members: &Members) {
        let observed_index = self.history.observed_index();
        let Some(observed) = self.history.committed_entry(observed_index).cloned() else {
            return;
        };
        for id in self.history.new_voters(members) {
            // The disk of a member that has been replaced in the meantime no longer exists.
            if let Some(m) = self.machines.iter().find(|m| m.id == id) {
                self.history.on_new_voter(id, m.disk.has_entry(&observed));
            }
        }
    }
}
