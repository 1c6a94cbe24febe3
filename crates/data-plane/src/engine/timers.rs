//! Timers of the modules and of requests.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use load_balancing::interface::RequestId;
use tokio::time::Instant;

/// What a timer is for. Of two that are due at the same time the lesser fires first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A module asked for it, and gets its token back.
    Balancer { service: usize, token: u64 },
    /// The deadline of a request is near.
    Deadline(RequestId),
}

/// All timers. None is ever cancelled: one whose request has ended is ignored when it fires.
#[derive(Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(Instant, Timer)>>,
}

impl Timers {
    pub(super) fn push(&mut self, at: Instant, timer: Timer) {
        self.heap.push(Reverse((at, timer)));
    }

    /// When the next one is due.
    pub(super) fn next_at(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes the next one if it is due.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<Timer> {
        self.next_at().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }
}
