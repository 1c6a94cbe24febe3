//! Property test of a client connection: pipelined requests that are split at any byte and may be followed by garbage,
//! from a client that may disconnect, half-close or start reading late, to a handler that responds after a varying
//! delay.
//!
//! The client must receive the complete responses to its requests in order, or the connection must end in a way that
//! it can't mistake for a complete response.
//!
//! `CLIENT_SCHEDULES` sets the number of schedules and `CLIENT_SEED` the seed that they are generated from.

use std::cell::Cell;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::Duration;

use data_plane::client_connections::ClientTimeouts;
use data_plane::headers::ClientResponse;
use data_plane::listener::{Listener, ListenerLimits, RequestHandler};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::{Instant, timeout};

/// Time limit for one schedule, and for shrinking one that fails.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Number of schedules unless `CLIENT_SCHEDULES` is set.
const SCHEDULES: u32 = 3000;
/// Number of chunks after which the rest of the requests is written at once.
const MAX_CHUNKS: usize = 100;

#[derive(Clone, Debug)]
struct PlannedRequest {
    method: &'static str,
    version: &'static str,
    /// Length of the body in bytes.
    body: usize,
    /// Whether the body is sent with chunked transfer coding instead of a `Content-Length`.
    chunked: bool,
    /// Whether the request has `Connection: close`.
    closes: bool,
    /// Status of the response.
    status: u16,
    /// Length of the response body in bytes.
    size: usize,
    /// How often the handler yields to other tasks before it responds.
    yields: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientEnd {
    /// Reads until it has all responses.
    ReadsAll,
    /// Shuts down its sending side after the requests.
    HalfCloses,
    /// Disconnects after it has received this many bytes.
    Disconnects(usize),
    /// Sends bytes that are not a request, and reads until the connection ends.
    Garbage,
    /// Sends the start of another request, and shuts down its sending side.
    TruncatedRequest,
}

#[derive(Clone, Debug)]
struct Schedule {
    requests: Vec<PlannedRequest>,
    /// Lengths of the chunks that are written, repeated in a cycle.
    chunks: Vec<usize>,
    /// Whether the client starts reading only after it has written everything.
    reads_late: bool,
    end: ClientEnd,
    /// Number of complete requests at the handler after which the listener is told to stop.
    stops_after: Option<usize>,
}

fn planned_request() -> impl Strategy<Value = PlannedRequest> {
    let method = select(vec!["GET", "GET", "POST", "HEAD", "PUT"]);
    let version = select(vec!["1.1", "1.1", "1.1", "1.1", "1.1", "1.1", "1.1", "1.0"]);
    let body = prop_oneof![Just(0usize), 1..50usize, 1000..20_000usize];
    let status = select(vec![
        200, 200, 200, 200, 201, 204, 304, 404, 500, 502, 503, 504,
    ]);
    let size = prop_oneof![
        Just(0usize),
        1..100usize,
        100..5000usize,
        200_000..1_048_577usize
    ];
    let closes = prop::bool::weighted(0.05);
    (
        method,
        version,
        body,
        any::<bool>(),
        closes,
        status,
        size,
        0..6usize,
    )
        .prop_map(
            |(method, version, body, chunked, closes, status, size, yields)| {
                let chunked = chunked && version == "1.1";
                PlannedRequest {
                    method,
                    version,
                    body,
                    chunked,
                    closes,
                    status,
                    size,
                    yields,
                }
            },
        )
}

fn schedule() -> impl Strategy<Value = Schedule> {
    let end = prop_oneof![
        3 => Just(ClientEnd::ReadsAll),
        1 => Just(ClientEnd::HalfCloses),
        1 => (0..30_000usize).prop_map(ClientEnd::Disconnects),
        1 => Just(ClientEnd::Garbage),
        1 => Just(ClientEnd::TruncatedRequest),
    ];
    let chunks = prop::collection::vec(prop_oneof![1..40usize, 40..3000usize], 1..4);
    let stops_after = prop::option::weighted(0.2, 1..4usize);
    (
        prop::collection::vec(planned_request(), 1..6),
        chunks,
        any::<bool>(),
        end,
        stops_after,
    )
        .prop_map(
            |(requests, chunks, reads_late, end, stops_after)| Schedule {
                requests,
                chunks,
                reads_late,
                end,
                stops_after,
            },
        )
}

/// Returns a response body that differs from those of the other requests in the schedule.
fn response_body(number: usize, size: usize) -> &'static [u8] {
    const MAX_BODY_BYTES: usize = 1 << 20;
    const OFFSET_STEP: usize = 4099;
    static BYTES: OnceLock<Vec<u8>> = OnceLock::new();
    let bytes = BYTES.get_or_init(|| {
        let mut state = 1u32;
        let next = |_| {
            state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            (state >> 24) as u8
        };
        (0..MAX_BODY_BYTES + 8 * OFFSET_STEP).map(next).collect()
    });
    &bytes[number * OFFSET_STEP..][..size]
}

