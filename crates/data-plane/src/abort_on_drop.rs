//! A task handle that aborts its task on drop.

use tokio::task::JoinHandle;

/// A task that is aborted when this handle is dropped. Aborting drops the task's future and closes its resources.
pub struct AbortOnDrop(pub JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
