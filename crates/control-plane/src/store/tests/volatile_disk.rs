//! A disk that keeps what is synced, and of the rest any part, when power is lost.

use std::sync::{Arc, Mutex};

use redb::StorageBackend;

#[derive(Debug, Clone, Default)]
pub(super) struct VolatileDisk(Arc<Mutex<Contents>>);

#[derive(Debug, Default)]
struct Contents {
    synced: Vec<u8>,
    now: Vec<u8>,
    /// Power is lost after so many more operations.
    operations_left: Option<u32>,
    /// `synced` and `now` when it was lost.
    at_power_loss: Option<(Vec<u8>, Vec<u8>)>,
}

/// Each part of this size reaches the disk as a whole, or not.
const SECTOR_BYTES: usize = 512;

impl VolatileDisk {
    /// Lets power be lost after so many more operations.
    pub(super) fn lose_power_after(&self, operations: u32) {
        self.0.lock().expect("no panic").operations_left = Some(operations);
    }

    /// Whether power was lost.
    pub(super) fn has_lost_power(&self) -> bool {
        self.0.lock().expect("no panic").at_power_loss.is_some()
    }

    /// What is on the disk after a loss of power; one now, if there was none.
    pub(super) fn contents_after_power_loss(&self, rng: &mut oorandom::Rand32) -> Vec<u8> {
        let contents = self.0.lock().expect("no panic");
        let (synced, now) = match &contents.at_power_loss {
            Some((synced, now)) => (synced, now),
            None => (&contents.synced, &contents.now),
        };
        let length = if rng.rand_range(0..2) == 0 {
            now.len()
        } else {
            synced.len()
        };
        let mut left = synced.clone();
        left.resize(length, 0);
        for (old, new) in left.chunks_mut(SECTOR_BYTES).zip(now.chunks(SECTOR_BYTES)) {
            if rng.rand_range(0..2) == 0 {
                let both = old.len().min(new.len());
                old[..both].copy_from_slice(&new[..both]);
            }
        }
        left
    }

    fn operate<T>(&self, act: impl FnOnce(&mut Contents) -> T) -> std::io::Result<T> {
        let mut contents = self.0.lock().expect("no panic");
        contents.operations_left = contents
            .operations_left
            .and_then(|left| left.checked_sub(1));
        if contents.operations_left == Some(0) {
            contents.at_power_loss = Some((contents.synced.clone(), contents.now.clone()));
        }
        Ok(act(&mut contents))
    }
}

impl StorageBackend for VolatileDisk {
    fn len(&self) -> std::io::Result<u64> {
        Ok(self.0.lock().expect("no panic").now.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        let from = offset as usize;
        let contents = self.0.lock().expect("no panic");
        out.copy_from_slice(&contents.now[from..from + out.len()]);
        Ok(())
    }
    fn set_len(&self, len: u64) -> std::io::Result<()> {
        self.operate(|contents| contents.now.resize(len as usize, 0))
    }
    fn sync_data(&self) -> std::io::Result<()> {
        self.operate(|contents| contents.synced = contents.now.clone())
    }
    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        let from = offset as usize;
        self.operate(|contents| contents.now[from..from + data.len()].copy_from_slice(data))
    }
}