impl PlannedRequest {
    fn text(&self, number: usize) -> Vec<u8> {
        let (method, version) = (self.method, self.version);
        let mut text = format!("{method} /{number} HTTP/{version}\r\nHost: h\r\n");
        text += &format!("Plan: {},{},{}\r\n", self.status, self.size, self.yields);
        if self.closes {
            text += "Connection: close\r\n";
        }
        if self.chunked {
            text += "Transfer-Encoding: chunked\r\n\r\n";
            let half = self.body / 2;
            for length in [half, self.body - half].into_iter().filter(|l| *l > 0) {
                text += &format!("{length:x}\r\n{}\r\n", "x".repeat(length));
            }
            text += "0\r\n\r\n";
        } else {
            text += &format!(
                "Content-Length: {}\r\n\r\n{}",
                self.body,
                "x".repeat(self.body)
            );
        }
        text.into_bytes()
    }

    fn ends_connection(&self) -> bool {
        self.closes || self.version == "1.0"
    }

    /// Whether the response has a body on the wire.
    fn has_response_body(&self) -> bool {
        self.method != "HEAD" && ![204, 304].contains(&self.status)
    }
}

/// Responds as the `Plan` header of each request says: status, body length, number of yields.
#[derive(Default)]
struct PlannedHandler {
    /// Number of requests that were received completely.
    complete_requests: Cell<usize>,
    /// Number of complete requests at which the listener is told to stop, and the channel to tell it.
    stop_trigger: Cell<Option<(usize, oneshot::Sender<()>)>>,
}

impl RequestHandler for PlannedHandler {
    async fn handle_request(
        &self,
        request: Request<Incoming>,
        _: Instant,
        _: bool,
    ) -> ClientResponse {
        let (head, body_sent) = request.into_parts();
        let number: usize = head.uri.path()[1..].parse().expect("a number");
        let plan = head.headers["plan"].to_str().expect("text");
        let plan: Vec<usize> = plan
            .split(',')
            .map(|p| p.parse().expect("a number"))
            .collect();
        let mut response = Response::new(Full::default());
        if body_sent.collect().await.is_err() {
            *response.status_mut() = StatusCode::BAD_REQUEST;
            return response;
        }
        self.complete_requests.set(self.complete_requests.get() + 1);
        match self.stop_trigger.take() {
            Some((count, reached)) if count == self.complete_requests.get() => {
                // The receiver is gone if the schedule is over.
                let _ = reached.send(());
            }
            other => self.stop_trigger.set(other),
        }
        for _ in 0..plan[2] {
            yield_now().await;
        }
        *response.status_mut() = StatusCode::from_u16(plan[0] as u16).expect("a status");
        *response.body_mut() = Full::from(response_body(number, plan[1]));
        response
    }
}

/// What was observed during a schedule.
struct Transcript {
    /// All bytes that the client received until it or the listener closed the connection.
    received: Vec<u8>,
    /// Number of requests that the handler received completely.
    complete_requests: usize,
}

