//! Ties a task to its owner.

use tokio::task::JoinHandle;

/// A task that is aborted when its owner drops it, and that closes then what it holds.
pub struct AbortOnDrop(pub JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
