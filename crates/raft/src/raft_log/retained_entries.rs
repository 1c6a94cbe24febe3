//! Entries that the leader's snapshot covers but that some member still lacks.
//!
//! Without them, a member that is receiving a snapshot would need another one whenever the leader
//! makes a new snapshot in the meantime.

use std::collections::VecDeque;

use crate::{Entry, LogPosition};

/// The retained entries, without gaps, up to the last one that the snapshot covers. They are held
/// in memory only; without them a member is sent a snapshot instead.
#[derive(Debug, Default)]
pub(super) struct RetainedEntries {
    /// The position of the entry before the first one.
    prev: LogPosition,
    entries: VecDeque<Entry>,
    size_bytes: usize,
}

impl RetainedEntries {
    /// Adds the entries that a new snapshot covers. The previous snapshot ended at `prev`.
    pub(super) fn extend(&mut self, prev: LogPosition, entries: impl Iterator<Item = Entry>) {
        if self.entries.is_empty() {
            self.prev = prev;
        }
        for entry in entries {
            self.size_bytes += entry.size_bytes();
            self.entries.push_back(entry);
        }
    }

    /// Returns the retained entry at `index`.
    pub(super) fn entry(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.prev.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the term of the entry at `index`, which may also be the entry before the first
    /// retained one.
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

    /// Drops the entries up to `replicated_index`, and then the oldest ones until at most
    /// `max_bytes` are left.
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
