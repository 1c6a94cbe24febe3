//! A client's connection under generated schedules: requests one behind another, split at any byte, with garbage behind
//! them, from a client that leaves, half closes or reads late, to a handler that answers when it likes.
//!
//! Oracle: what comes back are the answers to its requests, in order and whole; or the connection ends without looking
//! complete.
//!
//! `CLIENT_SCHEDULES` and `CLIENT_SEED` ask for more schedules, and for others.

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

/// Longest wait for anything that has to happen.
const MAX_WAIT: Duration = Duration::from_secs(60);
const SCHEDULES: u32 = 3000;
/// What is left after so many chunks is written at once.
const MAX_CHUNKS: usize = 100;

#[derive(Clone, Debug)]
struct PlannedRequest {
    method: &'static str,
    version: &'static str,
    /// So many bytes, with a length or in chunks.
    body: usize,
    chunked: bool,
    /// The last that it asks for.
    closes: bool,
    /// What the handler makes of it: the answer's status and length, and so many turns of others before.
    status: u16,
    size: usize,
    turns: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientEnd {
    /// Reads until it has all answers.
    Stays,
    HalfCloses,
    /// Is gone after so many bytes of its answers.
    Leaves(usize),
    /// Sends what is no request, and stays.
    Garbage,
    /// Sends a part of a further request, and half closes.
    Cut,
}

#[derive(Clone, Debug)]
struct Schedule {
    requests: Vec<PlannedRequest>,
    /// The lengths of the chunks that are written, over and over.
    chunks: Vec<usize>,
    /// Reads nothing before all is written.
    reads_late: bool,
    end: ClientEnd,
    /// The listener is told to stop after so many requests have reached the handler.
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
            |(method, version, body, chunked, closes, status, size, turns)| {
                let chunked = chunked && version == "1.1";
                PlannedRequest {
                    method,
                    version,
                    body,
                    chunked,
                    closes,
                    status,
                    size,
                    turns,
                }
            },
        )
}

fn schedule() -> impl Strategy<Value = Schedule> {
    let end = prop_oneof![
        3 => Just(ClientEnd::Stays),
        1 => Just(ClientEnd::HalfCloses),
        1 => (0..30_000usize).prop_map(ClientEnd::Leaves),
        1 => Just(ClientEnd::Garbage),
        1 => Just(ClientEnd::Cut),
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

/// The body of an answer, unlike that of any other in the schedule.
fn body(number: usize, size: usize) -> &'static [u8] {
    const LARGEST: usize = 1 << 20;
    const APART: usize = 4099;
    static BYTES: OnceLock<Vec<u8>> = OnceLock::new();
    let bytes = BYTES.get_or_init(|| {
        let mut state = 1u32;
        let next = |_| {
            state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            (state >> 24) as u8
        };
        (0..LARGEST + 8 * APART).map(next).collect()
    });
    &bytes[number * APART..][..size]
}

impl PlannedRequest {
    fn text(&self, number: usize) -> Vec<u8> {
        let (method, version) = (self.method, self.version);
        let mut text = format!("{method} /{number} HTTP/{version}\r\nHost: h\r\n");
        text += &format!("Plan: {},{},{}\r\n", self.status, self.size, self.turns);
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

    /// Whether its answer has a body on the wire.
    fn has_response_body(&self) -> bool {
        self.method != "HEAD" && ![204, 304].contains(&self.status)
    }
}

/// Answers as the request's own head says.
#[derive(Default)]
struct PlannedHandler {
    /// Requests that came whole, and whom to tell when there were so many.
    complete_requests: Cell<usize>,
    awaited: Cell<Option<(usize, oneshot::Sender<()>)>>,
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
        let mut answer = Response::new(Full::default());
        if body_sent.collect().await.is_err() {
            *answer.status_mut() = StatusCode::BAD_REQUEST;
            return answer;
        }
        self.complete_requests.set(self.complete_requests.get() + 1);
        match self.awaited.take() {
            Some((count, reached)) if count == self.complete_requests.get() => {
                // A schedule that is over listens no more.
                let _ = reached.send(());
            }
            other => self.awaited.set(other),
        }
        for _ in 0..plan[2] {
            yield_now().await;
        }
        *answer.status_mut() = StatusCode::from_u16(plan[0] as u16).expect("a status");
        *answer.body_mut() = Full::from(body(number, plan[1]));
        answer
    }
}

/// What came of a schedule.
struct Transcript {
    /// All that the client was sent until it or the listener closed.
    received: Vec<u8>,
    /// Its requests that had come whole.
    complete_requests: usize,
}

async fn play(schedule: &Schedule) -> Transcript {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let ample = MAX_WAIT * 10;
    let limits = ListenerLimits {
        max_connections: 8,
        idle_eviction_threshold: 8,
        max_header_bytes: 8192,
        timeouts: ClientTimeouts {
            header: ample,
            idle: ample,
        },
        accept_grace: Duration::ZERO,
        drain_timeout: ample,
        final_request_wait: Duration::ZERO,
    };
    let handler = Rc::new(PlannedHandler::default());
    let (reached, stop) = oneshot::channel();
    if let Some(count) = schedule.stops_after {
        handler.awaited.set(Some((count, reached)));
    }
    let server = Listener::new(handler.clone(), limits);
    let stop = async move {
        // Where it is not to stop, its sender is gone.
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

/// Plays the client of a schedule; gives all that it was sent.
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
        receive_answers(schedule, reader).await
    };
    match schedule.end {
        // It leaves whether or not it has written all.
        ClientEnd::Leaves(_) => {
            tokio::select! {
                received = read => received,
                () = async { drop(write.await); pending().await } => unreachable!(),
            }
        }
        _ => tokio::join!(read, write).0,
    }
}

/// Writes the schedule's requests and what is behind them, in its chunks.
async fn send_requests(schedule: &Schedule, mut writer: OwnedWriteHalf) -> OwnedWriteHalf {
    let mut text = Vec::new();
    for (number, request) in schedule.requests.iter().enumerate() {
        text.extend(request.text(number));
    }
    match schedule.end {
        ClientEnd::Garbage => text.extend(b"\x16\x03 no request\r\n\r\n"),
        ClientEnd::Cut => text.extend(&schedule.requests[0].text(0)[..30]),
        ClientEnd::Stays | ClientEnd::HalfCloses | ClientEnd::Leaves(_) => {}
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
    if matches!(schedule.end, ClientEnd::HalfCloses | ClientEnd::Cut) {
        let _ = writer.shutdown().await;
    }
    writer
}

/// Reads as long as the schedule's client does.
async fn receive_answers(schedule: &Schedule, mut reader: OwnedReadHalf) -> Vec<u8> {
    let mut received = Vec::new();
    loop {
        received.reserve(64 << 10);
        let enough = match schedule.end {
            ClientEnd::Leaves(bytes) => received.len() >= bytes,
            ClientEnd::Stays => {
                complete_answers(schedule, &received).count == schedule.requests.len()
            }
            ClientEnd::HalfCloses | ClientEnd::Garbage | ClientEnd::Cut => false,
        };
        if enough || matches!(reader.read_buf(&mut received).await, Ok(0) | Err(_)) {
            return received;
        }
    }
}

/// Answers that stand there whole, each the one to the request of its number.
struct CompleteAnswers<'a> {
    count: usize,
    /// What stands behind them.
    rest: &'a [u8],
}

fn complete_answers<'a>(schedule: &Schedule, received: &'a [u8]) -> CompleteAnswers<'a> {
    let mut rest = received;
    for (number, request) in schedule.requests.iter().enumerate() {
        match one_answer(request, number, rest) {
            Some(length) => rest = &rest[length..],
            None => {
                return CompleteAnswers {
                    count: number,
                    rest,
                };
            }
        }
    }
    CompleteAnswers {
        count: schedule.requests.len(),
        rest,
    }
}

