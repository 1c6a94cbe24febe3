//! Attempts at upstreams, and the connections kept for them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Response, StatusCode, Uri};
use load_balancing::interface::{AttemptOutcome, LoadReport, ServerId};
use load_balancing::settings::LoadReportField;
use rustc_hash::FxHashMap;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::body::BodyBudget;
use crate::framing::names_in_connection;
use crate::upstream_connection::{
    AwaitedResponse, OutgoingRequest, SendProgress, UpstreamConnection,
};

/// Idle connections are dropped at this share of the limit that upstreams are said to have, or so long before
/// the one that an upstream tells itself, in whole seconds: a request that crosses with its close would end as a
/// reset, which no unsafe request survives.
const IDLE_OF_KEEPALIVE: f64 = 0.75;
const IDLE_BEFORE_TOLD: Duration = Duration::from_secs(1);
/// How often idle connections are looked through.
const REAP_EVERY: Duration = Duration::from_millis(250);
/// What was sent and is not acknowledged for so long is lost with its connection: the far side is gone without
/// a word. Longer than three of the system's own repeats take.
const UNACKNOWLEDGED: Duration = Duration::from_millis(3000);
/// A connection whose first bytes are reset within this many times the time that it took to come up had been
/// forgotten by its upstream while it idled: work takes longer.
const FORGOTTEN: u32 = 3;
/// And this much for a busy moment on either side.
const FORGOTTEN_SLACK: Duration = Duration::from_millis(5);
/// Nobody forgets what rested for less. Failure: upstreams that broke off at once made a balancer give up nearly
/// every connection that it could have used again.
const RESTED: Duration = Duration::from_millis(100);
/// Connections that idled for half as long as a forgotten one are not used for so long after it: what makes
/// upstreams forget passes, and a new connection has its price.
const WARY: Duration = Duration::from_secs(10);
/// No figure of a load report lies outside of this.
const PLAUSIBLE: std::ops::RangeInclusive<f64> = 0.0..=1e6;

/// A task that ends with its owner, and closes what it holds.
pub struct AbortOnDrop(pub JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// How the upstreams of a deployment word what concerns the balancer.
pub struct UpstreamProtocol {
    /// Tells an upstream how many milliseconds are left.
    pub deadline: HeaderName,
    /// Names the one upstream that a request is meant for.
    pub target: Option<HeaderName>,
    /// Says, with the value 1, that the request did not run; on which statuses it is believed.
    pub not_run: HeaderName,
    pub refusals: &'static [StatusCode],
    /// What names a request and is echoed in its answer, if anything is.
    pub echo: Option<HeaderName>,
    /// What every success bears, if anything: without it, it is none.
    pub seal: Option<HeaderName>,
    /// Statuses that say that the request was served.
    pub served: fn(StatusCode) -> bool,
    /// An upstream's own error is the client's answer where there is no better one.
    pub passes_errors: bool,
    pub load: LoadReportFormat,
}

/// The form of load reports.
pub enum LoadReportFormat {
    /// `X-Load: TEXT name=value, ...`, and what the names mean.
    Named(Vec<(String, LoadReportField)>),
    /// Requests running, requests waiting and slots, joined by commas, in this header.
    Slots(HeaderName),
}

/// What connections to upstreams are held to.
pub struct PoolConfig {
    /// The most at once.
    pub max_connections: usize,
    /// An upstream closes what idles for longer, unless it says so itself.
    pub keepalive: Duration,
    pub connect_timeout: Duration,
    /// Answers that are read, or not yet written to their clients, may take so many bytes together.
    pub max_response_bytes: usize,
    pub protocol: UpstreamProtocol,
}

/// A client's request as it goes on, the same for each of its attempts.
pub struct ForwardedRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Statuses by which a client takes it that its request has not run and never will. From an upstream, only one
/// that says so in the deployment's own words is believed, and only the balancer gives them to a client.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// How an attempt ended, and with what.
pub struct AttemptResult {
    pub outcome: AttemptOutcome,
    pub report: LoadReport,
    /// The upstream's own answer, where it may be the client's: a success, or an error that promises nothing.
    pub response: Option<Response<Bytes>>,
}

impl AttemptResult {
    pub fn bare(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            report: LoadReport::default(),
            response: None,
        }
    }
}

/// What may change about an upstream while an attempt waits for its connection.
#[derive(Debug)]
pub struct Target {
    pub address: Cell<SocketAddr>,
    /// Its name, where requests say whom they are meant for.
    pub name: Option<HeaderValue>,
    /// When sends must have ended, since it drains or is gone.
    pub closed_from: Cell<Option<Instant>>,
}

