//! The log in memory: a snapshot, the entries that follow it, and how far they are committed and
//! applied.
//!
//! **Owns** the snapshot, the entries, the commit index and the applied index. **Promises:**
//! entries are without gaps; what is committed is never truncated; the commit index only rises, and
//! each committed entry is handed out once, in order. **May lose** entries that are not committed,
//! when a leader overwrites them. A leader also retains entries that its snapshot covers already,
//! as long as a member may need them.

mod retained_entries;

use std::collections::VecDeque;

use crate::{Entry, LogPosition, Members, Payload, Snapshot};
use retained_entries::RetainedEntries;

/// Entries that the snapshot covers are retained for members that lack them, up to the size of the
/// snapshot, which would otherwise be sent; between these bounds.
const MIN_RETAINED_BYTES: usize = 64 << 10;
const MAX_RETAINED_BYTES: usize = 2 << 20;

/// The log of one member.
#[derive(Debug)]
pub(crate) struct RaftLog {
    /// Stands for all entries up to its position. Before the first compaction it holds only the
    /// initial members.
    snapshot: Snapshot,
    /// The entries after the snapshot.
    entries: VecDeque<Entry>,
    retained: RetainedEntries,
    /// The last of `entries` that changes the members.
    membership_index: Option<u64>,
    commit_index: u64,
    /// The last entry that was handed to the host. At most the commit index.
    applied_index: u64,
}

impl RaftLog {
    /// The log as a disk holds it. What the snapshot covers is committed; whether more is, the
    /// leader will tell.
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

    /// The index of the last entry, committed or not.
    pub(crate) fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// The position of the last entry, committed or not.
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

    /// The number of entries since the snapshot.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The term of the entry at an index, if that is still known.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index)
            .map(|entry| entry.term)
            .or_else(|| self.retained.term_at(index))
    }

    /// The entry at an index, if it is still there.
    pub(crate) fn entry(&self, index: u64) -> Option<&Entry> {
        if let Some(offset) = index.checked_sub(self.snapshot.index + 1) {
            return self.entries.get(usize::try_from(offset).ok()?);
        }
        self.retained.entry(index)
    }

    /// Whether the log has the entry at that position, and so all before it (Log Matching Property:
    /// Raft paper, section 5.3).
    pub(crate) fn contains(&self, position: LogPosition) -> bool {
        self.term_at(position.index) == Some(position.term)
    }

    /// Whether a log that ends at `last` is at least as up to date as this one, so that its owner
    /// may be elected (Raft paper, section 5.4.1).
    pub(crate) fn is_up_to_date(&self, last: LogPosition) -> bool {
        let own = self.last_position();
        (last.term, last.index) >= (own.term, own.index)
    }

    /// The last index, from `floor` on, at or before `position` whose term is not newer: beyond it
    /// the logs can't match. So a follower and the leader skip a whole term at a time (Raft paper,
    /// end of section 5.3).
    pub(crate) fn find_conflict_by_term(&self, position: LogPosition, floor: u64) -> u64 {
        let mut index = position.index.min(self.last_index());
        while index > floor && self.term_at(index).is_some_and(|term| term > position.term) {
            index -= 1;
        }
        index
    }

    /// Whether an entry of that term is committed.
    pub(crate) fn has_committed_in(&self, term: u64) -> bool {
        self.term_at(self.commit_index) == Some(term)
    }

    /// The members as of the last entry, committed or not.
    pub(crate) fn members(&self) -> &Members {
        match self.membership_index.and_then(|index| self.entry(index)) {
            Some(Entry {
                payload: Payload::Members(members),
                ..
            }) => members,
            _ => &self.snapshot.members,
        }
    }

    /// The members as of an entry that the snapshot does not cover, or as of the snapshot.
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

    /// Whether a change of the members is in the log and not committed.
    pub(crate) fn has_uncommitted_membership_change(&self) -> bool {
        self.membership_index
            .is_some_and(|index| index > self.commit_index)
    }

    /// Appends entries that follow the last one.
    pub(crate) fn append(&mut self, entries: Vec<Entry>) {
        self.membership_index = last_membership_change(entries.iter()).or(self.membership_index);
        self.entries.extend(entries);
    }

    /// Drops the entries after `last_index`. They are not committed.
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

    /// Raises the commit index, to the end of this log at most.
    pub(crate) fn advance_commit_index(&mut self, index: u64) {
        self.commit_index = self.commit_index.max(index.min(self.last_index()));
    }

    /// The next committed entry for the host to apply, which counts as applied from now on.
    pub(crate) fn next_committed_entry(&mut self) -> Option<Entry> {
        if self.applied_index >= self.commit_index {
            return None;
        }
        let entry = self.entry(self.applied_index + 1).cloned()?;
        self.applied_index += 1;
        Some(entry)
    }

    /// Replaces the whole log by a snapshot from the leader, which counts as committed and applied.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.retained.clear();
        self.membership_index = None;
        (self.commit_index, self.applied_index) = (snapshot.index, snapshot.index);
        self.snapshot = snapshot;
    }

    /// Replaces the entries up to `index`, or up to the applied index if that is less, by the
    /// host's state as of it. `None` if the snapshot covers them already. The replaced entries are
    /// retained until [`RaftLog::trim_retained`].
    pub(crate) fn compact(&mut self, index: u64, data: Vec<u8>) -> Option<&Snapshot> {
        let index = index.min(self.applied_index);
        if index <= self.snapshot.index {
            return None;
        }
        let term = self.term_at(index)?;
        let members = self.members_at(index).clone();
        let covered = (index - self.snapshot.index) as usize;
        let prev = self.snapshot.position();
        self.retained.extend(prev, self.entries.drain(..covered));
        self.membership_index = self.membership_index.filter(|change| *change > index);
        self.snapshot = Snapshot {
            index,
            term,
            members,
            data,
        };
        Some(&self.snapshot)
    }

    /// Drops retained entries up to `replicated_index`, which no member lacks; all that the
    /// snapshot covers if `None`.
    pub(crate) fn trim_retained(&mut self, replicated_index: Option<u64>) {
        let max_bytes = self
            .snapshot
            .data
            .len()
            .clamp(MIN_RETAINED_BYTES, MAX_RETAINED_BYTES);
        let replicated_index = replicated_index.unwrap_or(self.snapshot.index);
        self.retained.trim(replicated_index, max_bytes);
    }

    /// Drops all retained entries: only a leader needs them.
    pub(crate) fn clear_retained(&mut self) {
        self.retained.clear();
    }
}

/// The index of the last of these entries that changes the members.
fn last_membership_change<'a>(
    mut entries: impl DoubleEndedIterator<Item = &'a Entry>,
) -> Option<u64> {
    entries
        .rfind(|entry| entry.is_membership_change())
        .map(|entry| entry.index)
}
