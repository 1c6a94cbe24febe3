//! The leader's side of log replication (Raft paper, section 5.3).
//!
//! A leader finds the index at which a member's log matches its own ([`ProgressState::Probe`]). It
//! then pipelines entries within the member's flow-control window ([`ProgressState::Replicate`]),
//! or sends a snapshot or a large entry in chunks ([`ProgressState::Transfer`]). Heartbeats carry
//! no entries and are sent to every member regardless of what else is in flight. The leader's own
//! disk counts toward a majority like any other, once it has synced (Raft thesis, section 10.2.1).

use super::{RaftNode, Role};
use crate::entry::ENTRY_OVERHEAD_BYTES;
use crate::tracker::{Progress, ProgressState};
use crate::{
    AppendConflict, AppendEntries, AppendResponse, Entry, LogPosition, MessageBody, NodeId, Payload,
};

/// The maximum number of entries in one append.
const MAX_BATCH_ENTRIES: usize = 64;
/// The maximum payload of one append, in bytes. A larger entry is sent by itself, in chunks.
const MAX_BATCH_BYTES: usize = 16 << 10;
/// The size of unsynced entries, in bytes, beyond which the leader rejects proposals. While the
/// leader's disk stalls, entries can still commit on the disks of others, but those that its own
/// disk has not synced stay in memory.
const MAX_UNSYNCED_BYTES: usize = 8 << 20;

/// The entries of one append.
struct Batch {
    entries: Vec<Entry>,
    size_bytes: usize,
}

impl RaftNode {
    /// Proposes a command. Returns the index that it will have if it is committed in the current
    /// term, or `None` if this member does not lead, is shutting down, or has too many bytes not
    /// yet synced to its disk.
    pub fn propose(&mut self, data: Vec<u8>) -> Option<u64> {
        let is_disk_behind = self.persistence.unsynced_bytes() > MAX_UNSYNCED_BYTES;
        if self.role != Role::Leader || self.shutting_down || is_disk_behind {
            return None;
        }
        let index = self.append(Payload::Data(data));
        self.broadcast_entries();
        Some(index)
    }

    /// Appends an entry of the current term to the leader's log and returns its index.
    pub(super) fn append(&mut self, payload: Payload) -> u64 {
        let index = self.log.last_index() + 1;
        let entry = Entry {
            term: self.term,
            index,
            payload,
        };
        self.log.append(vec![entry.clone()]);
        self.persist(vec![entry], None);
        index
    }

    /// Sends every member its missing entries, or at least a heartbeat. Starts a new broadcast,
    /// whose responses confirm reads.
    pub(super) fn broadcast_heartbeat(&mut self) {
        let interval = self.timing.heartbeat_interval_ms;
        self.broadcasts.begin(self.now, interval);
        self.replicate_to_all(true);
    }

    /// Sends every member its missing entries.
    pub(super) fn broadcast_entries(&mut self) {
        self.replicate_to_all(false);
    }

    fn replicate_to_all(&mut self, with_heartbeat: bool) {
        let ids = self.other_members();
        self.tracker.retain(&ids);
        // Most logs match up to the entry before the leader's last one, so the first append carries
        // just that last entry.
        let next_index = self.log.last_index().max(1);
        for id in ids {
            self.tracker.track(id, next_index, self.now);
            self.replicate(id, with_heartbeat);
        }
    }

    /// Sends a member the missing entries that fit its window, and at least a heartbeat if
    /// `with_heartbeat`.
    pub(super) fn replicate(&mut self, to: NodeId, with_heartbeat: bool) {
        let Some(mut progress) = self.tracker.take(to) else {
            return;
        };
        let in_transfer = matches!(progress.state, ProgressState::Transfer(_));
        if !in_transfer && self.log.term_at(progress.next_index - 1).is_none() {
            self.start_snapshot_transfer(&mut progress);
        }
        let sent_append = match progress.state {
            ProgressState::Probe { awaiting_response } => {
                !awaiting_response && self.send_probe(to, &mut progress)
            }
            ProgressState::Replicate => self.send_entries(to, &mut progress),
            ProgressState::Transfer(_) => false,
        };
        self.send_chunks(to, &mut progress);
        if with_heartbeat && !sent_append {
            self.send_heartbeat(to, &mut progress);
        }
        self.tracker.put(to, progress);
    }

