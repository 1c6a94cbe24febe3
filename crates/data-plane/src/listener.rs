//! The side that faces clients: an HTTP server that reads requests, hands them to its gate, and answers each
//! once. It bounds how many connections there are and how long they may take, and ends in order.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
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
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::client_connections::{ClientTimeouts, Connection, ConnectionSlot, Connections};
use crate::headers::{ClientResponse, MAX_HEADER_LINES};
use crate::stream::{Shared, Tapped};

/// After the last deadline, time for the answers to be written.
const FINISH: Duration = Duration::from_millis(100);
/// Wait after a failed accept, so that a full descriptor table does not become a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// When a front closes, a connection that has nothing open still waits so long for a request that is on its way:
/// as long as a link may hold packets.
pub const FINAL_REQUEST_WAIT: Duration = Duration::from_millis(500);
/// What a client still sends behind its last answer is read for so long, and up to so much.
const LINGER_TIME: Duration = Duration::from_millis(500);
const LINGER_BYTES: usize = 4 << 20;
/// The smallest buffer that the HTTP library takes.
const LEAST_BUFFER: usize = 8 << 10;

/// What a front is told to hold to.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// The most connections.
    pub max_connections: usize,
    /// So many in use leave room for more; beyond, idle ones are closed.
    pub idle_eviction_threshold: usize,
    /// A head may have so many bytes.
    pub max_header_bytes: usize,
    /// How long clients may take.
    pub timeouts: ClientTimeouts,
    /// How long connections are still accepted after the word to stop: clients need a moment to hear of it.
    pub accept_grace: Duration,
    /// How long what is open after that may take.
    pub drain_timeout: Duration,
    /// How much of that a connection with nothing open waits for a request: [`FINAL_REQUEST_WAIT`] in service.
    pub final_request_wait: Duration,
}

/// What the end of a connection tells of the last answer on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryStatus {
    /// The client closed in order: it has read it.
    Delivered,
    /// The connection broke.
    Broken,
    /// It ended without a sign.
    Unknown,
}

/// Tells of the receipt of an answer: among the extensions of a request, where the gate wants them.
#[derive(Clone)]
pub struct DeliveryReceipts(watch::Receiver<Option<DeliveryStatus>>);

impl DeliveryReceipts {
    /// Waits for the end of the connection.
    pub async fn next(&mut self) -> DeliveryStatus {
        let receipt = self.0.wait_for(Option::is_some).await;
        receipt
            .ok()
            .and_then(|receipt| *receipt)
            .unwrap_or(DeliveryStatus::Unknown)
    }
}

/// What answers the requests of a front.
pub trait RequestHandler: 'static {
    /// Whether its requests carry [`DeliveryReceipts`].
    const WANTS_RECEIPTS: bool = false;

    /// The one answer to a request that arrived then.
    fn answer(
        &self,
        request: Request<Incoming>,
        arrived: Instant,
        stopping: bool,
    ) -> impl Future<Output = ClientResponse>;
}

/// A server with its gate.
pub struct Listener<G> {
    gate: Rc<G>,
    connections: Rc<Connections>,
    bounds: Cell<ListenerLimits>,
    stopping: Cell<bool>,
}

impl<G: RequestHandler> Listener<G> {
    pub fn new(gate: Rc<G>, bounds: ListenerLimits) -> Rc<Self> {
        Rc::new(Self {
            gate,
            connections: Connections::new(
                bounds.max_connections,
                bounds.idle_eviction_threshold,
                bounds.timeouts,
            ),
            bounds: Cell::new(bounds),
            stopping: Cell::new(false),
        })
    }

    /// Holds to other limits on heads and times from now on.
    pub fn set_limits(&self, head: usize, times: ClientTimeouts) {
        self.bounds.set(ListenerLimits {
            max_header_bytes: head,
            timeouts: times,
            ..self.bounds.get()
        });
        self.connections.allow(times);
    }

