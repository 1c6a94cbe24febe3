//! Timers of the balancers and of requests.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use load_balancing::interface::RequestId;
use tokio::time::Instant;

/// The purpose of a timer. Timers that are due at the same time fire in the order of this type.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Set by a balancer, which gets the token back.
    Balancer { service: usize, token: u64 },
    /// Fires shortly before the deadline of a request.
    Deadline(RequestId),
}

/// All pending timers. Timers are never cancelled; one whose request has ended is ignored when it fires.
#[derive(Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(Instant, Timer)>>,
}

impl Timers {
    pub(super) fn push(&mut self, at: Instant, timer: Timer) {
        self.heap.push(Reverse((at, timer)));
    }

    /// Returns when the next timer is due.
    pub(super) fn next_at(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns the next timer if it is due.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<Timer> {
        self.next_at().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }
}
