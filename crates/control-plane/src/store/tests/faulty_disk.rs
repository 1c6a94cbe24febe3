//! A file on a disk that refuses writes, or stalls, while a test says so.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use redb::{Database, StorageBackend};

#[derive(Debug)]
pub(super) struct FaultyDisk {
    file: redb::backends::FileBackend,
    faults: &'static Faults,
}

#[derive(Debug)]
pub(super) struct Faults {
    /// Writes and syncs fail, as on a full disk.
    pub(super) refuses: AtomicBool,
    /// Writes and syncs wait.
    pub(super) stalls: AtomicBool,
}

impl Faults {
    pub(super) const fn none() -> Self {
        Self {
            refuses: AtomicBool::new(false),
            stalls: AtomicBool::new(false),
        }
    }
}

impl FaultyDisk {
    fn wait_and_check(&self) -> std::io::Result<()> {
        while self.faults.stalls.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        let refuses = self.faults.refuses.load(Ordering::SeqCst);
        if refuses {
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
        self.wait_and_check().and_then(|()| self.file.set_len(len))
    }
    fn sync_data(&self) -> std::io::Result<()> {
        self.wait_and_check().and_then(|()| self.file.sync_data())
    }
    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        self.wait_and_check()
            .and_then(|()| self.file.write(offset, data))
    }
}
