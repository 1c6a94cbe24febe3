//! The HTTP server: accepts client connections, reads requests, passes each to a [`RequestHandler`], and writes its
//! response.
//!
//! - `connection`: one connection, from its first request to its last byte.
//! - `delivery`: whether the last response on a connection was read by the client.
//!
//! Owns the registry of open connections ([`ClientConnections`]) and their limits.
//!
//! **Guarantees.** Every request that was read completely gets one response, or its connection ends in a way that the
//! client can't take for a complete response. The number of connections and the duration of each are bounded. Shutdown
//! is graceful: new connections are accepted for [`ListenerLimits::accept_grace`], open ones then have
//! [`ListenerLimits::drain_timeout`] to finish, and from the stop signal on each response asks its client to reconnect
//! to another balancer (`Connection: close`).
//!
//! **Failures.** Requests that are still open after that time are lost. So is a request that arrives on a keep-alive
//! connection while that connection is being closed.

mod connection;
mod delivery;

use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::client_connections::{ClientConnections, ClientTimeouts};
use crate::client_stream::MeteredStream;
use crate::headers::ClientResponse;
use crate::request_memory::RequestMemory;
pub use delivery::{DeliveryReceipt, DeliveryStatus};

/// Additional time after the drain timeout for writing the last responses.
const WRITE_GRACE: Duration = Duration::from_millis(100);
/// The pause after a failed accept, so that running out of file descriptors does not cause a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// The pause before the next attempt to accept while all slots are occupied. A client in the backlog waits a moment; a
/// connection accepted without a free file descriptor would be dropped.
const FULL_BACKOFF: Duration = Duration::from_millis(1);
/// How many clients may wait to be accepted. While all slots are occupied, a shorter queue would soon be filled by a
/// large number of clients, and the system would drop the connection attempts of others.
const ACCEPT_BACKLOG: u32 = 1024;
/// The pause after a stalled request was evicted: its response is written and its connection drained before the slot is
/// free, and fewer requests than there are new clients would be spared without the pause.
const STALLED_BACKOFF: Duration = Duration::from_millis(5);
/// How often shutdown checks whether all connections have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a connection without an open request still waits for a request in transit when the listener closes: as long
/// as packets may be delayed on a network path.
pub const FINAL_REQUEST_WAIT: Duration = Duration::from_millis(500);

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// The maximum number of open connections.
    pub max_connections: usize,
    /// While more connections than this are in use, idle ones are closed.
    pub idle_eviction_threshold: usize,
    /// The maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Timeouts of client connections.
    pub timeouts: ClientTimeouts,
    /// How long connections are accepted after the stop signal, since clients learn of the shutdown with a delay.
    pub accept_grace: Duration,
    /// How long open connections may take to finish after that.
    pub drain_timeout: Duration,
    /// How much of that time a connection without an open request waits for one: [`FINAL_REQUEST_WAIT`] in production.
    pub final_request_wait: Duration,
}

/// Listens on an address.
///
/// # Errors
/// Returns an error if the address is not available.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Handles the requests of a listener.
pub trait RequestHandler: 'static {
    /// Whether each request gets a [`DeliveryReceipt`] as an extension.
    const WANTS_RECEIPT: bool = false;

    /// Returns the response to a request that arrived at `arrived_at`. `stopping` is true while the listener shuts
    /// down. The future is dropped when the client disconnects.
    fn handle_request(
        &self,
        request: Request<Incoming>,
        arrived_at: Instant,
        stopping: bool,
    ) -> impl Future<Output = ClientResponse>;

    /// Returns the memory for the bodies of the requests, if the handler receives any.
    fn request_memory(&self) -> Option<&RequestMemory> {
        None
    }
}

/// An HTTP/1 server with its request handler.
pub struct Listener<H> {
    handler: Rc<H>,
    connections: Rc<ClientConnections>,
    limits: Cell<ListenerLimits>,
    /// Whether the listener shuts down; responses then carry `Connection: close`.
    stopping: Cell<bool>,
}

impl<H: RequestHandler> Listener<H> {
    /// Creates a listener; it does nothing before [`Self::serve`].
    pub fn new(handler: Rc<H>, limits: ListenerLimits) -> Rc<Self> {
        Rc::new(Self {
            handler,
            connections: ClientConnections::new(
                limits.max_connections,
                limits.idle_eviction_threshold,
                limits.timeouts,
            ),
            limits: Cell::new(limits),
            stopping: Cell::new(false),
        })
    }

