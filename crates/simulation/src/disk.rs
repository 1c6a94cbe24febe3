//! A model of a machine's disk, as the control plane's store uses it: one transaction at a time, which contains all
//! requests that are waiting when it begins.
//!
//! It gives the same guarantees as the real file: after a power failure, everything synced is present, and the
//! transaction in progress is present completely or not at all. Waiting requests are lost. The `disk` test of the
//! control plane shows that the real file detects torn pages by their checksums.

use control_plane::store::DiskRequest;
use raft::{Entry, PersistentState};

/// The disk of one machine.
#[derive(Default)]
pub(crate) struct Disk {
    /// The synced state.
    pub(crate) persisted: PersistentState,
    /// The requests of the transaction in progress; empty if there is none.
    transaction: Vec<DiskRequest>,
    /// Requests for the next transaction.
    waiting: Vec<DiskRequest>,
}

impl Disk {
    /// Creates a disk with this synced state.
    pub(crate) fn with_state(persisted: PersistentState) -> Self {
        Self {
            persisted,
            ..Self::default()
        }
    }

    /// Adds a request to the next transaction.
    pub(crate) fn enqueue(&mut self, request: DiskRequest) {
        self.waiting.push(request);
    }

    /// Returns whether an entry is synced, in the log or as part of the snapshot.
    pub(crate) fn has_entry(&self, entry: &Entry) -> bool {
        let snapshot_index = self.persisted.snapshot.as_ref().map_or(0, |s| s.index);
        entry.index <= snapshot_index
            || self
                .persisted
                .entries
                .iter()
                .any(|e| e.index == entry.index && e.term == entry.term)
    }

    /// Returns the entries that wait for the next transaction.
    pub(crate) fn waiting_entries(&self) -> impl Iterator<Item = &Entry> {
        let entries = self.waiting.iter().filter_map(|request| match request {
            DiskRequest::Persist(persist) => Some(&persist.entries),
            DiskRequest::Compact(_) => None,
        });
        entries.flatten()
    }

    /// Begins the next transaction, unless one is in progress or no request is waiting. Returns whether it began.
    pub(crate) fn begin_transaction(&mut self) -> bool {
        if !self.transaction.is_empty() || self.waiting.is_empty() {
            return false;
        }
        self.transaction = std::mem::take(&mut self.waiting);
        true
    }

    /// Syncs the transaction in progress. Returns the sequence number of its last persist request.
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

    /// Handles a crash of the process or a power failure. `is_synced` tells whether the transaction in progress still
    /// reached the disk.
    pub(crate) fn on_crash(&mut self, is_synced: bool) {
        if is_synced {
            self.complete_transaction();
        }
        self.transaction.clear();
        self.waiting.clear();
    }
}

/// Applies a request to the state on a disk, as the store's transaction does.
pub fn apply_request(persisted: &mut PersistentState, request: DiskRequest) {
    match request {
        DiskRequest::Persist(persist) => persisted.apply(persist),
        DiskRequest::Compact(snapshot) => persisted.compact(snapshot),
    }
}
