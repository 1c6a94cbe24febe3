//! A signal to one task of the same thread.
//!
//! Costs next to nothing to poll again, unlike `tokio::sync::Notify`, which takes a lock: the tasks that wait here are
//! polled for each piece of data that arrives.

use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};

/// A signal for which one task waits.
#[derive(Debug, Default)]
pub(crate) struct WakeSignal {
    is_set: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl WakeSignal {
    /// Sets the signal, and wakes the task that waits for it.
    pub(crate) fn set(&self) {
        self.is_set.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Ready once the signal is set, which resets it.
    pub(crate) fn poll_set(&self, cx: &Context<'_>) -> Poll<()> {
        if self.is_set.take() {
            return Poll::Ready(());
        }
        self.register(cx.waker());
        Poll::Pending
    }

    /// Registers the task to wake; returns false if it is registered already.
    pub(crate) fn register(&self, waker: &Waker) -> bool {
        let mut registered = self.waker.borrow_mut();
        let is_new = !registered.as_ref().is_some_and(|w| w.will_wake(waker));
        if is_new {
            *registered = Some(waker.clone());
        }
        is_new
    }
}
