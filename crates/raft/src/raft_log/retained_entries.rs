//! Entries that the leader's snapshot covers and that a member still lacks.
//!
//! Without them each snapshot that is made while a member receives the one before would call for
//! another transfer.

use std::collections::VecDeque;

use crate::{Entry, LogPosition};

/// The retained entries, without gaps up to the last one that the snapshot covers. In memory only:
/// a lost one costs the transfer of a snapshot.
#[derive(Debug, Default)]
pub(super) struct RetainedEntries {
    /// The position of the entry before the first one.
    prev: LogPosition,
    entries: VecDeque<Entry>,
    size_bytes: usize,
}

impl RetainedEntries {
    /// Adds entries that a new snapshot covers. The snapshot before it ended at `prev`.
    pub(super) fn extend(&mut self, prev: LogPosition, entries: impl Iterator<Item = Entry>) {
        if self.entries.is_empty() {
            self.prev = prev;
        }
        for entry in entries {
            self.size_bytes += entry.size_bytes();
            self.entries.push_back(entry);
        }
    }

    /// The entry at an index.
    pub(super) fn entry(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.prev.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The term of the entry at an index, also of the one before the first.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if !self.entries.is_empty() && index == self.prev.index {
            return Some(self.prev.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Drops all entries.
    pub(super) fn clear(&mut self) {
        self.entries.clear();
        self.size_bytes = 0;
    }

    /// Drops the entries up to `replicated_index`, and the oldest while there are more than
    /// `max_bytes`.
    pub(super) fn trim(&mut self, replicated_index: u64, max_bytes: usize) {
        while let Some(first) = self.entries.front()
            && (first.index <= replicated_index || self.size_bytes > max_bytes)
        {
            self.size_bytes -= first.size_bytes();
            self.prev = first.position();
            self.entries.pop_front();
        }
    }
}
