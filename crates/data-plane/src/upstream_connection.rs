//! One connection to an upstream, and the exchanges on it: one request out, then its own answer in.
//!
//! **Guarantees.** An answer is handed on only if it is the one to the request that was sent: upstreams echo the
//! request's id, and an answer that echoes another is read past, to the one that belongs to the request. No
//! connection carries one id twice. A connection on which anything came that nobody asked for is not used again,
//! nor one whose upstream echoes nothing: there a surplus answer could not be told from the next. An answer whose
//! end can't be known is none. **May lose.** The request, where the upstream breaks off or sends what is no
//! answer; it may have run then.

use std::future::{Future, poll_fn};
use std::hash::Hasher;
use std::io::{ErrorKind, IoSlice, Result};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Response};
use rustc_hash::FxHasher;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::body::{BodyBudget, BodyBuffer};
use crate::framing::{
    Framing, HEAD_LIMIT, Malformed, chunk_size, closes, framing, is_trailer, parse_head,
};
use crate::headers::MAX_HEADER_LINES;
use crate::response_desync::find_status_lines;

/// The largest answer. Failure: a body is said to have 64 KiB at most, but in service some answers have
/// 400 KB; taken for spoilt, each cost its request and its connection.
const ANSWER_LIMIT: usize = 1 << 20;
/// So much is read at once.
const PIECE: usize = 4 << 10;
/// Surplus answers and interim ones before the request's own; an upstream that sends more makes no sense.
const AHEAD: usize = 16;
/// A connection ends after so many exchanges: the ids of all of them are remembered, and this bounds the memory
/// (four bytes each) and the time of a look. With 512, new connections took up to a tenth more processor time.
const EXCHANGES: usize = 2048;

/// What a connection runs over.
pub trait Transport: AsyncRead + AsyncWrite + Unpin {
    /// Whether it is open and nothing has arrived that was not read, not even its end.
    fn is_quiet(&self) -> bool;
}

impl Transport for TcpStream {
    fn is_quiet(&self) -> bool {
        let peeked = SockRef::from(self).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }
}

/// How much of a request was handed to the kernel, and whether the upstream has begun to answer it.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendProgress {
    pub bytes: usize,
    /// All of it, once it is known.
    pub of: usize,
    /// Something has come that is, or may be, an answer to this request, or the beginning of one.
    pub answered: bool,
}

impl SendProgress {
    pub fn untouched(self) -> bool {
        self.bytes == 0
    }
    /// Its last byte is not out.
    pub fn never_whole(self) -> bool {
        self.bytes < self.of.max(1)
    }
    /// Nobody can have run it: it is not whole, and nobody has answered what there was of it.
    pub fn never_ran(self) -> bool {
        self.never_whole() && !self.answered
    }
}

/// A request on its way.
pub struct OutgoingRequest<'a> {
    pub head: &'a [u8],
    pub body: &'a [u8],
    /// Outlives the exchange: whoever gives it up must know how far it went.
    pub sent: &'a mut SendProgress,
    /// Nothing more is written: its answer has begun, or writing has failed. In the latter case there may be an
    /// answer to read all the same.
    stopped: bool,
}

impl<'a> OutgoingRequest<'a> {
    pub fn new(head: &'a [u8], body: &'a [u8], sent: &'a mut SendProgress) -> Self {
        *sent = SendProgress {
            bytes: 0,
            of: head.len() + body.len(),
            answered: false,
        };
        Self {
            head,
            body,
            sent,
            stopped: false,
        }
    }

    /// What is to be written yet.
    fn rest(&self) -> [IoSlice<'a>; 2] {
        let written = self.sent.bytes;
        [
            IoSlice::new(self.head.get(written..).unwrap_or_default()),
            IoSlice::new(
                self.body
                    .get(written.saturating_sub(self.head.len())..)
                    .unwrap_or_default(),
            ),
        ]
    }
}

/// Whose answer is awaited.
#[derive(Clone, Copy)]
pub struct AwaitedResponse<'a> {
    pub method: &'a Method,
    /// The header that upstreams echo, and what it was in the request.
    pub echo: Option<(&'a HeaderName, Option<&'a HeaderValue>)>,
}

