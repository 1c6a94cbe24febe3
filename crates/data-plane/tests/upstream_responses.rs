//! Attempts at faulty upstreams over loopback sockets: the outcome of each response, and whether it is forwarded.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use data_plane::engine::{
    Engine, EngineConfig, EngineEvent, EngineHandle, EngineReply, IncomingRequest, ListedUpstream,
};
use data_plane::headers::forward_response;
use data_plane::runtime::upstream_protocol;
use data_plane::upstream_pool::{
    AttemptObserver, AttemptResult, ForwardedRequest, PoolConfig, Target, UpstreamPool,
};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use load_balancing::interface::{self as d, AttemptOutcome, MembershipKind, ServerId, Span};
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::Instant;

/// A timeout that no test reaches.
const LONG_TIMEOUT: Duration = Duration::from_secs(120);
/// Time limit for an expected event, long enough for a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// More than the socket buffers between two processes hold.
const LARGE_BODY_BYTES: usize = 64 << 20;
/// How much of a request an upstream reads before it begins its work, if it does not wait for the whole request.
const EARLY_START_BYTES: usize = 64 << 10;

/// A connection that an upstream has accepted, with its number in order of arrival.
struct Accepted {
    stream: TcpStream,
    number: usize,
}

impl Accepted {
    /// Reads a request with its body, and returns the head. Returns `None` at the end of the connection.
    fn read_request(&mut self) -> Option<String> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.stream.read_exact(&mut byte).ok()?;
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).expect("text").to_ascii_lowercase();
        let length = head
            .lines()
            .find_map(|l| l.strip_prefix("content-length: "));
        let length = length.map_or(0, |l| l.parse().expect("a length"));
        self.stream.read_exact(&mut vec![0; length]).ok()?;
        Some(head)
    }

    fn write(&mut self, text: &str) {
        let _ = self.stream.write_all(text.as_bytes());
    }
}

/// Starts an upstream that serves each connection on its own thread.
fn start_upstream(
    serve_connection: impl Fn(Accepted) + Send + Sync + Clone + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let serve_connection = serve_connection.clone();
            thread::spawn(move || serve_connection(Accepted { stream, number }));
        }
    });
    address
}

/// Starts an upstream that responds to each request with the text that `respond` returns for the number of the
/// connection and the head of the request.
fn responding_upstream(
    respond: impl Fn(usize, &str) -> String + Send + Sync + Clone + 'static,
) -> SocketAddr {
    start_upstream(move |mut accepted| {
        while let Some(head) = accepted.read_request() {
            let text = respond(accepted.number, &head);
            accepted.write(&text);
        }
    })
}

/// Returns a complete response to the request with this head, with additional header lines.
fn response_text(head: &str, status: &str, lines: &str, body: &str) -> String {
    let id = head
        .lines()
        .find(|l| l.starts_with("attempt-id: "))
        .expect("an id");
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{id}\r\n{lines}Content-Length: {length}\r\n\r\n{body}")
}

fn pool_config(max_connections: usize) -> PoolConfig {
    let (keepalive, connect_timeout, max_response_bytes) = (LONG_TIMEOUT, LONG_TIMEOUT, 4 << 20);
    PoolConfig {
        max_connections,
        keepalive,
        connect_timeout,
        max_response_bytes,
        protocol: upstream_protocol(),
    }
}

fn target(address: SocketAddr) -> Target {
    let name = Some(HeaderValue::from_static("i-1"));
    Target {
        address: Cell::new(address),
        name,
        closed_at: Cell::new(None),
    }
}

fn forward(id: &str, method: Method, body: usize) -> ForwardedRequest {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("h"));
    headers.insert("attempt-id", HeaderValue::from_str(id).expect("an id"));
    if body > 0 {
        headers.insert("content-length", HeaderValue::from(body));
    }
    ForwardedRequest {
        method,
        uri: Uri::from_static("/x"),
        headers,
        body: vec![b'x'; body].into(),
    }
}

