//! Tests which reply a request gets for each order in which responses, cancellations, deadlines and disconnects can
//! occur.

use std::sync::Arc;

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Response, StatusCode, Uri};
use load_balancing::interface::{
    AttemptOutcome, DedupGroup, Effect, MembershipKind, RequestClass, ServerId, Span, Status,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot::{self, error::TryRecvError};
use tokio::task::LocalSet;
use tokio::time::timeout;

use super::*;
use crate::request_body::RequestBody;
use crate::upstream_pool::{
    AttemptResult, ForwardedRequest, LoadReportFormat, PoolConfig, UpstreamProtocol,
    implies_not_run,
};

const SEAL: HeaderName = HeaderName::from_static("upstream-seal");
/// Limit on the duration of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const LONG_TIMEOUT: Duration = Duration::from_secs(600);
/// [`EngineConfig::headroom`] of the engine under test.
const HEADROOM: Duration = Duration::from_millis(30);

/// An engine whose events the test processes one by one, and two upstreams that the test controls.
struct Harness {
    engine: Engine,
    upstreams: [TcpListener; 2],
    next_request_id: u64,
}

/// A request that was submitted to the engine, with the client's deadline and the receiver of the reply.
struct SubmittedRequest {
    id: RequestId,
    deadline: Instant,
    reply: oneshot::Receiver<EngineReply>,
}

impl Harness {
    async fn new(effect: Effect) -> Self {
        let protocol = UpstreamProtocol {
            deadline_header: HeaderName::from_static("deadline-ms"),
            target_header: Some(HeaderName::from_static("target-instance")),
            not_run_header: HeaderName::from_static("not-run"),
            not_run_statuses: &[StatusCode::SERVICE_UNAVAILABLE],
            request_id_header: Some(HeaderName::from_static("attempt-id")),
            seal_header: Some(SEAL),
            is_served: |status| !status.is_server_error() && !implies_not_run(status),
            forwards_errors: true,
            load_report: LoadReportFormat::Named(Vec::new()),
        };
        let pool = UpstreamPool::new(PoolConfig {
            max_connections: 100,
            keepalive: Duration::from_secs(5),
            connect_timeout: LONG_TIMEOUT,
            max_response_bytes: 8 << 20,
            protocol,
        });
        let config = EngineConfig {
            seed: 7,
            headroom: HEADROOM,
            drain_grace: Duration::ZERO,
            timer_granularity: Duration::from_millis(1),
            subscribe: None,
        };
        let (mut engine, _) = Engine::new(config, pool);
        engine
            .apply_settings(0, settings(effect))
            .expect("valid settings");
        let any_port = "127.0.0.1:0";
        let upstreams = [
            TcpListener::bind(any_port).await.expect("a port"),
            TcpListener::bind(any_port).await.expect("a port"),
        ];
        Self {
            engine,
            upstreams,
            next_request_id: 0,
        }
    }

    /// Applies a list with the first `count` upstreams.
    fn list_upstreams(&mut self, count: usize) {
        let entry = |n: usize| ListedUpstream {
            id: format!("i-{n}"),
            address: self.upstreams[n].local_addr().ok(),
            zone: 0,
            kind: 0,
            cell: 0,
            status: Status::Live,
            weight: 1.0,
            slots: 8,
            started: None,
        };
        let list: Vec<ListedUpstream> = (0..count).map(entry).collect();
        self.engine
            .update_membership(0, MembershipKind::Complete, &list);
    }

    fn submit(&mut self) -> SubmittedRequest {
        let id = RequestId(self.next_request_id);
        self.next_request_id += 1;
        let (sender, reply) = oneshot::channel();
        let deadline = Instant::now() + LONG_TIMEOUT;
        let request = IncomingRequest {
            class: 0,
            accepted_class: None,
            tenant: 0,
            key: None,
            shard: None,
            deadline,
            estimated_work: None,
            is_client_retry: false,
        };
        let mut headers = HeaderMap::new();
        headers.insert("host", HeaderValue::from_static("h"));
        headers.insert("attempt-id", HeaderValue::from(id.0));
        let (method, uri) = (Method::GET, Uri::from_static("/x"));
        let forwarded = ForwardedRequest {
            method,
            uri,
            headers,
            body: RequestBody::default(),
        };
        self.engine.handle_event(EngineEvent::RequestArrived {
            id,
            service: 0,
            request,
            forwarded,
            reply: sender,
        });
        SubmittedRequest {
            id,
            deadline,
            reply,
        }
    }

    /// Enables the cancellation of attempts in the settings.
    fn allow_cancels(&mut self, effect: Effect) {
        let mut settings = settings(effect);
        settings.limits.cancel = true;
        self.engine
            .apply_settings(0, settings)
            .expect("valid settings");
    }

    /// Waits for the next event of the engine's own tasks and handles it.
    async fn handle_next_event(&mut self) {
        let event = self.engine.events.recv().await.expect("an open channel");
        self.engine.handle_event(event);
    }

    /// Accepts a connection to an upstream, and checks that this request arrives on it.
    async fn accept_request(&self, upstream: usize, request: &SubmittedRequest) -> TcpStream {
        let (mut stream, _) = self.upstreams[upstream].accept().await.expect("accepted");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            assert!(stream.read_buf(&mut head).await.expect("a head") > 0);
        }
        let id = format!("attempt-id: {}\r\n", request.id.0);
        assert!(
            String::from_utf8_lossy(&head).contains(&id),
            "received another request"
        );
        stream
    }
}

