//! The disk thread, which writes and syncs. A stalled disk therefore delays neither heartbeats nor responses.
//!
//! The thread owns the open [`Store`]. It ends when the sender of requests is dropped or the file is damaged. All
//! waiting requests are written in one transaction. A failed write is retried every [`WRITE_RETRY_INTERVAL`]; until it
//! succeeds, nothing is reported and further requests queue up in the channel.

use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use raft::{PersistRequest, Snapshot};
use tokio::sync::mpsc as async_mpsc;

use super::{Store, StoreError};

/// The delay before retrying after a disk error: a fraction of the time after which a silent member is removed.
pub const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// The stack size of the disk thread, which needs little; the memory of a control process is limited.
const STACK_BYTES: usize = 256 << 10;

/// A write request to the disk thread.
pub enum DiskRequest {
    /// Raft state that must be synced before the node sends messages that depend on it. Its `sequence` is reported once
    /// it is synced.
    Persist(PersistRequest),
    /// A snapshot taken by this process. The entries up to its index are removed. Nothing waits for it.
    Compact(Snapshot),
}

/// The channels of the disk thread: one for requests, and one that reports the `sequence` of the last
/// [`PersistRequest`] in each synced transaction.
type WriterChannels = (
    mpsc::Sender<DiskRequest>,
    async_mpsc::UnboundedReceiver<u64>,
);

impl Store {
    /// Starts the disk thread and passes the store to it. Each report means that all requests up to this `sequence` are
    /// synced. The channel of reports closes when the file is damaged; other disk errors only delay the reports.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn spawn_writer(self) -> std::io::Result<WriterChannels> {
        let (requests, pending) = mpsc::channel::<DiskRequest>();
        let (reports, synced) = async_mpsc::unbounded_channel();
        thread::Builder::new()
            .name("disk".into())
            .stack_size(STACK_BYTES)
            .spawn(move || self.write_until_closed(&pending, &reports))?;
        Ok((requests, synced))
    }

    /// Writes requests until one of the channels is closed or the file is damaged.
    fn write_until_closed(
        mut self,
        pending: &mpsc::Receiver<DiskRequest>,
        reports: &async_mpsc::UnboundedSender<u64>,
    ) {
        while let Ok(first) = pending.recv() {
            let mut batch = vec![first];
            batch.extend(pending.try_iter());
            self = match self.write_with_retries(&batch) {
                Ok(store) => store,
                Err(error) => {
                    tracing::error!(%error, "the control process's file is damaged; the disk thread stops");
                    return;
                }
            };
            let last = batch.iter().rev().find_map(|request| match request {
                DiskRequest::Persist(request) => Some(request.sequence),
                DiskRequest::Compact(_) => None,
            });
            if let Some(last) = last
                && reports.send(last).is_err()
            {
                return;
            }
        }
    }

    /// Writes a batch in one transaction, and retries until the disk accepts it. Returns an error only if the file is
    /// damaged.
    fn write_with_retries(mut self, batch: &[DiskRequest]) -> Result<Self, StoreError> {
        let dir = self.path.parent().unwrap_or(Path::new("/")).to_path_buf();
        while let Err(error) = self.write(batch) {
            if error.is_corrupted() {
                return Err(error);
            }
            tracing::warn!(%error, "a write to the disk failed; retrying");
            // After an error, `redb` requires the file to be reopened. Everything that was synced is still in it.
            let opener = self.opener;
            drop(self);
            self = loop {
                thread::sleep(WRITE_RETRY_INTERVAL);
                match Self::open_with(&dir, opener) {
                    Ok(store) => break store,
                    Err(error) if error.is_corrupted() => return Err(error),
                    // The disk still fails, which has already been logged.
                    Err(_) => {}
                }
            };
        }
        Ok(self)
    }
}
