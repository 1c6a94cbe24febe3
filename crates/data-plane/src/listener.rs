//! The side that faces clients: accepts connections, reads requests, hands each to a [`RequestHandler`], and writes
//! its one response.
//!
//! - `connection`: one connection, from its first request to its last byte.
//! - `delivery`: whether the last response on a connection was read.
//!
//! Owns the registry of open connections ([`ClientConnections`]) and the limits that they are held to.
//!
//! **Promises.** Every request that was read whole gets one response, or its connection ends without looking complete.
//! The number of connections and the time that each may take are bounded. A stop ends in order: connections are
//! accepted for [`ListenerLimits::accept_grace`], what is open may take [`ListenerLimits::drain_timeout`], and from the
//! stop on each response asks its client to connect anew elsewhere.
//!
//! **May lose.** What is still open after that time; a request that comes on a kept connection in the moment in which
//! it is closed.

mod connection;
mod delivery;

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::client_connections::{ClientConnections, ClientTimeouts};
use crate::client_stream::MeteredStream;
use crate::headers::ClientResponse;
pub use delivery::{DeliveryReceipt, DeliveryStatus};

/// After the last deadline, time for the responses to be written.
const WRITE_GRACE: Duration = Duration::from_millis(100);
/// Wait after a failed accept, so that a full descriptor table does not become a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Wait for a place while all are taken. Left in the backlog, a client waits a moment; accepted without a descriptor
/// left it would be dropped.
const FULL_BACKOFF: Duration = Duration::from_millis(1);
/// How often a stop looks whether all connections have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// When a listener closes, a connection without an open request still waits this long for one that is on its way: as
/// long as a network path may hold packets.
pub const FINAL_REQUEST_WAIT: Duration = Duration::from_millis(500);

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Connections that may be open at the same time.
    pub max_connections: usize,
    /// While more connections than this are in use, idle ones are closed.
    pub idle_eviction_threshold: usize,
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// How long clients may take and stay idle.
    pub timeouts: ClientTimeouts,
    /// How long connections are accepted after the stop: clients need a moment to hear of it.
    pub accept_grace: Duration,
    /// How long what is open may take after that.
    pub drain_timeout: Duration,
    /// How much of that a connection without an open request waits for one: [`FINAL_REQUEST_WAIT`] in service.
    pub final_request_wait: Duration,
}

/// Answers the requests of a listener.
pub trait RequestHandler: 'static {
    /// Whether its requests carry a [`DeliveryReceipt`] among their extensions.
    const WANTS_RECEIPT: bool = false;

    /// Gives the one response to a request that arrived at that time; `stopping` says that the listener is about to
    /// close. Dropped when the client leaves.
    fn handle_request(
        &self,
        request: Request<Incoming>,
        arrived_at: Instant,
        stopping: bool,
    ) -> impl Future<Output = ClientResponse>;
}

/// A server of HTTP/1 and its handler.
pub struct Listener<H> {
    handler: Rc<H>,
    connections: Rc<ClientConnections>,
    limits: Cell<ListenerLimits>,
    /// Each response asks its client to connect anew elsewhere.
    stopping: Cell<bool>,
}

impl<H: RequestHandler> Listener<H> {
    /// A listener that does nothing before [`Self::serve`].
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

    /// Sets the limits on heads, for new connections, and on times, for all.
    pub fn set_limits(&self, max_header_bytes: usize, timeouts: ClientTimeouts) {
        self.limits.set(ListenerLimits {
            max_header_bytes,
            timeouts,
            ..self.limits.get()
        });
        self.connections.set_timeouts(timeouts);
    }

    /// Serves until `stop`, then finishes what was taken. Returns when all connections have ended or the time for
    /// that is up.
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
                "listener is stopping: it asks clients to connect elsewhere"
            );
            // From here each response asks its client to go elsewhere; new connections still find us.
            self.stopping.set(true);
            // Accepting never ends by itself: this waits for the time to pass.
            let _ = timeout(accept_grace, accepting).await;
        }
        drop(listener);
        close.send_replace(true);
        let drained = async {
            while !self.connections.is_empty() {
                sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        // Counted from the last accept, not from the signal: what came last has its whole deadline.
        let limit = self.limits.get().drain_timeout + WRITE_GRACE;
        if timeout(limit, drained).await.is_err() {
            tracing::warn!(
                connections = self.connections.len(),
                "connections are still open at the end of the time to finish"
            );
        }
    }

    /// Accepts connections, each with its place and its task, for good.
    async fn accept(self: &Rc<Self>, listener: &TcpListener, closing: &watch::Receiver<bool>) {
        loop {
            if self.connections.is_full() {
                self.connections.evict_idle();
                sleep(FULL_BACKOFF).await;
                continue;
            }
            match listener.accept().await {
                Ok((stream, _)) => self.start_connection(stream, closing.clone()),
                // A full descriptor table or an aborted connection: neither is a reason to end.
                Err(error) => {
                    tracing::warn!(%error, "a connection could not be accepted");
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    fn start_connection(self: &Rc<Self>, stream: TcpStream, closing: watch::Receiver<bool>) {
        // A refinement: without it small responses come later.
        let _ = stream.set_nodelay(true);
        let (io, socket, traffic) = MeteredStream::new(stream);
        // It has its place before the next one is accepted.
        let slot = self.connections.register(traffic);
        tokio::task::spawn_local(self.clone().serve_connection(io, socket, slot, closing));
    }
}

#[cfg(test)]
mod tests;
