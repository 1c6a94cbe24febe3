//! One HTTP/1.1 connection to an upstream and the exchanges on it: one request at a time, followed by its response.
//!
//! In the order of an exchange: [`UpstreamConnection::send`] writes an [`OutgoingRequest`],
//! [`UpstreamConnection::receive`] reads the response, `matching` determines which request the response answers, and
//! `reading` reads heads and bodies.
//!
//! **State.** The socket, the unread bytes, and the ids of all requests that the connection has carried. A connection
//! is owned by one attempt at a time, or by the pool while idle.
//!
//! **Guarantees.** A response is returned only if it answers the request that was sent: upstreams echo the request's
//! id, and responses that echo another id are skipped. No connection carries the same id twice. A connection is not
//! reused after unexpected bytes arrived on it. Where upstreams echo ids, it is also not reused after a `HEAD` request
//! or a request without an id, since a surplus response to it could be taken for the response to the next request. A
//! response whose end can't be determined is an error.
//!
//! **Failures.** The response is lost if the upstream breaks off or sends malformed data; the request may have run
//! then, unless no byte of it was sent ([`SendProgress::proves_not_run`]). This module has no timeouts: the attempt that
//! owns the connection has a deadline, and `TCP_USER_TIMEOUT`, which the pool sets, ends a connection on which sent data
//! is not acknowledged.

mod error;
mod matching;
mod reading;
mod request;

use std::future::poll_fn;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::{Method, Response};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::Instant;

pub use self::error::{IncompleteResponse, NothingSent, ResponseFault};
pub use self::matching::{AwaitedResponse, EchoedId};
use self::matching::{CarriedIds, ResponseOwner, response_owner};
use self::reading::{BodySink, create_buffer};
pub use self::request::{MemoryWait, OutgoingRequest, SendProgress};
use crate::body::{BodyBudget, BodyBuffer};
use crate::framing::{Framing, MAX_HEAD_BYTES, closes_connection, parse_head};
use crate::response_desync::find_status_lines;

/// The largest accepted response body, in bytes. The deployments document a maximum of 64 KiB, but some real responses
/// have 400 KB; rejecting those as malformed failed the request and closed the connection each time.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// How many surplus and interim responses are skipped before the awaited one; an upstream that sends more is faulty.
const MAX_SKIPPED_RESPONSES: usize = 16;

/// The byte stream that a connection uses.
pub trait Transport: AsyncRead + AsyncWrite + Unpin {
    /// Returns whether the stream is open and has nothing to read, neither data nor its end.
    fn is_idle(&self) -> bool;
}

impl Transport for TcpStream {
    fn is_idle(&self) -> bool {
        let peeked = SockRef::from(self).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }
}

/// A connection to an upstream, idle or used by one attempt.
#[derive(Debug)]
pub struct UpstreamConnection<S = TcpStream> {
    stream: S,
    /// Bytes that were read from the stream and not parsed yet.
    unread: BytesMut,
    /// Whether reading returned the end of the stream or an error.
    stream_ended: bool,
    /// The remote address.
    pub address: SocketAddr,
    /// How long the connection took to open: about one round trip.
    pub connect_time: Duration,
    /// When the last exchange ended, or when the connection was opened if there was none.
    pub idle_since: Instant,
    /// How long the connection may be idle.
    pub max_idle: Duration,
    /// Ids of the requests sent on the connection. A second response to one of them must not be taken for the response
    /// to another attempt with the same id.
    carried_ids: CarriedIds,
    /// Whether another exchange may follow the last one.
    pub reusable: bool,
}

impl<S: Transport> UpstreamConnection<S> {
    /// Wraps a newly opened stream. `connect_time` is how long it took to open, `max_idle` how long it may be idle
    /// unless its upstream announces another time.
    pub fn new(stream: S, address: SocketAddr, connect_time: Duration, max_idle: Duration) -> Self {
        Self {
            stream,
            unread: BytesMut::new(),
            stream_ended: false,
            address,
            connect_time,
            idle_since: Instant::now(),
            max_idle,
            carried_ids: CarriedIds::default(),
            reusable: true,
        }
    }

    /// Returns whether a request may be sent on the connection: it is open, nothing has arrived on it, and no
    /// surplus response that may still arrive could be taken for the awaited one.
    pub fn can_carry(&self, awaited: &AwaitedResponse<'_>) -> bool {
        let is_distinguishable = self.carried_ids.is_empty()
            || awaited
                .id()
                .is_some_and(|id| !self.carried_ids.contains(id))
                && *awaited.method != Method::HEAD;
        is_distinguishable && self.stream.is_idle()
    }

    /// Writes a request. Returns early if data arrives before all of it is written; [`Self::receive`] then continues
    /// writing. Also returns early if writing fails after a part was sent: the response may have arrived before.
    ///
    /// # Errors
    /// Returns an error if writing fails before any of the request was sent.
    pub async fn send(&mut self, request: &mut OutgoingRequest<'_>) -> Result<(), NothingSent> {
        poll_fn(|cx| {
            while request.progress.is_incomplete() {
                match self.poll_write(cx, request) {
                    Poll::Ready(Ok(())) => {}
                    Poll::Ready(Err(error)) if request.progress.is_unsent() => {
                        return Poll::Ready(Err(NothingSent(error)));
                    }
                    Poll::Ready(Err(_)) => {
                        request.writing_stopped = true;
                        return Poll::Ready(Ok(()));
                    }
                    Poll::Pending if request.progress.is_unsent() => return Poll::Pending,
                    Poll::Pending => return self.poll_read(cx).map(|_| Ok(())),
                }
            }
            Poll::Ready(Ok(()))
        })
        .await
    }

