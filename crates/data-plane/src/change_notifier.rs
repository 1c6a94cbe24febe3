//! A change counter on which tasks of one thread can wait.
//!
//! Tasks wake in the order in which they began to wait, which keeps simulations deterministic; `tokio::sync::watch`
//! wakes them in random order. A change that occurs while a watcher is not waiting is not missed: its next wait ends
//! immediately.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

#[derive(Default)]
struct SharedCount {
    changes: Cell<u64>,
    notify: Notify,
}

/// The notifying side: counts changes and wakes the watchers.
#[derive(Default)]
pub struct ChangeNotifier(Rc<SharedCount>);

impl ChangeNotifier {
    /// Records a change and wakes all waiting watchers.
    pub fn notify(&self) {
        self.0.changes.set(self.0.changes.get() + 1);
        self.0.notify.notify_waiters();
    }

    /// Returns a watcher that has seen all changes up to now.
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
    /// Marks all changes up to now as seen.
    pub fn mark_all_seen(&mut self) {
        self.seen = self.count.changes.get();
    }

    /// Waits for a change that was not seen, and marks all changes up to then as seen. Returns immediately if there was
    /// one already.
    pub async fn changed(&mut self) {
        loop {
            // Created before the count is read: it is notified of every change from here on, even before it is polled.
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
