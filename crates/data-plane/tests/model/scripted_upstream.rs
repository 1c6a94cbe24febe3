//! Upstreams that follow a script and record which requests they received and ran, and how they responded to each.
//! Nothing here depends on timers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::LazyLock;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, spawn_local};

/// More than the buffers between a balancer and an upstream that reads nothing can hold.
pub(crate) const LARGE_BODY_BYTES: usize = 6 << 20;

/// A length that fits into a socket's buffer.
const SHORT_BODY_BYTES: usize = 1000;

/// Returns a request body of `length` bytes.
pub(crate) fn request_body(length: usize) -> Bytes {
    static LARGE: LazyLock<Bytes> = LazyLock::new(|| Bytes::from(vec![b'b'; LARGE_BODY_BYTES]));
    LARGE.slice(..length)
}

/// Which ids a response has in its `Attempt-Id` headers.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Echo {
    Own,
    Missing,
    /// The request's id, then another.
    OwnThen(String),
    /// Another id, then the request's.
    OwnAfter(String),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Framing {
    Length,
    SameLengthTwice,
    Chunked,
    Trailers,
    /// The body ends with the connection.
    Close,
    /// Two different `Content-Length` headers.
    TwoLengths,
    /// Both a `Content-Length` and a `Transfer-Encoding` header.
    LengthAndChunked,
}

impl Framing {
    fn is_ambiguous(self) -> bool {
        matches!(self, Framing::TwoLengths | Framing::LengthAndChunked)
    }
}

/// How a response is split into writes.
#[derive(Clone, Debug)]
pub(crate) enum Writes {
    One,
    /// Two writes, split after this many thousandths of the bytes.
    SplitAt(u16),
    EachByte,
    /// One write, with unsolicited bytes after the response.
    WithTrailing(&'static [u8]),
}

#[derive(Clone, Debug)]
pub(crate) struct ScriptedResponse {
    pub status: u16,
    pub not_run: bool,
    pub sealed: bool,
    pub echo: Echo,
    pub framing: Framing,
    pub http10: bool,
    /// `Connection: close`.
    pub closes: bool,
    pub body: usize,
    /// Only this many thousandths of the bytes are sent.
    pub cut: Option<u16>,
    pub writes: Writes,
}

impl ScriptedResponse {
    pub(crate) fn new(status: u16, body: usize) -> Self {
        Self {
            status,
            not_run: false,
            sealed: true,
            echo: Echo::Own,
            framing: Framing::Length,
            http10: false,
            closes: false,
            body,
            cut: None,
            writes: Writes::One,
        }
    }

    pub(crate) fn rejection(status: u16) -> Self {
        Self {
            not_run: true,
            sealed: false,
            ..Self::new(status, 0)
        }
    }

    /// Whether a reader can tell which request it answers and where it ends, on any connection.
    pub(crate) fn is_unambiguous(&self) -> bool {
        let framed = [Framing::Length, Framing::Chunked, Framing::Trailers].contains(&self.framing);
        // A response that never has a body must not announce one.
        let measured = ![204, 304].contains(&self.status) || self.framing == Framing::Length;
        let alone = !matches!(self.writes, Writes::WithTrailing(_));
        framed && measured && alone && self.echo == Echo::Own && self.cut.is_none()
    }

    /// Whether the response says that the request was not run and never will be.
    fn says_not_run(&self) -> bool {
        self.not_run && [503, 429, 421].contains(&self.status)
    }

    pub(crate) fn has_no_body(&self, method: &Method) -> bool {
        method == Method::HEAD || [204, 304].contains(&self.status)
    }

    /// Whether a reader can know that the connection must not be reused.
    fn closes_connection(&self) -> bool {
        let short = self.body < SHORT_BODY_BYTES && self.cut.is_none();
        self.closes || self.http10 || (short && matches!(self.writes, Writes::WithTrailing(_)))
    }

