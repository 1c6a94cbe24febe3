//! Entries that a leader's snapshot covers and that a member still lacks.

use std::collections::VecDeque;

use crate::{Entry, LogPosition};

/// What an entry takes beside its payload: about.
pub(super) const ENTRY_OVERHEAD: usize = 32;

/// Such entries, without gaps up to the snapshot.
#[derive(Debug, Default)]
pub(super) struct Retained {
    /// What comes before the first of them.
    before: LogPosition,
    entries: VecDeque<Entry>,
    bytes: usize,
}

fn size(entry: &Entry) -> usize {
    entry.payload.len() + ENTRY_OVERHEAD
}

impl Retained {
    /// Takes in entries that a new snapshot covers; the one before it covered all up to `before`.
    pub(super) fn extend(&mut self, before: LogPosition, entries: impl Iterator<Item = Entry>) {
        if self.entries.is_empty() {
            self.before = before;
        }
        for entry in entries {
            self.bytes += size(&entry);
            self.entries.push_back(entry);
        }
    }

    pub(super) fn entry(&self, index: u64) -> Option<&Entry> {
        let after = index.checked_sub(self.before.index + 1)?;
        self.entries.get(usize::try_from(after).ok()?)
    }

    /// Also of the entry before the first one.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if !self.entries.is_empty() && index == self.before.index {
            return Some(self.before.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    pub(super) fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    /// Drops what all members have, and the oldest of more than `most` bytes.
    pub(super) fn trim(&mut self, all_have: u64, most: usize) {
        while let Some(first) = self.entries.front()
            && (first.index <= all_have || self.bytes > most)
        {
            self.bytes -= size(first);
            self.before = LogPosition {
                index: first.index,
                term: first.term,
            };
            self.entries.pop_front();
        }
    }
}