fn settings(effect: Effect) -> Settings {
    let timeout = Span(LONG_TIMEOUT.as_micros() as i64);
    Settings::basic(vec![RequestClass {
        effect,
        ..RequestClass::safe(timeout, timeout)
    }])
}

async fn respond(stream: &mut TcpStream, to: &SubmittedRequest, status: &str, body: &str) {
    let (id, length) = (to.id.0, body.len());
    let head = format!("HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nUpstream-Seal: {body}\r\n");
    let text = format!("{head}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).await.expect("written");
}

/// Returns the status and body of the reply if it is an upstream's response, and checks the seal.
fn served_response(request: &mut SubmittedRequest) -> Option<(u16, String)> {
    let Ok(EngineReply::Served(response)) = request.reply.try_recv() else {
        return None;
    };
    let body = String::from_utf8_lossy(response.body()).into_owned();
    assert_eq!(
        response.headers().get(SEAL).map(HeaderValue::as_bytes),
        Some(body.as_bytes())
    );
    Some((response.status().as_u16(), body))
}

fn awaits_reply(request: &mut SubmittedRequest) -> bool {
    matches!(request.reply.try_recv(), Err(TryRecvError::Empty))
}

async fn with_harness(effect: Effect, test: impl AsyncFnOnce(Harness)) {
    let run = async {
        let mut harness = Harness::new(effect).await;
        harness.list_upstreams(1);
        test(harness).await;
    };
    LocalSet::new()
        .run_until(timeout(TEST_TIMEOUT, run))
        .await
        .expect("the test to end in time");
}

#[tokio::test]
async fn client_that_reconnects_gets_the_response_to_its_new_request() {
    let test = async |mut harness: Harness| {
        let first = harness.submit();
        let mut first_stream = harness.accept_request(0, &first).await;
        harness
            .engine
            .handle_event(EngineEvent::ClientDisconnected(first.id));
        let mut second = harness.submit();
        let mut second_stream = harness.accept_request(0, &second).await;
        respond(&mut first_stream, &first, "200 OK", "the first").await;
        harness.handle_next_event().await;
        assert!(
            awaits_reply(&mut second),
            "got the response to the first request"
        );
        respond(&mut second_stream, &second, "200 OK", "the second").await;
        harness.handle_next_event().await;
        assert_eq!(
            served_response(&mut second),
            Some((200, "the second".into()))
        );
        assert!(harness.engine.requests.is_empty());
    };
    with_harness(Effect::Safe, test).await;
}

#[tokio::test]
async fn safe_request_is_cancelled_when_its_client_disconnects() {
    let test = async |mut harness: Harness| {
        harness.allow_cancels(Effect::Safe);
        let request = harness.submit();
        let mut stream = harness.accept_request(0, &request).await;
        harness
            .engine
            .handle_event(EngineEvent::ClientDisconnected(request.id));
        assert_eq!(
            stream.read(&mut [0; 1]).await.expect("an end"),
            0,
            "its connection must be closed"
        );
        assert!(harness.engine.requests.is_empty());
    };
    with_harness(Effect::Safe, test).await;
}

#[tokio::test]
async fn unsafe_request_runs_to_its_end_when_its_client_disconnects() {
    let test = async |mut harness: Harness| {
        harness.allow_cancels(Effect::Unsafe);
        let request = harness.submit();
        let mut stream = harness.accept_request(0, &request).await;
        harness
            .engine
            .handle_event(EngineEvent::ClientDisconnected(request.id));
        assert_eq!(harness.engine.requests.len(), 1, "its attempt still runs");
        respond(&mut stream, &request, "200 OK", "unread").await;
        harness.handle_next_event().await;
        assert!(harness.engine.requests.is_empty());
        // The connection is reused.
        let next = harness.submit();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            assert!(stream.read_buf(&mut head).await.expect("a head") > 0);
        }
        assert!(String::from_utf8_lossy(&head).contains(&format!("attempt-id: {}", next.id.0)));
    };
    with_harness(Effect::Unsafe, test).await;
}

