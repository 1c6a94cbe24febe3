//! A simulated disk that can lose power. Synced data and a random part of the unsynced data are kept.

use std::sync::{Arc, Mutex};

use redb::StorageBackend;

/// A storage backend in memory that can lose power. Clones share their contents.
#[derive(Debug, Clone, Default)]
pub(super) struct VolatileDisk(Arc<Mutex<Contents>>);

#[derive(Debug, Default)]
struct Contents {
    /// The contents as of the last sync.
    synced: Vec<u8>,
    /// The contents including unsynced writes.
    current: Vec<u8>,
    /// The number of operations until power is lost.
    operations_left: Option<u32>,
    /// `synced` and `current` when power was lost.
    at_power_loss: Option<(Vec<u8>, Vec<u8>)>,
}

/// The unit of writing: a sector reaches the disk either completely or not at all.
const SECTOR_BYTES: usize = 512;

impl VolatileDisk {
    /// Makes the disk lose power after this many more operations.
    pub(super) fn lose_power_after(&self, operations: u32) {
        self.0.lock().expect("no panic").operations_left = Some(operations);
    }

    /// Whether power has been lost.
    pub(super) fn has_lost_power(&self) -> bool {
        self.0.lock().expect("no panic").at_power_loss.is_some()
    }

    /// Returns the contents after the loss of power, or after one that happens at this moment if there was none.
    pub(super) fn contents_after_power_loss(&self, rng: &mut oorandom::Rand32) -> Vec<u8> {
        let contents = self.0.lock().expect("no panic");
        let (synced, current) = match &contents.at_power_loss {
            Some((synced, current)) => (synced, current),
            None => (&contents.synced, &contents.current),
        };
        let length = if rng.rand_range(0..2) == 0 {
            current.len()
        } else {
            synced.len()
        };
        let mut contents_left = synced.clone();
        contents_left.resize(length, 0);
        for (old, new) in contents_left
            .chunks_mut(SECTOR_BYTES)
            .zip(current.chunks(SECTOR_BYTES))
        {
            if rng.rand_range(0..2) == 0 {
                let both = old.len().min(new.len());
                old[..both].copy_from_slice(&new[..both]);
            }
        }
        contents_left
    }

    /// Performs an operation, and records the contents if power is lost at it.
    fn operate<T>(&self, operation: impl FnOnce(&mut Contents) -> T) -> std::io::Result<T> {
        let mut contents = self.0.lock().expect("no panic");
        contents.operations_left = contents
            .operations_left
            .and_then(|left| left.checked_sub(1));
        if contents.operations_left == Some(0) {
            contents.at_power_loss = Some((contents.synced.clone(), contents.current.clone()));
        }
        Ok(operation(&mut contents))
    }
}

impl StorageBackend for VolatileDisk {
    fn len(&self) -> std::io::Result<u64> {
        Ok(self.0.lock().expect("no panic").current.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        let from = offset as usize;
        let contents = self.0.lock().expect("no panic");
        out.copy_from_slice(&contents.current[from..from + out.len()]);
        Ok(())
    }
    fn set_len(&self, len: u64) -> std::io::Result<()> {
        self.operate(|contents| contents.current.resize(len as usize, 0))
    }
    fn sync_data(&self) -> std::io::Result<()> {
        self.operate(|contents| contents.synced = contents.current.clone())
    }
    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        let from = offset as usize;
        self.operate(|contents| contents.current[from..from + data.len()].copy_from_slice(data))
    }
}
