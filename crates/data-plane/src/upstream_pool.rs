//! Makes attempts at upstreams and manages the connections to them.
//!
//! Submodules, in the order of an attempt: `attempt` sends one request over one connection and reports the result;
//! `protocol` defines the headers and statuses that concern the proxy, encodes the request head and classifies the
//! response; `load_report` parses the load that upstreams report; `stale` detects connections that upstreams dropped
//! while idle. This file manages the connections: which are idle, which may be reused, how many are open.
//!
//! **State.** Idle connections by upstream, the number of open connections, the memory that responses occupy, and the
//! shortest idle time of recently detected stale connections.
//!
//! **Guarantees.** An attempt sends at most one request, and only while the request still awaits a response. An outcome
//! that states that the request has not run is certain. At most [`PoolConfig::max_connections`] connections are open.
//!
//! **Failures.** Idle connections may be lost at any time. Attempts at an unresponsive upstream end at their deadline,
//! and the connection after 3 s without an acknowledgement (`TCP_USER_TIMEOUT`). Requests name the upstream that they
//! are intended for ([`UpstreamProtocol::target_header`]), so that another one that has taken over its address does not
//! run them.

mod attempt;
mod load_report;
mod protocol;
mod stale;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::HeaderValue;
use load_balancing::interface::ServerId;
use rustc_hash::FxHashMap;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

pub use self::attempt::{AttemptError, AttemptObserver, AttemptResult, ErrorOrigin};
pub use self::load_report::LoadReportFormat;
pub use self::protocol::{ForwardedRequest, UpstreamProtocol, implies_not_run};
use self::stale::StaleConnections;
use crate::body::BodyBudget;
use crate::upstream_connection::{AwaitedResponse, UpstreamConnection};

/// The fraction of [`PoolConfig::keepalive`] after which idle connections are closed. A request that is sent while the
/// upstream closes the connection ends as a reset, and can't be retried if it may run only once.
const MAX_IDLE_FRACTION: f64 = 0.75;
/// How often expired idle connections are closed.
const REAP_INTERVAL: Duration = Duration::from_millis(250);
/// How long sent data may stay unacknowledged before the connection fails, since the peer is gone without having closed
/// it. Longer than three TCP retransmissions take.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(3000);

/// Configuration of the connections to upstreams. Set by `crate::runtime` in the data plane, and from the deployment's
/// `policy_limits` in the standalone proxy.
pub struct PoolConfig {
    /// How many connections may be open at once, including idle ones: half of the process's limit of open files.
    pub max_connections: usize,
    /// The idle time after which upstreams close connections, unless they announce another one in `Keep-Alive`. The
    /// pool closes connections at three quarters of it.
    pub keepalive: Duration,
    /// How long an attempt waits for a new connection, within its own deadline.
    pub connect_timeout: Duration,
    /// How many bytes all responses together may occupy until they are written to their clients: a quarter of the
    /// process's memory limit.
    pub max_response_bytes: usize,
    /// The headers and statuses with which upstreams and the proxy communicate.
    pub protocol: UpstreamProtocol,
}

/// The target of attempts: an upstream. The cells may change while an attempt waits for its connection.
#[derive(Debug)]
pub struct Target {
    /// The address of the upstream.
    pub address: Cell<SocketAddr>,
    /// The name of the upstream, for [`UpstreamProtocol::target_header`]; `None` if it is not a valid header value.
    pub name: Option<HeaderValue>,
    /// From when on nothing may be sent to the upstream, because it drains or is gone; `None` while it accepts
    /// requests.
    pub closed_at: Cell<Option<Instant>>,
}

impl Target {
    /// Returns whether nothing may be sent to the upstream any more.
    fn is_closed(&self) -> bool {
        self.closed_at.get().is_some_and(|at| Instant::now() >= at)
    }
}

/// Counts a connection as open for the lifetime of this value.
struct ConnectionSlot(Rc<Cell<usize>>);

