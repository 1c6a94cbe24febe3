//! Client connections: how many may be open, and which one is evicted when a new one needs its slot.
//!
//! Owns the registry of all open connections. `connection` contains the state and the timeouts of a single one.
//!
//! **Guarantees.** A connection with an open request is never evicted. **Failures.** A keep-alive connection may be
//! evicted while its client's next request is in transit; the client then sends that request again (RFC 9112, 9.3.1). A
//! client that leaves its response unread may lose the rest of it.

mod connection;
mod shortage;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use tokio::time::Instant;

use crate::client_stream::Traffic;
pub use connection::ClientConnection;
pub use shortage::{ConnectionShortage, ShortageLevel};

/// Timeouts of client connections.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimeouts {
    /// How long a request head may take: from the accept of a new connection, or from the head's first byte on a
    /// keep-alive connection.
    pub header: Duration,
    /// How long a keep-alive connection may be idle before it is closed.
    pub idle: Duration,
}

/// All open connections of one listener, up to a limit.
pub struct ClientConnections {
    open: RefCell<FxHashMap<u64, Rc<ClientConnection>>>,
    next_id: Cell<u64>,
    max_connections: usize,
    /// While more connections than this are in use, each response causes an idle connection to be closed.
    idle_eviction_threshold: usize,
    timeouts: Rc<Cell<ClientTimeouts>>,
    shortage: ConnectionShortage,
}

/// The slot of a connection in the registry; dropping it frees the slot.
pub struct ConnectionSlot {
    /// The connection that occupies the slot.
    pub connection: Rc<ClientConnection>,
    registry: Rc<ClientConnections>,
    id: u64,
}

impl ConnectionSlot {
    /// Records that the open request has its response, and closes the connection that has been idle longest if too many
    /// are in use. Otherwise clients that send one request and keep the connection open would soon occupy all slots,
    /// and no connection would be left for further requests.
    pub fn on_response(&self) {
        self.connection.on_response();
        let open = self.registry.open.borrow();
        let threshold = self.registry.idle_eviction_threshold;
        if open.len() > threshold && open.values().filter(|c| c.is_in_use()).count() > threshold {
            // Excludes this connection: its response has not been written yet.
            let others = open.iter().filter(|(id, _)| **id != self.id);
            let idle = others.filter_map(|(_, c)| Some((c.idle_since()?, c)));
            if let Some((_, longest)) = idle.min_by_key(|(since, _)| *since) {
                longest.evict();
            }
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.registry.open.borrow_mut().remove(&self.id);
    }
}

impl ClientConnections {
    /// Creates a registry for at most `max_connections` connections. While more than `idle_eviction_threshold` are in
    /// use, idle ones are closed.
    pub fn new(
        max_connections: usize,
        idle_eviction_threshold: usize,
        timeouts: ClientTimeouts,
    ) -> Rc<Self> {
        Rc::new(Self {
            open: RefCell::default(),
            next_id: Cell::new(0),
            max_connections,
            idle_eviction_threshold,
            timeouts: Rc::new(Cell::new(timeouts)),
            shortage: ConnectionShortage::default(),
        })
    }

    /// Sets the timeouts, also for connections that are already open.
    pub fn set_timeouts(&self, timeouts: ClientTimeouts) {
        self.timeouts.set(timeouts);
    }

    /// Returns how short connections are.
    pub fn shortage(&self) -> &ConnectionShortage {
        &self.shortage
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether all slots are occupied.
    pub fn is_full(&self) -> bool {
        self.len() >= self.max_connections
    }

    /// Registers a new connection. The caller must have checked [`Self::is_full`].
    pub fn register(self: &Rc<Self>, traffic: Traffic) -> ConnectionSlot {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let connection = Rc::new(ClientConnection::new(self.timeouts.clone(), traffic));
        self.open.borrow_mut().insert(id, connection.clone());
        ConnectionSlot {
            connection,
            registry: self.clone(),
            id,
        }
    }

    /// Evicts one connection without an open request: the one that has waited longest for a request head or to be
    /// closed, else the one that has waited longest for its client to read, or else the one that has been idle longest.
    /// Otherwise hundreds of silent connections could occupy all slots and lock out every other client. Returns false if
    /// there is none.
    pub fn evict_idle(&self) -> bool {
        let now = Instant::now();
        let open = self.open.borrow();
        let idle = open
            .values()
            .filter_map(|c| Some((c.eviction_rank(now, self.shortage.level())?, c)));
        let longest = idle.min_by_key(|(rank, _)| *rank);
        if let Some((_, longest)) = longest {
            longest.evict();
        }
        longest.is_some()
    }

    /// Evicts the connection whose client has read nothing of its response for longest, if that is long enough, because the
    /// memory of the response is needed. Returns whether there was one. Only one connection is evicted at a time.
    pub fn evict_slow_reader(&self) -> bool {
        let now = Instant::now();
        let open = self.open.borrow();
        if open.values().any(|c| c.is_evicted_slow_reader()) {
            return false;
        }
        let unread = open
            .values()
            .filter_map(|c| Some((c.slow_reader_since(now)?, c)));
        let slowest = unread.min_by_key(|(since, _)| *since);
        if let Some((_, slowest)) = slowest {
            slowest.evict();
        }
        slowest.is_some()
    }
}

#[cfg(test)]
mod tests;