/// Counts a descriptor for as long as it is open.
struct Open(Rc<Cell<usize>>);

impl Open {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection and the descriptor that it counts for.
struct Kept {
    link: UpstreamConnection,
    _open: Open,
}

/// The connections to all upstreams, and how to use them.
pub struct UpstreamPool {
    idle: RefCell<FxHashMap<ServerId, Vec<Kept>>>,
    /// How long a connection had idled that its upstream had forgotten, and when that showed.
    forgotten: Cell<Option<(Duration, Instant)>>,
    open: Rc<Cell<usize>>,
    answers: BodyBudget,
    terms: PoolConfig,
}

impl UpstreamPool {
    pub fn new(terms: PoolConfig) -> Rc<Self> {
        let answers = BodyBudget::new(terms.max_response_bytes);
        let pool = Rc::new(Self {
            idle: RefCell::default(),
            open: Rc::default(),
            forgotten: Cell::default(),
            answers,
            terms,
        });
        let weak = Rc::downgrade(&pool);
        tokio::task::spawn_local(async move {
            loop {
                sleep(REAP_EVERY).await;
                let Some(pool) = weak.upgrade() else { return };
                pool.reap();
            }
        });
        pool
    }

    /// Drops what has idled for too long. What was closed from the other side shows when it is taken.
    fn reap(&self) {
        self.idle.borrow_mut().retain(|_, links| {
            links.retain(|kept| self.usable(kept));
            !links.is_empty()
        });
    }

    fn usable(&self, kept: &Kept) -> bool {
        let idled = kept.link.idle_since.elapsed();
        let known = self
            .forgotten
            .get()
            .filter(|(_, since)| since.elapsed() < WARY);
        idled < kept.link.keepalive && known.is_none_or(|(forgotten, _)| idled < forgotten / 2)
    }

    /// A connection that had idled for so long was forgotten by its upstream.
    fn learn_forgotten(&self, idled: Duration) {
        let known = self
            .forgotten
            .get()
            .filter(|(_, since)| since.elapsed() < WARY);
        let least = known.map_or(idled, |(known, _)| known.min(idled));
        self.forgotten.set(Some((least, Instant::now())));
    }

    /// Drops the idle connections to an upstream.
    pub fn close_idle(&self, server: ServerId) {
        self.idle.borrow_mut().remove(&server);
    }

    /// The connection used last: the rest can age out.
    fn take(
        &self,
        server: ServerId,
        address: SocketAddr,
        awaited: &AwaitedResponse<'_>,
    ) -> Option<Kept> {
        let mut idle = self.idle.borrow_mut();
        let all = idle.get_mut(&server)?;
        while let Some(kept) = all.pop() {
            if self.usable(&kept) && kept.link.address == address && kept.link.fits(awaited) {
                return Some(kept);
            }
        }
        None
    }

    fn put(&self, server: ServerId, kept: Kept) {
        self.idle.borrow_mut().entry(server).or_default().push(kept);
    }

    /// Makes room for one more connection at the cost of the one that has idled longest.
    fn make_room(&self) -> bool {
        if self.open.get() < self.terms.max_connections {
            return true;
        }
        let mut idle = self.idle.borrow_mut();
        // Each stack is in order of age, the oldest first.
        let oldest = idle
            .iter()
            .filter_map(|(server, all)| all.first().map(|k| (k.link.idle_since, *server)))
            .min_by_key(|(since, _)| *since);
        let Some((_, server)) = oldest else {
            return false;
        };
        if let Some(links) = idle.get_mut(&server) {
            drop(links.remove(0));
        }
        true
    }

