//! Attempts at upstreams, and the connections that are kept for them.
//!
//! Read in the order of an attempt: `attempt` sends one request over one connection and says how that ended;
//! `protocol` has the wording that upstreams and balancer agree on, writes the head of the request and classifies
//! the response; `load_report` reads what upstreams report of their load. This file has the connections: which are
//! idle, which may be used again, how many are open.
//!
//! **State.** Idle connections by upstream, the number of open ones, the memory that responses take, and for how long
//! a connection had idled that its upstream turned out to have dropped.
//!
//! **Promises.** An attempt puts at most one request on the wire, and only while the request still awaits a response.
//! An outcome that says "not run" is proof of it. No more connections are open than [`PoolConfig::max_connections`].
//!
//! **May lose.** Idle connections, at any time; nothing else is held here.
//!
//! **Upstream silent, replaced or gone.** The attempt ends at its deadline, the connection after 3 s (`TCP_USER_TIMEOUT`)
//! without an acknowledgement. Requests name the upstream that they are meant for
//! ([`UpstreamProtocol::target_header`]), so that another one at its address does not run them.

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

pub use self::attempt::{AttemptError, AttemptResult, ErrorOrigin};
pub use self::load_report::LoadReportFormat;
pub use self::protocol::{ForwardedRequest, UpstreamProtocol, implies_not_run};
use self::stale::StaleConnections;
use crate::body::BodyBudget;
use crate::upstream_connection::{AwaitedResponse, UpstreamConnection};

/// Idle connections are closed at this share of [`PoolConfig::keepalive`]: a request that crosses with the upstream's
/// own close would end as a reset, which no request survives that may run only once.
const MAX_IDLE_SHARE: f64 = 0.75;
/// How often idle connections are looked through.
const REAP_INTERVAL: Duration = Duration::from_millis(250);
/// What was sent and is not acknowledged for so long is lost with its connection: the far side is gone without
/// closing it. Longer than three retransmissions of the system take.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(3000);

/// Limits of the connections to upstreams. They come from `crate::runtime` in the data plane, from the deployment's
/// `policy_limits` in the standalone proxy.
pub struct PoolConfig {
    /// How many connections may be open at once, idle ones included: half of the open files that the process may have.
    pub max_connections: usize,
    /// Upstreams close what idles for longer, unless they announce another time in `Keep-Alive`. Connections are closed
    /// here at three quarters of it.
    pub keepalive: Duration,
    /// How long an attempt waits for a new connection, within its own deadline.
    pub connect_timeout: Duration,
    /// Bytes that responses may take together while they are read or not yet written to their clients: a quarter of the
    /// memory that the process may have.
    pub max_response_bytes: usize,
    /// What upstreams and balancer tell each other in headers and statuses.
    pub protocol: UpstreamProtocol,
}

/// An upstream as attempts see it. Its cells may change while an attempt waits for its connection.
#[derive(Debug)]
pub struct Target {
    /// Where it is.
    pub address: Cell<SocketAddr>,
    /// Its name, for [`UpstreamProtocol::target_header`]; `None` if it can't be a header's value.
    pub name: Option<HeaderValue>,
    /// When sending must have ended, since it drains or is gone; `None` while it takes requests.
    pub closed_at: Cell<Option<Instant>>,
}

impl Target {
    /// Whether nothing may be sent to it any more.
    fn is_closed(&self) -> bool {
        self.closed_at.get().is_some_and(|at| Instant::now() >= at)
    }
}

/// Counts a connection for as long as it is open.
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
    /// By upstream, the one that has idled longest first.
    idle: RefCell<FxHashMap<ServerId, Vec<PooledConnection>>>,
    stale: StaleConnections,
    open_connections: Rc<Cell<usize>>,
    response_budget: BodyBudget,
    config: PoolConfig,
}

impl UpstreamPool {
    /// A pool without connections, and a task that closes idle ones; the task ends with the pool. Has to be called
    /// within a `LocalSet`.
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

    /// Closes what has idled for too long. What was closed from the other side shows when it is taken.
    fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|pooled| self.may_be_used(&pooled.connection));
            !connections.is_empty()
        });
    }

    /// Whether an idle connection has not idled for too long.
    fn may_be_used(&self, connection: &UpstreamConnection) -> bool {
        let idle_for = connection.idle_since.elapsed();
        idle_for < connection.max_idle && !self.stale.is_suspect(idle_for)
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, server: ServerId) {
        self.idle.borrow_mut().remove(&server);
    }

    /// An idle connection on which a request may go out: the one used last, so that the others can expire.
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

    /// Makes sure that one more connection may be opened, if need be by closing the one that has idled longest; false
    /// if all are in use.
    fn reserve_slot(&self) -> bool {
        if self.open_connections.get() < self.config.max_connections {
            return true;
        }
        let mut idle = self.idle.borrow_mut();
        // Each list is in order of age, the oldest first.
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
    /// The limit of connections is reached, or the upstream did not accept within [`PoolConfig::connect_timeout`].
    async fn connect(&self, address: SocketAddr) -> Result<PooledConnection, AttemptError> {
        if !self.reserve_slot() {
            tracing::warn!(
                upstream = %address,
                max_connections = self.config.max_connections,
                "no connection opened to an upstream: the limit of open connections is reached"
            );
            return Err(AttemptError::ConnectionLimit);
        }
        let (slot, started_at) = (ConnectionSlot::new(&self.open_connections), Instant::now());
        let stream = timeout(self.config.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| AttemptError::ConnectTimeout)?
            .map_err(AttemptError::Connect)?;
        // Without these options bytes are only later, or a loss is noticed later: a connection that is broken says so
        // when it is used.
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let max_idle = self.config.keepalive.mul_f64(MAX_IDLE_SHARE);
        let connection = UpstreamConnection::new(stream, address, started_at.elapsed(), max_idle);
        Ok(PooledConnection {
            connection,
            _slot: slot,
        })
    }
}

#[cfg(test)]
pub(crate) mod tests;
