//! The memory budget for response bodies, and a buffer that reads a body within the budget.
//!
//! A [`BodyBudget`] limits the total size of all bodies. A [`BodyBuffer`] collects one body and reserves its size from
//! the budget.
//!
//! **State.** The number of reserved bytes. A reservation is released when its owner is dropped. For a body that was
//! read, that is when the last copy of its [`Bytes`] is dropped, so bodies that are still being sent to a slow reader
//! count too.
//!
//! **Guarantees.** The reserved bytes never exceed the budget. A body that does not fit is refused, never truncated.
//! Where memory is short, a body may wait for others that release some. Clients that leave their responses unread are
//! disconnected meanwhile.

use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::timeout;

/// The memory of a machine divided by this is the budget for responses that are being read or not yet written to clients.
pub const RESPONSE_MEMORY_DIVISOR: usize = 4;
/// How often a body that waits for memory lets a slow reader be disconnected.
const SHORTAGE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How many bodies may wait for memory simultaneously. Each of them occupies a connection and memory of its upstream.
const MAX_WAITING_BODIES: usize = 64;

/// Frees memory where it is short.
type ShortageHandler = Box<dyn Fn()>;

/// The maximum total size of all bodies. Clones share the budget.
#[derive(Clone)]
pub struct BodyBudget {
    usage: Arc<Usage>,
    on_shortage: Rc<OnceCell<ShortageHandler>>,
}

/// How much of a budget is reserved.
///
/// The counter is atomic because `Bytes` requires its owner to be `Send`; there is only one thread.
struct Usage {
    reserved_bytes: AtomicUsize,
    max_bytes: usize,
    waiting_bodies: AtomicUsize,
    released: Notify,
}

/// Bytes reserved from a budget; released on drop.
pub struct BodyReservation {
    usage: Arc<Usage>,
    bytes: usize,
}

/// Why data could not be appended to a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendError {
    /// The body exceeds its maximum size.
    TooLarge,
    /// The budget does not have enough left.
    NoMemory,
}

impl BodyBudget {
    /// Creates a budget of `max_bytes` bytes, none of them reserved.
    pub fn new(max_bytes: usize) -> Self {
        let usage = Usage {
            reserved_bytes: AtomicUsize::new(0),
            max_bytes,
            waiting_bodies: AtomicUsize::new(0),
            released: Notify::new(),
        };
        Self {
            usage: Arc::new(usage),
            on_shortage: Rc::default(),
        }
    }

    /// Sets what frees memory where it is short. Has an effect only once.
    pub fn set_shortage_handler(&self, on_shortage: impl Fn() + 'static) {
        self.on_shortage.get_or_init(|| Box::new(on_shortage));
    }

    /// Reserves `bytes` bytes. Returns `None` if fewer are available.
    pub fn reserve(&self, bytes: usize) -> Option<BodyReservation> {
        let mut reservation = BodyReservation {
            usage: self.usage.clone(),
            bytes: 0,
        };
        reservation.grow_to(bytes).then_some(reservation)
    }

    /// Returns whether other bodies hold memory, so that waiting for some to be released makes sense to a body that has
    /// reserved `own_bytes`.
    pub fn is_held_by_others(&self, own_bytes: usize) -> bool {
        self.usage.reserved_bytes.load(Relaxed) > own_bytes
    }

    /// Counts one more body that waits for memory. Returns `None` if too many wait already.
    pub fn start_waiting(&self) -> Option<WaitingBody<'_>> {
        let waiting = self.usage.waiting_bodies.load(Relaxed);
        if waiting >= MAX_WAITING_BODIES {
            return None;
        }
        self.usage.waiting_bodies.store(waiting + 1, Relaxed);
        Some(WaitingBody { budget: self })
    }
}

/// A body that waits for memory.
pub struct WaitingBody<'a> {
    budget: &'a BodyBudget,
}

impl WaitingBody<'_> {
    /// Has memory freed, and waits shortly for some to be released.
    pub async fn wait(&self) {
        if let Some(free_memory) = self.budget.on_shortage.get() {
            free_memory();
        }
        // After the interval there may be another client to disconnect.
        let released = self.budget.usage.released.notified();
        let _ = timeout(SHORTAGE_POLL_INTERVAL, released).await;
    }
}

impl Drop for WaitingBody<'_> {
    fn drop(&mut self) {
        self.budget.usage.waiting_bodies.fetch_sub(1, Relaxed);
    }
}

impl BodyReservation {
    /// Grows the reservation to `bytes` bytes; never shrinks it. Returns false if the budget does not have enough left.
    fn grow_to(&mut self, bytes: usize) -> bool {
        let additional = bytes.saturating_sub(self.bytes);
        let reserved = self.usage.reserved_bytes.load(Relaxed);
        let fits = additional <= self.usage.max_bytes.saturating_sub(reserved);
        if fits {
            self.usage
                .reserved_bytes
                .store(reserved + additional, Relaxed);
            self.bytes += additional;
        }
        fits
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.usage.reserved_bytes.fetch_sub(self.bytes, Relaxed);
        self.usage.released.notify_waiters();
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

    /// Returns how many bytes the body has reserved.
    pub fn reserved_bytes(&self) -> usize {
        self.reservation.as_ref().map_or(0, |held| held.bytes)
    }

    /// Appends the next bytes.
    ///
    /// # Errors
    /// Returns an error, and appends nothing, if the body exceeds its maximum size or the budget.
    pub fn append(&mut self, data: &[u8]) -> Result<(), AppendError> {
        let length = self.length + data.len();
        if length > self.max_bytes {
            return Err(AppendError::TooLarge);
        }
        if let Some(reservation) = &mut self.reservation {
            if !reservation.grow_to(length) {
                return Err(AppendError::NoMemory);
            }
            self.body.extend_from_slice(data);
        }
        self.length = length;
        Ok(())
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