async fn run_schedule(schedule: &Schedule) -> Transcript {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let long_timeout = MAX_WAIT * 10;
    let limits = ListenerLimits {
        max_connections: 8,
        idle_eviction_threshold: 8,
        max_header_bytes: 8192,
        timeouts: ClientTimeouts {
            header: long_timeout,
            idle: long_timeout,
        },
        accept_grace: Duration::ZERO,
        drain_timeout: long_timeout,
        final_request_wait: Duration::ZERO,
    };
    let handler = Rc::new(PlannedHandler::default());
    let (reached, stop) = oneshot::channel();
    if let Some(count) = schedule.stops_after {
        handler.stop_trigger.set(Some((count, reached)));
    }
    let server = Listener::new(handler.clone(), limits);
    let stop = async move {
        // Without `stops_after` the sender has been dropped, and the listener never stops.
        if stop.await.is_err() {
            pending::<()>().await;
        }
    };
    let serving = spawn_local(server.serve(listener, stop));
    let received = timeout(MAX_WAIT, run_client(at, schedule))
        .await
        .expect("in time");
    serving.abort();
    Transcript {
        received,
        complete_requests: handler.complete_requests.get(),
    }
}

/// Runs the client of a schedule and returns all bytes that it received.
async fn run_client(at: SocketAddr, schedule: &Schedule) -> Vec<u8> {
    let stream = TcpStream::connect(at).await.expect("reachable");
    stream.set_nodelay(true).expect("set");
    let (reader, writer) = stream.into_split();
    let (written, all_written) = oneshot::channel::<()>();
    let write = async move {
        let writer = send_requests(schedule, writer).await;
        let _ = written.send(());
        writer
    };
    let read = async move {
        if schedule.reads_late {
            let _ = all_written.await;
        }
        receive_responses(schedule, reader).await
    };
    match schedule.end {
        // The client disconnects even if it has not written everything.
        ClientEnd::Disconnects(_) => {
            tokio::select! {
                received = read => received,
                () = async { drop(write.await); pending().await } => unreachable!(),
            }
        }
        _ => tokio::join!(read, write).0,
    }
}

/// Writes the schedule's requests and what follows them, in chunks.
async fn send_requests(schedule: &Schedule, mut writer: OwnedWriteHalf) -> OwnedWriteHalf {
    let mut text = Vec::new();
    for (number, request) in schedule.requests.iter().enumerate() {
        text.extend(request.text(number));
    }
    match schedule.end {
        ClientEnd::Garbage => text.extend(b"\x16\x03 no request\r\n\r\n"),
        ClientEnd::TruncatedRequest => text.extend(&schedule.requests[0].text(0)[..30]),
        ClientEnd::ReadsAll | ClientEnd::HalfCloses | ClientEnd::Disconnects(_) => {}
    }
    let chunks = schedule
        .chunks
        .iter()
        .cycle()
        .take(MAX_CHUNKS)
        .chain([&usize::MAX]);
    let mut text = &text[..];
    for length in chunks {
        let (chunk, rest) = text.split_at(text.len().min(*length));
        // The listener may have closed already.
        if writer.write_all(chunk).await.is_err() {
            break;
        }
        text = rest;
        yield_now().await;
    }
    if matches!(
        schedule.end,
        ClientEnd::HalfCloses | ClientEnd::TruncatedRequest
    ) {
        let _ = writer.shutdown().await;
    }
    writer
}

/// Reads until the client has what its schedule asks for, or the connection ends.
async fn receive_responses(schedule: &Schedule, mut reader: OwnedReadHalf) -> Vec<u8> {
    let mut received = Vec::new();
    loop {
        received.reserve(64 << 10);
        let enough = match schedule.end {
            ClientEnd::Disconnects(bytes) => received.len() >= bytes,
            ClientEnd::ReadsAll => {
                complete_responses(schedule, &received).count == schedule.requests.len()
            }
            ClientEnd::HalfCloses | ClientEnd::Garbage | ClientEnd::TruncatedRequest => false,
        };
        if enough || matches!(reader.read_buf(&mut received).await, Ok(0) | Err(_)) {
            return received;
        }
    }
}

/// The complete responses at the start of the received bytes; the n-th belongs to the n-th request.
struct CompleteResponses<'a> {
    count: usize,
    /// The bytes after them.
    rest: &'a [u8],
}

fn complete_responses<'a>(schedule: &Schedule, received: &'a [u8]) -> CompleteResponses<'a> {
    let mut rest = received;
    for (number, request) in schedule.requests.iter().enumerate() {
        match complete_response_length(request, number, rest) {
            Some(length) => rest = &rest[length..],
            None => {
                return CompleteResponses {
                    count: number,
                    rest,
                };
            }
        }
    }
    CompleteResponses {
        count: schedule.requests.len(),
        rest,
    }
}

