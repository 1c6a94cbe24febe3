//! One connection to an upstream, and the exchanges on it: one request out, then its own answer in.
//!
//! **Promises.** An answer is handed on only if it is the one to the request that was sent: upstreams echo the
//! request's id, and an answer that echoes another is read past, to the one that belongs to the request. A
//! connection on which anything came that nobody asked for is not used again, nor one whose upstream echoes
//! nothing: there a surplus answer could not be told from the next. **May lose.** The request, where the
//! upstream breaks off or sends what is no answer; it may have run then.

use std::io::{ErrorKind, IoSlice, Result};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use hyper::{Method, Response, StatusCode, Version};
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::bodies::{Allowance, Filling};
use crate::heads::HEAD_LINES;

/// The head of an answer may have so many bytes, and so may the trailers of a chunked body.
const HEAD_LIMIT: usize = 16 << 10;
/// The largest answer. Failure: a body is said to have 64 KiB at most, but in service some answers have
/// 400 KB; taken for spoilt, each cost its request and its connection.
const ANSWER_LIMIT: usize = 1 << 20;
/// So much is read at once.
const PIECE: usize = 4 << 10;
/// Surplus answers and interim ones before the request's own; an upstream that sends more makes no sense.
const AHEAD: usize = 16;

/// How much of a request was handed to the kernel.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sent {
    pub bytes: usize,
    /// All of it, once it is known.
    pub of: usize,
}

impl Sent {
    pub fn untouched(self) -> bool {
        self.bytes == 0
    }
    /// Its last byte is not out: it cannot have run.
    pub fn never_whole(self) -> bool {
        self.bytes < self.of.max(1)
    }
}

/// Whose answer is awaited.
pub struct Awaited<'a> {
    pub method: &'a Method,
    /// The header that upstreams echo, and what it was in the request.
    pub echo: Option<(&'a HeaderName, Option<&'a HeaderValue>)>,
}

/// Why there is no whole answer, and the head of one that was cut short.
#[derive(Debug, Default)]
pub struct Broken {
    pub head: Option<HeaderMap>,
}

/// Where a body ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length(usize),
    Chunked,
    Close,
}

/// A connection that no attempt is using, or that one attempt is.
#[derive(Debug)]
pub struct Link {
    stream: TcpStream,
    /// What was read and belongs to nothing yet.
    unread: BytesMut,
    pub address: SocketAddr,
    /// How long it took to come up: a round trip, or a little more.
    pub took: Duration,
    pub idle_since: Instant,
    /// It may idle for so long.
    pub keepalive: Duration,
    /// What the last request on it was echoed as: an answer that comes twice must not meet its like.
    last: Option<HeaderValue>,
    /// Whether another exchange may follow the one that has ended.
    pub reusable: bool,
}

impl Link {
    pub fn new(
        stream: TcpStream,
        address: SocketAddr,
        took: Duration,
        keepalive: Duration,
    ) -> Self {
        let (unread, idle_since) = (BytesMut::new(), Instant::now());
        Self { stream, unread, address, took, idle_since, keepalive, last: None, reusable: true }
    }

    /// Whether it is open and nothing has come on it, not even its end, and no answer to a request of this id
    /// can still come.
    pub fn fits(&self, id: Option<&HeaderValue>) -> bool {
        let peeked = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        let quiet = peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
        quiet && (id.is_none() || self.last.as_ref() != id)
    }