/// The length of the request's own answer, if that stands there whole. Panics at what belongs to no request.
fn one_answer(request: &PlannedRequest, number: usize, received: &[u8]) -> Option<usize> {
    let mut lines = [httparse::EMPTY_HEADER; 16];
    let mut head = httparse::Response::new(&mut lines);
    let httparse::Status::Complete(start) = head.parse(received).expect("an answer") else {
        return None;
    };
    if head.code != Some(request.status) {
        assert!(matches!(head.code, Some(400 | 431)), "another's status");
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
        "an answer without its length looks complete anywhere"
    );
    let came = &received[start..received.len().min(start + request.size)];
    assert!(
        body(number, request.size).starts_with(came),
        "another's body"
    );
    (came.len() == request.size).then_some(start + request.size)
}

fn judge(schedule: &Schedule, transcript: &Transcript) {
    let complete_requests = transcript.complete_requests;
    let CompleteAnswers {
        count: answers,
        rest,
    } = complete_answers(schedule, &transcript.received);
    assert!(
        answers <= complete_requests,
        "an answer to what was not asked"
    );
    let last = schedule
        .requests
        .iter()
        .position(PlannedRequest::ends_connection);
    if last.is_some_and(|last| answers > last) {
        assert!(rest.is_empty(), "something after the last answer: {rest:?}");
        return;
    }
    // What stands behind them is the start of the next one, or says of what is no request that it is none.
    let refused = || {
        let status = rest
            .strip_prefix(b"HTTP/1.1 ")
            .map(|r| &r[..r.len().min(3)]);
        matches!(status, Some(b"400" | b"431"))
            && matches!(schedule.end, ClientEnd::Garbage | ClientEnd::Cut)
    };
    let begun = schedule.requests.get(answers).is_some_and(|next| {
        let start = format!("HTTP/{} {}", next.version, next.status);
        let shorter = start.len().min(rest.len());
        start.as_bytes()[..shorter] == rest[..shorter]
    });
    assert!(
        rest.is_empty() || begun || refused(),
        "bytes that are no answer: {rest:?}"
    );
    if schedule.end == ClientEnd::Stays && schedule.stops_after.is_none() {
        let due = last.map_or(schedule.requests.len(), |last| last + 1);
        assert_eq!(answers, due, "the connection ended without an answer");
    }
    if schedule.end == ClientEnd::Stays && complete_requests > 0 {
        // Whatever the handler has taken is answered whole, also while the listener stops.
        assert_eq!(answers, complete_requests);
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
        let transcript = LocalSet::new().block_on(&runtime, play(&schedule));
        judge(&schedule, &transcript);
        Ok(())
    });
    match ended {
        Ok(()) => {}
        Err(TestError::Fail(why, schedule)) => panic!("{why}: {schedule:#?}"),
        Err(TestError::Abort(why)) => panic!("{why}"),
    }
}