    /// Reads the complete response to the request that was sent. Skips responses to other requests, and writes the rest
    /// of the request meanwhile.
    ///
    /// # Errors
    /// Returns an error if there is no complete response to this request, which may have run.
    pub async fn receive(
        &mut self,
        awaited: &AwaitedResponse<'_>,
        request: &mut OutgoingRequest<'_>,
        budget: &BodyBudget,
    ) -> Result<Response<Bytes>, IncompleteResponse> {
        self.reusable = false;
        let is_first_exchange = self.carried_ids.is_empty();
        if let Some(id) = awaited.id() {
            self.carried_ids.insert(id);
        }
        let mut had_surplus = false;
        for _ in 0..MAX_SKIPPED_RESPONSES {
            let (head, framing) = self.read_head(awaited.method, request).await?;
            if head.status().is_informational() {
                request.progress.response_started = false;
                continue;
            }
            request.writing_stopped = true;
            match response_owner(&head, awaited, is_first_exchange) {
                ResponseOwner::Awaited => {
                    let closes = closes_connection(&head);
                    let response = self
                        .receive_body(head, framing, awaited, request, budget)
                        .await?;
                    self.reusable = !had_surplus && !closes && self.is_reusable(awaited, request);
                    self.unread = BytesMut::new();
                    return Ok(response);
                }
                ResponseOwner::EarlierRequest => {
                    request.progress.response_started = false;
                    request.writing_stopped = false;
                    tracing::debug!(
                        upstream = %self.address,
                        "discarding a surplus response to an earlier request"
                    );
                    let buffer = BodyBuffer::skipping(MAX_RESPONSE_BYTES);
                    self.read_body(framing, request, BodySink { buffer, budget })
                        .await?;
                    had_surplus = true;
                }
                ResponseOwner::Unclear => return Err(ResponseFault::UnclearOwner.into()),
            }
        }
        Err(ResponseFault::TooManySkipped.into())
    }

    /// Reads the body of the awaited response, whose head was read.
    async fn receive_body(
        &mut self,
        head: Response<()>,
        framing: Framing,
        awaited: &AwaitedResponse<'_>,
        request: &mut OutgoingRequest<'_>,
        budget: &BodyBudget,
    ) -> Result<Response<Bytes>, IncompleteResponse> {
        let body = match create_buffer(budget, framing.announced_bytes(), request).await {
            Ok(buffer) => {
                self.read_body(framing, request, BodySink { buffer, budget })
                    .await
            }
            Err(fault) => Err(fault.into()),
        };
        let fault = match body {
            Ok(body) if !self.contains_other_response(&body, awaited) => {
                return Ok(head.map(|()| body));
            }
            Ok(_) => ResponseFault::OtherResponseInBody,
            Err(incomplete) => incomplete.fault,
        };
        Err(IncompleteResponse {
            fault,
            headers: Some(head.into_parts().0.headers),
        })
    }

    /// Returns whether the body contains the start of a response to a request that this connection has carried. In that
    /// case the actual body was cut off, and the remaining bytes belong to that other response.
    fn contains_other_response(&self, body: &[u8], awaited: &AwaitedResponse<'_>) -> bool {
        let Some(echoed) = awaited.echoed_id else {
            return false;
        };
        find_status_lines(body).any(|start| {
            let mut text = BytesMut::from(&body[start..body.len().min(start + MAX_HEAD_BYTES)]);
            text.extend_from_slice(&self.unread[..self.unread.len().min(MAX_HEAD_BYTES)]);
            match parse_head(&text) {
                Ok(Some(parsed)) => parsed
                    .head
                    .headers()
                    .get_all(echoed.header)
                    .iter()
                    .any(|id| self.carried_ids.contains(id)),
                // The head continues beyond the body.
                Ok(None) => true,
                Err(_) => false,
            }
        })
    }

    /// Returns whether another request may be sent after this one, whose response was received.
    fn is_reusable(&self, awaited: &AwaitedResponse<'_>, request: &OutgoingRequest<'_>) -> bool {
        // A surplus response to this request must be recognizable by its echoed id, and its framing must not depend on
        // the method of the next request, by which it would be parsed.
        let is_distinguishable = awaited.echoed_id.is_none()
            || awaited.id().is_some() && *awaited.method != Method::HEAD;
        let has_nothing_unread = self.unread.is_empty() && !self.stream_ended;
        is_distinguishable
            && has_nothing_unread
            && !request.progress.is_incomplete()
            && !self.carried_ids.is_full()
    }

    /// Writes as much of the rest of the request as the socket accepts.
    fn poll_write(
        &mut self,
        cx: &mut Context<'_>,
        request: &mut OutgoingRequest<'_>,
    ) -> Poll<io::Result<()>> {
        let remaining = request.remaining();
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, &remaining))?;
        request.progress.bytes_sent += written;
        Poll::Ready(if written > 0 {
            Ok(())
        } else {
            Err(ErrorKind::WriteZero.into())
        })
    }
}

#[cfg(test)]
mod tests;