#[tokio::test]
async fn connection_opened_for_a_disconnected_client_is_reused() {
    let test = async |mut harness: Harness| {
        harness.allow_cancels(Effect::Safe);
        let request = harness.submit();
        // The attempt's task has not been polled yet.
        harness
            .engine
            .handle_event(EngineEvent::ClientDisconnected(request.id));
        harness.handle_next_event().await;
        assert!(harness.engine.requests.is_empty());
        let next = harness.submit();
        harness.accept_request(0, &next).await;
        let another = timeout(Duration::ZERO, harness.upstreams[0].accept()).await;
        assert!(another.is_err(), "opened a second connection");
    };
    with_harness(Effect::Safe, test).await;
}

#[tokio::test]
async fn first_response_of_two_hedged_attempts_wins() {
    for first in [0, 1] {
        let test = async |mut harness: Harness| {
            let mut request = harness.submit();
            let one = harness.accept_request(0, &request).await;
            harness.list_upstreams(2);
            harness.engine.services[0].hedging = true;
            harness
                .engine
                .start_attempt(request.id, ServerId(1), Span(0));
            let two = harness.accept_request(1, &request).await;
            let mut streams = [one, two];
            respond(&mut streams[first], &request, "200 OK", "the first").await;
            harness.handle_next_event().await;
            assert_eq!(
                served_response(&mut request),
                Some((200, "the first".into()))
            );
            respond(&mut streams[1 - first], &request, "500 Oops", "the other").await;
            harness.handle_next_event().await;
            assert!(harness.engine.requests.is_empty());
        };
        with_harness(Effect::Safe, test).await;
    }
}

#[tokio::test]
async fn cancel_that_crosses_with_the_response_is_ignored() {
    let test = async |mut harness: Harness| {
        let mut request = harness.submit();
        let mut stream = harness.accept_request(0, &request).await;
        respond(&mut stream, &request, "200 OK", "own").await;
        let event = harness.engine.events.recv().await.expect("an event");
        let cancel = Action::Cancel {
            request: request.id,
            attempt: 0,
        };
        harness.engine.apply_action(0, cancel);
        harness.engine.report_ended_attempts();
        assert!(
            awaits_reply(&mut request),
            "the response arrived before the cancellation"
        );
        harness.engine.handle_event(event);
        assert_eq!(served_response(&mut request), Some((200, "own".into())));
        assert!(harness.engine.requests.is_empty());
    };
    with_harness(Effect::Unsafe, test).await;
}

#[tokio::test]
async fn attempt_ends_only_once() {
    let test = async |mut harness: Harness| {
        let mut request = harness.submit();
        let _stream = harness.accept_request(0, &request).await;
        // A second attempt keeps the request in the table.
        harness.list_upstreams(2);
        harness.engine.services[0].hedging = true;
        harness
            .engine
            .start_attempt(request.id, ServerId(1), Span(0));
        let mut second = harness.accept_request(1, &request).await;
        harness.engine.apply_action(
            0,
            Action::Cancel {
                request: request.id,
                attempt: 0,
            },
        );
        harness.engine.report_ended_attempts();
        let late = Response::new(Bytes::from_static(b"late"));
        let ended = AttemptResult {
            response: Some(late),
            ..AttemptResult::from_outcome(AttemptOutcome::Ok)
        };
        harness.engine.handle_event(EngineEvent::AttemptEnded {
            id: request.id,
            attempt: 0,
            result: ended,
        });
        assert!(awaits_reply(&mut request), "the attempt was cancelled");
        respond(&mut second, &request, "200 OK", "own").await;
        harness.handle_next_event().await;
        assert_eq!(served_response(&mut request), Some((200, "own".into())));
    };
    with_harness(Effect::Safe, test).await;
}

