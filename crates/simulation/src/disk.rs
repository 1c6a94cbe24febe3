//! A model of a machine's disk, as the store of the control plane uses it: one transaction at a time, which takes all
//! requests that wait by then.
//!
//! It promises what the real file promises: after a loss of power everything synced is there, and the transaction
//! under way is there whole or not at all. Requests that wait are lost. That a torn page of the real file is found by
//! its checksum is shown by the test `disk` of the control plane.

use control_plane::store::DiskRequest;
use raft::{Entry, PersistentState};

/// One machine's disk.
#[derive(Default)]
pub(crate) struct Disk {
    /// What is synced.
    pub(crate) persisted: PersistentState,
    transaction: Vec<DiskRequest>,
    waiting: Vec<DiskRequest>,
}

impl Disk {
    /// A disk with this content.
    pub(crate) fn with_state(persisted: PersistentState) -> Self {
        Self {
            persisted,
            ..Self::default()
        }
    }

    /// Puts a request in the queue for the next transaction.
    pub(crate) fn enqueue(&mut self, request: DiskRequest) {
        self.waiting.push(request);
    }

    /// Whether an entry is synced, in the log or as part of the snapshot.
    pub(crate) fn has_entry(&self, entry: &Entry) -> bool {
        let snapshot_index = self.persisted.snapshot.as_ref().map_or(0, |s| s.index);
        entry.index <= snapshot_index
            || self
                .persisted
                .entries
                .iter()
                .any(|e| e.index == entry.index && e.term == entry.term)
    }

    /// Entries that wait for the next transaction.
    pub(crate) fn waiting_entries(&self) -> impl Iterator<Item = &Entry> {
        let entries = self.waiting.iter().filter_map(|request| match request {
            DiskRequest::Persist(persist) => Some(&persist.entries),
            DiskRequest::Compact(_) => None,
        });
        entries.flatten()
    }

    /// Begins the next transaction, unless one is under way or nothing waits. Returns whether it did.
    pub(crate) fn begin_transaction(&mut self) -> bool {
        if !self.transaction.is_empty() || self.waiting.is_empty() {
            return false;
        }
        self.transaction = std::mem::take(&mut self.waiting);
        true
    }

    /// Syncs the transaction under way. Returns the sequence number of its last request to persist.
    pub(crate) fn complete_transaction(&mut self) -> Option<u64> {
        let mut last_sequence = None;
        for request in std::mem::take(&mut self.transaction) {
            if let DiskRequest::Persist(persist) = &request {
                last_sequence = Some(persist.sequence);
            }
            apply_request(&mut self.persisted, request);
        }
        last_sequence
    }

    /// The process or its power is gone. `is_synced`: the transaction under way had just reached the disk.
    pub(crate) fn on_crash(&mut self, is_synced: bool) {
        if is_synced {
            self.complete_transaction();
        }
        self.transaction.clear();
        self.waiting.clear();
    }
}

/// Changes what a disk holds as the store's transaction for the request does.
pub fn apply_request(persisted: &mut PersistentState, request: DiskRequest) {
    match request {
        DiskRequest::Persist(persist) => persisted.apply(persist),
        DiskRequest::Compact(snapshot) => persisted.compact(snapshot),
    }
}