    /// Sends an append whose response tells whether the logs match at the preceding entry. Returns
    /// whether it was sent.
    fn send_probe(&mut self, to: NodeId, progress: &mut Progress) -> bool {
        let Some(prev) = self.position_at(progress.next_index - 1) else {
            return false;
        };
        let batch = self.batch_from(progress.next_index);
        progress.state = ProgressState::Probe {
            awaiting_response: true,
        };
        self.send_append(to, progress, prev, batch.entries);
        true
    }

    /// Sends entries until the window is full. Returns whether any were sent.
    fn send_entries(&mut self, to: NodeId, progress: &mut Progress) -> bool {
        let mut sent_any = false;
        while progress.next_index <= self.log.last_index() && progress.inflights.has_capacity() {
            let Batch {
                entries,
                size_bytes,
            } = self.batch_from(progress.next_index);
            let prev = self.position_at(progress.next_index - 1);
            let (Some(last), Some(prev)) = (entries.last(), prev) else {
                // A large entry is sent once the member has all entries before it.
                if progress.inflights.is_empty() {
                    self.start_entry_transfer(progress, progress.next_index);
                }
                return sent_any;
            };
            progress.next_index = last.index + 1;
            progress.inflights.add(last.index, size_bytes, self.now);
            self.send_append(to, progress, prev, entries);
            sent_any = true;
        }
        sent_any
    }

    /// Returns the entries from `index` on that fit into one append; none if the first one has to
    /// be sent in chunks.
    fn batch_from(&self, index: u64) -> Batch {
        let mut batch = Batch {
            entries: Vec::new(),
            size_bytes: 0,
        };
        let entries = (index..).map_while(|index| self.log.entry(index));
        for entry in entries.take(MAX_BATCH_ENTRIES) {
            let size_bytes = batch.size_bytes + entry.size_bytes();
            let can_defer = matches!(entry.payload, Payload::Data(_)) || !batch.entries.is_empty();
            if size_bytes > MAX_BATCH_BYTES + ENTRY_OVERHEAD_BYTES && can_defer {
                break;
            }
            batch.size_bytes = size_bytes;
            batch.entries.push(entry.clone());
        }
        batch
    }

    fn send_append(
        &mut self,
        to: NodeId,
        progress: &mut Progress,
        prev: LogPosition,
        entries: Vec<Entry>,
    ) {
        let leader_commit = self.log.commit_index();
        progress.sent_commit_index = leader_commit.min(prev.index + entries.len() as u64);
        let request = AppendEntries {
            prev_log_index: prev.index,
            prev_log_term: prev.term,
            entries,
            leader_commit,
            sequence: self.broadcasts.sequence(),
        };
        self.send(to, MessageBody::AppendEntries(request));
    }

    /// Sends an append without entries. Its preceding entry is the last one sent, so that the
    /// response tells whether that one arrived; during a transfer, it is the last one that the
    /// member is known to have.
    fn send_heartbeat(&mut self, to: NodeId, progress: &mut Progress) {
        let prev_index = match progress.state {
            ProgressState::Transfer(_) => progress.match_index,
            ProgressState::Probe { .. } | ProgressState::Replicate => progress.next_index - 1,
        };
        let prev = self.position_at(prev_index).unwrap_or_default();
        self.send_append(to, progress, prev, Vec::new());
    }

    /// Returns the position of the entry at `index` if its term is still known.
    fn position_at(&self, index: u64) -> Option<LogPosition> {
        let term = self.log.term_at(index)?;
        Some(LogPosition { index, term })
    }

