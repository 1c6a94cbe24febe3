//! Memory for the bodies of requests, from their first byte until the request has its response, and eviction of incomplete
//! bodies when the memory is exhausted.
//!
//! - `eviction`: which body is evicted.
//! - `metrics`: how often that happened.
//!
//! How much memory there is, and how much of it each body has reserved, is in [`crate::request_budget`].
//!
//! **State.** The reserved bytes, and a table of the bodies that are being received. The table contains the received
//! bytes, so that an eviction frees their memory immediately.
//!
//! **Guarantees.** Memory is reserved before it is allocated, and only for bytes that arrive, not for those that a head
//! announces. The memory of a body does not depend on the number of its chunks. Only incomplete bodies are evicted; their
//! requests have not been forwarded and never will be.
//!
//! **Failures.** A body that is refused or evicted ends with [`ReceiveError::NoMemory`].

mod eviction;
mod metrics;

use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use hyper::body::{Body, Bytes, Incoming};
use prometheus_client::registry::Registry;
use rustc_hash::FxHashMap;
use tokio::time::{Instant, sleep_until};

use self::eviction::{Candidate, Claim, choose_slowest, choose_victim};
use self::metrics::{EvictionReason, Evictions};
use crate::byte_rate::ByteRate;
use crate::client_connections::ShortageLevel;
use crate::request_body::{RequestBody, SegmentedBuffer};
use crate::request_budget::{Budget, MemoryReservation, Pool, RequestMemoryLimits};
use crate::wake_signal::WakeSignal;

/// Why there is no complete body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReceiveError {
    /// The body is larger than its limit.
    #[error("the body is larger than the limit")]
    TooLarge,
    /// The body was not complete in time.
    #[error("the body was not received in time")]
    TimedOut,
    /// The body is malformed, or its client has disconnected.
    #[error("the body is malformed or was cut short")]
    Malformed,
    /// The memory for request bodies is exhausted, and the body was refused or evicted.
    #[error("no memory for the body")]
    NoMemory,
}

/// The memory of all request bodies of a listener.
pub struct RequestMemory {
    budget: Rc<Budget>,
    receiving: RefCell<FxHashMap<u64, Rc<IncompleteBody>>>,
    next_id: Cell<u64>,
    evictions: Evictions,
}

/// A body that is being received.
struct IncompleteBody {
    content: RefCell<Content>,
    started_at: Instant,
    /// When its last bytes arrived, or when the receipt began.
    last_progress: Cell<Instant>,
    rate: Cell<ByteRate>,
    is_evicted: Cell<bool>,
    evicted: WakeSignal,
}

/// The received bytes of a body, and the memory that they occupy.
struct Content {
    buffer: SegmentedBuffer,
    reservation: MemoryReservation,
}

/// The entry of a body in the table, which is removed on drop.
struct TableEntry<'a> {
    memory: &'a RequestMemory,
    id: u64,
    body: Rc<IncompleteBody>,
}

impl Drop for TableEntry<'_> {
    fn drop(&mut self) {
        self.memory.receiving.borrow_mut().remove(&self.id);
    }
}

impl RequestMemory {
    /// Creates the memory, none of it reserved.
    pub fn new(limits: RequestMemoryLimits) -> Self {
        Self {
            budget: Rc::new(Budget::new(limits)),
            receiving: RefCell::default(),
            next_id: Cell::new(0),
            evictions: Evictions::default(),
        }
    }

    /// Registers the metrics for export.
    pub(crate) fn register(&self, registry: &mut Registry) {
        self.evictions.register(registry);
    }

    /// Receives a complete body of at most `max_bytes` bytes before `until`.
    ///
    /// # Errors
    /// Returns an error if the body is too large, malformed or late, or if there is no memory for it.
    pub async fn receive(
        &self,
        mut body: Incoming,
        max_bytes: usize,
        until: Instant,
    ) -> Result<RequestBody, ReceiveError> {
        if body.is_end_stream() {
            return Ok(RequestBody::default());
        }
        let announced = body.size_hint().exact();
        if announced.is_some_and(|length| length > max_bytes as u64) {
            return Err(ReceiveError::TooLarge);
        }
        let entry = self.add_to_table(announced.map(|length| length as usize));
        let mut deadline = pin!(sleep_until(until));
        poll_fn(|cx| {
            if entry.body.is_evicted.get() {
                return Poll::Ready(Err(ReceiveError::NoMemory));
            }
            let now = Instant::now();
            if let Poll::Ready(received) = self.poll_frames(cx, &mut body, &entry, max_bytes, now) {
                return Poll::Ready(received);
            }
            if now >= until {
                return Poll::Ready(Err(ReceiveError::TimedOut));
            }
            // Registers with eviction and timer only once, since each chunk polls this task.
            if entry.body.evicted.register(cx.waker()) && deadline.as_mut().poll(cx).is_ready() {
                return Poll::Ready(Err(ReceiveError::TimedOut));
            }
            Poll::Pending
        })
        .await
    }