    /// Sets the maximum head size for new connections, and the timeouts for all connections.
    pub fn set_limits(&self, max_header_bytes: usize, timeouts: ClientTimeouts) {
        self.limits.set(ListenerLimits {
            max_header_bytes,
            timeouts,
            ..self.limits.get()
        });
        self.connections.set_timeouts(timeouts);
    }

    /// Evicts the connection whose client has read nothing of its response for longest, if that is long enough.
    pub fn evict_slow_reader(&self) {
        self.connections.evict_slow_reader();
    }

    /// Serves until `stop` completes, then shuts down gracefully. Returns when all connections have ended, or after the
    /// drain timeout.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let (close, closing) = watch::channel(false);
        {
            let accepting = self.accept(&listener, &closing);
            tokio::pin!(accepting);
            tokio::select! {
                () = &mut accepting => {}
                () = stop => {}
            }
            let accept_grace = self.limits.get().accept_grace;
            tracing::info!(
                ?accept_grace,
                connections = self.connections.len(),
                "listener is stopping; clients are asked to reconnect elsewhere"
            );
            // From here on responses carry `Connection: close`; new connections are still accepted.
            self.stopping.set(true);
            // `accepting` never completes, so this accepts until the timeout.
            let _ = timeout(accept_grace, accepting).await;
        }
        drop(listener);
        close.send_replace(true);
        let drained = async {
            while !self.connections.is_empty() {
                sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        // Starts when accepting ends, not at the stop signal, so that the last requests have their full deadline.
        let limit = self.limits.get().drain_timeout + WRITE_GRACE;
        if timeout(limit, drained).await.is_err() {
            tracing::warn!(
                connections = self.connections.len(),
                "connections are still open after the drain timeout"
            );
        }
    }

    /// Accepts connections and starts a task for each; never returns.
    async fn accept(self: &Rc<Self>, listener: &TcpListener, closing: &watch::Receiver<bool>) {
        loop {
            if self.is_full() {
                self.make_room().await;
                continue;
            }
            match self.accept_next(listener).await {
                Ok(stream) => self.start_connection(stream, closing.clone()),
                // No file descriptor left, or the connection was aborted: neither is a reason to stop.
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a connection");
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Accepts one connection.
    async fn accept_next(&self, listener: &TcpListener) -> io::Result<TcpStream> {
        let shortage = self.connections.shortage();
        let accepted = poll_fn(|cx| {
            let accepted = listener.poll_accept(cx);
            if accepted.is_pending() {
                shortage.on_no_client_waiting();
            }
            accepted
        });
        let (stream, _) = accepted.await?;
        shortage.on_relieved();
        Ok(stream)
    }

    /// Reports the number of open connections to the memory for request bodies, with which they share memory.
    fn report_open_connections(&self) {
        if let Some(memory) = self.handler.request_memory() {
            memory.set_open_connections(self.connections.len());
        }
    }

    /// Returns whether all slots are occupied, or there is no memory for another connection.
    fn is_full(&self) -> bool {
        let memory = self.handler.request_memory();
        self.connections.is_full()
            || memory.is_some_and(|memory| self.connections.len() >= memory.max_connections())
    }

    /// Evicts a connection or an incomplete request for another client, and waits a moment.
    async fn make_room(&self) {
        let shortage = self.connections.shortage();
        let evict_request = || {
            let memory = self.handler.request_memory();
            memory.is_some_and(|memory| memory.evict_slowest(shortage.level()))
        };
        let backoff = if self.connections.evict_idle() {
            shortage.on_relieved();
            FULL_BACKOFF
        } else if evict_request() {
            shortage.on_relieved();
            STALLED_BACKOFF
        } else {
            shortage.on_nothing_evicted();
            FULL_BACKOFF
        };
        sleep(backoff).await;
    }

    fn start_connection(self: &Rc<Self>, stream: TcpStream, closing: watch::Receiver<bool>) {
        // Errors are ignored: without the option small responses are only delayed.
        let _ = stream.set_nodelay(true);
        let (io, socket, traffic) = MeteredStream::new(stream);
        // Registered here rather than in the task, so that it counts before the next connection is accepted.
        let slot = self.connections.register(traffic);
        self.report_open_connections();
        tokio::task::spawn_local(self.clone().serve_connection(io, socket, slot, closing));
    }
}

#[cfg(test)]
mod tests;