    async fn connect(&self, address: SocketAddr) -> Option<Kept> {
        if !self.make_room() {
            tracing::warn!("no descriptor left for an upstream");
            return None;
        }
        let (open, from) = (Open::new(&self.open), Instant::now());
        let connect = timeout(self.terms.connect_timeout, TcpStream::connect(address));
        let stream = connect.await.ok()?.ok()?;
        // Without either, words are only later: a connection that is broken says so when it is used.
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED));
        let keepalive = self.terms.keepalive.mul_f64(IDLE_OF_KEEPALIVE);
        let link = UpstreamConnection::new(stream, address, from.elapsed(), keepalive);
        Some(Kept { link, _open: open })
    }

    /// One attempt: at most one request reaches the wire. `live` is asked right before it does.
    pub async fn attempt(
        &self,
        server: ServerId,
        target: &Target,
        forward: &ForwardedRequest,
        until: Instant,
        live: impl Fn() -> bool,
    ) -> AttemptResult {
        let mut sent = SendProgress::default();
        match timeout_at(
            until,
            self.exchange(server, target, forward, until, live, &mut sent),
        )
        .await
        {
            Ok(ended) => ended,
            // Time ran out before all of it was handed over: it cannot have run.
            Err(_) if sent.never_ran() => AttemptResult::bare(AttemptOutcome::ConnectFailed),
            Err(_) => AttemptResult::bare(AttemptOutcome::Timeout),
        }
    }

    async fn exchange(
        &self,
        server: ServerId,
        target: &Target,
        forward: &ForwardedRequest,
        until: Instant,
        live: impl Fn() -> bool,
        sent: &mut SendProgress,
    ) -> AttemptResult {
        let dialect = &self.terms.protocol;
        if dialect.target.is_some() && target.name.is_none() {
            // Whoever has its address by now would run it.
            tracing::warn!(?server, "an upstream that can't be named");
            return AttemptResult::bare(AttemptOutcome::ConnectFailed);
        }
        let echo = dialect
            .echo
            .as_ref()
            .map(|name| (name, forward.headers.get(name)));
        let awaited = AwaitedResponse {
            method: &forward.method,
            echo,
        };
        loop {
            let address = target.address.get();
            let pooled = self.take(server, address, &awaited);
            let reused = pooled.is_some();
            let kept = match pooled {
                Some(kept) => Some(kept),
                None => self.connect(address).await,
            };
            let Some(mut kept) = kept else {
                return AttemptResult::bare(AttemptOutcome::ConnectFailed);
            };
            // The wait for a connection may outlast the request, or the grace of a drain.
            let closed = target
                .closed_from
                .get()
                .is_some_and(|from| Instant::now() >= from);
            if closed || !live() {
                if !closed {
                    self.put(server, kept);
                }
                return AttemptResult::bare(AttemptOutcome::NotIssued);
            }
            let head = forward.head(dialect, target, until);
            let (link, from) = (&mut kept.link, Instant::now());
            let idled = from - link.idle_since;
            let mut request = OutgoingRequest::new(&head, &forward.body, sent);
            match link.send(&mut request).await {
                Ok(()) => {}
                // A kept connection that closed before a byte went out is no attempt yet.
                Err(_) if reused && sent.untouched() => continue,
                Err(_) => return AttemptResult::bare(AttemptOutcome::ConnectFailed),
            }
            match link.receive(&awaited, &mut request, &self.answers).await {
                Ok(answer) => return self.answer(server, target, kept, answer),
                Err(_) if sent.never_ran() => {
                    return AttemptResult::bare(AttemptOutcome::ConnectFailed);
                }
                Err(broken) => {
                    if reused
                        && idled >= RESTED
                        && broken.head.is_none()
                        && from.elapsed() < link.took * FORGOTTEN + FORGOTTEN_SLACK
                    {
                        self.learn_forgotten(idled);
                    }
                    // Cut short, or larger than any answer may be: it ran, and there is nothing to pass on.
                    let report = broken
                        .head
                        .map(|h| dialect.load.report(&h))
                        .unwrap_or_default();
                    return AttemptResult {
                        report,
                        ..AttemptResult::bare(AttemptOutcome::Reset)
                    };
                }
            }
        }
    }

    /// What a whole answer says.
    fn answer(
        &self,
        server: ServerId,
        target: &Target,
        mut kept: Kept,
        answer: Response<Bytes>,
    ) -> AttemptResult {
        let dialect = &self.terms.protocol;
        let report = dialect.load.report(answer.headers());
        if let Some(told) = keep_alive(answer.headers()) {
            kept.link.keepalive = told.saturating_sub(IDLE_BEFORE_TOLD).max(told / 2);
        }
        let outcome = dialect.outcome(&answer);
        // To one that drains or is gone nothing more will be sent.
        let again = kept.link.reusable && outcome != AttemptOutcome::Reset;
        if again && target.closed_from.get().is_none() {
            kept.link.idle_since = Instant::now();
            self.put(server, kept);
        }
        let passes = match outcome {
            AttemptOutcome::Ok => true,
            AttemptOutcome::Error => dialect.passes_errors && !promises_not_run(answer.status()),
            _ => false,
        };
        AttemptResult {
            outcome,
            report,
            response: passes.then_some(answer),
        }
    }
}