    /// Serves until `stop`, then finishes what was taken.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let (close, closing) = watch::channel(false);
        {
            let accepting = self.accept(&listener, &closing);
            tokio::pin!(accepting);
            tokio::select! {
                () = &mut accepting => {}
                () = stop => {}
            }
            tracing::info!("stopping");
            // From here each answer asks its client to go elsewhere; new connections still find us.
            self.stopping.set(true);
            let _ = timeout(self.bounds.get().accept_grace, accepting).await;
        }
        drop(listener);
        let _ = close.send(true);
        let finished = async {
            while !self.connections.is_empty() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        // Counted from the last accept, not from the signal: what came last has its whole deadline.
        let _ = timeout(self.bounds.get().drain_timeout + FINISH, finished).await;
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener, closing: &watch::Receiver<bool>) {
        loop {
            // Left in the backlog, a client waits a moment; without a descriptor it would be dropped.
            if self.connections.full() {
                self.connections.evict();
                sleep(Duration::from_millis(1)).await;
                continue;
            }
            match listener.accept().await {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    let (io, stream, traffic) = Tapped::new(stream);
                    // It has its place before the next one is accepted.
                    let seat = self.connections.seat(traffic);
                    let conversation = self.clone().converse(io, stream, seat, closing.clone());
                    tokio::task::spawn_local(conversation);
                }
                // Guards against EMFILE and aborted connections: neither is a reason to end.
                Err(cause) => {
                    tracing::warn!(%cause, "accept");
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// All requests of one connection.
    async fn converse(
        self: Rc<Self>,
        io: Tapped,
        stream: Shared,
        seat: ConnectionSlot,
        mut closing: watch::Receiver<bool>,
    ) {
        let known = &*seat.connection;
        let receipts = G::WANTS_RECEIPTS.then(|| watch::channel(None));
        let service = service_fn(|mut request: Request<Incoming>| {
            if let Some((_, receipts)) = &receipts {
                request
                    .extensions_mut()
                    .insert(DeliveryReceipts(receipts.clone()));
            }
            self.respond(request, &seat)
        });
        let (ended, silent) = {
            let connection = http1::Builder::new()
                .header_read_timeout(None) // Each connection's own limits hold.
                .max_buf_size(self.bounds.get().max_header_bytes.max(LEAST_BUFFER))
                .max_headers(MAX_HEADER_LINES)
                .serve_connection(TokioIo::new(io), service);
            tokio::pin!(connection);
            // Failure: a request that came in the moment of closing, on a connection just accepted, was read to its
            // end and got no answer.
            let (mut stopping, mut last_word, mut silent) = (false, None, false);
            let ended = loop {
                // The connection first: its limits are judged by what has passed on it.
                tokio::select! {
                    biased;
                    result = &mut connection => break Some(result.is_ok()),
                    () = left(&stream, known) => break Some(false),
                    () = known.outstays() => break None,
                    _ = closing.wait_for(|c| *c), if !stopping => {
                        stopping = true;
                        last_word = Some(Instant::now() + self.bounds.get().final_request_wait);
                    }
                    () = until(last_word), if last_word.is_some() => {
                        last_word = None;
                        silent = known.is_silent();
                        connection.as_mut().graceful_shutdown();
                    }
                }
            };
            (ended, silent)
        };
        // What is not read to its end is closed as unread: its client may send it elsewhere.
        let mut receipt = DeliveryStatus::Unknown;
        if ended.is_some() && !silent {
            known.closing();
            receipt = tokio::select! {
                read = timeout(LINGER_TIME, read_out(&stream)) => read.unwrap_or(receipt),
                () = known.evicted() => receipt,
            };
        }
        if let Some((sender, _)) = &receipts {
            let broken = ended == Some(false);
            sender.send_replace(Some(if broken {
                DeliveryStatus::Broken
            } else {
                receipt
            }));
        }
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        seat: &ConnectionSlot,
    ) -> Result<ClientResponse, Infallible> {
        let arrived = Instant::now();
        seat.connection.asked();
        let mut answer = self
            .gate
            .answer(request, arrived, self.stopping.get())
            .await;
        // From the word to stop on, each answer asks its client to go elsewhere.
        if self.stopping.get() {
            answer
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        seat.answered();
        Ok(answer)
    }
}

async fn until(at: Option<Instant>) {
    if let Some(at) = at {
        sleep_until(at).await;
    }
}

/// Ends once a client has left while its request is open. Failure: one that had sent more behind its request was
/// worked for to the end.
async fn left(stream: &Shared, connection: &Connection) {
    poll_fn(|cx| {
        if connection.is_asked() {
            stream.borrow_mut().poll_closed(cx)
        } else {
            Poll::Pending
        }
    })
    .await;
}

/// Reads what still comes until the client closes too. Failure: closed with something unread, the kernel
/// resets the connection, and the answer may be lost on its way.
async fn read_out(stream: &Shared) -> DeliveryStatus {
    let mut scrap = vec![0; LEAST_BUFFER];
    let mut left = LINGER_BYTES;
    while left > 0 {
        let read = poll_fn(|cx| {
            let mut buf = ReadBuf::new(&mut scrap);
            let read = Pin::new(&mut *stream.borrow_mut()).poll_read(cx, &mut buf);
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

#[cfg(test)]
mod tests;
