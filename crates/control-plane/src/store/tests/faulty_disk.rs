//! A file on a simulated disk that fails or stalls on demand.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use redb::{Database, StorageBackend};

/// A file whose writes and syncs are subject to [`Faults`].
#[derive(Debug)]
pub(super) struct FaultyDisk {
    file: redb::backends::FileBackend,
    faults: &'static Faults,
}

/// The faults of a [`FaultyDisk`]; a test switches them on and off.
#[derive(Debug)]
pub(super) struct Faults {
    /// Writes and syncs fail, as on a full disk.
    pub(super) fails: AtomicBool,
    /// Writes and syncs block.
    pub(super) stalls: AtomicBool,
}

impl Faults {
    pub(super) const fn none() -> Self {
        Self {
            fails: AtomicBool::new(false),
            stalls: AtomicBool::new(false),
        }
    }
}

impl FaultyDisk {
    /// Waits while the disk stalls, then returns an error if it fails.
    fn apply_faults(&self) -> std::io::Result<()> {
        while self.faults.stalls.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        let fails = self.faults.fails.load(Ordering::SeqCst);
        if fails {
            Err(std::io::ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }

    pub(super) fn open(
        path: &Path,
        faults: &'static Faults,
    ) -> Result<Database, redb::DatabaseError> {
        let file = std::fs::File::options()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)
            .map_err(redb::StorageError::Io)?;
        let file = redb::backends::FileBackend::new(file)?;
        Database::builder().create_with_backend(FaultyDisk { file, faults })
    }
}

impl StorageBackend for FaultyDisk {
    fn len(&self) -> std::io::Result<u64> {
        self.file.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        self.file.read(offset, out)
    }
    fn set_len(&self, len: u64) -> std::io::Result<()> {
        self.apply_faults().and_then(|()| self.file.set_len(len))
    }
    fn sync_data(&self) -> std::io::Result<()> {
        self.apply_faults().and_then(|()| self.file.sync_data())
    }
    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        self.apply_faults()
            .and_then(|()| self.file.write(offset, data))
    }
}
