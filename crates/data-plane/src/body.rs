//! Memory budgets for request and response bodies, and a buffer that reads a body within its budget.
//!
//! A [`BodyBudget`] limits the total size of all bodies of one direction (requests or responses). A [`BodyBuffer`]
//! collects one body and reserves its size from the budget.
//!
//! **State.** The number of reserved bytes of each budget. A reservation is released when its owner is dropped. For a
//! body that was read, that is when the last copy of its [`Bytes`] is dropped, so bodies that are still being sent to a
//! slow reader count too.
//!
//! **Guarantees.** The reserved bytes never exceed the budget. A body that does not fit is refused, never truncated.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

use bytes::Bytes;

/// The maximum total size of the bodies of one direction. Clones share the budget.
///
/// The counter is atomic because `Bytes` requires its owner to be `Send`; there is only one thread.
#[derive(Clone)]
pub struct BodyBudget {
    reserved_bytes: Arc<AtomicUsize>,
    max_bytes: usize,
}

/// Bytes reserved from a budget; released on drop.
pub struct BodyReservation {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyBudget {
    /// Creates a budget of `max_bytes` bytes, none of them reserved.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            reserved_bytes: Arc::default(),
            max_bytes,
        }
    }

    /// Reserves `bytes` bytes. Returns `None` if fewer are available.
    pub fn reserve(&self, bytes: usize) -> Option<BodyReservation> {
        let mut reservation = BodyReservation {
            budget: self.clone(),
            bytes: 0,
        };
        reservation.grow_to(bytes).then_some(reservation)
    }
}

impl BodyReservation {
    /// Grows the reservation to `bytes` bytes; never shrinks it. Returns false if the budget does not have enough left.
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

/// A complete body and its reservation, which is held until the last copy of the body is dropped.
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
    /// `None` for a body that is skipped, which takes no memory.
    reservation: Option<BodyReservation>,
    length: usize,
    max_bytes: usize,
}

impl BodyBuffer {
    /// Creates a buffer for a body whose head announces `announced` bytes (0 if it announces no length).
    ///
    /// Returns `None` if that is more than `max_bytes` or more than the budget has left.
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

    /// Creates a buffer that discards a body of at most `max_bytes` bytes and only counts its length.
    pub fn skipping(max_bytes: usize) -> Self {
        Self {
            body: Vec::new(),
            reservation: None,
            length: 0,
            max_bytes,
        }
    }

    /// Appends the next bytes. Returns `None` if the body exceeds its maximum size or the budget.
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

    /// Returns the complete body, which keeps its reservation; empty if the body was skipped.
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
