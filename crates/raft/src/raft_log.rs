//! The in-memory log: a snapshot, the entries after it, and the commit and applied indexes.
//!
//! Entries have no gaps, and committed entries are never truncated. The commit index never
//! decreases, and each committed entry is handed to the host once, in order. Entries that are not
//! committed may be overwritten by a leader. A leader also retains entries that its snapshot covers
//! while a member may need them.

mod retained_entries;

use std::collections::VecDeque;

use crate::{Entry, LogPosition, Members, Payload, Snapshot};
use retained_entries::RetainedEntries;

/// The lower bound of the limit on the size of retained entries, which the snapshot covers but some
/// member lacks. Between the two bounds, the limit is the size of the snapshot, which would be sent
/// instead.
const MIN_RETAINED_BYTES: usize = 64 << 10;
/// The upper bound of the limit on the size of retained entries.
const MAX_RETAINED_BYTES: usize = 2 << 20;

/// The log of one member.
#[derive(Debug)]
pub(crate) struct RaftLog {
    /// Replaces all entries up to its position. Before the first compaction it holds only the
    /// initial members.
    snapshot: Snapshot,
    /// The entries after the snapshot.
    entries: VecDeque<Entry>,
    retained: RetainedEntries,
    /// The index of the last of `entries` that changes the membership.
    membership_index: Option<u64>,
    commit_index: u64,
    /// The index of the last entry handed to the host. Never above the commit index.
    applied_index: u64,
}

