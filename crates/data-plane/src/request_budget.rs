//! The limits of the memory for request bodies, and the reservations of the bodies.
//!
//! There are two pools: one for all bodies, and one that only small bodies may use, so that large ones can't occupy
//! everything. A small body uses its own pool first. A body that grows beyond [`SMALL_BODY_BYTES`] moves to the shared
//! pool.
//!
//! The shared pool is larger while few connections are open. Connections and bodies together keep to
//! [`RequestMemoryLimits::bodies_and_connections_bytes`]: a larger pool allows fewer connections.

use std::cell::Cell;
use std::rc::Rc;

use crate::body::RESPONSE_MEMORY_DIVISOR;

/// How much memory request bodies may occupy, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct RequestMemoryLimits {
    /// The maximum for all bodies together, in addition to the next fields.
    pub shared_bytes: usize,
    /// Additional memory for bodies of at most 64 KiB, which large ones can't occupy.
    pub small_body_bytes: usize,
    /// The maximum for all bodies and the buffers of all connections together. While few connections are open, bodies may
    /// exceed `shared_bytes` up to this maximum; the number of connections is then limited accordingly.
    pub bodies_and_connections_bytes: usize,
}

/// The memory of a machine divided by this is the minimum that all request bodies share.
const SHARED_MEMORY_DIVISOR: usize = 4;
/// The memory of a machine divided by this is the memory for small request bodies.
const SMALL_BODY_MEMORY_DIVISOR: usize = 32;

/// The memory of a machine divided by this stays free.
const FREE_MEMORY_DIVISOR: usize = 8;
/// The memory of a process without any client.
const PROCESS_BYTES: usize = 16 << 20;

impl RequestMemoryLimits {
    /// Returns the limits for a process that may use `memory_bytes` bytes and holds little else than bodies.
    pub fn of_data_plane(memory_bytes: usize) -> Self {
        let others = memory_bytes / RESPONSE_MEMORY_DIVISOR
            + memory_bytes / SMALL_BODY_MEMORY_DIVISOR
            + memory_bytes / FREE_MEMORY_DIVISOR
            + PROCESS_BYTES;
        Self {
            bodies_and_connections_bytes: memory_bytes.saturating_sub(others),
            ..Self::of_machine(memory_bytes)
        }
    }

    /// Returns the limits for a process that may use `memory_bytes` bytes and needs most of them for other purposes.
    pub fn of_machine(memory_bytes: usize) -> Self {
        Self {
            shared_bytes: memory_bytes / SHARED_MEMORY_DIVISOR,
            small_body_bytes: memory_bytes / SMALL_BODY_MEMORY_DIVISOR,
            bodies_and_connections_bytes: 0,
        }
    }
}

/// The largest body that may use the pool for small bodies.
pub(crate) const SMALL_BODY_BYTES: usize = 64 << 10;

/// The buffers of one client connection: its heads, those of the HTTP library, and input that was read ahead.
const CONNECTION_BYTES: usize = 60 << 10;

/// The number of connections for which bodies always leave memory. Without it, a few complete large bodies, which can't be
/// evicted, would keep other clients from connecting.
const MIN_CONNECTIONS: usize = 256;

/// Where the memory of a body is reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pool {
    /// Only for bodies of at most [`SMALL_BODY_BYTES`].
    Small,
    /// For all bodies.
    Shared,
}

/// The limits of both pools, and how much of each is reserved.
pub(crate) struct Budget {
    limits: RequestMemoryLimits,
    shared_bytes: Cell<usize>,
    small_bytes: Cell<usize>,
    open_connections: Cell<usize>,
}

impl Budget {
    pub(crate) fn new(limits: RequestMemoryLimits) -> Self {
        Self {
            limits,
            shared_bytes: Cell::new(0),
            small_bytes: Cell::new(0),
            open_connections: Cell::new(0),
        }
    }

    pub(crate) fn set_open_connections(&self, connections: usize) {
        self.open_connections.set(connections);
    }

    /// Returns how many connections may be open beside the bodies.
    pub(crate) fn max_connections(&self) -> usize {
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
    pub(crate) fn reserved_bytes(&self) -> usize {
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
    pub(crate) fn new(budget: Rc<Budget>) -> Self {
        Self {
            budget,
            pool: Pool::Small,
            bytes: 0,
        }
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn pool(&self) -> Pool {
        self.pool
    }

    /// Reserves more bytes; returns false, and changes nothing, if neither pool that the body may use has enough left.
    pub(crate) fn grow(&mut self, additional: usize) -> bool {
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
    pub(crate) fn take(&mut self) -> Self {
        let empty = Self::new(self.budget.clone());
        std::mem::replace(self, empty)
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.release(self.pool, self.bytes);
    }
}