#[tokio::test]
async fn balancer_is_told_of_every_cancelled_attempt() {
    let test = async |mut harness: Harness| {
        for _ in 0..100 {
            let request = harness.submit();
            // An attempt whose end is not reported occupies a slot of its upstream forever, so that this would block.
            let _stream = harness.accept_request(0, &request).await;
            harness
                .engine
                .send_reply(request.id, EngineReply::Failed { timed_out: false });
            harness.engine.apply_action(
                0,
                Action::Cancel {
                    request: request.id,
                    attempt: 0,
                },
            );
            harness.engine.remove_request(request.id);
            harness.engine.report_ended_attempts();
            assert!(harness.engine.requests.is_empty());
        }
    };
    with_harness(Effect::Safe, test).await;
}

#[tokio::test]
async fn request_is_not_rejected_while_it_may_run() {
    let test = async |mut harness: Harness| {
        let mut request = harness.submit();
        let _stream = harness.accept_request(0, &request).await;
        let reject = Action::Reject {
            request: request.id,
            retry_after: Span(1),
        };
        harness.engine.apply_action(0, reject);
        assert!(matches!(
            request.reply.try_recv(),
            Ok(EngineReply::Failed { timed_out: false })
        ));
    };
    with_harness(Effect::Unsafe, test).await;
}

#[tokio::test]
async fn response_after_the_deadline_is_dropped() {
    let test = async |mut harness: Harness| {
        let mut request = harness.submit();
        let mut stream = harness.accept_request(0, &request).await;
        harness.engine.on_deadline(request.id);
        assert!(matches!(
            request.reply.try_recv(),
            Ok(EngineReply::Failed { timed_out: true })
        ));
        assert_eq!(harness.engine.requests.len(), 1, "its attempt still runs");
        respond(&mut stream, &request, "200 OK", "late").await;
        harness.handle_next_event().await;
        assert!(harness.engine.requests.is_empty());
    };
    with_harness(Effect::Unsafe, test).await;
}

#[tokio::test]
async fn shutdown_rejects_queued_requests_and_lets_running_ones_end() {
    let test = async |mut harness: Harness| {
        // There are more requests than the upstream has slots; the others are queued.
        let mut requests: Vec<SubmittedRequest> = (0..40).map(|_| harness.submit()).collect();
        requests.retain(|request| harness.engine.requests.contains_key(&request.id));
        let running: Vec<bool> = requests
            .iter()
            .map(|r| harness.engine.requests[&r.id].unreported_attempts() > 0)
            .collect();
        assert!(running.contains(&true) && running.contains(&false));
        harness.engine.handle_event(EngineEvent::ShutdownStarted);
        for (request, running) in requests.iter_mut().zip(&running) {
            let reply = request.reply.try_recv();
            let rejected = matches!(reply, Ok(EngineReply::Rejected { .. }));
            assert_eq!((rejected, reply.is_err()), (!running, *running));
        }
        let remaining = harness.engine.requests.len();
        assert_eq!(
            remaining,
            running.iter().filter(|running| **running).count(),
            "only running requests remain"
        );
        let first = running
            .iter()
            .position(|running| *running)
            .expect("a running request");
        let mut stream = harness.accept_request(0, &requests[first]).await;
        respond(&mut stream, &requests[first], "200 OK", "own").await;
        harness.handle_next_event().await;
        assert_eq!(
            served_response(&mut requests[first]),
            Some((200, "own".into()))
        );
    };
    with_harness(Effect::Unsafe, test).await;
}

