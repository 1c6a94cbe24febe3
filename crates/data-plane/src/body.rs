//! Memory for the bodies of requests and responses, and reading a body within it.
//!
//! **Job.** A [`BodyBudget`] bounds how many bytes all bodies of one side (those of requests, or those of responses)
//! take together. A [`BodyBuffer`] collects one body and reserves from the budget what it takes.
//!
//! **State.** The number of reserved bytes of each budget. A reservation is given back when its owner is dropped:
//! for a body that was read, when the last copy of its [`Bytes`] is dropped, so that bodies which wait for a slow
//! reader count too.
//!
//! **Promises.** The reserved bytes never exceed the budget. A body that does not fit is refused, never truncated.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

use bytes::Bytes;

/// How many bytes the bodies of one side may take together. Clones share the budget.
///
/// Atomic since `Bytes` requires its owner to be `Send`; there is only one thread.
#[derive(Clone)]
pub struct BodyBudget {
    reserved_bytes: Arc<AtomicUsize>,
    max_bytes: usize,
}

/// Bytes of a budget, given back on drop.
pub struct BodyReservation {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyBudget {
    /// A budget of `max_bytes` bytes, none of them reserved.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            reserved_bytes: Arc::default(),
            max_bytes,
        }
    }

    /// Reserves `bytes` bytes; `None` if fewer are left.
    pub fn reserve(&self, bytes: usize) -> Option<BodyReservation> {
        let mut reservation = BodyReservation {
            budget: self.clone(),
            bytes: 0,
        };
        reservation.grow_to(bytes).then_some(reservation)
    }
}

impl BodyReservation {
    /// Grows to `bytes` bytes, or returns false if the budget has fewer left. Never shrinks.
    fn grow_to(&mut self, bytes: usize) -> bool {
        let additional = bytes.saturating_sub(self.bytes);
        let reserved = self.budget.reserved_bytes.load(Relaxed);
        let fits = additional <= self.budget.max_bytes.saturating_sub(reserved);
        if fits {
            self.budget
                .reserved_bytes
                .store(reserved + additional, Relaxed);
            self.bytes += additional;
        }
        fits
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.reserved_bytes.fetch_sub(self.bytes, Relaxed);
    }
}

/// A complete body and its reservation, which lasts until the last copy is dropped, a slow reader's too.
struct ReservedBody {
    body: Vec<u8>,
    _reservation: BodyReservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// A body that is being read.
pub struct BodyBuffer {
    body: Vec<u8>,
    /// `None` for a body that is skipped: it takes no memory.
    reservation: Option<BodyReservation>,
    length: usize,
    max_bytes: usize,
}

impl BodyBuffer {
    /// A buffer for a body whose head announces `announced` bytes (0 where it announces none).
    ///
    /// `None` if that is more than `max_bytes` or than the budget has left.
    pub fn new(budget: &BodyBudget, announced: usize, max_bytes: usize) -> Option<Self> {
        if announced > max_bytes {
            return None;
        }
        let reservation = budget.reserve(announced)?;
        Some(Self {
            body: Vec::with_capacity(announced),
            reservation: Some(reservation),
            length: 0,
            max_bytes,
        })
    }

    /// A buffer that counts the bytes of a body of at most `max_bytes` and drops them.
    pub fn skipping(max_bytes: usize) -> Self {
        Self {
            body: Vec::new(),
            reservation: None,
            length: 0,
            max_bytes,
        }
    }

    /// Appends the next bytes; `None` if the body becomes larger than it may be or than the budget has left.
    pub fn append(&mut self, data: &[u8]) -> Option<()> {
        self.length += data.len();
        if self.length > self.max_bytes {
            return None;
        }
        if let Some(reservation) = &mut self.reservation {
            reservation.grow_to(self.length).then_some(())?;
            self.body.extend_from_slice(data);
        }
        Some(())
    }

    /// The complete body, which keeps its reservation; empty if it was skipped.
    pub fn into_bytes(self) -> Bytes {
        match self.reservation {
            Some(reservation) => Bytes::from_owner(ReservedBody {
                body: self.body,
                _reservation: reservation,
            }),
            None => Bytes::new(),
        }
    }
}

#[cfg(test)]
mod tests;