    /// Writes a request. Ends early where the upstream has something to say before all is written.
    pub async fn send(&mut self, head: &[u8], body: &[u8], sent: &mut Sent) -> Result<()> {
        *sent = Sent { bytes: 0, of: head.len() + body.len() };
        while sent.bytes < sent.of {
            let (head, body) = (
                head.get(sent.bytes..).unwrap_or_default(),
                body.get(sent.bytes.saturating_sub(head.len())..).unwrap_or_default(),
            );
            match self.stream.try_write_vectored(&[IoSlice::new(head), IoSlice::new(body)]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => {
                    sent.bytes += n;
                    continue;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
            tokio::select! {
                biased;
                ready = self.stream.writable() => ready?,
                ready = self.stream.readable(), if !sent.untouched() => return ready,
            }
        }
        Ok(())
    }

    /// Reads the answer to the request that was sent, to its end; only then is it one.
    pub async fn receive(
        &mut self,
        awaited: &Awaited<'_>,
        whole: bool,
        allowance: &Allowance,
    ) -> std::result::Result<Response<Bytes>, Broken> {
        self.reusable = false;
        let mut alone = true;
        for _ in 0..AHEAD {
            let (head, framing) = self.head(awaited.method).await.ok_or(Broken::default())?;
            if head.status().is_informational() {
                continue;
            }
            let echoed = awaited.echo.and_then(|(name, _)| head.headers().get(name));
            let own = match awaited.echo {
                // Nothing of an earlier exchange can come on a connection that had none, or whose answers
                // echo nothing and are followed by nothing.
                None | Some((_, None)) => echoed.is_none(),
                Some((_, Some(id))) => echoed.map_or(alone && self.last.is_none(), |e| e == id),
            };
            let body = match self.body(framing, allowance).await {
                Some(body) => body,
                None if own => return Err(Broken { head: Some(head.into_parts().0.headers) }),
                None => return Err(Broken::default()),
            };
            if !own {
                tracing::debug!(address = %self.address, "an answer that nobody asked for");
                alone = false;
                continue;
            }
            let told = awaited.echo.is_none() || echoed.is_some();
            let goes_on = head.version() == Version::HTTP_11 && !closes(head.headers());
            let framed = framing != Framing::Close;
            self.reusable = whole && alone && told && goes_on && framed && self.unread.is_empty();
            self.last = awaited.echo.and_then(|(_, id)| id).cloned();
            self.unread = BytesMut::new();
            return Ok(head.map(|()| body));
        }
        Err(Broken::default())
    }

    /// Reads on; whether anything came.
    async fn read(&mut self) -> bool {
        self.unread.reserve(PIECE);
        matches!(self.stream.read_buf(&mut self.unread).await, Ok(n) if n > 0)
    }

    /// The next head, and how its body is framed.
    async fn head(&mut self, method: &Method) -> Option<(Response<()>, Framing)> {
        loop {
            if let Some((head, length)) = parsed(&self.unread)? {
                self.unread.advance(length);
                let framing = framing(&head, method)?;
                return Some((head, framing));
            }
            if self.unread.len() >= HEAD_LIMIT || !self.read().await {
                return None;
            }
        }
    }

    async fn body(&mut self, framing: Framing, allowance: &Allowance) -> Option<Bytes> {
        match framing {
            Framing::Length(length) => {
                let mut body = Filling::new(allowance, length, ANSWER_LIMIT)?;
                self.fill(&mut body, length).await?;
                Some(body.done())
            }
            Framing::Chunked => self.chunks(allowance).await,
            Framing::Close => {
                let mut body = Filling::new(allowance, 0, ANSWER_LIMIT)?;
                loop {
                    let piece = self.unread.split();
                    body.add(&piece)?;
                    self.unread.reserve(PIECE);
                    match self.stream.read_buf(&mut self.unread).await {
                        Ok(0) => return Some(body.done()),
                        Ok(_) => {}
                        Err(_) => return None,
                    }
                }
            }
        }
    }

    /// Moves so many bytes into a body.
    async fn fill(&mut self, body: &mut Filling, mut left: usize) -> Option<()> {
        while left > 0 {
            if self.unread.is_empty() && !self.read().await {
                return None;
            }
            let n = left.min(self.unread.len());
            body.add(&self.unread[..n])?;
            self.unread.advance(n);
            left -= n;
        }
        Some(())
    }

    /// A line up to its end, without it.
    async fn line(&mut self) -> Option<BytesMut> {
        loop {
            if let Some(end) = self.unread.iter().position(|b| *b == b'\n') {
                let mut line = self.unread.split_to(end + 1);
                line.truncate(end);
                if line.last() == Some(&b'\r') {
                    line.truncate(end - 1);
                }
                return Some(line);
            }
            if self.unread.len() >= HEAD_LIMIT || !self.read().await {
                return None;
            }
        }
    }

    async fn chunks(&mut self, allowance: &Allowance) -> Option<Bytes> {
        let mut body = Filling::new(allowance, 0, ANSWER_LIMIT)?;
        loop {
            let line = self.line().await?;
            let size = line[..].split(|b: &u8| *b == b';').next()?.trim_ascii();
            // `from_str_radix` would take a sign.
            if size.is_empty() || !size.iter().all(u8::is_ascii_hexdigit) {
                return None;
            }
            let size = usize::from_str_radix(std::str::from_utf8(size).ok()?, 16).ok()?;
            if size == 0 {
                break;
            }
            self.fill(&mut body, size).await?;
            if !self.line().await?.is_empty() {
                return None;
            }
        }
        for _ in 0..HEAD_LINES {
            if self.line().await?.is_empty() {
                return Some(body.done());
            }
        }
        None
    }
}

/// A head, if all of it is there, and its length; `None` for what is none.
fn parsed(bytes: &[u8]) -> Option<Option<(Response<()>, usize)>> {
    let mut lines = [httparse::EMPTY_HEADER; HEAD_LINES];
    let mut answer = httparse::Response::new(&mut lines);
    let length = match answer.parse(bytes).ok()? {
        httparse::Status::Partial => return Some(None),
        httparse::Status::Complete(length) if length > HEAD_LIMIT => return None,
        httparse::Status::Complete(length) => length,
    };
    let mut head = Response::new(());
    *head.status_mut() = StatusCode::from_u16(answer.code?).ok()?;
    *head.version_mut() = if answer.version? == 1 { Version::HTTP_11 } else { Version::HTTP_10 };
    for line in answer.headers {
        let name = HeaderName::from_bytes(line.name.as_bytes()).ok()?;
        head.headers_mut().append(name, HeaderValue::from_bytes(line.value).ok()?);
    }
    Some(Some((head, length)))
}

/// How the body is framed (RFC 9112, 6.3); what could be read in two ways is no answer.
fn framing(head: &Response<()>, method: &Method) -> Option<Framing> {
    let status = head.status();
    if status == StatusCode::SWITCHING_PROTOCOLS {
        return None;
    }
    let bare = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status);
    if status.is_informational() || bare || method == Method::HEAD {
        return Some(Framing::Length(0));
    }
    let mut lengths = head.headers().get_all(CONTENT_LENGTH).iter();
    if let Some(coding) = head.headers().get(TRANSFER_ENCODING) {
        let plain = coding.as_bytes().eq_ignore_ascii_case(b"chunked")
            && head.headers().get_all(TRANSFER_ENCODING).iter().count() == 1;
        return (plain && lengths.next().is_none()).then_some(Framing::Chunked);
    }
    let Some(first) = lengths.next() else { return Some(Framing::Close) };
    if lengths.any(|l| l != first) || !first.as_bytes().iter().all(u8::is_ascii_digit) {
        return None;
    }
    first.to_str().ok()?.parse().ok().map(Framing::Length)
}

fn closes(headers: &HeaderMap) -> bool {
    let named = headers.get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
    named.flat_map(|v| v.split(',')).any(|n| n.trim().eq_ignore_ascii_case("close"))
}

#[cfg(test)]
mod tests {
    use tokio::io::AsyncWriteExt;
    use tokio::net::TcpListener;

