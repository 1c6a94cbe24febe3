//! Accepted connections on which no handshake has arrived yet.
//!
//! **Guarantees.** There are at most [`MAX_PENDING_HANDSHAKES`] of them. A new connection takes the place of the one that
//! has waited longest: processes send their handshake immediately, so that theirs arrives before its connection is the
//! longest one, unless connections are opened faster than the network delivers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;

use tokio::task::{AbortHandle, spawn_local};

/// How many connections may wait for their handshake.
pub(super) const MAX_PENDING_HANDSHAKES: usize = 64;

/// The tasks of all connections that wait for their handshake, in the order in which they were accepted.
#[derive(Default)]
pub(super) struct PendingHandshakes {
    tasks: RefCell<BTreeMap<u64, AbortHandle>>,
    next_id: Cell<u64>,
}

/// A connection that waits for its handshake; dropped when that has arrived, or when the connection has ended.
pub(super) struct PendingHandshake {
    all: Rc<PendingHandshakes>,
    id: u64,
}

impl Drop for PendingHandshake {
    fn drop(&mut self) {
        self.all.tasks.borrow_mut().remove(&self.id);
    }
}

impl PendingHandshakes {
    /// Spawns the task of a new connection. Aborts the one that has waited longest if too many wait.
    pub(super) fn spawn<F>(self: &Rc<Self>, serve: impl FnOnce(PendingHandshake) -> F)
    where
        F: Future<Output = ()> + 'static,
    {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let pending = PendingHandshake {
            all: self.clone(),
            id,
        };
        let task = spawn_local(serve(pending));
        self.tasks.borrow_mut().insert(id, task.abort_handle());
        if self.tasks.borrow().len() > MAX_PENDING_HANDSHAKES {
            let oldest = self.tasks.borrow_mut().pop_first();
            if let Some((_, oldest)) = oldest {
                oldest.abort();
            }
        }
    }
}
