//! Replication: how a leader brings its log to the other members, and how they take it.
//!
//! A leader finds out where a member's log meets its own ([`Mode::Probe`]), then sends entries without waiting
//! for answers as far as the member's window goes ([`Mode::Replicate`]), or a snapshot or a large entry in pieces
//! ([`Mode::Transfer`]). Heartbeats carry no entries and go to every member whatever else is on its way. A member
//! acknowledges only what its own disk has synced.

use super::pieces::INLINE;
use super::progress::{Mode, Progress};
use super::retained::ENTRY_OVERHEAD;
use super::*;

/// Entries that one append carries at most, by number and by bytes; a larger entry goes by itself, in pieces.
const BATCH: usize = 64;
const BATCH_BYTES: usize = INLINE;
/// A leader whose disk stalls goes on with the disks of others; but what waits for its own takes memory.
const MOST_UNSYNCED: usize = 8 << 20;

impl RaftNode {
    // ---------------------------------------------------------------- leader

    /// Adds an entry to the log; the place it has if it is ever committed. `None` where this one does not
    /// lead, is about to hand over, or its disk is far behind.
    pub fn propose(&mut self, data: Vec<u8>) -> Option<u64> {
        if self.role != Role::Leader || self.leaving || self.unsynced > MOST_UNSYNCED {
            return None;
        }
        let index = self.append(Payload::Data(data));
        self.broadcast(false);
        Some(index)
    }

    pub(super) fn append(&mut self, payload: Payload) -> u64 {
        let entry = Entry {
            term: self.term,
            index: self.last() + 1,
            payload,
        };
        let index = entry.index;
        self.push_entries(vec![entry.clone()]);
        self.save(vec![entry], None);
        index
    }

    /// Sends each member what it lacks; with `beat`, at least a heartbeat.
    pub(super) fn broadcast(&mut self, beat: bool) {
        if beat {
            self.beat = self.now + self.timing.heartbeat_interval_ms;
            self.round += 1;
            self.rounds.push_back((self.round, self.now));
        }
        let ids: Vec<NodeId> = self
            .members()
            .all()
            .map(|(id, _)| id)
            .filter(|id| *id != self.id)
            .collect();
        self.progress.retain(|id, _| ids.contains(id));
        // Most logs are the same up to the leader's newest entry, which goes with the first append.
        let (now, next) = (self.now, self.last().max(1));
        for id in ids {
            // A new member is given the time of an election to answer.
            self.progress
                .entry(id)
                .or_insert_with(|| Progress::new(next, now));
            self.replicate(id, beat);
        }
    }

    /// Sends a member what it lacks and its window has room for; with `beat`, at least a heartbeat.
    pub(super) fn replicate(&mut self, to: NodeId, beat: bool) {
        let Some(mut progress) = self.progress.remove(&to) else {
            return;
        };
        let transfers = matches!(progress.mode, Mode::Transfer(_));
        if !transfers && self.term_at(progress.next - 1).is_none() {
            self.start_snapshot(&mut progress);
        }
        let told = match progress.mode {
            Mode::Probe { outstanding } => !outstanding && self.probe(to, &mut progress),
            Mode::Replicate => self.send_entries(to, &mut progress),
            Mode::Transfer(_) => false,
        };
        self.send_pieces(to, &mut progress);
        if beat && !told {
            self.send_heartbeat(to, &mut progress);
        }
        self.progress.insert(to, progress);
    }

    /// Sends the first append of which the answer shows where the logs meet.
    fn probe(&mut self, to: NodeId, progress: &mut Progress) -> bool {
        let Some(prev_term) = self.term_at(progress.next - 1) else {
            return false;
        };
        let prev = LogPosition {
            index: progress.next - 1,
            term: prev_term,
        };
        let (entries, _) = self.batch(progress.next);
        progress.mode = Mode::Probe { outstanding: true };
        self.send_append(to, progress, prev, entries);
        true
    }

    /// Sends entries as far as the window goes; whether it sent any.
    fn send_entries(&mut self, to: NodeId, progress: &mut Progress) -> bool {
        let mut any = false;
        while progress.next <= self.last() && progress.window.has_room() {
            let (entries, bytes) = self.batch(progress.next);
            let (Some(last), Some(prev_term)) = (entries.last(), self.term_at(progress.next - 1))
            else {
                // A large one goes when all before it is there.
                if progress.window.is_empty() {
                    self.start_entry(progress, progress.next);
                }
                return any;
            };
            let prev = LogPosition {
                index: progress.next - 1,
                term: prev_term,
            };
            progress.next = last.index + 1;
            progress.window.sent(last.index, bytes, self.now);
            self.send_append(to, progress, prev, entries);
            any = true;
        }
        any
    }

