//! The event queue of the simulation, ordered by time. Events at the same time keep the order in which they were
//! scheduled.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// The pending events.
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    next_sequence: u64,
}

impl<E> EventQueue<E> {
    /// Creates an empty queue.
    pub(crate) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next_sequence: 0,
        }
    }

    /// Schedules an event at `at_ms`.
    pub(crate) fn schedule(&mut self, at_ms: u64, event: E) {
        self.next_sequence += 1;
        self.heap.push(Reverse(Scheduled {
            at_ms,
            sequence: self.next_sequence,
            event,
        }));
    }

    /// Removes and returns the next event and its time in milliseconds.
    pub(crate) fn pop(&mut self) -> Option<(u64, E)> {
        let Reverse(next) = self.heap.pop()?;
        Some((next.at_ms, next.event))
    }

    /// Returns the number of pending events.
    pub(crate) fn len(&self) -> usize {
        self.heap.len()
    }
}

struct Scheduled<E> {
    at_ms: u64,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at_ms, self.sequence).cmp(&(other.at_ms, other.sequence))
    }
}