    /// Returns all bytes of the response, and the body that a reader must obtain.
    fn render(&self, id: &str, serial: usize, method: &Method) -> (Vec<u8>, Vec<u8>) {
        let mut body = format!("{serial}.{id}.").into_bytes();
        body.extend_from_slice(&request_body(self.body));
        let mut bytes = self.render_head(id, serial, body.len()).into_bytes();
        if self.has_no_body(method) {
            return (bytes, Vec::new());
        }
        self.append_body(&mut bytes, &body);
        (bytes, body)
    }

    fn render_head(&self, id: &str, serial: usize, length: usize) -> String {
        let version = if self.http10 { "1.0" } else { "1.1" };
        let mut head = format!(
            "HTTP/{version} {} Word\r\nAnswer-Serial: {serial}\r\n",
            self.status
        );
        let echoed: &[&str] = match &self.echo {
            Echo::Own => &[id],
            Echo::Missing => &[],
            Echo::OwnThen(other) => &[id, other],
            Echo::OwnAfter(other) => &[other, id],
        };
        echoed
            .iter()
            .for_each(|id| head.push_str(&format!("Attempt-Id: {id}\r\n")));
        let mut line = |on: bool, line: &str| head.push_str(if on { line } else { "" });
        line(self.not_run, "Not-Run: 1\r\n");
        line(self.sealed, &format!("Upstream-Seal: seal-{serial}\r\n"));
        line(self.closes, "Connection: close\r\n");
        let chunked = "Transfer-Encoding: chunked\r\n";
        match self.framing {
            // A 204 response must not have a Content-Length (RFC 9110, section 8.6).
            Framing::Length => {
                line(self.status != 204, &format!("Content-Length: {length}\r\n"));
            }
            Framing::SameLengthTwice => {
                line(true, &format!("Content-Length: {length}\r\n").repeat(2));
            }
            Framing::Chunked | Framing::Trailers => line(true, chunked),
            Framing::Close => {}
            Framing::TwoLengths => {
                let shorter = length - 1;
                line(
                    true,
                    &format!("Content-Length: {shorter}\r\nContent-Length: {length}\r\n"),
                );
            }
            Framing::LengthAndChunked => {
                line(true, &format!("Content-Length: {length}\r\n{chunked}"));
            }
        }
        head.push_str("\r\n");
        head
    }