    use super::*;

    const ID: HeaderName = HeaderName::from_static("attempt-id");

    fn answer(id: &str, body: &str) -> String {
        let length = body.len();
        format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-Length: {length}\r\n\r\n{body}")
    }

    async fn pair() -> (Link, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = listener.local_addr().expect("an address");
        let stream = TcpStream::connect(at).await.expect("a connection");
        let (far, _) = listener.accept().await.expect("accepted");
        (Link::new(stream, at, Duration::ZERO, Duration::from_secs(8)), far)
    }

    async fn receive(link: &mut Link, id: &str) -> Option<Bytes> {
        let id = HeaderValue::from_str(id).expect("an id");
        let awaited = Awaited { method: &Method::GET, echo: Some((&ID, Some(&id))) };
        let all = Allowance::new(1 << 20);
        link.receive(&awaited, true, &all).await.ok().map(Response::into_body)
    }

    /// What comes on the wire, in pieces; whether `b` gets its answer, and may be followed.
    async fn told(pieces: &[&str]) -> (Option<String>, bool) {
        let (mut link, mut far) = pair().await;
        link.last = Some(HeaderValue::from_static("a"));
        let pieces: Vec<String> = pieces.iter().map(ToString::to_string).collect();
        let upstream = async move {
            for piece in pieces {
                far.write_all(piece.as_bytes()).await.expect("written");
                far.flush().await.expect("flushed");
                tokio::task::yield_now().await;
            }
        };
        let (body, ()) = tokio::join!(receive(&mut link, "b"), upstream);
        (body.map(|b| String::from_utf8_lossy(&b).into_owned()), link.reusable)
    }

