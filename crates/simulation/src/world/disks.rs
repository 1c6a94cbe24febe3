//! Disk transactions, including stalls and rejected writes.

use raft::{Entry, Payload};

use super::{Event, World};
use crate::process::Input;

/// The longest duration of a sync, in milliseconds.
const MAX_SYNC_TIME_MS: u64 = 4;
/// The delay before a rejected write is retried, in milliseconds.
const WRITE_RETRY_MS: u64 = 250;

impl World<'_> {
    /// Begins a machine's next transaction if any requests are waiting, and checks the waiting entries.
    pub(super) fn begin_transaction(&mut self, machine: usize) {
        let sync_time_ms = 1 + self.rng.rand_range(0..MAX_SYNC_TIME_MS);
        let now_ms = self.now_ms;
        let waiting: Vec<Entry> = self.machines[machine]
            .disk
            .waiting_entries()
            .cloned()
            .collect();
        for entry in waiting {
            if let Payload::Members(members) = &entry.payload
                && !self.history.is_written(&entry)
                // A deposed leader that does not know it yet writes entries that are never committed.
                && entry.term == self.history.newest_term()
            {
                self.check_new_voters(members);
            }
            self.history.on_written(&entry);
        }
        let m = &mut self.machines[machine];
        if m.disk.begin_transaction() {
            let at_ms = m.disk_stalled_until_ms.max(now_ms) + sync_time_ms;
            let incarnation = m.incarnation;
            let completes = Event::DiskCompletes {
                machine,
                incarnation,
            };
            self.queue.schedule(at_ms, completes);
        }
    }

    /// Completes a transaction, or retries it later if the disk is stalled or rejects writes.
    pub(super) fn complete_transaction(&mut self, machine: usize, incarnation: u64) {
        let now_ms = self.now_ms;
        let m = &mut self.machines[machine];
        if m.incarnation != incarnation {
            return;
        }
        let retry_at_ms = if m.writes_rejected_until_ms > now_ms {
            Some(now_ms + WRITE_RETRY_MS)
        } else {
            (m.disk_stalled_until_ms > now_ms).then_some(m.disk_stalled_until_ms)
        };
        if let Some(at_ms) = retry_at_ms {
            let completes = Event::DiskCompletes {
                machine,
                incarnation,
            };
            self.queue.schedule(at_ms, completes);
            return;
        }
        if let Some(sequence) = m.disk.complete_transaction() {
            self.deliver(machine, Input::Persisted(sequence));
        }
        self.begin_transaction(machine);
    }
}
