//! The disk thread: writes and syncs, so that a disk that stalls holds up neither heartbeats nor answers.
//!
//! It owns the open [`Store`] and ends with the sender of its requests, or when the file is damaged. All requests that
//! wait go into one transaction. A disk that refuses is tried again every [`WRITE_RETRY_INTERVAL`]; until it takes the
//! write nothing is reported, and what waits piles up in the channel.

use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use raft::{PersistRequest, Snapshot};
use tokio::sync::mpsc as async_mpsc;

use super::{Store, StoreError};

/// A disk that refused is tried again after this: a fraction of the time for which a lost member is borne.
pub const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// The thread keeps little on its stack; the memory of a control process is bounded.
const STACK_BYTES: usize = 256 << 10;

/// What the disk thread is to write.
pub enum DiskRequest {
    /// What the member of the log has to have synced before it makes a promise. Its `sequence` is reported once it is.
    Persist(PersistRequest),
    /// A snapshot that was made here: the entries up to its index are dropped. Nothing waits for it.
    Compact(Snapshot),
}

/// The two ends of the disk thread: requests, and the `sequence` of the last [`PersistRequest`] of each synced
/// transaction.
type WriterChannels = (
    mpsc::Sender<DiskRequest>,
    async_mpsc::UnboundedReceiver<u64>,
);

impl Store {
    /// Hands the file to a thread of its own. Its reports say: every request up to this `sequence` is synced. The
    /// channel of reports closes when the file is damaged; until then an error of the disk only delays the reports.
    ///
    /// # Errors
    ///
    /// The thread can't be started.
    pub fn spawn_writer(self) -> std::io::Result<WriterChannels> {
        let (requests, pending) = mpsc::channel::<DiskRequest>();
        let (reports, synced) = async_mpsc::unbounded_channel();
        thread::Builder::new()
            .name("disk".into())
            .stack_size(STACK_BYTES)
            .spawn(move || self.write_until_closed(&pending, &reports))?;
        Ok((requests, synced))
    }

    /// Writes until nobody sends requests any more, nobody listens, or the file is damaged.
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
                    tracing::error!(%error, "the control process's file is damaged; nothing more is written");
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

    /// Writes in one transaction, however often the disk refuses. An error is final: the file is damaged.
    fn write_with_retries(mut self, batch: &[DiskRequest]) -> Result<Self, StoreError> {
        let folder = self.path.parent().unwrap_or(Path::new("/")).to_path_buf();
        while let Err(error) = self.write(batch) {
            if error.is_corrupted() {
                return Err(error);
            }
            tracing::warn!(%error, "the disk refused a write; it is tried again");
            // After an error `redb` wants the file opened anew; what was synced stands in it.
            let opener = self.opener;
            drop(self);
            self = loop {
                thread::sleep(WRITE_RETRY_INTERVAL);
                match Self::open_with(&folder, opener) {
                    Ok(store) => break store,
                    Err(error) if error.is_corrupted() => return Err(error),
                    // It still refuses, and that was logged.
                    Err(_) => {}
                }
            };
        }
        Ok(self)
    }
}