/// Returns the length of the response to `request` if `received` begins with all of it. Panics if the bytes can't
/// belong to a response to this request.
fn complete_response_length(
    request: &PlannedRequest,
    number: usize,
    received: &[u8],
) -> Option<usize> {
    let mut lines = [httparse::EMPTY_HEADER; 16];
    let mut head = httparse::Response::new(&mut lines);
    let httparse::Status::Complete(start) = head.parse(received).expect("a response") else {
        return None;
    };
    if head.code != Some(request.status) {
        assert!(
            matches!(head.code, Some(400 | 431)),
            "the status of another request's response"
        );
        return None;
    }
    let find = |name: &str| {
        head.headers
            .iter()
            .find(|h| h.name.eq_ignore_ascii_case(name))
    };
    assert!(find("transfer-encoding").is_none());
    let length = find("content-length").map(|h| String::from_utf8_lossy(h.value).parse::<usize>());
    if !request.has_response_body() {
        return Some(start);
    }
    assert_eq!(
        length,
        Some(Ok(request.size)),
        "a response without its length looks complete wherever it ends"
    );
    let received_body = &received[start..received.len().min(start + request.size)];
    assert!(
        response_body(number, request.size).starts_with(received_body),
        "the body of another request's response"
    );
    (received_body.len() == request.size).then_some(start + request.size)
}

fn check_transcript(schedule: &Schedule, transcript: &Transcript) {
    let complete_requests = transcript.complete_requests;
    let CompleteResponses {
        count: responses,
        rest,
    } = complete_responses(schedule, &transcript.received);
    assert!(
        responses <= complete_requests,
        "more responses than complete requests"
    );
    let last = schedule
        .requests
        .iter()
        .position(PlannedRequest::ends_connection);
    if last.is_some_and(|last| responses > last) {
        assert!(rest.is_empty(), "bytes after the last response: {rest:?}");
        return;
    }
    // The rest may be the start of the next response, or the rejection of bytes that are not a request.
    let is_rejection = || {
        let status = rest
            .strip_prefix(b"HTTP/1.1 ")
            .map(|r| &r[..r.len().min(3)]);
        matches!(status, Some(b"400" | b"431"))
            && matches!(
                schedule.end,
                ClientEnd::Garbage | ClientEnd::TruncatedRequest
            )
    };
    let is_start_of_next = schedule.requests.get(responses).is_some_and(|next| {
        let start = format!("HTTP/{} {}", next.version, next.status);
        let shorter = start.len().min(rest.len());
        start.as_bytes()[..shorter] == rest[..shorter]
    });
    assert!(
        rest.is_empty() || is_start_of_next || is_rejection(),
        "bytes that are not a response: {rest:?}"
    );
    if schedule.end == ClientEnd::ReadsAll && schedule.stops_after.is_none() {
        let expected = last.map_or(schedule.requests.len(), |last| last + 1);
        assert_eq!(
            responses, expected,
            "the connection ended before all responses were sent"
        );
    }
    if schedule.end == ClientEnd::ReadsAll && complete_requests > 0 {
        // A request that the handler has received gets its complete response, also while the listener stops.
        assert_eq!(responses, complete_requests);
    }
}

#[test]
fn client_gets_whole_answers_in_order() {
    let number = |name: &str| {
        std::env::var(name)
            .ok()
            .and_then(|text| text.parse::<u64>().ok())
    };
    let cases = number("CLIENT_SCHEDULES").map_or(SCHEDULES, |n| n as u32);
    let mut seed = [17; 32];
    seed[..8].copy_from_slice(&number("CLIENT_SEED").unwrap_or(17).to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let max_shrink_time = MAX_WAIT.as_millis() as u32;
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_time,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    let ended = runner.run(&schedule(), |schedule| {
        let transcript = LocalSet::new().block_on(&runtime, run_schedule(&schedule));
        check_transcript(&schedule, &transcript);
        Ok(())
    });
    match ended {
        Ok(()) => {}
        Err(TestError::Fail(why, schedule)) => panic!("{why}: {schedule:#?}"),
        Err(TestError::Abort(why)) => panic!("{why}"),
    }
}