    fn append_body(&self, bytes: &mut Vec<u8>, body: &[u8]) {
        match self.framing {
            Framing::Chunked | Framing::Trailers | Framing::LengthAndChunked => {
                for chunk in body.chunks((body.len() / 2).max(1)) {
                    bytes.extend(format!("{:x};part\r\n", chunk.len()).bytes());
                    bytes.extend_from_slice(chunk);
                    bytes.extend(b"\r\n");
                }
                let has_trailer = self.framing == Framing::Trailers;
                bytes.extend(if has_trailer {
                    &b"0\r\nTrailer: 1\r\n\r\n"[..]
                } else {
                    b"0\r\n\r\n"
                });
            }
            _ => bytes.extend_from_slice(body),
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Sends the response to the request. The first such step counts.
    Respond(ScriptedResponse),
    /// Sends a surplus response to this request, or to an earlier one on the connection.
    Surplus {
        /// How many requests before this one; 0 is this request.
        back: usize,
        response: ScriptedResponse,
    },
    /// Sends an interim response with this status.
    Interim(u16),
    Garbage(Vec<u8>),
    /// Reads this many bytes of the body, or all of a shorter one, and begins work on the request.
    BeginWork(usize),
    /// Delays the following steps until the call has ended for its caller.
    AfterCall,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum End {
    /// The connection stays open for the next request.
    Keep,
    Close,
    Reset,
    /// Nothing more is sent, but requests are still read and run.
    HalfClose,
    /// Nothing more is sent, and everything that is received is discarded.
    Silent,
    /// Nothing more is sent or read until the call has ended for its caller.
    Unread,
}

/// What an upstream does with one request.
#[derive(Clone, Debug)]
pub(crate) struct Behaviour {
    /// Steps before the body is read.
    pub before_body: Vec<Step>,
    pub reads_body: bool,
    /// Whether the request is run: at [`Step::BeginWork`], at its response, or once as much of it was read as the
    /// upstream reads, whichever comes first.
    pub runs: bool,
    pub steps: Vec<Step>,
    pub end: End,
}

impl Behaviour {
    pub(crate) fn respond_with(response: ScriptedResponse) -> Self {
        let runs = !response.not_run;
        let steps = vec![Step::Respond(response)];
        Self {
            before_body: Vec::new(),
            reads_body: true,
            runs,
            steps,
            end: End::Keep,
        }
    }

    pub(crate) fn all_steps(&self) -> impl Iterator<Item = &Step> {
        self.before_body.iter().chain(&self.steps)
    }

    pub(crate) fn response(&self) -> Option<&ScriptedResponse> {
        self.all_steps().find_map(|step| {
            if let Step::Respond(response) = step {
                Some(response)
            } else {
                None
            }
        })
    }
}

/// The head of a request, as the upstream read it.
pub(crate) struct Request {
    /// Number of the call in the schedule, from the path.
    pub call: usize,
    method: Method,
    id: String,
    target: String,
    length: usize,
}

impl Request {
    /// Returns the number of the upstream that the request is meant for.
    pub(crate) fn upstream(&self) -> usize {
        let number = self.target.split('-').nth(1);
        number.and_then(|n| n.parse().ok()).expect("a target")
    }

    fn parse(head: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(head).ok()?;
        let mut lines = text.split("\r\n");
        let mut first = lines.next()?.split(' ');
        let method = Method::from_bytes(first.next()?.as_bytes()).ok()?;
        let call = first.next()?.strip_prefix("/call/")?.parse().ok()?;
        let headers: HashMap<String, &str> = lines
            .filter_map(|l| l.split_once(": "))
            .map(|(n, v)| (n.to_lowercase(), v))
            .collect();
        let text = |name: &str| {
            headers
                .get(name)
                .map(|v| (*v).to_string())
                .unwrap_or_default()
        };
        let length = text("content-length").parse().unwrap_or(0);
        let (id, target) = (text("attempt-id"), text("target-instance"));
        Some(Self {
            call,
            method,
            id,
            target,
            length,
        })
    }
}

/// A response that the upstream sent.
#[derive(Clone, Debug)]
pub(crate) struct GivenResponse {
    pub status: u16,
    pub serial: usize,
    pub body: Vec<u8>,
    /// Whether all of it was sent and it can be read in one way only.
    pub complete: bool,
    pub sealed: bool,
    /// Whether it says that the request was not run and never will be.
    pub says_not_run: bool,
}

/// What the upstreams recorded about one call.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallRecord {
    /// Number of requests that were received for it.
    pub requests: usize,
    /// Number of times that it was run.
    pub runs: usize,
    /// Whether it was received on a connection that had carried another request.
    pub reused: bool,
    /// Whether the body was left unread and no response was sent.
    pub body_left_unread: bool,
    /// The responses to it, one for each time that it was received.
    pub responses: Vec<GivenResponse>,
}

type Script = Box<dyn Fn(&Request) -> Behaviour>;

/// Upstreams that follow the same script.
pub(crate) struct ScriptedUpstreams {
    script: Script,
    addresses: RefCell<Vec<SocketAddr>>,
    names: RefCell<Vec<String>>,
    accepting: RefCell<Vec<JoinHandle<()>>>,
    /// The connections, each with the number of its upstream.
    connections: RefCell<Vec<(usize, JoinHandle<()>)>>,
    records: RefCell<HashMap<usize, CallRecord>>,
    serial: Cell<usize>,
    /// Calls that have ended for their callers, by response or disconnect.
    ended_calls: RefCell<Vec<usize>>,
    /// Number of connections that wait for a call to end before they execute delayed steps.
    delayed_steps: Cell<usize>,
    changed: Notify,
    /// Faults of the balancer that no script explains, such as requests that nobody sent or that were changed.
    pub violations: RefCell<Vec<String>>,
}

impl ScriptedUpstreams {
    pub(crate) async fn start(upstreams: usize, script: Script) -> Rc<Self> {
        let this = Rc::new(Self {
            script,
            addresses: RefCell::default(),
            names: RefCell::new((0..upstreams).map(|u| format!("i-{u}-0")).collect()),
            accepting: RefCell::default(),
            connections: RefCell::default(),
            records: RefCell::default(),
            serial: Cell::new(0),
            ended_calls: RefCell::default(),
            delayed_steps: Cell::new(0),
            changed: Notify::new(),
            violations: RefCell::default(),
        });
        for upstream in 0..upstreams {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            this.addresses
                .borrow_mut()
                .push(listener.local_addr().expect("an address"));
            let accepting = spawn_local(this.clone().accept(upstream, listener));
            this.accepting.borrow_mut().push(accepting);
        }
        this
    }

    async fn accept(self: Rc<Self>, upstream: usize, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            // With a linger time of zero, dropping the connection resets it.
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            let task = spawn_local(self.clone().connection(upstream, stream));
            self.connections.borrow_mut().push((upstream, task));
        }
    }

    pub(crate) fn address(&self, upstream: usize) -> SocketAddr {
        self.addresses.borrow()[upstream]
    }

    pub(crate) fn name(&self, upstream: usize) -> String {
        self.names.borrow()[upstream].clone()
    }

    /// Closes the upstream's connections, and starts another incarnation at its address.
    pub(crate) fn restart(&self, upstream: usize, incarnation: usize) {
        self.names.borrow_mut()[upstream] = format!("i-{upstream}-{incarnation}");
        self.connections.borrow_mut().retain(|(u, task)| {
            if *u == upstream {
                task.abort();
            }
            *u != upstream
        });
    }

    pub(crate) fn record(&self, call: usize) -> CallRecord {
        self.records
            .borrow()
            .get(&call)
            .cloned()
            .unwrap_or_default()
    }

    fn update_record(&self, call: usize, update: impl FnOnce(&mut CallRecord)) {
        update(self.records.borrow_mut().entry(call).or_default());
        self.changed.notify_waiters();
    }

    fn report_violation(&self, what: String) {
        self.violations.borrow_mut().push(what);
    }

    /// Returns once the request of a call has been received.
    pub(crate) async fn wait_for_request(&self, call: usize) {
        while self.record(call).requests == 0 {
            self.changed.notified().await;
        }
    }

    /// Records that the caller of this call has its response or has disconnected.
    pub(crate) fn on_call_ended(&self, call: usize) {
        self.ended_calls.borrow_mut().push(call);
        self.changed.notify_waiters();
    }

    /// Returns once the caller of this call has its response or has disconnected.
    async fn wait_for_call_end(&self, call: usize) {
        while !self.ended_calls.borrow().contains(&call) {
            self.changed.notified().await;
        }
    }

    /// Lets delayed steps be executed, for at most 100 turns of the scheduler.
    pub(crate) async fn flush_delayed(&self) {
        for _ in 0..100 {
            if self.delayed_steps.get() == 0 {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// Waits until the upstreams have read everything that was sent. Nothing is run after that.
    pub(crate) async fn finish(&self) {
        let all: Vec<_> = self.connections.borrow_mut().drain(..).collect();
        for (_, connection) in all {
            let _ = connection.await;
        }
        self.accepting.borrow().iter().for_each(JoinHandle::abort);
    }

    /// Records a request by its head, and returns how the upstream behaves. Returns `None` if the head is not that of a
    /// request.
    fn accept_request(
        &self,
        upstream: usize,
        head: &[u8],
        served: &mut Vec<Request>,
    ) -> Option<Behaviour> {
        let Some(request) = Request::parse(head) else {
            // On a new connection this may be another process, looking for a previous user of the port.
            if !served.is_empty() {
                self.report_violation(format!(
                    "not a request: {:?}",
                    String::from_utf8_lossy(head)
                ));
            }
            return None;
        };
        let (call, reused) = (request.call, !served.is_empty());
        self.update_record(call, |record| {
            record.requests += 1;
            record.reused = reused;
        });
        let mut behaviour = (self.script)(&request);
        if request.target.is_empty() {
            self.report_violation(format!("call {call} does not name its target upstream"));
        }
        if request.target != self.name(upstream) {
            behaviour = Behaviour::respond_with(ScriptedResponse::rejection(421));
        }
        served.push(request);
        Some(behaviour)
    }

    async fn connection(self: Rc<Self>, upstream: usize, mut stream: TcpStream) {
        let mut unread = Vec::new();
        let mut served: Vec<Request> = Vec::new();
        let (mut silent, mut must_close) = (false, false);
        while let Some(head) = next_head(&mut stream, &mut unread).await {
            let Some(mut behaviour) = self.accept_request(upstream, &head, &mut served) else {
                return;
            };
            if must_close {
                self.report_violation("a connection that had to be closed is reused".to_string());
            }
            let Some(Request { call, length, .. }) = served.last() else {
                return;
            };
            let (call, length) = (*call, *length);
            must_close = behaviour
                .response()
                .is_some_and(ScriptedResponse::closes_connection);
            if silent {
                (behaviour.before_body, behaviour.steps) = (Vec::new(), Vec::new());
            }
            let mut exchange = Exchange {
                stream,
                unread,
                runs: behaviour.runs,
                end: behaviour.end,
            };
            self.execute_steps(&behaviour.before_body, &mut exchange, &served)
                .await;
            if behaviour.reads_body || length == 0 {
                if !exchange.read_body(length).await {
                    return;
                }
                let unchanged = exchange.unread[..length] == request_body(length)[..];
                exchange.unread.drain(..length);
                if !unchanged {
                    self.report_violation(format!("the body of {call} was changed"));
                }
            } else if behaviour.response().is_none()
                && ![End::Silent, End::HalfClose].contains(&behaviour.end)
            {
                self.update_record(call, |record| record.body_left_unread = true);
            }
            exchange.record_run(&self, call);
            self.execute_steps(&behaviour.steps, &mut exchange, &served)
                .await;
            Exchange { stream, unread, .. } = exchange;
            match behaviour.end {
                End::Keep if behaviour.reads_body || length == 0 => {}
                End::HalfClose if behaviour.reads_body => {
                    let _ = stream.shutdown().await;
                    silent = true;
                }
                End::Unread => return self.wait_for_call_end(call).await,
                end => return end_connection(stream, end).await,
            }
        }
    }

    async fn execute_steps(&self, steps: &[Step], exchange: &mut Exchange, served: &[Request]) {
        let Some(own) = served.last() else { return };
        for step in steps {
            match step {
                Step::Respond(response) => {
                    exchange.record_run(self, own.call);
                    self.respond(response, own, Some(exchange.end), &mut exchange.stream)
                        .await;
                }
                Step::Surplus { back, response } => {
                    let Some(to) = served.len().checked_sub(back + 1) else {
                        continue;
                    };
                    // The other one of the two ids is that of the request that is awaited.
                    let mut response = response.clone();
                    if let Echo::OwnThen(other) | Echo::OwnAfter(other) = &mut response.echo {
                        other.clone_from(&own.id);
                    }
                    self.respond(&response, &served[to], None, &mut exchange.stream)
                        .await;
                }
                Step::Interim(status) => {
                    let text = format!("HTTP/1.1 {status} Word\r\nLink: </x>\r\n\r\n");
                    let _ = exchange.stream.write_all(text.as_bytes()).await;
                }
                Step::Garbage(bytes) => {
                    let _ = exchange.stream.write_all(bytes).await;
                }
                Step::BeginWork(bytes) => {
                    if !exchange.read_body((*bytes).min(own.length)).await {
                        return;
                    }
                    exchange.record_run(self, own.call);
                }
                Step::AfterCall => {
                    self.delayed_steps.set(self.delayed_steps.get() + 1);
                    self.wait_for_call_end(own.call).await;
                    self.delayed_steps.set(self.delayed_steps.get() - 1);
                }
            }
        }
    }

    /// Writes a response. `end` is how the connection ends after the response that counts, or `None` for a surplus
    /// response.
    async fn respond(
        &self,
        response: &ScriptedResponse,
        to: &Request,
        end: Option<End>,
        stream: &mut TcpStream,
    ) {
        let serial = self.serial.replace(self.serial.get() + 1);
        let (mut bytes, body) = response.render(&to.id, serial, &to.method);
        let length = response.cut.map_or(bytes.len(), |permille| {
            let length = bytes.len() * usize::from(permille) / 1000;
            length.min(bytes.len() - 1)
        });
        bytes.truncate(length);
        if let Some(end) = end {
            let bodiless = response.has_no_body(&to.method);
            let is_terminated = response.framing != Framing::Close || end == End::Close;
            let has_definite_end = !response.framing.is_ambiguous() && is_terminated;
            let complete = response.cut.is_none() && (bodiless || has_definite_end);
            let given = GivenResponse {
                status: response.status,
                serial,
                body,
                complete,
                sealed: response.sealed,
                says_not_run: response.says_not_run(),
            };
            self.update_record(to.call, |record| record.responses.push(given));
        }
        let writes: Vec<&[u8]> = match response.writes {
            Writes::One => vec![&bytes],
            Writes::SplitAt(permille) => {
                let (a, b) = bytes.split_at(bytes.len() * usize::from(permille) / 1000);
                vec![a, b]
            }
            Writes::EachByte => bytes.chunks(1).collect(),
            Writes::WithTrailing(more) => {
                bytes.extend_from_slice(more);
                vec![&bytes]
            }
        };
        for chunk in writes {
            if stream.write_all(chunk).await.is_err() {
                return;
            }
            tokio::task::yield_now().await;
        }
    }
}

/// One request and its response on a connection.
struct Exchange {
    stream: TcpStream,
    /// Bytes that were read and belong to the body of the request, or follow it.
    unread: Vec<u8>,
    /// Whether the request is still to be run.
    runs: bool,
    end: End,
}

impl Exchange {
    /// Reads the first `length` bytes of the body. Returns false if the connection ends before.
    async fn read_body(&mut self, length: usize) -> bool {
        while self.unread.len() < length {
            if !read_more(&mut self.stream, &mut self.unread).await {
                return false;
            }
        }
        true
    }

    fn record_run(&mut self, of: &ScriptedUpstreams, call: usize) {
        if std::mem::take(&mut self.runs) {
            of.update_record(call, |record| record.runs += 1);
        }
    }
}

async fn read_more(stream: &mut TcpStream, unread: &mut Vec<u8>) -> bool {
    matches!(stream.read_buf(unread).await, Ok(n) if n > 0)
}

/// Ends a connection. Dropping it resets it.
async fn end_connection(mut stream: TcpStream, end: End) {
    match end {
        End::Keep | End::Reset | End::Unread => {}
        End::Close => {
            let _ = stream.shutdown().await;
            let _ = SockRef::from(&stream).set_linger(None);
        }
        End::HalfClose => {
            let _ = stream.shutdown().await;
            read_and_discard(stream).await;
        }
        End::Silent => read_and_discard(stream).await,
    }
}

async fn read_and_discard(mut stream: TcpStream) {
    let mut chunk = vec![0; 64 << 10];
    while stream.read(&mut chunk).await.is_ok_and(|n| n > 0) {}
}

async fn next_head(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<Vec<u8>> {
    loop {
        if let Some(end) = unread.windows(4).position(|w| w == b"\r\n\r\n") {
            return Some(unread.drain(..end + 4).collect());
        }
        if !read_more(stream, unread).await {
            return None;
        }
    }
}
