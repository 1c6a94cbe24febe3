//! The log in memory, and what of it is on its way to the disk.
//!
//! After the snapshot stand the entries that follow it. A leader also keeps some entries that its snapshot covers
//! already, as long as a member may need them: else each snapshot that is made while a member is sent one would
//! call for another.

use super::progress::Mode;
use super::retained::ENTRY_OVERHEAD;
use super::*;

/// Entries that the snapshot covers are kept for members that lack them up to the bytes of the snapshot, which
/// would otherwise be sent; up to so many at least, and at most.
const RETAINED_AT_LEAST: usize = 64 << 10;
const RETAINED_AT_MOST: usize = 2 << 20;

/// A save that is not synced yet.
#[derive(Debug)]
pub(super) struct Saving {
    pub(super) seq: u64,
    /// The last entry of the leader's log that is synced with it.
    pub(super) last: u64,
    pub(super) bytes: usize,
}

impl RaftNode {
    pub(super) fn last(&self) -> u64 {
        self.base.index + self.log.len() as u64
    }

    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index)
            .map(|e| e.term)
            .or_else(|| self.retained.term_at(index))
    }

    /// The entry at that place, if it is kept still.
    pub(super) fn entry(&self, index: u64) -> Option<&Entry> {
        if let Some(after) = index.checked_sub(self.base.index + 1) {
            return self.log.get(usize::try_from(after).ok()?);
        }
        self.retained.entry(index)
    }

    pub(super) fn push_entries(&mut self, entries: Vec<Entry>) {
        let members = entries
            .iter()
            .rev()
            .find(|e| matches!(e.payload, Payload::Members(_)));
        self.members_entry = members.map(|e| e.index).or(self.members_entry);
        self.log.extend(entries);
    }

    /// Drops the entries after that one.
    pub(super) fn truncate(&mut self, last: u64) {
        self.log
            .truncate(last.saturating_sub(self.base.index) as usize);
        if self.members_entry.is_some_and(|index| index > last) {
            let members = |e: &&Entry| matches!(e.payload, Payload::Members(_));
            self.members_entry = self.log.iter().rev().find(members).map(|e| e.index);
        }
    }

    /// Puts a snapshot in the place of the whole log.
    pub(super) fn replace_log(&mut self, snapshot: Snapshot) {
        self.log.clear();
        self.retained.clear();
        self.members_entry = None;
        self.base = snapshot;
    }

    /// Entries since the last snapshot.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// The host's state as of its last applied entry stands for the log up to there. Returns the snapshot,
    /// which the host writes before it forgets the entries.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) -> Option<Snapshot> {
        let index = index.min(self.applied);
        if index <= self.base.index {
            return None;
        }
        let term = self.term_at(index)?;
        let members = self.members_at(index).clone();
        let dropped = (index - self.base.index) as usize;
        let before = LogPosition {
            index: self.base.index,
            term: self.base.term,
        };
        self.retained.extend(before, self.log.drain(..dropped));
        self.members_entry = self.members_entry.filter(|entry| *entry > index);
        self.base = Snapshot {
            index,
            term,
            members,
            data,
        };
        self.trim_retained();
        Some(self.base.clone())
    }

    /// Drops entries that the snapshot covers and that no member lacks, and the oldest of too many.
    pub(super) fn trim_retained(&mut self) {
        let has = |p: &Progress| match &p.mode {
            Mode::Transfer(transfer) => transfer.index().max(p.matched),
            Mode::Probe { .. } | Mode::Replicate => p.matched,
        };
        let leads = self.role == Role::Leader;
        let all_have = self.progress.values().filter(|_| leads).map(has).min();
        let all_have = all_have.unwrap_or(self.base.index);
        let most = self
            .base
            .data
            .len()
            .clamp(RETAINED_AT_LEAST, RETAINED_AT_MOST);
        self.retained.trim(all_have, most);
    }

    // ----------------------------------------------------------------- disk

    pub(super) fn save(&mut self, entries: Vec<Entry>, snapshot: Option<Snapshot>) -> u64 {
        self.seq += 1;
        let covered = snapshot.as_ref().map_or(0, |s| s.index);
        let last = entries.last().map_or(covered, |e| e.index);
        let bytes: usize = entries
            .iter()
            .map(|e| e.payload.len() + ENTRY_OVERHEAD)
            .sum();
        self.unsynced += bytes;
        self.saving.push_back(Saving {
            seq: self.seq,
            last,
            bytes,
        });
        let (seq, term, vote) = (self.seq, self.term, self.vote);
        self.out.persist_requests.push(PersistRequest {
            sequence: seq,
            term,
            voted_for: vote,
            entries,
            snapshot,
        });
        seq
    }

    /// All saves up to this one are synced.
    pub fn on_persisted(&mut self, seq: u64) {
        while let Some(saving) = self.saving.pop_front_if(|saving| saving.seq <= seq) {
            self.synced = self.synced.max(saving.last);
            self.unsynced -= saving.bytes;
        }
        while self.held.front().is_some_and(|(after, _)| *after <= seq) {
            if let Some((_, message)) = self.held.pop_front() {
                // A promise of an older term is no longer wanted.
                if message.term >= self.term {
                    self.out.messages.push(message);
                }
            }
        }
        self.advance();
    }

    pub(super) fn send_after(&mut self, after: Option<u64>, message: Message) {
        match after {
            Some(seq) => self.held.push_back((seq, message)),
            None => self.out.messages.push(message),
        }
    }
}