    /// Handles a response to an append: the member has synced the log up to an entry or, if not
    /// accepted, knows of a newer term.
    pub(super) fn handle_append_response(&mut self, from: NodeId, response: &AppendResponse) {
        if self.role != Role::Leader || !response.accepted {
            return;
        }
        let (now, last_index) = (self.now, self.log.last_index());
        let Some(progress) = self.tracker.get_mut(from) else {
            return;
        };
        progress.on_response(response.sequence, now);
        progress.on_match(response, last_index, now);
        self.maybe_commit();
        self.confirm_broadcasts();
        self.replicate(from, false);
        self.send_missed_commit_index(from);
        self.trim_retained_entries();
        self.maybe_change_members();
    }

    /// Handles a rejected append: the member's log does not contain the preceding entry. Continues
    /// from the last index at which the logs may match (Raft paper, end of section 5.3).
    pub(super) fn handle_append_conflict(&mut self, from: NodeId, response: &AppendConflict) {
        if self.role != Role::Leader {
            return;
        }
        let hint = response.hint;
        let match_index = self.log.find_conflict_by_term(hint, 0);
        let matches = match_index == hint.index && self.log.contains(hint);
        let (now, sequence) = (self.now, self.broadcasts.sequence());
        let Some(progress) = self.tracker.get_mut(from) else {
            return;
        };
        progress.on_response(response.sequence, now);
        if !progress.is_stale_conflict(response) {
            progress.reset(match_index, matches, sequence);
        }
        self.confirm_broadcasts();
        self.replicate(from, false);
    }

    /// Sends the commit index to a member that has since received committed entries which it lacked
    /// when the commit index was last sent to it.
    fn send_missed_commit_index(&mut self, to: NodeId) {
        let Some(mut progress) = self.tracker.take(to) else {
            return;
        };
        let committed_there = self.log.commit_index().min(progress.match_index);
        let replicates = matches!(progress.state, ProgressState::Replicate);
        if replicates && progress.sent_commit_index < committed_there {
            self.send_heartbeat(to, &mut progress);
        }
        self.tracker.put(to, progress);
    }

    /// Commits the entries that a majority has synced, if the last of them is of the current term:
    /// an entry of an earlier term may still be overwritten even if a majority has it (Raft paper,
    /// section 5.4.2).
    pub(super) fn maybe_commit(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let mut index = self.log.last_index();
        while index > self.log.commit_index() && self.log.term_at(index) == Some(self.term) {
            if self.is_synced_by_majority(index) {
                self.commit_to(index);
                self.broadcast_heartbeat();
                self.maybe_change_members();
                return;
            }
            index -= 1;
        }
    }

    /// Returns whether a majority of the voters has synced the log up to `index`. The leader's own
    /// disk counts like any other.
    fn is_synced_by_majority(&self, index: u64) -> bool {
        self.members().is_majority(|id| {
            if id == self.id {
                self.persistence.synced_index() >= index
            } else {
                self.tracker.match_index(id) >= index
            }
        })
    }

    /// Returns the index of the last entry known to be synced on a member's disk.
    pub(super) fn match_index(&self, id: NodeId) -> u64 {
        if id == self.id {
            return self.persistence.synced_index().min(self.log.last_index());
        }
        self.tracker.match_index(id)
    }

    /// Returns whether a majority has answered within the election timeout.
    pub(super) fn has_quorum_responses(&self) -> bool {
        let since = self.now.saturating_sub(self.timing.election_timeout_ms);
        let has_answered = |id| {
            let progress = self.tracker.get(id);
            id == self.id || progress.is_some_and(|p| p.last_response_at >= since)
        };
        self.members().is_majority(has_answered)
    }

    /// Drops the retained entries that no member lacks or that exceed the size limit. A member that
    /// does not lead drops all of them.
    pub(super) fn trim_retained_entries(&mut self) {
        let replicated_index = match self.role {
            Role::Leader => self.tracker.min_replicated_index(),
            Role::Follower | Role::PreCandidate | Role::Candidate => None,
        };
        self.log.trim_retained(replicated_index);
    }
}
