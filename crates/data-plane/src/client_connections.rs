//! Clients' connections: how many there may be, and which one is closed when the next one needs its place.
//!
//! Owns the registry of all open connections. The state and the time limits of a single one stand in `connection`.
//!
//! **Promises.** A connection with an open request is never closed to make room. **May lose.** A kept connection that
//! is closed while its client's next request is on the way: the client sends that request once more, as HTTP has it
//! (RFC 9112, 9.3.1).

mod connection;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use tokio::time::Instant;

use crate::client_stream::Traffic;
pub use connection::ClientConnection;

/// How long a client may take and stay idle.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimeouts {
    /// A head must be whole within this time after its connection came up, or after its first byte on a kept one.
    pub header: Duration,
    /// A kept connection is closed once it has idled for this long.
    pub idle: Duration,
}

/// All open connections of one listener, up to a limit.
pub struct ClientConnections {
    open: RefCell<FxHashMap<u64, Rc<ClientConnection>>>,
    next_id: Cell<u64>,
    max_connections: usize,
    /// Beyond this many in use, kept ones are closed as soon as others are answered.
    idle_eviction_threshold: usize,
    timeouts: Rc<Cell<ClientTimeouts>>,
}

/// The place of a connection in the registry; dropping it frees the place.
pub struct ConnectionSlot {
    /// The connection that has this place.
    pub connection: Rc<ClientConnection>,
    registry: Rc<ClientConnections>,
    id: u64,
}

impl ConnectionSlot {
    /// Notes that the open request was answered, and closes the connection that has idled longest if too many are in
    /// use. Clients that ask once and keep their connection would soon have all that they may open, and then none to
    /// ask on.
    pub fn on_response(&self) {
        self.connection.on_response();
        let open = self.registry.open.borrow();
        let threshold = self.registry.idle_eviction_threshold;
        if open.len() > threshold && open.values().filter(|c| c.is_in_use()).count() > threshold {
            // Not this one: its response is yet to be written.
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
    /// A registry for this many connections. While more than `idle_eviction_threshold` are in use, idle ones are
    /// closed.
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
        })
    }

    /// Sets the time limits, for open connections too.
    pub fn set_timeouts(&self, timeouts: ClientTimeouts) {
        self.timeouts.set(timeouts);
    }

    /// Open connections.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether there is no place for another connection.
    pub fn is_full(&self) -> bool {
        self.len() >= self.max_connections
    }

    /// Gives a new connection a place. The caller has looked at [`Self::is_full`].
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

    /// Closes one connection without an open request: the one that has sent nothing for longest, else the one that
    /// has idled longest. Hundreds of silent connections would otherwise hold all places and keep every other client
    /// out.
    pub fn evict_idle(&self) {
        let now = Instant::now();
        let open = self.open.borrow();
        let idle = open
            .values()
            .filter_map(|c| Some((c.eviction_rank(now)?, c)));
        if let Some((_, longest)) = idle.min_by_key(|(rank, _)| *rank) {
            longest.evict();
        }
    }
}

#[cfg(test)]
mod tests;
