//! A count of changes that tasks of one thread wait on.
//!
//! Tasks wake in the order in which they began to wait, so that a simulation plays the same each time;
//! `tokio::sync::watch` wakes them in a random order. A change that comes while a watcher is not waiting is not missed:
//! its next wait ends at once.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

#[derive(Default)]
struct SharedCount {
    changes: Cell<u64>,
    notify: Notify,
}

/// Something that changes.
#[derive(Default)]
pub struct ChangeNotifier(Rc<SharedCount>);

impl ChangeNotifier {
    /// Notes a change, and wakes whoever waits for one.
    pub fn notify(&self) {
        self.0.changes.set(self.0.changes.get() + 1);
        self.0.notify.notify_waiters();
    }

    /// A watcher that has seen all changes up to now.
    pub fn watch(&self) -> ChangeWatcher {
        ChangeWatcher {
            seen: self.0.changes.get(),
            count: self.0.clone(),
        }
    }
}

/// Waits for changes that it has not seen.
pub struct ChangeWatcher {
    count: Rc<SharedCount>,
    seen: u64,
}

impl ChangeWatcher {
    /// Takes all changes up to now as seen.
    pub fn mark_all_seen(&mut self) {
        self.seen = self.count.changes.get();
    }

    /// Waits for a change that was not seen, and takes all changes up to then as seen; ends at once if there was one.
    pub async fn changed(&mut self) {
        loop {
            // Made before the count is read: it hears of what changes from here on, polled or not.
            let notified = self.count.notify.notified();
            let changes = self.count.changes.get();
            if changes != self.seen {
                self.seen = changes;
                return;
            }
            notified.await;
        }
    }
}

#[cfg(test)]
mod tests;
