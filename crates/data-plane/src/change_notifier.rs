//! A count of changes that tasks of one thread wait on. Tasks wake in the order in which they began to wait, so that a
//! simulation plays the same each time; `tokio::sync::watch` wakes them in an order of its own drawing.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

#[derive(Default)]
struct Count {
    changes: Cell<u64>,
    changed: Notify,
}

/// Something that changes.
#[derive(Default)]
pub struct ChangeNotifier(Rc<Count>);

impl ChangeNotifier {
    /// It has changed: whoever waits wakes.
    pub fn notify(&self) {
        self.0.changes.set(self.0.changes.get() + 1);
        self.0.changed.notify_waiters();
    }

    /// A watcher to whom all that has changed by now is known.
    pub fn watch(&self) -> ChangeWatcher {
        ChangeWatcher {
            seen: self.0.changes.get(),
            count: self.0.clone(),
        }
    }
}

/// Waits for changes that it has not seen.
pub struct ChangeWatcher {
    count: Rc<Count>,
    seen: u64,
}

impl ChangeWatcher {
    /// All that has changed by now is seen.
    pub fn mark_all_seen(&mut self) {
        self.seen = self.count.changes.get();
    }

    /// Waits for a change that was not seen; at once if there was one.
    pub async fn changed(&mut self) {
        loop {
            // It hears of what changes from here on, polled or not.
            let changed = self.count.changed.notified();
            let changes = self.count.changes.get();
            if changes != self.seen {
                self.seen = changes;
                return;
            }
            changed.await;
        }
    }
}

#[cfg(test)]
#[path = "changes_tests.rs"]
mod tests;
