//! Serves one client connection: its requests one after another, its end, and draining the remaining input.
//!
//! **Guarantees.** A request whose client disconnects is dropped. The last response is not lost to a reset: what the
//! client sends after its last request is read for [`DRAIN_INPUT_TIMEOUT`] before the socket is closed. A connection
//! without an open request when the listener closes waits
//! [`ListenerLimits::final_request_wait`](super::ListenerLimits) for a request in transit.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

use super::delivery::{DeliveryReporter, DeliveryStatus};
use super::{Listener, RequestHandler};
use crate::client_connections::{ClientConnection, ConnectionSlot};
use crate::client_stream::{MeteredStream, SharedSocket};
use crate::headers::{ClientResponse, MAX_HEADER_LINES};

/// How long remaining input is read after the last response, up to `MAX_DRAINED_BYTES`.
pub(super) const DRAIN_INPUT_TIMEOUT: Duration = Duration::from_millis(500);
/// As much as the largest body of the default configuration, so that a client whose body was refused gets its response.
const MAX_DRAINED_BYTES: usize = 64 << 20;
/// The minimum buffer size that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// How a connection stopped serving requests.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// Without an error, after the last response was sent.
    Finished,
    /// Because of invalid HTTP, a broken connection, or a client that disconnected while its request was open.
    Broken,
    /// Because of a timeout or an eviction.
    Expired,
}

/// The state in which a connection stopped serving requests.
struct ConnectionResult {
    end: ConnectionEnd,
    /// Whether the connection was idle when it was closed together with the listener.
    was_idle: bool,
}

impl<H: RequestHandler> Listener<H> {
    /// Serves one connection until its end, and then frees its slot.
    pub(super) async fn serve_connection(
        self: Rc<Self>,
        io: MeteredStream,
        socket: SharedSocket,
        slot: ConnectionSlot,
        closing: watch::Receiver<bool>,
    ) {
        let reporter = H::WANTS_RECEIPT.then(DeliveryReporter::new);
        let ConnectionResult { end, was_idle } = self
            .serve_requests(io, &socket, &slot, reporter.as_ref(), closing)
            .await;
        let drained = if end == ConnectionEnd::Expired || was_idle {
            // Closed without draining: unread input was not processed, and the client may send it to another balancer.
            DeliveryStatus::Unknown
        } else {
            drain_or_evict(&socket, &slot.connection).await
        };
        let status = match end {
            ConnectionEnd::Broken => DeliveryStatus::Broken,
            ConnectionEnd::Finished | ConnectionEnd::Expired => drained,
        };
        if let Some(reporter) = reporter {
            reporter.report(status);
        }
        drop(slot);
        self.report_open_connections();
    }

    /// Serves requests until the connection ends, expires, or is closed with its listener.
    async fn serve_requests(
        &self,
        io: MeteredStream,
        socket: &SharedSocket,
        slot: &ConnectionSlot,
        reporter: Option<&DeliveryReporter>,
        mut closing: watch::Receiver<bool>,
    ) -> ConnectionResult {
        let state = &*slot.connection;
        let service = service_fn(|mut request: Request<Incoming>| {
            if let Some(reporter) = reporter {
                request.extensions_mut().insert(reporter.receipt());
            }
            self.respond(request, slot)
        });
        let connection = http1::Builder::new()
            .header_read_timeout(None) // `ClientConnection` implements the timeouts.
            .max_buf_size(self.limits.get().max_header_bytes.max(MIN_BUFFER_BYTES))
            .max_headers(MAX_HEADER_LINES)
            .serve_connection(TokioIo::new(io), service);
        tokio::pin!(connection);
        // Shutting the connection down as soon as the listener closes made connections that were just accepted drop
        // requests that had been read completely; hence the wait.
        let (mut is_closing, mut final_request_by, mut was_idle) = (false, None, false);
        let end = loop {
            // The connection is polled first, since its timeouts depend on the bytes that it has transferred.
            tokio::select! {
                biased;
                result = &mut connection => break match result {
                    Ok(()) => ConnectionEnd::Finished,
                    Err(_) => ConnectionEnd::Broken,
                },
                () = client_disconnected(socket, state) => break ConnectionEnd::Broken,
                () = state.wait_for_end() => break ConnectionEnd::Expired,
                _ = closing.wait_for(|c| *c), if !is_closing => {
                    is_closing = true;
                    final_request_by = Some(Instant::now() + self.limits.get().final_request_wait);
                }
                () = sleep_until_some(final_request_by), if final_request_by.is_some() => {
                    final_request_by = None;
                    was_idle = state.is_idle();
                    connection.as_mut().graceful_shutdown();
                }
            }
        };
        ConnectionResult { end, was_idle }
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        slot: &ConnectionSlot,
    ) -> Result<ClientResponse, Infallible> {
        let arrived_at = Instant::now();
        slot.connection.on_request();
        let mut response = self
            .handler
            .handle_request(request, arrived_at, self.stopping.get())
            .await;
        if self.stopping.get() {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        slot.on_response();
        Ok(response)
    }
}

async fn sleep_until_some(at: Option<Instant>) {
    if let Some(at) = at {
        sleep_until(at).await;
    }
}

/// Waits until the client disconnects while its request is open. The HTTP library does not detect that while it has
/// buffered bytes that follow the request; without this check, such requests were processed to the end.
async fn client_disconnected(socket: &SharedSocket, connection: &ClientConnection) {
    poll_fn(|cx| {
        if connection.has_open_request() {
            socket.borrow_mut().poll_peer_closed(cx)
        } else {
            Poll::Pending
        }
    })
    .await;
}

/// Drains the remaining input for a limited time, or until the connection is evicted.
async fn drain_or_evict(socket: &SharedSocket, connection: &ClientConnection) -> DeliveryStatus {
    connection.on_closing();
    tokio::select! {
        drained = timeout(DRAIN_INPUT_TIMEOUT, drain_input(socket)) => {
            drained.unwrap_or(DeliveryStatus::Unknown)
        }
        () = connection.wait_for_eviction() => DeliveryStatus::Unknown,
    }
}

/// Reads and discards the remaining input until the client closes too. If a socket is closed with unread input, the
/// kernel resets the connection, and the response may be lost.
async fn drain_input(socket: &SharedSocket) -> DeliveryStatus {
    let mut discarded = vec![0; MIN_BUFFER_BYTES];
    let mut left = MAX_DRAINED_BYTES;
    while left > 0 {
        let read = poll_fn(|cx| {
            let mut buf = ReadBuf::new(&mut discarded);
            let read = Pin::new(&mut *socket.borrow_mut()).poll_read(cx, &mut buf);
            read.map_ok(|()| buf.filled().len())
        });
        match read.await {
            Ok(0) => return DeliveryStatus::Delivered,
            Err(_) => return DeliveryStatus::Broken,
            Ok(n) => left = left.saturating_sub(n),
        }
    }
    DeliveryStatus::Unknown
}
