//! One connection to an upstream and the exchanges on it: one request out, then the response to it in.
//!
//! Read in the order of an exchange: [`OutgoingRequest`] is written by [`UpstreamConnection::send`], the response is
//! read by [`UpstreamConnection::receive`], `matching` decides whose response it is, `reading` finds its end.
//!
//! **State.** The socket, the bytes that were read and not yet used, and the ids of all requests that the connection
//! has carried. Owned by one attempt at a time, or by the pool while idle.
//!
//! **Promises.** A response is returned only if it is the one to the request that was sent: upstreams echo the
//! request's id, and a response that echoes another id is read past, up to the one that belongs to the request. No
//! connection carries one id twice. A connection is not used again once anything came on it that was not asked for,
//! nor if its upstream echoes nothing: there a surplus response could not be told from the next one. A response whose
//! end can't be known is an error.
//!
//! **May lose.** The request, where the upstream breaks off or sends what is not a response; it may have run then.
//! [`SendProgress`] says whether it can have.
//!
//! **Upstream silent or gone.** There is no timeout here: the attempt that owns the connection has one. What was sent
//! and is not acknowledged ends the connection by `TCP_USER_TIMEOUT`, which the pool sets.

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

pub use self::error::{IncompleteResponse, ResponseFault};
pub use self::matching::{AwaitedResponse, EchoedId};
use self::matching::{CarriedIds, ResponseOwner, response_owner};
pub use self::request::{OutgoingRequest, SendProgress};
use crate::body::{BodyBudget, BodyBuffer};
use crate::framing::{Framing, MAX_HEAD_BYTES, closes_connection, parse_head};
use crate::response_desync::find_status_lines;

/// The largest body of a response, in bytes. The deployments' pages say 64 KiB at most, but in service some
/// responses have 400 KB; when those were taken for malformed, each cost its request and its connection.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Surplus and interim responses that are read past before the request's own; an upstream that sends more is faulty.
const MAX_OTHER_RESPONSES: usize = 16;

/// What a connection runs over.
pub trait Transport: AsyncRead + AsyncWrite + Unpin {
    /// Whether it is open and nothing has arrived that was not read, not even its end.
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
    /// What was read and does not belong to a response yet.
    unread: BytesMut,
    /// The end of the stream, or an error, was read.
    stream_ended: bool,
    /// Where it was opened to.
    pub address: SocketAddr,
    /// How long it took to open: a round trip, or a little more.
    pub connect_time: Duration,
    /// When its last exchange ended; when it was opened, if there was none.
    pub idle_since: Instant,
    /// How long it may idle.
    pub max_idle: Duration,
    /// A second response to a carried request must not meet another attempt with the same id.
    carried_ids: CarriedIds,
    /// Whether another exchange may follow the one that has ended.
    pub reusable: bool,
}

impl<S: Transport> UpstreamConnection<S> {
    /// A connection that has carried nothing. `connect_time` is how long it took to open, `max_idle` how long it may
    /// idle unless its upstream says otherwise.
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

    /// Whether a request may go out on it: it is open, nothing has come on it, and no surplus response that may
    /// still come could be taken for the awaited one.
    pub fn can_carry(&self, awaited: &AwaitedResponse<'_>) -> bool {
        let is_distinguishable = self.carried_ids.is_empty()
            || awaited
                .id()
                .is_some_and(|id| !self.carried_ids.contains(id))
                && *awaited.method != Method::HEAD;
        is_distinguishable && self.stream.is_idle()
    }

    /// Writes a request. Returns early where the upstream responds before all is written; [`Self::receive`] then
    /// goes on with the writing.
    ///
    /// # Errors
    /// Writing failed; [`OutgoingRequest::progress`] says how far it got.
    pub async fn send(&mut self, request: &mut OutgoingRequest<'_>) -> io::Result<()> {
        poll_fn(|cx| {
            while request.progress.is_incomplete() {
                match self.poll_write(cx, request) {
                    Poll::Ready(written) => written?,
                    Poll::Pending if request.progress.is_unsent() => return Poll::Pending,
                    Poll::Pending => return self.poll_read(cx).map(|_| Ok(())),
                }
            }
            Poll::Ready(Ok(()))
        })
        .await
    }

    /// Reads the response to the request that was sent, up to its end. Responses to other requests are read past,
    /// and the rest of this request is written meanwhile.
    ///
    /// # Errors
    /// There is no complete response to this request; [`IncompleteResponse`] says why. The request may have run, unless
    /// [`SendProgress::proves_not_run`].
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
        for _ in 0..MAX_OTHER_RESPONSES {
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
                    let skipped = BodyBuffer::skipping(MAX_RESPONSE_BYTES);
                    self.read_body(framing, request, skipped).await?;
                    had_surplus = true;
                }
                ResponseOwner::Unclear => return Err(ResponseFault::UnclearOwner.into()),
            }
        }
        Err(ResponseFault::TooManyOthers.into())
    }

    /// Reads the body of the awaited response, whose head is known.
    async fn receive_body(
        &mut self,
        head: Response<()>,
        framing: Framing,
        awaited: &AwaitedResponse<'_>,
        request: &mut OutgoingRequest<'_>,
        budget: &BodyBudget,
    ) -> Result<Response<Bytes>, IncompleteResponse> {
        let body = match BodyBuffer::new(budget, framing.announced_bytes(), MAX_RESPONSE_BYTES) {
            Some(buffer) => self.read_body(framing, request, buffer).await,
            None => Err(ResponseFault::BodyTooLarge.into()),
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

    /// Whether a response to a request that this connection has carried begins within a body: then the body was
    /// cut off, and the bytes that made up its length belong to another request.
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
                // The body ends within that head.
                Ok(None) => true,
                Err(_) => false,
            }
        })
    }

    /// Whether another request may follow this one, which has its response.
    fn is_reusable(&self, awaited: &AwaitedResponse<'_>, request: &OutgoingRequest<'_>) -> bool {
        // A surplus response to this request must be told from the next one by its echo, and must end at the same
        // place whatever the next one's method is.
        let is_distinguishable = awaited.echoed_id.is_none()
            || awaited.id().is_some() && *awaited.method != Method::HEAD;
        let has_nothing_unread = self.unread.is_empty() && !self.stream_ended;
        is_distinguishable
            && has_nothing_unread
            && !request.progress.is_incomplete()
            && !self.carried_ids.is_full()
    }

    /// Writes as much of what is left as the socket takes.
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
