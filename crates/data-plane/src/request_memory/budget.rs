//! The limits of the memory for request bodies, and the reservations of the bodies.
//!
//! There are two pools: one for all bodies, and one that only small bodies may use, so that large ones can't occupy
//! everything. A
//! small body uses its own pool first. A body that grows beyond [`SMALL_BODY_BYTES`] moves to the shared pool.
//!
//! The shared pool is larger while few connections are open. Connections and bodies together keep to
//! [`RequestMemoryLimits::bodies_and_connections_bytes`]: a larger pool allows fewer connections.

use std::cell::Cell;
use std::rc::Rc;

use super::RequestMemoryLimits;

/// The largest body that may use the pool for small bodies.
pub(super) const SMALL_BODY_BYTES: usize = 64 << 10;

/// The buffers of one client connection: its heads, those of the HTTP library, and input that was read ahead.
const CONNECTION_BYTES: usize = 60 << 10;

/// The number of connections for which bodies always leave memory. Without it, a few complete large bodies, which can't be
/// evicted, would keep other clients from connecting.
const MIN_CONNECTIONS: usize = 256;

/// Where the memory of a body is reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pool {
    /// Only for bodies of at most [`SMALL_BODY_BYTES`].
    Small,
    /// For all bodies.
    Shared,
}

/// The limits of both pools, and how much of each is reserved.
pub(super) struct Budget {
    limits: RequestMemoryLimits,
    shared_bytes: Cell<usize>,
    small_bytes: Cell<usize>,
    open_connections: Cell<usize>,
}

impl Budget {
    pub(super) fn new(limits: RequestMemoryLimits) -> Self {
        Self {
            limits,
            shared_bytes: Cell::new(0),
            small_bytes: Cell::new(0),
            open_connections: Cell::new(0),
        }
    }

    pub(super) fn set_open_connections(&self, connections: usize) {
        self.open_connections.set(connections);
    }

    /// Returns how many connections may be open beside the bodies.
    pub(super) fn max_connections(&self) -> usize {
        let shared_bytes = self.shared_bytes.get();
        if shared_bytes <= self.limits.shared_bytes {
            return usize::MAX;
        }
        let left = self.limits.bodies_and_connections_bytes;
        left.saturating_sub(shared_bytes) / CONNECTION_BYTES
    }

    /// Returns how many bytes the shared pool has beside the connections.
    fn max_shared_bytes(&self) -> usize {
        let connections = self.open_connections.get().max(MIN_CONNECTIONS);
        let left = self.limits.bodies_and_connections_bytes;
        left.saturating_sub(connections * CONNECTION_BYTES)
            .max(self.limits.shared_bytes)
    }

    /// Returns how many bytes are reserved in both pools.
    #[cfg(test)]
    pub(super) fn reserved_bytes(&self) -> usize {
        self.shared_bytes.get() + self.small_bytes.get()
    }

    fn reserved(&self, pool: Pool) -> (&Cell<usize>, usize) {
        match pool {
            Pool::Small => (&self.small_bytes, self.limits.small_body_bytes),
            Pool::Shared => (&self.shared_bytes, self.max_shared_bytes()),
        }
    }

    /// Reserves bytes in a pool; returns false if they don't fit.
    fn reserve(&self, pool: Pool, bytes: usize) -> bool {
        let (reserved, max_bytes) = self.reserved(pool);
        let fits = bytes <= max_bytes.saturating_sub(reserved.get());
        if fits {
            reserved.set(reserved.get() + bytes);
        }
        fits
    }

    fn release(&self, pool: Pool, bytes: usize) {
        let (reserved, _) = self.reserved(pool);
        reserved.set(reserved.get() - bytes);
    }
}

/// The memory that is reserved for one body; released on drop.
pub struct MemoryReservation {
    budget: Rc<Budget>,
    pool: Pool,
    bytes: usize,
}

impl MemoryReservation {
    /// Creates a reservation of no bytes.
    pub(super) fn new(budget: Rc<Budget>) -> Self {
        Self {
            budget,
            pool: Pool::Small,
            bytes: 0,
        }
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn pool(&self) -> Pool {
        self.pool
    }

    /// Reserves more bytes; returns false, and changes nothing, if neither pool that the body may use has enough left.
    pub(super) fn grow(&mut self, additional: usize) -> bool {
        let total = self.bytes + additional;
        let may_stay = self.pool == Pool::Shared || total <= SMALL_BODY_BYTES;
        if may_stay && self.budget.reserve(self.pool, additional) {
            self.bytes = total;
            return true;
        }
        self.pool == Pool::Small && self.move_to_shared_pool(total)
    }

    /// Moves to the shared pool and reserves `total` bytes there.
    fn move_to_shared_pool(&mut self, total: usize) -> bool {
        if !self.budget.reserve(Pool::Shared, total) {
            return false;
        }
        self.budget.release(self.pool, self.bytes);
        (self.pool, self.bytes) = (Pool::Shared, total);
        true
    }

    /// Returns the reservation, and leaves one of no bytes.
    pub(super) fn take(&mut self) -> Self {
        let empty = Self::new(self.budget.clone());
        std::mem::replace(self, empty)
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.release(self.pool, self.bytes);
    }
}
