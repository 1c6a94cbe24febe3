//! One client's connection: its requests one after another, its end, and the reading of what the client still sends.
//!
//! **Promises.** A request whose client leaves is given up. The last response is not lost to a reset: what the client
//! sent behind its last request is read for [`DRAIN_INPUT_TIMEOUT`] before the socket is closed. A connection that has
//! nothing open when the listener closes waits [`ListenerLimits::final_request_wait`](super::ListenerLimits) for a
//! request that is on its way.

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

/// What a client still sends behind its last response is read for so long, and up to [`MAX_DRAINED_BYTES`].
pub(super) const DRAIN_INPUT_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_DRAINED_BYTES: usize = 4 << 20;
/// The smallest buffer that the HTTP library takes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// How the exchange of requests and responses on a connection ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ExchangeEnd {
    /// In order, after a response that was the last.
    Finished,
    /// The client broke HTTP or the connection, or left while its request was open.
    Broken,
    /// Its time was up, or it made room for another.
    Expired,
}

/// An exchange that is over.
struct Exchange {
    end: ExchangeEnd,
    /// Nothing was open on it, and nothing had come, when it was closed with its listener.
    was_idle: bool,
}

impl<H: RequestHandler> Listener<H> {
    /// Serves one connection to its end; its place is free after that.
    pub(super) async fn serve_connection(
        self: Rc<Self>,
        io: MeteredStream,
        socket: SharedSocket,
        slot: ConnectionSlot,
        closing: watch::Receiver<bool>,
    ) {
        let reporter = H::WANTS_RECEIPT.then(DeliveryReporter::new);
        let Exchange { end, was_idle } = self
            .serve_requests(io, &socket, &slot, reporter.as_ref(), closing)
            .await;
        let read = if end == ExchangeEnd::Expired || was_idle {
            // What was not read is closed as unread: its client may send it elsewhere.
            DeliveryStatus::Unknown
        } else {
            drain_or_evict(&socket, &slot.connection).await
        };
        let status = match end {
            ExchangeEnd::Broken => DeliveryStatus::Broken,
            ExchangeEnd::Finished | ExchangeEnd::Expired => read,
        };
        if let Some(reporter) = reporter {
            reporter.report(status);
        }
    }

    /// Answers requests until the connection ends, expires, or is closed with its listener.
    async fn serve_requests(
        &self,
        io: MeteredStream,
        socket: &SharedSocket,
        slot: &ConnectionSlot,
        reporter: Option<&DeliveryReporter>,
        mut closing: watch::Receiver<bool>,
    ) -> Exchange {
        let state = &*slot.connection;
        let service = service_fn(|mut request: Request<Incoming>| {
            if let Some(reporter) = reporter {
                request.extensions_mut().insert(reporter.receipt());
            }
            self.respond(request, slot)
        });
        let connection = http1::Builder::new()
            .header_read_timeout(None) // Each connection's own limits hold.
            .max_buf_size(self.limits.get().max_header_bytes.max(MIN_BUFFER_BYTES))
            .max_headers(MAX_HEADER_LINES)
            .serve_connection(TokioIo::new(io), service);
        tokio::pin!(connection);
        // Closed at once when the listener closes, a connection that was just accepted dropped a request that it had
        // read to its end.
        let (mut is_closing, mut final_request_by, mut was_idle) = (false, None, false);
        let end = loop {
            // The connection first: its limits are judged by what has passed on it.
            tokio::select! {
                biased;
                result = &mut connection => break match result {
                    Ok(()) => ExchangeEnd::Finished,
                    Err(_) => ExchangeEnd::Broken,
                },
                () = client_gone(socket, state) => break ExchangeEnd::Broken,
                () = state.wait_for_end() => break ExchangeEnd::Expired,
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
        Exchange { end, was_idle }
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

/// Waits until the client has left while its request is open. The HTTP library does not see that while it holds bytes
/// behind the request, and such a request was worked for to the end.
async fn client_gone(socket: &SharedSocket, connection: &ClientConnection) {
    poll_fn(|cx| {
        if connection.has_open_request() {
            socket.borrow_mut().poll_peer_closed(cx)
        } else {
            Poll::Pending
        }
    })
    .await;
}

/// Reads what still comes for a bounded time, unless the connection has to make room.
async fn drain_or_evict(socket: &SharedSocket, connection: &ClientConnection) -> DeliveryStatus {
    connection.on_closing();
    tokio::select! {
        read = timeout(DRAIN_INPUT_TIMEOUT, drain_input(socket)) => {
            read.unwrap_or(DeliveryStatus::Unknown)
        }
        () = connection.wait_for_eviction() => DeliveryStatus::Unknown,
    }
}

/// Reads what still comes until the client closes too. Closed with something unread, the kernel resets the
/// connection, and the response may be lost on its way.
async fn drain_input(socket: &SharedSocket) -> DeliveryStatus {
    let mut scrap = vec![0; MIN_BUFFER_BYTES];
    let mut left = MAX_DRAINED_BYTES;
    while left > 0 {
        let read = poll_fn(|cx| {
            let mut buf = ReadBuf::new(&mut scrap);
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