/// Regression test: the shutdown rejected a queued request by the outcome of its last attempt alone, although an
/// earlier attempt may have run.
#[tokio::test]
async fn shutdown_does_not_reject_a_queued_request_of_which_any_attempt_may_have_run() {
    let test = async |mut harness: Harness| {
        // Only the upstreams of a cell recognize a repeat, so that a client must not repeat the request itself.
        let mut settings = settings(Effect::Keyed);
        let class = Arc::make_mut(&mut settings.classes[0]);
        class.dedup_group = DedupGroup::Cell;
        class.dedup_window = Span(LONG_TIMEOUT.as_micros() as i64);
        let applied = harness.engine.apply_settings(0, settings);
        applied.expect("valid settings");
        let mut request = harness.submit();
        let mut first = harness.accept_request(0, &request).await;
        harness.list_upstreams(2);
        respond(&mut first, &request, "500 Oops", "its own").await;
        harness.handle_next_event().await;
        let mut second = harness.accept_request(1, &request).await;
        let rejection = format!(
            "HTTP/1.1 503 Full\r\nAttempt-Id: {}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
            request.id.0
        );
        let written = second.write_all(rejection.as_bytes()).await;
        written.expect("written");
        harness.handle_next_event().await;
        assert!(awaits_reply(&mut request), "it waits for its third attempt");
        assert_eq!(
            harness.engine.requests[&request.id].unreported_attempts(),
            0
        );
        harness.engine.handle_event(EngineEvent::ShutdownStarted);
        assert!(matches!(
            request.reply.try_recv(),
            Ok(EngineReply::Failed { timed_out: false })
        ));
    };
    with_harness(Effect::Keyed, test).await;
}

/// Uses paused time, so that the result does not depend on the speed of the machine.
#[tokio::test]
async fn silent_upstream_times_out_right_before_the_deadline() {
    let test = async {
        let mut harness = Harness::new(Effect::Unsafe).await;
        harness.list_upstreams(1);
        let request = harness.submit();
        let _stream = harness.accept_request(0, &request).await;
        tokio::time::pause();
        tokio::task::spawn_local(harness.engine.run());
        let reply = request.reply.await;
        assert!(matches!(reply, Ok(EngineReply::Failed { timed_out: true })));
        let remaining = request.deadline - Instant::now();
        assert!(
            remaining >= DEADLINE_MARGIN,
            "replied too late: {remaining:?}"
        );
        assert!(remaining <= HEADROOM, "timed out too early: {remaining:?}");
    };
    LocalSet::new().run_until(test).await;
}

/// Submits a request, to which the upstream responds with this status.
async fn submit_and_respond(status: u16) -> (Harness, SubmittedRequest) {
    let mut harness = Harness::new(Effect::Unsafe).await;
    harness.list_upstreams(1);
    let request = harness.submit();
    let mut stream = harness.accept_request(0, &request).await;
    respond(&mut stream, &request, &format!("{status} Oops"), "its own").await;
    harness.handle_next_event().await;
    (harness, request)
}

#[tokio::test]
async fn upstream_error_keeps_status_and_seal() {
    let test = async {
        for status in [500, 502, 504] {
            let (_harness, mut request) = submit_and_respond(status).await;
            assert_eq!(
                served_response(&mut request),
                Some((status, "its own".into()))
            );
        }
    };
    LocalSet::new()
        .run_until(timeout(TEST_TIMEOUT, test))
        .await
        .expect("the test to end in time");
}

#[tokio::test]
async fn status_that_implies_not_run_is_not_forwarded() {
    let test = async {
        for status in [408, 429, 503] {
            let (_harness, mut request) = submit_and_respond(status).await;
            let reply = request.reply.try_recv();
            assert!(
                matches!(reply, Ok(EngineReply::Failed { timed_out: false })),
                "{status}"
            );
        }
    };
    LocalSet::new()
        .run_until(timeout(TEST_TIMEOUT, test))
        .await
        .expect("the test to end in time");
}

/// Guards against upstreams that look slow because their responses wait for memory of this process.
#[tokio::test]
async fn wait_for_memory_is_not_part_of_the_latency() {
    let test = async |mut harness: Harness| {
        let request = harness.submit();
        let _stream = harness.accept_request(0, &request).await;
        let pending = harness.engine.requests.get_mut(&request.id);
        // The latency of requests with a key is recorded.
        pending.expect("a request").shard = Some(0);
        let result = AttemptResult {
            memory_wait: LONG_TIMEOUT,
            ..AttemptResult::from_outcome(AttemptOutcome::Error)
        };
        harness.engine.handle_event(EngineEvent::AttemptEnded {
            id: request.id,
            attempt: 0,
            result,
        });
        let key_load = harness.engine.key_load.borrow();
        let latencies: Vec<Duration> = key_load.values().copied().collect();
        assert_eq!(latencies, [Duration::ZERO]);
    };
    with_harness(Effect::Safe, test).await;
}
