//! The follower's side of log replication (Raft paper, section 5.3).
//!
//! A member acknowledges only entries that its own disk has synced, and never truncates committed
//! entries.

use super::RaftNode;
use crate::persistence::PersistSequence;
use crate::{
    AppendConflict, AppendEntries, AppendResponse, Entry, LogPosition, Message, MessageBody,
    NodeId, Snapshot,
};

impl RaftNode {
    /// Handles entries, or a heartbeat, from the leader of the current term.
    pub(super) fn handle_append_entries(&mut self, from: NodeId, request: AppendEntries) {
        self.accept_leader(from);
        self.append_from_leader(from, request);
    }

    /// Appends the leader's entries if their preceding entry is in this log, and acknowledges them.
    pub(super) fn append_from_leader(&mut self, from: NodeId, request: AppendEntries) {
        let mut prev = request.prev();
        let mut entries = request.entries;
        let snapshot = self.log.snapshot().position();
        if prev.index < snapshot.index {
            // The snapshot covers only committed entries, so the leader's log has the same ones.
            entries.retain(|entry| entry.index > snapshot.index);
            prev = snapshot;
            let follows = |first: &Entry| first.index == prev.index + 1;
            if !entries.first().is_none_or(follows) {
                entries.clear();
            }
        }
        if !self.log.contains(prev) {
            return self.send_conflict(from, prev, request.sequence);
        }
        let match_index = prev.index + entries.len() as u64;
        let first_new = entries
            .iter()
            .position(|entry| !self.log.contains(entry.position()));
        let persisted = first_new.map(|first| self.overwrite_log(entries.split_off(first)));
        self.commit_to(request.leader_commit.min(match_index));
        self.acknowledge(from, match_index, request.sequence, persisted);
    }

    /// Replaces the log from the first of `entries` on. Returns the number of the request that
    /// persists them.
    fn overwrite_log(&mut self, entries: Vec<Entry>) -> PersistSequence {
        let last_kept = entries
            .first()
            .map_or(self.log.last_index(), |first| first.index - 1);
        self.log.truncate(last_kept);
        self.persistence.limit_synced_index(last_kept);
        self.log.append(entries.clone());
        self.persist(entries, None)
    }

    /// Rejects an append and suggests where the logs may match: at the last index, at or before
    /// `prev`, whose term is not newer, and no earlier than the commit index.
    fn send_conflict(&mut self, to: NodeId, prev: LogPosition, sequence: u64) {
        let commit_index = self.log.commit_index();
        let index = self.log.find_conflict_by_term(prev, commit_index);
        let index = index.max(commit_index);
        let response = AppendConflict {
            rejected_index: prev.index,
            hint: LogPosition {
                index,
                term: self.log.term_at(index).unwrap_or(0),
            },
            sequence,
        };
        self.send(to, MessageBody::AppendConflict(response));
    }

    /// Informs a leader of an older term that there is a newer one.
    pub(super) fn reject_stale_leader(&mut self, message: &Message) {
        let sequence = match &message.body {
            MessageBody::AppendEntries(request) => request.sequence,
            MessageBody::Chunk(chunk) => chunk.sequence,
            _ => return,
        };
        let response = AppendResponse {
            accepted: false,
            match_index: self.log.last_index(),
            sequence,
        };
        self.send(message.from, MessageBody::AppendResponse(response));
    }

    /// Acknowledges that the log matches the leader's up to `match_index`, or up to the commit
    /// index if that is higher. What is already synced is acknowledged immediately, the rest once
    /// it is synced. `persisted` is the request that writes new entries, if any.
    pub(super) fn acknowledge(
        &mut self,
        to: NodeId,
        match_index: u64,
        sequence: u64,
        persisted: Option<PersistSequence>,
    ) {
        let match_index = match_index.max(self.log.commit_index());
        let synced_index = self.persistence.synced_index();
        let acknowledgement = |match_index| {
            MessageBody::AppendResponse(AppendResponse {
                accepted: true,
                match_index,
                sequence,
            })
        };
        if persisted.is_none() || match_index <= synced_index {
            // Responds without waiting for the disk, which may stall: the member is still in
            // contact.
            self.send(to, acknowledgement(match_index.min(synced_index)));
        }
        let is_deferred = || {
            let persistence = &self.persistence;
            persistence.has_deferred_acknowledgement(to, self.term, match_index)
        };
        if match_index > synced_index && !is_deferred() {
            let covering = self.persistence.request_covering(match_index);
            if let Some(request) = persisted.max(covering) {
                let message = self.message(to, acknowledgement(match_index));
                self.persistence.defer(request, message);
            }
        }
    }

    /// Replaces the log with the leader's snapshot, unless the log already has the entries that it
    /// covers (Raft paper, section 7).
    pub(super) fn install_snapshot(&mut self, from: NodeId, snapshot: Snapshot, sequence: u64) {
        let index = snapshot.index;
        if self.log.contains(snapshot.position()) {
            // The entries after the snapshot are kept, since they may have been acknowledged.
            self.commit_to(index);
        }
        if index <= self.log.commit_index() {
            return self.acknowledge(from, index, sequence, None);
        }
        // Of the entries that are synced or being written, only the committed ones are known to
        // match the leader's log.
        self.persistence.limit_synced_index(self.log.commit_index());
        self.log.restore(snapshot.clone());
        self.ready.committed_entries.clear();
        self.ready.restored_snapshot = Some(snapshot.clone());
        let persisted = self.persist(Vec::new(), Some(snapshot));
        self.acknowledge(from, index, sequence, Some(persisted));
    }

    /// Marks the entries up to `index` as committed and passes them to the host in order.
    pub(super) fn commit_to(&mut self, index: u64) {
        self.log.advance_commit_index(index);
        let commit_index = self.log.commit_index();
        self.incoming_transfer
            .take_if(|transfer| transfer.id().index <= commit_index);
        while let Some(entry) = self.log.next_committed_entry() {
            self.ready.committed_entries.push(entry);
        }
        self.contact.on_applied(self.log.applied_index());
    }
}