impl<'a> AwaitedResponse<'a> {
    fn id(&self) -> Option<&'a HeaderValue> {
        self.echo.and_then(|(_, id)| id)
    }
}

/// Whose an answer is that has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owner {
    /// That of the request that was sent last.
    Own,
    /// It is nobody's: a surplus answer to an earlier request.
    Another,
    /// It may be the request's own, but does not say so in the one way that counts: its echo is missing, stands
    /// twice, or is another's where there was no other request.
    Unclear,
}

/// Why there is no whole answer, and the head of one that was cut short.
#[derive(Debug, Default)]
pub struct IncompleteResponse {
    pub head: Option<HeaderMap>,
}

impl From<Malformed> for IncompleteResponse {
    fn from(_: Malformed) -> Self {
        Self::default()
    }
}

/// The ids of all requests that a connection has carried, as hashes: two that are alike cost a connection, no
/// more.
#[derive(Debug, Default)]
struct Carried(Vec<u32>);

impl Carried {
    fn hash(id: &HeaderValue) -> u32 {
        let mut hasher = FxHasher::default();
        hasher.write(id.as_bytes());
        let hash = hasher.finish();
        (hash >> 32) as u32 ^ hash as u32
    }

    /// Looks at all of them, so that the compiler can take many at once.
    fn contains(&self, id: &HeaderValue) -> bool {
        let hash = Self::hash(id);
        self.0
            .iter()
            .fold(false, |found, known| found | (*known == hash))
    }

    fn insert(&mut self, id: &HeaderValue) {
        self.0.push(Self::hash(id));
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn is_full(&self) -> bool {
        self.0.len() >= EXCHANGES
    }
}

/// A connection that no attempt is using, or that one attempt is.
#[derive(Debug)]
pub struct UpstreamConnection<S = TcpStream> {
    stream: S,
    /// What was read and belongs to nothing yet.
    unread: BytesMut,
    /// Its end was read.
    ended: bool,
    pub address: SocketAddr,
    /// How long it took to come up: a round trip, or a little more.
    pub took: Duration,
    pub idle_since: Instant,
    /// It may idle for so long.
    pub keepalive: Duration,
    /// An answer that comes twice must not meet another request of its id.
    carried: Carried,
    /// Whether another exchange may follow the one that has ended.
    pub reusable: bool,
}

impl<S: Transport> UpstreamConnection<S> {
    pub fn new(stream: S, address: SocketAddr, took: Duration, keepalive: Duration) -> Self {
        Self {
            stream,
            unread: BytesMut::new(),
            ended: false,
            address,
            took,
            idle_since: Instant::now(),
            keepalive,
            carried: Carried::default(),
            reusable: true,
        }
    }

    /// Whether a request may go out on it: it is open, nothing has come on it, and no surplus answer that may
    /// still come could be taken for the one that is awaited.
    pub fn fits(&self, awaited: &AwaitedResponse<'_>) -> bool {
        let told_apart = self.carried.is_empty()
            || awaited.id().is_some_and(|id| !self.carried.contains(id))
                && *awaited.method != Method::HEAD;
        told_apart && self.stream.is_quiet()
    }

    /// Writes a request. Ends early where the upstream has something to say before all is written; `receive`
    /// then goes on with the writing.
    pub async fn send(&mut self, request: &mut OutgoingRequest<'_>) -> Result<()> {
        poll_fn(|cx| {
            while request.sent.never_whole() {
                match self.poll_write(cx, request) {
                    Poll::Ready(written) => written?,
                    Poll::Pending if request.sent.untouched() => return Poll::Pending,
                    Poll::Pending => return self.poll_fill(cx).map(|_| Ok(())),
                }
            }
            Poll::Ready(Ok(()))
        })
        .await
    }