    /// The entries from there on that one append carries, and their bytes; none before a large one.
    fn batch(&self, from: u64) -> (Vec<Entry>, usize) {
        let (mut entries, mut bytes) = (Vec::new(), 0);
        for entry in (from..).map_while(|index| self.entry(index)).take(BATCH) {
            let size = entry.payload.len() + ENTRY_OVERHEAD;
            let in_pieces = matches!(entry.payload, Payload::Data(_)) || !entries.is_empty();
            if bytes + size > BATCH_BYTES + ENTRY_OVERHEAD && in_pieces {
                break;
            }
            bytes += size;
            entries.push(entry.clone());
        }
        (entries, bytes)
    }

    fn send_append(
        &mut self,
        to: NodeId,
        progress: &mut Progress,
        prev: LogPosition,
        entries: Vec<Entry>,
    ) {
        let (commit, round) = (self.commit, self.round);
        progress.commit_told = commit.min(prev.index + entries.len() as u64);
        let (prev_index, prev_term) = (prev.index, prev.term);
        let body = MessageBody::AppendEntries {
            prev_log_index: prev_index,
            prev_log_term: prev_term,
            entries,
            leader_commit: commit,
            sequence: round,
        };
        self.out.messages.push(Message {
            from: self.id,
            to,
            term: self.term,
            body,
        });
    }

    /// An append without entries: at the end of what was sent, where that shows whether it got there; beside a
    /// transfer, at the end of what the member surely has.
    fn send_heartbeat(&mut self, to: NodeId, progress: &mut Progress) {
        let index = match progress.mode {
            Mode::Transfer(_) => progress.matched,
            Mode::Probe { .. } | Mode::Replicate => progress.next - 1,
        };
        let at = |index| self.term_at(index).map(|term| LogPosition { index, term });
        let prev = at(index).unwrap_or_default();
        self.send_append(to, progress, prev, Vec::new());
    }

    /// A member has synced the log up to `index`; or, without `ok`, it knows of a newer term.
    pub(super) fn answered(&mut self, from: NodeId, ok: bool, index: u64, round: u64) {
        if self.role != Role::Leader || !ok {
            return;
        }
        let (now, last) = (self.now, self.last());
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.heard = now;
        progress.round = progress.round.max(round);
        progress.accepted(index.min(last), round, now);
        self.advance();
        self.confirm_reads();
        self.replicate(from, false);
        self.tell_commit(from);
        self.trim_retained();
        self.change_members();
    }

    /// A member's log is another at `rejected`.
    pub(super) fn conflicted(
        &mut self,
        from: NodeId,
        rejected: u64,
        hint: LogPosition,
        round: u64,
    ) {
        if self.role != Role::Leader {
            return;
        }
        let meets = self.last_not_newer(hint);
        let known = self.term_at(meets) == Some(hint.term) && meets == hint.index;
        let (now, current) = (self.now, self.round);
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.heard = now;
        progress.round = progress.round.max(round);
        if !progress.stale_conflict(rejected, round) {
            progress.reset(meets, known, current);
        }
        self.confirm_reads();
        self.replicate(from, false);
    }

    /// The last entry at or before that position whose term is no newer: beyond it the logs can't be the same.
    fn last_not_newer(&self, position: LogPosition) -> u64 {
        let mut index = position.index.min(self.last());
        while self.term_at(index).is_some_and(|term| term > position.term) {
            index -= 1;
        }
        index
    }

    /// A member that was not told of a commit, for want of the entries, is told once it has them.
    fn tell_commit(&mut self, to: NodeId) {
        let Some(mut progress) = self.progress.remove(&to) else {
            return;
        };
        let replicates = matches!(progress.mode, Mode::Replicate);
        if replicates && progress.commit_told < self.commit.min(progress.matched) {
            self.send_heartbeat(to, &mut progress);
        }
        self.progress.insert(to, progress);
    }

    /// Commits what a majority has synced, if an entry of this term is among it.
    pub(super) fn advance(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let mut index = self.last();
        while index > self.commit && self.term_at(index) == Some(self.term) {
            let has = |id| match self.progress.get(&id) {
                _ if id == self.id => self.synced >= index,
                Some(p) => p.matched >= index,
                None => false,
            };
            if self.members().is_majority(has) {
                self.commit_to(index);
                self.broadcast(true);
                self.change_members();
                return;
            }
            index -= 1;
        }
    }

    // -------------------------------------------------------------- follower