impl UpstreamProtocol {
    /// What a whole answer to a request says of it.
    fn outcome(&self, answer: &Response<Bytes>) -> AttemptOutcome {
        let (status, headers) = (answer.status(), answer.headers());
        if status.is_success() && !self.is_sealed(headers) {
            // Something ran, and this is not what it gave.
            return AttemptOutcome::Reset;
        }
        let not_run = only(headers, &self.not_run).is_some_and(|v| v == "1");
        // Whoever is not the one that was meant has not run it, whatever else it says.
        let other = self.target.is_some() && status == StatusCode::MISDIRECTED_REQUEST;
        if (self.served)(status) {
            AttemptOutcome::Ok
        } else if other && not_run {
            AttemptOutcome::NotOwner
        } else if other || (not_run && self.refusals.contains(&status)) {
            AttemptOutcome::Rejected
        } else {
            AttemptOutcome::Error
        }
    }

    /// Whether a success bears its seal: once, not empty, and such that it reaches the client.
    fn is_sealed(&self, headers: &HeaderMap) -> bool {
        let Some(name) = &self.seal else { return true };
        let sealed = only(headers, name).is_some_and(|seal| !seal.is_empty());
        sealed && !names_in_connection(headers, name.as_str())
    }
}

/// The value of a header that stands there once; what stands twice says nothing.
fn only<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

/// How long an upstream keeps idle connections, if it says so.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let told = text
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="))?;
    told.parse().ok().map(Duration::from_secs)
}

impl LoadReportFormat {
    /// What an answer's head tells; what is not understood is left out.
    fn report(&self, headers: &HeaderMap) -> LoadReport {
        let mut report = LoadReport::default();
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
        match self {
            LoadReportFormat::Named(fields) => {
                let text = text("x-load").and_then(|t| t.trim().strip_prefix("TEXT"));
                for pair in text.unwrap_or_default().split(',') {
                    let Some((name, value)) = pair.split_once('=') else {
                        continue;
                    };
                    let Ok(value) = value.trim().parse::<f64>() else {
                        continue;
                    };
                    let known = fields.iter().find(|(n, _)| n == name.trim());
                    if let Some((_, field)) = known.filter(|_| PLAUSIBLE.contains(&value)) {
                        field.set(&mut report, value);
                    }
                }
            }
            LoadReportFormat::Slots(header) => {
                let mut values = text(header.as_str()).unwrap_or_default().split(',');
                let mut next = || values.next()?.trim().parse().ok();
                let value = |v: Option<f64>| v.filter(|v| PLAUSIBLE.contains(v));
                (report.inflight, report.queued) = (value(next()), value(next()));
            }
        }
        report
    }
}

impl ForwardedRequest {
    /// The head as it goes to an upstream.
    fn head(&self, dialect: &UpstreamProtocol, target: &Target, until: Instant) -> Vec<u8> {
        let mut head = Vec::with_capacity(512);
        let path = self.uri.path_and_query().map_or("/", |p| p.as_str());
        let mut line = |parts: [&[u8]; 4]| parts.iter().for_each(|p| head.extend_from_slice(p));
        line([
            self.method.as_str().as_bytes(),
            b" ",
            path.as_bytes(),
            b" HTTP/1.1\r\n",
        ]);
        let own =
            |name: &HeaderName| *name == dialect.deadline || Some(name) == dialect.target.as_ref();
        for (name, value) in self.headers.iter().filter(|(name, _)| !own(name)) {
            line([name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"]);
        }
        let left = until
            .saturating_duration_since(Instant::now())
            .as_millis()
            .to_string();
        line([
            dialect.deadline.as_str().as_bytes(),
            b": ",
            left.as_bytes(),
            b"\r\n",
        ]);
        if let (Some(header), Some(name)) = (&dialect.target, &target.name) {
            line([header.as_str().as_bytes(), b": ", name.as_bytes(), b"\r\n"]);
        }
        // A method that expects a body says that there is none (RFC 9110, 8.6).
        let expects = [Method::POST, Method::PUT, Method::PATCH].contains(&self.method);
        if expects && self.body.is_empty() {
            line([b"content-length", b": ", b"0", b"\r\n"]);
        }
        head.extend_from_slice(b"\r\n");
        head
    }
}

#[cfg(test)]
#[path = "upstreams_tests.rs"]
pub(crate) mod tests;