async fn attempt(pool: &UpstreamPool, server: u32, target: &Target, id: &str) -> AttemptResult {
    let forward = forward(id, Method::POST, 0);
    pool.attempt(
        ServerId(server),
        target,
        &forward,
        Instant::now() + LONG_TIMEOUT,
        || true,
    )
    .await
}

fn body(result: &AttemptResult) -> &str {
    let body = result.response.as_ref().map_or(&b""[..], |r| r.body());
    std::str::from_utf8(body).expect("text")
}

const SEAL: &str = "Upstream-Seal: s\r\n";
const NOT_RUN: &str = "Not-Run: 1\r\n";

/// The status and headers of a response, the expected outcome, and whether the response is forwarded.
type ForwardingCase = (&'static str, String, AttemptOutcome, bool);

async fn assert_forwarding(cases: Vec<ForwardingCase>) {
    let run = async {
        for (status, lines, outcome, is_forwarded) in cases {
            let response_headers = lines.clone();
            let pool = UpstreamPool::new(pool_config(8));
            let target = target(responding_upstream(move |_, head| {
                response_text(head, status, &response_headers, "")
            }));
            let result = attempt(&pool, 1, &target, "a").await;
            assert_eq!(result.outcome, outcome, "{status} {lines:?}");
            assert_eq!(
                result.response.is_some(),
                is_forwarded,
                "{status} {lines:?}"
            );
            let Some(response) = result.response else {
                continue;
            };
            let forwarded = forward_response(response, &[]);
            assert!(status.starts_with(forwarded.status().as_str()));
            let seal = forwarded.headers().get("upstream-seal");
            assert_eq!(seal.is_some(), lines.contains(SEAL), "{status} {lines:?}");
        }
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn success_is_forwarded_only_with_its_seal() {
    assert_forwarding(vec![
        ("200 OK", SEAL.to_string(), AttemptOutcome::Ok, true),
        ("204 No Content", SEAL.into(), AttemptOutcome::Ok, true),
        ("200 OK", String::new(), AttemptOutcome::Reset, false),
        (
            "204 No Content",
            String::new(),
            AttemptOutcome::Reset,
            false,
        ),
        (
            "200 OK",
            "Upstream-Seal:\r\n".into(),
            AttemptOutcome::Reset,
            false,
        ),
        ("200 OK", SEAL.repeat(2), AttemptOutcome::Reset, false),
        (
            "200 OK",
            format!("{SEAL}Connection: upstream-seal\r\n"),
            AttemptOutcome::Reset,
            false,
        ),
    ])
    .await;
}

#[tokio::test]
async fn response_other_than_success_is_forwarded_with_or_without_seal() {
    assert_forwarding(vec![
        ("304 Not Modified", String::new(), AttemptOutcome::Ok, true),
        ("404 Not Found", SEAL.into(), AttemptOutcome::Ok, true),
        ("400 Bad Request", SEAL.into(), AttemptOutcome::Ok, true),
        ("500 Error", SEAL.into(), AttemptOutcome::Error, true),
        ("504 Late", String::new(), AttemptOutcome::Error, true),
    ])
    .await;
}

#[tokio::test]
async fn not_run_header_is_believed_once_and_on_some_statuses() {
    assert_forwarding(vec![
        // Without the header the status does not prove that the request has not run.
        ("503 Full", NOT_RUN.into(), AttemptOutcome::Rejected, false),
        ("429 Many", NOT_RUN.into(), AttemptOutcome::Rejected, false),
        ("400 Bad Request", NOT_RUN.into(), AttemptOutcome::Ok, true),
        ("503 Full", SEAL.into(), AttemptOutcome::Error, false),
        ("429 Many", String::new(), AttemptOutcome::Error, false),
        ("408 Slow", NOT_RUN.into(), AttemptOutcome::Error, false),
        ("503 Full", NOT_RUN.repeat(2), AttemptOutcome::Error, false),
        (
            "503 Full",
            "Not-Run: 0\r\n".into(),
            AttemptOutcome::Error,
            false,
        ),
        ("500 Error", NOT_RUN.into(), AttemptOutcome::Error, true),
        ("421 Other", String::new(), AttemptOutcome::Error, false),
        ("421 Other", NOT_RUN.repeat(2), AttemptOutcome::Error, false),
        ("421 Other", NOT_RUN.into(), AttemptOutcome::NotOwner, false),
    ])
    .await;
}

#[tokio::test]
async fn late_second_response_never_meets_a_retry_of_its_request() {
    // The upstream sends a second response to the first `a` just before its response to the retry of `a`, if both use
    // the same connection.
    let late_response = "HTTP/1.1 500 Late\r\nattempt-id: a\r\nContent-Length: 0\r\n\r\n";
    let at = start_upstream(move |mut accepted| {
        let mut attempts = 0;
        while let Some(head) = accepted.read_request() {
            attempts += i32::from(head.contains("attempt-id: a\r\n"));
            let surplus = if attempts == 2 { late_response } else { "" };
            let text = response_text(&head, "200 OK", "Upstream-Seal: s\r\n", "own");
            accepted.write(&format!("{surplus}{text}"));
        }
    });
    let run = async {
        let (pool, at) = (UpstreamPool::new(pool_config(8)), target(at));
        for id in ["a", "b", "c", "a", "d"] {
            let result = attempt(&pool, 1, &at, id).await;
            assert_eq!(
                (result.outcome, body(&result)),
                (AttemptOutcome::Ok, "own"),
                "{id}"
            );
        }
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn truncated_or_too_large_response_counts_as_reset() {
    let (size, limit) = (1000, 999);
    let complete_response =
        move |head: &str| response_text(head, "200 OK", "Upstream-Seal: s\r\n", &"x".repeat(size));
    let trickling = start_upstream(move |mut accepted| {
        let head = accepted.read_request().expect("a request");
        for byte in complete_response(&head).as_bytes().chunks(1) {
            let _ = accepted.stream.write_all(byte);
        }
        accepted.read_request();
    });
    let cut = start_upstream(move |mut accepted| {
        let head = accepted.read_request().expect("a request");
        let text = complete_response(&head);
        accepted.write(&text[..text.len() - 1]);
    });
    let run = async {
        let result = attempt(
            &UpstreamPool::new(pool_config(8)),
            1,
            &target(trickling),
            "a",
        )
        .await;
        assert_eq!(
            (result.outcome, body(&result).len()),
            (AttemptOutcome::Ok, size)
        );
        let limited_pool = UpstreamPool::new(PoolConfig {
            max_response_bytes: limit,
            ..pool_config(8)
        });
        for (pool, at) in [
            (UpstreamPool::new(pool_config(8)), cut),
            (limited_pool, trickling),
        ] {
            let result = attempt(&pool, 1, &target(at), "a").await;
            assert_eq!(
                (result.outcome, result.response.is_none()),
                (AttemptOutcome::Reset, true)
            );
        }
    };
    LocalSet::new().run_until(run).await;
}

/// Starts an upstream that reads `read` bytes of a request, writes `text`, notifies the test, and stays silent.
fn silent_upstream(read: usize, text: &'static str) -> (SocketAddr, Receiver<()>) {
    let (notify, notified): (Sender<()>, _) = channel();
    let address = start_upstream(move |mut accepted| {
        accepted
            .stream
            .read_exact(&mut vec![0; read])
            .expect("a part");
        accepted.write(text);
        notify.send(()).expect("the test is waiting");
        thread::sleep(LONG_TIMEOUT);
    });
    (address, notified)
}

/// Regression test: at the deadline, a request of which a part had been sent counted as not run unless a response had
/// begun, although its upstream may begin work before it has the whole request.
#[tokio::test(start_paused = true)]
async fn deadline_does_not_prove_that_a_partly_sent_request_has_not_run() {
    let own = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 9\r\n\r\nx";
    let interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    let expected = AttemptOutcome::Timeout;
    let cases = [
        (0, ""),
        (0, own),
        (LARGE_BODY_BYTES, ""),
        (LARGE_BODY_BYTES, own),
        (LARGE_BODY_BYTES, &own[..9]),
        (LARGE_BODY_BYTES, interim),
    ];
    let run = async {
        for (length, text) in cases {
            let (address, notified) = silent_upstream(1, text);
            // Paused time does not advance while a blocking task runs, here until the upstream has written its text.
            let upstream_wrote = tokio::task::spawn_blocking(move || notified.recv());
            let (pool, forward) = (
                UpstreamPool::new(pool_config(8)),
                forward("a", Method::POST, length),
            );
            let target = target(address);
            let deadline = Instant::now() + Duration::from_secs(1);
            let result = pool
                .attempt(ServerId(1), &target, &forward, deadline, || true)
                .await;
            assert_eq!(result.outcome, expected, "{length} {text:?}");
            assert!(result.response.is_none());
            upstream_wrote
                .await
                .expect("joined")
                .expect("the upstream wrote its text");
        }
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(start_paused = true)]
async fn deadline_before_a_byte_is_sent_proves_that_the_request_has_not_run() {
    // Nobody accepts connections, and the queue of those that wait to be accepted is full.
    let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let listener = listener.expect("a socket");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    listener.bind(&any_port.into()).expect("a port");
    listener.listen(0).expect("a listener");
    let address = listener.local_addr().expect("an address").as_socket();
    let address = address.expect("an IP address");
    let _queued = TcpStream::connect(address).expect("queued");
    let run = async {
        let (pool, target) = (UpstreamPool::new(pool_config(8)), target(address));
        let forward = forward("a", Method::POST, 0);
        let deadline = Instant::now() + Duration::from_secs(1);
        let result = pool
            .attempt(ServerId(1), &target, &forward, deadline, || true)
            .await;
        assert_eq!(result.outcome, AttemptOutcome::ConnectFailed);
    };
    LocalSet::new().run_until(run).await;
}

/// How an upstream ends its connection after it has begun work on a request of which it has read a part.
#[derive(Clone, Copy, Debug)]
enum EarlyEnd {
    /// The connection is closed with a part of the request unread, which resets it.
    Reset,
    /// The sending direction is closed, and nothing more is read.
    HalfClose,
}

/// Starts an upstream that reads a part of each request, begins work on it, writes `text` and ends the connection.
/// Each request on which work is begun is reported.
fn early_starting_upstream(text: &'static str, end: EarlyEnd, begun: Sender<()>) -> SocketAddr {
    start_upstream(move |mut accepted| {
        let mut part = vec![0; EARLY_START_BYTES];
        if accepted.stream.read_exact(&mut part).is_err() {
            return;
        }
        begun.send(()).expect("the test is waiting");
        accepted.write(text);
        if matches!(end, EarlyEnd::HalfClose) {
            let _ = accepted.stream.shutdown(Shutdown::Write);
            thread::sleep(LONG_TIMEOUT);
        }
    })
}

/// Regression test: a request that may run only once ran on a second upstream, or was rejected after it had run, when
/// the first upstream began work before it had the whole request and then broke off its response or sent none. A
/// request counted as not run as long as its last byte was not sent.
#[tokio::test]
async fn unsafe_request_is_not_sent_again_after_a_part_of_it_was_sent() {
    let truncated =
        "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nUpstream-Seal: s\r\nContent-Length: 9\r\n\r\nx";
    for text in ["", truncated] {
        for end in [EarlyEnd::Reset, EarlyEnd::HalfClose] {
            let (begun, work) = channel();
            let addresses = [(); 2].map(|()| early_starting_upstream(text, end, begun.clone()));
            let run = async {
                let (handle, running) = start_engine(d::Effect::Unsafe, addresses);
                let forward = forward("a", Method::POST, LARGE_BODY_BYTES);
                let reply = handle.submit(0, incoming_request(), forward).await;
                running.abort();
                assert!(
                    matches!(reply, EngineReply::Failed { .. }),
                    "the client is told that its request has not run: {text:?}, {end:?}"
                );
            };
            LocalSet::new().run_until(run).await;
            assert_eq!(work.try_iter().count(), 1, "{text:?}, {end:?}");
        }
    }
}

/// The response to a request that is still being written is received, although the connection is reset right after it.
#[tokio::test]
async fn early_response_followed_by_a_reset_counts() {
    let cases = [
        (
            "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nUpstream-Seal: s\r\nContent-Length: 3\r\n\r\nown",
            AttemptOutcome::Ok,
        ),
        (
            "HTTP/1.1 503 Full\r\nAttempt-Id: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
            AttemptOutcome::Rejected,
        ),
    ];
    let run = async {
        for (text, expected) in cases {
            let (begun, _work) = channel();
            let target = target(early_starting_upstream(text, EarlyEnd::Reset, begun));
            let forward = forward("a", Method::POST, LARGE_BODY_BYTES);
            let pool = UpstreamPool::new(pool_config(8));
            let deadline = Instant::now() + LONG_TIMEOUT;
            let result = pool
                .attempt(ServerId(1), &target, &forward, deadline, || true)
                .await;
            assert_eq!(result.outcome, expected);
        }
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn connection_is_used_only_for_its_upstream() {
    let sealed = |number: usize, head: &str| {
        response_text(head, "200 OK", "Upstream-Seal: s\r\n", &number.to_string())
    };
    let (notify, notified) = channel();
    let closing = start_upstream(move |mut accepted| {
        while let Some(head) = accepted.read_request() {
            accepted.write(&sealed(accepted.number, &head));
        }
        notify.send(accepted.number).expect("the test is waiting");
    });
    let run = async {
        let (pool, at) = (UpstreamPool::new(pool_config(8)), target(closing));
        assert_eq!(body(&attempt(&pool, 1, &at, "a").await), "0");
        // A request that is no longer wanted leaves the connection to the next one.
        let over = forward("b", Method::POST, 0);
        let deadline = Instant::now() + LONG_TIMEOUT;
        let result = pool
            .attempt(ServerId(1), &at, &over, deadline, || false)
            .await;
        assert_eq!(result.outcome, AttemptOutcome::NotIssued);
        assert_eq!(body(&attempt(&pool, 1, &at, "b").await), "0");
        // Another upstream at the same address gets its own connection.
        assert_eq!(body(&attempt(&pool, 2, &at, "c").await), "1");
        // An upstream that moved is not contacted at its old address.
        at.address
            .set(responding_upstream(move |_, head| sealed(9, head)));
        assert_eq!(body(&attempt(&pool, 1, &at, "d").await), "9");
        // Nothing is sent to an upstream that is gone, and its connections are closed.
        at.address.set(closing);
        at.closed_at.set(Some(Instant::now()));
        assert_eq!(
            attempt(&pool, 2, &at, "e").await.outcome,
            AttemptOutcome::NotIssued
        );
        let mut closed = [
            notified.recv_timeout(TEST_TIMEOUT).expect("notified"),
            notified.recv_timeout(TEST_TIMEOUT).expect("notified"),
        ];
        closed.sort_unstable();
        assert_eq!(closed, [0, 1]);
        // Nothing is sent to an upstream whose name can't be sent along: another one that has taken over its address
        // would run the request.
        let unnamed = Target {
            name: None,
            ..target(closing)
        };
        assert_eq!(
            attempt(&pool, 3, &unnamed, "f").await.outcome,
            AttemptOutcome::ConnectFailed
        );
    };
    LocalSet::new().run_until(run).await;
}

/// Waits in virtual time, so that the speed of the machine does not matter.
#[tokio::test]
async fn idle_connection_is_closed_before_its_upstream_closes_it() {
    const KEEPALIVE: Duration = Duration::from_secs(4);
    let (notify, closed) = channel();
    let at = start_upstream(move |mut accepted| {
        while let Some(head) = accepted.read_request() {
            accepted.write(&response_text(
                &head,
                "200 OK",
                "Upstream-Seal: s\r\n",
                "own",
            ));
        }
        notify.send(()).expect("the test is waiting");
    });
    let run = async {
        let pool = UpstreamPool::new(PoolConfig {
            keepalive: KEEPALIVE,
            ..pool_config(8)
        });
        assert_eq!(body(&attempt(&pool, 1, &target(at), "a").await), "own");
        tokio::time::pause();
        tokio::time::sleep(KEEPALIVE.mul_f64(0.7)).await;
        assert!(
            closed.try_recv().is_err(),
            "closed although it could still be used"
        );
        tokio::time::sleep(KEEPALIVE.mul_f64(0.25)).await;
        closed.recv_timeout(TEST_TIMEOUT).expect("closed");
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn longest_idle_connection_is_closed_at_the_limit() {
    let at = || {
        let (notify, notified) = channel();
        let address = start_upstream(move |mut accepted| {
            while let Some(head) = accepted.read_request() {
                let text = response_text(&head, "200 OK", "Upstream-Seal: s\r\n", "own");
                accepted.write(&text);
            }
            notify.send(()).expect("the test is waiting");
        });
        (target(address), notified)
    };
    let ((first, first_closed), (second, second_closed), (third, _third)) = (at(), at(), at());
    let run = async {
        let pool = UpstreamPool::new(pool_config(2));
        for (server, at) in [(1, &first), (2, &second), (3, &third)] {
            assert_eq!(body(&attempt(&pool, server, at, "a").await), "own");
        }
        first_closed
            .recv_timeout(TEST_TIMEOUT)
            .expect("the connection that was idle longest is closed");
        assert!(second_closed.try_recv().is_err());
        assert_eq!(body(&attempt(&pool, 2, &second, "b").await), "own");
    };
    LocalSet::new().run_until(run).await;
}

/// Starts an engine with two upstreams at these addresses, for requests with this effect.
fn start_engine(effect: d::Effect, addresses: [SocketAddr; 2]) -> (EngineHandle, JoinHandle<()>) {
    let (engine_config, pool) = (
        EngineConfig {
            seed: 1,
            headroom: Duration::ZERO,
            drain_grace: Duration::ZERO,
            timer_granularity: Duration::from_millis(1),
            subscribe: None,
        },
        UpstreamPool::new(pool_config(64)),
    );
    let (mut engine, handle) = Engine::new(engine_config, pool);
    let ms = |ms: i64| Span(ms * 1000);
    let mut class = d::RequestClass::safe(ms(5_000), ms(60_000));
    class.effect = effect;
    class.max_attempts = Some(2);
    let mut settings = d::Settings::basic(vec![class]);
    settings.limits.max_attempts = 2;
    engine.apply_settings(0, settings).expect("valid settings");
    let list = (1..).zip(addresses).map(|(n, address)| ListedUpstream {
        id: format!("i-{n}"),
        address: Some(address),
        zone: 0,
        kind: 0,
        cell: 0,
        status: d::Status::Live,
        weight: 1.0,
        slots: 4,
        started: None,
    });
    handle.send_event(EngineEvent::MembershipChanged {
        service: 0,
        kind: MembershipKind::Complete,
        upstreams: list.collect(),
    });
    (handle, tokio::task::spawn_local(engine.run()))
}

/// Returns the properties of a request whose client does not give up.
fn incoming_request() -> IncomingRequest {
    IncomingRequest {
        class: 0,
        accepted_class: None,
        tenant: 0,
        key: None,
        shard: None,
        deadline: Instant::now() + LONG_TIMEOUT,
        estimated_work: None,
        is_client_retry: false,
    }
}

/// Returns the status and seal of each response that clients get through an engine with two upstreams that respond
/// with these statuses.
async fn forwarded_replies(statuses: [&'static str; 2]) -> Vec<(u16, Option<String>)> {
    let mut seal_number = 0;
    let addresses = statuses.map(|status| {
        seal_number += 1;
        let seal = format!("Upstream-Seal: s-{seal_number}\r\n");
        responding_upstream(move |_, head| response_text(head, status, &seal, ""))
    });
    let (handle, running) = start_engine(d::Effect::Safe, addresses);
    let mut seen = Vec::new();
    for n in 0..16 {
        let forward = forward(&format!("r-{n}"), Method::GET, 0);
        if let EngineReply::Served(response) = handle.submit(0, incoming_request(), forward).await {
            let forwarded = forward_response(response, &[]);
            let seal = forwarded.headers().get("upstream-seal");
            let seal = seal.map(|seal| seal.to_str().expect("text").to_string());
            seen.push((forwarded.status().as_u16(), seal));
        }
    }
    running.abort();
    seen
}

#[tokio::test]
async fn upstream_error_is_forwarded_with_its_own_seal() {
    let run = async {
        let pair = |status: u16, seal: &str| (status, Some(seal.to_string()));
        let seen = forwarded_replies(["500 Error", "502 Error"]).await;
        assert!(!seen.is_empty());
        assert!(
            seen.iter()
                .all(|s| *s == pair(500, "s-1") || *s == pair(502, "s-2")),
            "{seen:?}"
        );
        // A status that implies that the request has not run is not forwarded, whatever other attempts got.
        let seen = forwarded_replies(["500 Error", "503 Full"]).await;
        assert!(seen.iter().all(|s| *s == pair(500, "s-1")), "{seen:?}");
    };
    LocalSet::new().run_until(run).await;
}

/// Records what is reported on an attempt.
#[derive(Default)]
struct RecordingObserver {
    memory_waits: Cell<usize>,
}

impl AttemptObserver for &RecordingObserver {
    fn may_send(&self) -> bool {
        true
    }

    fn on_memory_wait(&self) {
        self.memory_waits.set(self.memory_waits.get() + 1);
    }
}

/// Guards against upstreams that are blamed for a lack of memory in this process.
#[tokio::test]
async fn memory_that_is_missing_for_a_response_is_no_fault_of_its_upstream() {
    let at = responding_upstream(|_, head| {
        response_text(head, "200 OK", "Upstream-Seal: s\r\n", &"x".repeat(600))
    });
    let run = async {
        let pool = UpstreamPool::new(PoolConfig {
            max_response_bytes: 1000,
            ..pool_config(8)
        });
        let at = target(at);
        let held = attempt(&pool, 1, &at, "a").await;
        assert_eq!(held.outcome, AttemptOutcome::Ok);
        let observer = RecordingObserver::default();
        let forwarded = forward("b", Method::POST, 0);
        let soon = Instant::now() + Duration::from_millis(500);
        let late = pool.attempt(ServerId(1), &at, &forwarded, soon, &observer);
        let late = late.await;
        assert_eq!(
            (late.outcome, observer.memory_waits.get()),
            (AttemptOutcome::Cancelled, 1)
        );
        assert!(late.memory_wait > Duration::ZERO);
        let waiting = async {
            let deadline = Instant::now() + LONG_TIMEOUT;
            let forwarded = forward("c", Method::POST, 0);
            let attempt = pool.attempt(ServerId(1), &at, &forwarded, deadline, &observer);
            attempt.await
        };
        let release = async {
            while observer.memory_waits.get() < 2 {
                tokio::task::yield_now().await;
            }
            drop(held);
        };
        let (served, ()) = tokio::join!(waiting, release);
        assert_eq!(
            (served.outcome, body(&served).len()),
            (AttemptOutcome::Ok, 600)
        );
    };
    LocalSet::new().run_until(run).await;
}