    /// Appends all that has arrived to a body. Ready with the body once it is complete.
    fn poll_frames(
        &self,
        cx: &mut Context<'_>,
        body: &mut Incoming,
        entry: &TableEntry<'_>,
        max_bytes: usize,
        now: Instant,
    ) -> Poll<Result<RequestBody, ReceiveError>> {
        loop {
            match ready!(Pin::new(&mut *body).poll_frame(cx)) {
                // Trailers are not forwarded.
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.append(entry, &data, max_bytes, now)?;
                    }
                }
                Some(Err(_)) => return Poll::Ready(Err(ReceiveError::Malformed)),
                None => return Poll::Ready(Ok(entry.body.take_content().into_body())),
            }
        }
    }

    /// Sets how many client connections are open.
    pub fn set_open_connections(&self, connections: usize) {
        self.budget.set_open_connections(connections);
    }

    /// Returns how many client connections the memory allows.
    pub fn max_connections(&self) -> usize {
        self.budget.max_connections()
    }

    /// Evicts the incomplete body that arrives most slowly, because its connection is needed; returns false if none is slow
    /// enough at this level of the shortage.
    pub fn evict_slowest(&self, shortage: ShortageLevel) -> bool {
        let Some(id) = choose_slowest(&self.candidates(None), shortage, Instant::now()) else {
            return false;
        };
        self.evictions.count(EvictionReason::Stalled);
        self.evict(id);
        true
    }

    /// Adds a new body to the table.
    fn add_to_table(&self, announced: Option<usize>) -> TableEntry<'_> {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let now = Instant::now();
        let body = Rc::new(IncompleteBody {
            content: RefCell::new(Content {
                buffer: SegmentedBuffer::new(announced),
                reservation: MemoryReservation::new(self.budget.clone()),
            }),
            started_at: now,
            last_progress: Cell::new(now),
            rate: Cell::new(ByteRate::new(now)),
            is_evicted: Cell::new(false),
            evicted: WakeSignal::default(),
        });
        self.receiving.borrow_mut().insert(id, body.clone());
        TableEntry {
            memory: self,
            id,
            body,
        }
    }

    /// Appends data to a body, and reserves and allocates memory as needed.
    fn append(
        &self,
        entry: &TableEntry<'_>,
        data: &Bytes,
        max_bytes: usize,
        now: Instant,
    ) -> Result<(), ReceiveError> {
        let mut rest = &data[..];
        if entry.body.content.borrow().buffer.len() + rest.len() > max_bytes {
            return Err(ReceiveError::TooLarge);
        }
        entry.body.on_progress(now, data.len());
        while !rest.is_empty() {
            if entry.body.content.borrow().buffer.spare_bytes() == 0 {
                self.enlarge(entry)?;
            }
            rest = entry.body.content.borrow_mut().buffer.append(rest);
        }
        Ok(())
    }

    /// Enlarges the buffer of a body by its next segment. Evicts other bodies if there is not enough memory.
    fn enlarge(&self, entry: &TableEntry<'_>) -> Result<(), ReceiveError> {
        loop {
            let claim = {
                let content = &mut *entry.body.content.borrow_mut();
                let additional = content.buffer.next_growth();
                if content.reservation.grow(additional) {
                    content.buffer.grow(additional);
                    return Ok(());
                }
                Claim {
                    bytes: content.reservation.bytes() + additional,
                }
            };
            let candidates = self.candidates(Some(entry.id));
            let Some(victim) = choose_victim(&candidates, claim, Instant::now()) else {
                self.evictions.count(EvictionReason::NoMemory);
                return Err(ReceiveError::NoMemory);
            };
            self.evictions.count(EvictionReason::Preempted);
            self.evict(victim);
        }
    }

    /// Returns the incomplete bodies that may be evicted, except the one with the id `excluded`.
    fn candidates(&self, excluded: Option<u64>) -> Vec<Candidate> {
        let receiving = self.receiving.borrow();
        let others = receiving
            .iter()
            .filter(|(id, body)| Some(**id) != excluded && !body.is_evicted.get());
        others
            .map(|(id, body)| {
                let content = body.content.borrow();
                Candidate {
                    id: *id,
                    bytes: content.reservation.bytes(),
                    is_in_small_pool: content.reservation.pool() == Pool::Small,
                    started_at: body.started_at,
                    last_progress: body.last_progress.get(),
                    rate: body.rate.get(),
                }
            })
            .collect()
    }

    /// Frees the memory of a body, and wakes the task that receives it.
    fn evict(&self, id: u64) {
        let body = self.receiving.borrow().get(&id).cloned();
        if let Some(body) = body {
            drop(body.take_content());
            body.is_evicted.set(true);
            body.evicted.set();
        }
    }
}

impl IncompleteBody {
    /// Records that bytes have arrived.
    fn on_progress(&self, now: Instant, bytes: usize) {
        let mut rate = self.rate.get();
        rate.record(now, bytes);
        self.rate.set(rate);
        self.last_progress.set(now);
    }

    /// Takes the received bytes with their reservation.
    fn take_content(&self) -> Content {
        let content = &mut *self.content.borrow_mut();
        let reservation = content.reservation.take();
        let buffer = std::mem::take(&mut content.buffer);
        Content {
            buffer,
            reservation,
        }
    }
}

impl Content {
    fn into_body(self) -> RequestBody {
        self.buffer.into_body(self.reservation)
    }
}

#[cfg(test)]
mod tests;