impl RaftLog {
    /// Creates the log from stored state. Only what the snapshot covers is known to be committed
    /// until a leader sends its commit index.
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let entries: VecDeque<Entry> = entries
            .into_iter()
            .filter(|entry| entry.index > snapshot.index)
            .collect();
        Self {
            commit_index: snapshot.index,
            applied_index: snapshot.index,
            membership_index: last_membership_change(entries.iter()),
            snapshot,
            entries,
            retained: RetainedEntries::default(),
        }
    }

    /// Returns the index of the last entry, committed or not.
    pub(crate) fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Returns the position of the last entry, committed or not.
    pub(crate) fn last_position(&self) -> LogPosition {
        let index = self.last_index();
        LogPosition {
            index,
            term: self.term_at(index).unwrap_or(0),
        }
    }

    pub(crate) fn commit_index(&self) -> u64 {
        self.commit_index
    }

    pub(crate) fn applied_index(&self) -> u64 {
        self.applied_index
    }

    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the number of entries after the snapshot.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the term of the entry at `index` if it is still known.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index)
            .map(|entry| entry.term)
            .or_else(|| self.retained.term_at(index))
    }

    /// Returns the entry at `index` if it is still in memory.
    pub(crate) fn entry(&self, index: u64) -> Option<&Entry> {
        if let Some(offset) = index.checked_sub(self.snapshot.index + 1) {
            return self.entries.get(usize::try_from(offset).ok()?);
        }
        self.retained.entry(index)
    }

    /// Returns whether the log has the entry at `position`, and thus all entries before it (Log
    /// Matching Property: Raft paper, section 5.3).
    pub(crate) fn contains(&self, position: LogPosition) -> bool {
        self.term_at(position.index) == Some(position.term)
    }

    /// Returns whether a log that ends at `last` is at least as up to date as this one, so that its
    /// owner may be elected (Raft paper, section 5.4.1).
    pub(crate) fn is_up_to_date(&self, last: LogPosition) -> bool {
        let own = self.last_position();
        (last.term, last.index) >= (own.term, own.index)
    }

    /// Returns the last index at or before `position`, but not below `floor`, whose term is not
    /// newer than that of `position`. The logs can't match after it, so a follower and the leader
    /// skip a whole term at a time (Raft paper, end of section 5.3).
    pub(crate) fn find_conflict_by_term(&self, position: LogPosition, floor: u64) -> u64 {
        let mut index = position.index.min(self.last_index());
        while index > floor && self.term_at(index).is_some_and(|term| term > position.term) {
            index -= 1;
        }
        index
    }

    /// Returns whether the last committed entry is of `term`. For the current term, this tells
    /// whether any entry of it is committed.
    pub(crate) fn has_committed_in(&self, term: u64) -> bool {
        self.term_at(self.commit_index) == Some(term)
    }

    /// Returns the membership as of the last entry, committed or not.
    pub(crate) fn members(&self) -> &Members {
        match self.membership_index.and_then(|index| self.entry(index)) {
            Some(Entry {
                payload: Payload::Members(members),
                ..
            }) => members,
            _ => &self.snapshot.members,
        }
    }

    /// Returns the membership as of entry `index`, or as of the snapshot if the snapshot covers
    /// that entry.
    pub(crate) fn members_at(&self, index: u64) -> &Members {
        if self.membership_index.is_none_or(|change| change <= index) {
            return self.members();
        }
        let earlier = self.entries.iter().rev().filter(|e| e.index <= index);
        let mut changes = earlier.filter_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members),
            Payload::Empty | Payload::Data(_) => None,
        });
        changes.next().unwrap_or(&self.snapshot.members)
    }

    /// Returns whether the log has a membership change that is not committed.
    pub(crate) fn has_uncommitted_membership_change(&self) -> bool {
        self.membership_index
            .is_some_and(|index| index > self.commit_index)
    }

    /// Appends entries, which have to follow the last one without a gap.
    pub(crate) fn append(&mut self, entries: Vec<Entry>) {
        self.membership_index = last_membership_change(entries.iter()).or(self.membership_index);
        self.entries.extend(entries);
    }

    /// Drops the entries after `last_index`, none of which may be committed.
    pub(crate) fn truncate(&mut self, last_index: u64) {
        let kept = last_index.saturating_sub(self.snapshot.index);
        self.entries.truncate(kept as usize);
        if self
            .membership_index
            .is_some_and(|index| index > last_index)
        {
            self.membership_index = last_membership_change(self.entries.iter());
        }
    }

    /// Raises the commit index to `index`, but not beyond the last entry.
    pub(crate) fn advance_commit_index(&mut self, index: u64) {
        self.commit_index = self.commit_index.max(index.min(self.last_index()));
    }

    /// Returns the next committed entry for the host to apply and counts it as applied.
    pub(crate) fn next_committed_entry(&mut self) -> Option<Entry> {
        if self.applied_index >= self.commit_index {
            return None;
        }
        let entry = self.entry(self.applied_index + 1).cloned()?;
        self.applied_index += 1;
        Some(entry)
    }

    /// Replaces the whole log with a snapshot from the leader, which counts as committed and
    /// applied.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.retained.clear();
        self.membership_index = None;
        (self.commit_index, self.applied_index) = (snapshot.index, snapshot.index);
        self.snapshot = snapshot;
    }

    /// Replaces the entries up to `index`, or up to the applied index if that is lower, with a
    /// snapshot of the host's state as of that entry. Returns `None` if the current snapshot
    /// already covers them. The replaced entries are retained until [`RaftLog::trim_retained`]
    /// drops them.
    pub(crate) fn compact(&mut self, index: u64, data: Vec<u8>) -> Option<&Snapshot> {
        let index = index.min(self.applied_index);
        if index <= self.snapshot.index {
            return None;
        }
        let term = self.term_at(index)?;
        let members = self.members_at(index).clone();
        let covered_entries = (index - self.snapshot.index) as usize;
        let prev = self.snapshot.position();
        self.retained
            .extend(prev, self.entries.drain(..covered_entries));
        self.membership_index = self.membership_index.filter(|change| *change > index);
        self.snapshot = Snapshot {
            index,
            term,
            members,
            data,
        };
        Some(&self.snapshot)
    }

    /// Drops retained entries up to `replicated_index`, which all members have, and the oldest ones
    /// beyond the size limit. If `None`, drops all retained entries.
    pub(crate) fn trim_retained(&mut self, replicated_index: Option<u64>) {
        let max_bytes = self
            .snapshot
            .data
            .len()
            .clamp(MIN_RETAINED_BYTES, MAX_RETAINED_BYTES);
        let replicated_index = replicated_index.unwrap_or(self.snapshot.index);
        self.retained.trim(replicated_index, max_bytes);
    }

    /// Drops all retained entries, which only a leader needs.
    pub(crate) fn clear_retained(&mut self) {
        self.retained.clear();
    }
}

/// Returns the index of the last of `entries` that changes the membership.
fn last_membership_change<'a>(
    mut entries: impl DoubleEndedIterator<Item = &'a Entry>,
) -> Option<u64> {
    entries
        .rfind(|entry| entry.is_membership_change())
        .map(|entry| entry.index)
}