    /// The leader's entries after `prev`.
    pub(super) fn append_received(
        &mut self,
        from: NodeId,
        prev: LogPosition,
        mut entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        let mut prev = prev;
        if prev.index < self.base.index {
            // What the snapshot covers is committed: it is the leader's too.
            entries.retain(|entry| entry.index > self.base.index);
            prev = LogPosition {
                index: self.base.index,
                term: self.base.term,
            };
            if entries
                .first()
                .is_some_and(|first| first.index != prev.index + 1)
            {
                entries.clear();
            }
        }
        if self.term_at(prev.index) != Some(prev.term) {
            return self.reply_conflict(from, prev, round);
        }
        let matched = prev.index + entries.len() as u64;
        let new = entries
            .iter()
            .position(|e| self.term_at(e.index) != Some(e.term));
        let after = new.map(|first| self.replace_from(entries.split_off(first)));
        self.commit_to(commit.min(matched));
        self.acknowledge(from, matched, round, after);
    }

    /// Puts entries in the place of what the log has from the first of them on. The number of their save.
    fn replace_from(&mut self, entries: Vec<Entry>) -> u64 {
        let kept = entries.first().map_or(self.last(), |first| first.index - 1);
        self.truncate(kept);
        // What is on its way to the disk beyond here is about to be replaced there too.
        self.synced = self.synced.min(kept);
        self.saving
            .iter_mut()
            .for_each(|saving| saving.last = saving.last.min(kept));
        self.push_entries(entries.clone());
        self.save(entries, None)
    }

    /// Tells the leader where this log may meet its own: at the last entry at or before `prev` whose term is no
    /// newer, and not before what is committed.
    fn reply_conflict(&mut self, to: NodeId, prev: LogPosition, round: u64) {
        let mut index = prev.index.min(self.last());
        while index > self.commit && self.term_at(index).is_some_and(|term| term > prev.term) {
            index -= 1;
        }
        let index = index.max(self.commit);
        let term = self.term_at(index).unwrap_or(0);
        let hint = LogPosition { index, term };
        let body = MessageBody::AppendConflict {
            rejected_index: prev.index,
            hint,
            sequence: round,
        };
        self.out.messages.push(Message {
            from: self.id,
            to,
            term: self.term,
            body,
        });
    }

    /// The log is the leader's up to `matched`, and up to what is committed: says so as far as it is synced.
    /// With `after`, the save that brings new entries, says so once that is synced.
    pub(super) fn acknowledge(&mut self, to: NodeId, matched: u64, round: u64, after: Option<u64>) {
        let matched = matched.max(self.commit);
        let reply = |index| Message {
            from: self.id,
            to,
            term: self.term,
            body: MessageBody::AppendResponse {
                accepted: true,
                match_index: index,
                sequence: round,
            },
        };
        if after.is_none() || matched <= self.synced {
            // Without waiting: the disk may stall, and this member is there all the same.
            let now = reply(matched.min(self.synced));
            self.out.messages.push(now);
        }
        if matched > self.synced && !self.will_acknowledge(to, matched) {
            let later = reply(matched);
            let save = self.saving.iter().find(|saving| saving.last >= matched);
            let save = save.map(|saving| saving.seq);
            if let Some(seq) = after.max(save) {
                self.held.push_back((seq, later));
            }
        }
    }

    /// Whether an acknowledgement of that entry waits for the disk already.
    fn will_acknowledge(&self, leader: NodeId, matched: u64) -> bool {
        self.held.iter().any(|(_, message)| {
            let same = (message.to, message.term) == (leader, self.term);
            same && matches!(message.body, MessageBody::AppendResponse { match_index, .. } if match_index >= matched)
        })
    }

    /// Takes the leader's snapshot in the place of a log that does not reach so far.
    pub(super) fn install(&mut self, from: NodeId, snapshot: Snapshot, round: u64) {
        let index = snapshot.index;
        if self.term_at(index) == Some(snapshot.term) {
            // It has all that the snapshot covers; what follows may have been counted on already.
            self.commit_to(index);
        }
        if index <= self.commit {
            return self.acknowledge(from, index, round, None);
        }
        // Of the log that is on the disk, or on its way there, only what is committed is the leader's.
        let committed = self.commit;
        self.synced = self.synced.min(committed);
        self.saving
            .iter_mut()
            .for_each(|saving| saving.last = saving.last.min(committed));
        self.replace_log(snapshot.clone());
        (self.commit, self.applied) = (index, index);
        self.out.committed_entries.clear();
        self.out.restored_snapshot = Some(snapshot.clone());
        let after = self.save(Vec::new(), Some(snapshot));
        self.acknowledge(from, index, round, Some(after));
    }

    pub(super) fn commit_to(&mut self, index: u64) {
        self.commit = self.commit.max(index.min(self.last()));
        let commit = self.commit;
        self.incoming.take_if(|incoming| incoming.index() <= commit);
        while self.applied < self.commit {
            let Some(entry) = self.entry(self.applied + 1).cloned() else {
                return;
            };
            self.applied += 1;
            self.out.committed_entries.push(entry);
        }
        self.contact_applied();
    }
}