    #[tokio::test]
    async fn an_answer_belongs_to_a_request_by_its_id_wherever_it_stands() {
        let (own, surplus) = (answer("b", "own"), answer("a", "other"));
        let chunked = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n\
            3\r\nxyz\r\n2;x=1\r\nab\r\n0\r\nTrail: 1\r\n\r\n";
        let hints = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
        let own_text = Some("own".to_string());
        assert_eq!(told(&[&own]).await, (own_text.clone(), true));
        assert_eq!(told(&[hints, &own]).await, (own_text.clone(), true));
        // Whole, split within its head and its body, in one piece with the next, chunked, twice.
        let both = format!("{surplus}{own}");
        for pieces in [
            vec![&surplus[..], &own],
            vec![&surplus[..20], &surplus[20..], &own[..54], &own[54..]],
            vec![&both],
            vec![chunked, &own],
            vec![&surplus, &surplus, hints, &own],
        ] {
            assert_eq!(told(&pieces).await, (own_text.clone(), false), "{pieces:?}");
        }
        // What follows is not the next one's either.
        let after = format!("{own}{surplus}");
        assert_eq!(told(&[&after]).await, (own_text.clone(), false));
        let more = format!("{own}\r\n");
        assert_eq!(told(&[&more]).await, (own_text, false));
    }

    #[tokio::test]
    async fn what_is_cut_short_garbled_or_nobodys_is_no_answer() {
        let nameless = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
        let cases = [
            nameless.to_string(),
            answer("a", "other"),
            answer("b", "own")[..54].to_string(),
            format!("{}noise\r\n\r\n", answer("a", "other")),
            format!("xx{}", answer("b", "own")),
            "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n-3\r\nown\r\n".into(),
            "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n".into(),
            "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nownn".into(),
            "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: +3\r\n\r\nown".into(),
            "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: 3\r\n\
             Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n".into(),
            "HTTP/1.1 101 Switching Protocols\r\nAttempt-Id: b\r\n\r\n".into(),
            "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(AHEAD + 1),
        ];
        for text in cases {
            assert_eq!(told(&[&text]).await, (None, false), "{text:?}");
        }
    }

    #[tokio::test]
    async fn an_upstream_that_echoes_nothing_is_heard_once_a_connection() {
        let (mut link, mut far) = pair().await;
        far.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown").await.expect("written");
        assert_eq!(receive(&mut link, "b").await.expect("the first"), "own");
        assert!(!link.reusable, "the next answer could be the surplus of this one");
    }

    #[tokio::test]
    async fn a_connection_is_not_used_again_for_the_same_id_or_with_something_on_it() {
        let (mut link, mut far) = pair().await;
        far.write_all(answer("b", "own").as_bytes()).await.expect("written");
        assert!(receive(&mut link, "b").await.is_some() && link.reusable);
        let (b, c) = (HeaderValue::from_static("b"), HeaderValue::from_static("c"));
        assert!(!link.fits(Some(&b)), "its first answer may come again");
        assert!(link.fits(Some(&c)));
        far.write_all(answer("b", "own").as_bytes()).await.expect("written");
        far.flush().await.expect("flushed");
        link.stream.readable().await.expect("it came");
        assert!(!link.fits(Some(&c)), "something unasked for has come");
    }

    #[tokio::test]
    async fn what_the_upstream_says_before_all_is_written_is_heard() {
        let (mut link, mut far) = pair().await;
        let mut sent = Sent::default();
        let large = vec![b'x'; 64 << 20];
        far.write_all(answer("b", "full").as_bytes()).await.expect("written");
        link.send(b"head", &large, &mut sent).await.expect("it spoke");
        assert!(sent.never_whole() && !sent.untouched());
        assert_eq!(receive(&mut link, "b").await.expect("its word"), "full");
    }

    #[test]
    fn only_what_is_certainly_not_whole_never_ran() {
        let mut sent = Sent::default();
        assert!(sent.untouched() && sent.never_whole(), "no connection yet");
        sent = Sent { bytes: 0, of: 10 };
        assert!(sent.untouched() && sent.never_whole());
        sent.bytes = 9;
        assert!(!sent.untouched() && sent.never_whole());
        sent.bytes = 10;
        assert!(!sent.never_whole());
    }
}