impl ConnectionSlot {
    fn new(open_connections: &Rc<Cell<usize>>) -> Self {
        open_connections.set(open_connections.get() + 1);
        Self(open_connections.clone())
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection of the pool and its slot.
struct PooledConnection {
    connection: UpstreamConnection,
    _slot: ConnectionSlot,
}

/// The connections to all upstreams.
pub struct UpstreamPool {
    /// Idle connections by upstream, ordered by idle time, the longest first.
    idle: RefCell<FxHashMap<ServerId, Vec<PooledConnection>>>,
    stale: StaleConnections,
    open_connections: Rc<Cell<usize>>,
    response_budget: BodyBudget,
    config: PoolConfig,
}

impl UpstreamPool {
    /// Creates an empty pool and spawns a task that closes expired idle connections; the task ends with the pool. Must
    /// be called within a `LocalSet`.
    pub fn new(config: PoolConfig) -> Rc<Self> {
        let pool = Rc::new(Self {
            idle: RefCell::default(),
            stale: StaleConnections::default(),
            open_connections: Rc::default(),
            response_budget: BodyBudget::new(config.max_response_bytes),
            config,
        });
        let weak = Rc::downgrade(&pool);
        tokio::task::spawn_local(async move {
            loop {
                sleep(REAP_INTERVAL).await;
                let Some(pool) = weak.upgrade() else { return };
                pool.close_expired();
            }
        });
        pool
    }

    /// Sets what frees memory where that for responses is short: it disconnects a client that leaves its response unread.
    pub fn set_response_shortage_handler(&self, on_shortage: impl Fn() + 'static) {
        self.response_budget.set_shortage_handler(on_shortage);
    }

    /// Closes connections that were idle for too long. Those that the upstream closed are detected when they are taken.
    fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|pooled| self.may_be_used(&pooled.connection));
            !connections.is_empty()
        });
    }

    /// Returns whether a connection has not been idle for too long.
    fn may_be_used(&self, connection: &UpstreamConnection) -> bool {
        let idle_for = connection.idle_since.elapsed();
        idle_for < connection.max_idle && !self.stale.may_be_stale(idle_for)
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, server: ServerId) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Takes an idle connection on which the request may be sent: the most recently used one, so that others can
    /// expire.
    fn take_idle(
        &self,
        server: ServerId,
        address: SocketAddr,
        awaited: &AwaitedResponse<'_>,
    ) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server)?;
        while let Some(pooled) = connections.pop() {
            let connection = &pooled.connection;
            if self.may_be_used(connection)
                && connection.address == address
                && connection.can_carry(awaited)
            {
                return Some(pooled);
            }
        }
        None
    }

    /// Keeps a connection for the next attempt.
    fn put_idle(&self, server: ServerId, pooled: PooledConnection) {
        self.idle
            .borrow_mut()
            .entry(server)
            .or_default()
            .push(pooled);
    }

    /// Ensures that one more connection may be opened, if necessary by closing the one that has been idle longest;
    /// returns false if all are in use.
    fn reserve_slot(&self) -> bool {
        if self.open_connections.get() < self.config.max_connections {
            return true;
        }
        let mut idle = self.idle.borrow_mut();
        // The first connection of each list has been idle longest.
        let longest_idle = idle
            .iter()
            .filter_map(|(server, connections)| {
                let oldest = connections.first()?;
                Some((oldest.connection.idle_since, *server))
            })
            .min_by_key(|(since, _)| *since);
        let Some((_, server)) = longest_idle else {
            return false;
        };
        if let Some(connections) = idle.get_mut(&server) {
            drop(connections.remove(0));
        }
        true
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// Returns an error if the connection limit is reached, or if connecting fails or takes longer than
    /// [`PoolConfig::connect_timeout`].
    async fn connect(&self, address: SocketAddr) -> Result<PooledConnection, AttemptError> {
        if !self.reserve_slot() {
            tracing::warn!(
                upstream = %address,
                max_connections = self.config.max_connections,
                "cannot connect to an upstream: the connection limit is reached"
            );
            return Err(AttemptError::ConnectionLimit);
        }
        let (slot, started_at) = (ConnectionSlot::new(&self.open_connections), Instant::now());
        let stream = timeout(self.config.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| AttemptError::ConnectTimeout)?
            .map_err(AttemptError::Connect)?;
        // Failures are ignored: without these options data is only delayed or a lost peer is detected later, and a
        // broken connection fails when it is used.
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let max_idle = self.config.keepalive.mul_f64(MAX_IDLE_FRACTION);
        let connection = UpstreamConnection::new(stream, address, started_at.elapsed(), max_idle);
        Ok(PooledConnection {
            connection,
            _slot: slot,
        })
    }
}

#[cfg(test)]
pub(crate) mod tests;