    /// Reads the answer to the request that was sent, to its end; only then is it one. What the upstream says
    /// of other requests meanwhile does not keep it from hearing the rest of this one.
    pub async fn receive(
        &mut self,
        awaited: &AwaitedResponse<'_>,
        request: &mut OutgoingRequest<'_>,
        allowance: &BodyBudget,
    ) -> std::result::Result<Response<Bytes>, IncompleteResponse> {
        self.reusable = false;
        let fresh = self.carried.is_empty();
        awaited
            .id()
            .into_iter()
            .for_each(|id| self.carried.insert(id));
        let mut alone = true;
        for _ in 0..AHEAD {
            let (head, framing) = self.head(awaited.method, request).await?;
            if head.status().is_informational() {
                request.sent.answered = false;
                continue;
            }
            request.stopped = true;
            match owner(&head, awaited, fresh) {
                Owner::Own => {}
                Owner::Another => {
                    (request.sent.answered, request.stopped) = (false, false);
                    tracing::debug!(address = %self.address, "an answer that nobody asked for");
                    self.body(framing, request, BodyBuffer::discarded(ANSWER_LIMIT))
                        .await?;
                    alone = false;
                    continue;
                }
                Owner::Unclear => return Err(IncompleteResponse::default()),
            }
            let body = match BodyBuffer::new(allowance, framing.announced(), ANSWER_LIMIT) {
                Some(filling) => self.body(framing, request, filling).await,
                None => Err(IncompleteResponse::default()),
            };
            let body = body
                .ok()
                .filter(|body| !self.holds_another_answer(body, awaited));
            let Some(body) = body else {
                return Err(IncompleteResponse {
                    head: Some(head.into_parts().0.headers),
                });
            };
            self.reusable = alone && !closes(&head) && self.may_follow(awaited, request);
            self.unread = BytesMut::new();
            return Ok(head.map(|()| body));
        }
        Err(IncompleteResponse::default())
    }

    /// Whether an answer to a request that this connection has carried begins within a body: then the body was
    /// cut, and what made up its length belongs to nobody.
    fn holds_another_answer(&self, body: &[u8], awaited: &AwaitedResponse<'_>) -> bool {
        let Some((echo, _)) = awaited.echo else {
            return false;
        };
        find_status_lines(body).any(|at| {
            let mut text = BytesMut::from(&body[at..body.len().min(at + HEAD_LIMIT)]);
            text.extend_from_slice(&self.unread[..self.unread.len().min(HEAD_LIMIT)]);
            match parse_head(&text) {
                Ok(Some((head, _))) => head
                    .headers()
                    .get_all(echo)
                    .iter()
                    .any(|id| self.carried.contains(id)),
                // The body ends within that head.
                Ok(None) => true,
                Err(Malformed) => false,
            }
        })
    }

    /// Whether another request may follow this one, which has its answer.
    fn may_follow(&self, awaited: &AwaitedResponse<'_>, request: &OutgoingRequest<'_>) -> bool {
        // A surplus answer to this request must be told from the next one by its echo, and must end at the same
        // place whatever the next one's method is.
        let told_apart =
            awaited.echo.is_none() || awaited.id().is_some() && *awaited.method != Method::HEAD;
        let quiet = self.unread.is_empty() && !self.ended;
        told_apart && quiet && !request.sent.never_whole() && !self.carried.is_full()
    }

    fn poll_write(
        &mut self,
        cx: &mut Context<'_>,
        request: &mut OutgoingRequest<'_>,
    ) -> Poll<Result<()>> {
        let rest = request.rest();
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, &rest))?;
        request.sent.bytes += written;
        Poll::Ready(if written > 0 {
            Ok(())
        } else {
            Err(ErrorKind::WriteZero.into())
        })
    }

    /// Reads what has come; false at the end of the connection.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<bool> {
        if self.ended {
            return Poll::Ready(false);
        }
        self.unread.reserve(PIECE);
        let read = ready!(pin!(self.stream.read_buf(&mut self.unread)).poll(cx));
        self.ended = !matches!(read, Ok(n) if n > 0);
        Poll::Ready(!self.ended)
    }

    /// Reads on, and writes what is left of the request meanwhile, unless its answer has begun.
    async fn read(
        &mut self,
        request: &mut OutgoingRequest<'_>,
    ) -> std::result::Result<(), IncompleteResponse> {
        let came = poll_fn(|cx| {
            if let Poll::Ready(came) = self.poll_fill(cx) {
                return Poll::Ready(came);
            }
            while request.sent.never_whole() && !request.stopped {
                match self.poll_write(cx, request) {
                    Poll::Ready(Ok(())) => {}
                    // Its answer may have come all the same.
                    Poll::Ready(Err(_)) => request.stopped = true,
                    Poll::Pending => break,
                }
            }
            Poll::Pending
        });
        if came.await {
            Ok(())
        } else {
            Err(IncompleteResponse::default())
        }
    }

    /// The next head, and how its body is framed. Until it is known whose it is, it may be the request's own.
    async fn head(
        &mut self,
        method: &Method,
        request: &mut OutgoingRequest<'_>,
    ) -> std::result::Result<(Response<()>, Framing), IncompleteResponse> {
        loop {
            request.sent.answered |= !self.unread.is_empty();
            if let Some((head, length)) = parse_head(&self.unread)? {
                self.unread.advance(length);
                let framing = framing(&head, method)?;
                return Ok((head, framing));
            }
            if self.unread.len() >= HEAD_LIMIT {
                return Err(IncompleteResponse::default());
            }
            self.read(request).await?;
        }
    }

    async fn body(
        &mut self,
        framing: Framing,
        request: &mut OutgoingRequest<'_>,
        mut body: BodyBuffer,
    ) -> std::result::Result<Bytes, IncompleteResponse> {
        match framing {
            Framing::Length(length) => self.fill(&mut body, length, request).await?,
            Framing::Chunked => self.chunks(&mut body, request).await?,
            // An upstream that dies closes the connection just as one that is done.
            Framing::Close => return Err(IncompleteResponse::default()),
        }
        Ok(body.into_bytes())
    }

    /// Moves so many bytes into a body.
    async fn fill(
        &mut self,
        body: &mut BodyBuffer,
        mut left: usize,
        request: &mut OutgoingRequest<'_>,
    ) -> std::result::Result<(), IncompleteResponse> {
        while left > 0 {
            if self.unread.is_empty() {
                self.read(request).await?;
            }
            let n = left.min(self.unread.len());
            body.add(&self.unread[..n])
                .ok_or(IncompleteResponse::default())?;
            self.unread.advance(n);
            left -= n;
        }
        Ok(())
    }

    /// A line up to its end, without it.
    async fn line(
        &mut self,
        request: &mut OutgoingRequest<'_>,
    ) -> std::result::Result<BytesMut, IncompleteResponse> {
        loop {
            if let Some(end) = self.unread.iter().position(|b| *b == b'\n') {
                let mut line = self.unread.split_to(end + 1);
                // A carriage return stands before the line feed, and nowhere else.
                let text_end = end.checked_sub(1).ok_or(IncompleteResponse::default())?;
                if line.iter().position(|b| *b == b'\r') != Some(text_end) {
                    return Err(IncompleteResponse::default());
                }
                line.truncate(text_end);
                return Ok(line);
            }
            if self.unread.len() >= HEAD_LIMIT {
                return Err(IncompleteResponse::default());
            }
            self.read(request).await?;
        }
    }

    async fn chunks(
        &mut self,
        body: &mut BodyBuffer,
        request: &mut OutgoingRequest<'_>,
    ) -> std::result::Result<(), IncompleteResponse> {
        loop {
            let size = chunk_size(&self.line(request).await?)?;
            if size == 0 {
                break;
            }
            self.fill(body, size, request).await?;
            if !self.line(request).await?.is_empty() {
                return Err(IncompleteResponse::default());
            }
        }
        for _ in 0..MAX_HEADER_LINES {
            let line = self.line(request).await?;
            if line.is_empty() {
                return Ok(());
            }
            if !is_trailer(&line) {
                break;
            }
        }
        Err(IncompleteResponse::default())
    }
}

/// Whose an answer is, by its echo. On a fresh connection there was no other request.
fn owner(head: &Response<()>, awaited: &AwaitedResponse<'_>, fresh: bool) -> Owner {
    let Some((name, id)) = awaited.echo else {
        return Owner::Own;
    };
    let mut echoes = head.headers().get_all(name).iter();
    match (id, echoes.next(), echoes.next()) {
        (Some(id), Some(echo), None) if echo == id => Owner::Own,
        (None, None, _) if fresh => Owner::Own,
        (Some(_), Some(_), None) if !fresh => Owner::Another,
        _ => Owner::Unclear,
    }
}

#[cfg(test)]
#[path = "link_tests.rs"]
mod tests;
