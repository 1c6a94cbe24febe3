//! Which reply a request gets: each way in which responses, cancels, deadlines and disconnects may cross.

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Response, StatusCode, Uri};
use load_balancing::interface::{
    AttemptOutcome, Effect, MembershipKind, RequestClass, ServerId, Span, Status,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot::{self, error::TryRecvError};
use tokio::task::LocalSet;
use tokio::time::timeout;

use super::*;
use crate::upstream_pool::{
    AttemptResult, ForwardedRequest, LoadReportFormat, PoolConfig, UpstreamProtocol,
    implies_not_run,
};

const SEAL: HeaderName = HeaderName::from_static("upstream-seal");
/// Longest wait for anything that has to happen.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const AMPLE_TIME: Duration = Duration::from_secs(600);
/// The time that a reply at the deadline has to reach its client.
const HEADROOM: Duration = Duration::from_millis(30);

/// An engine that the test drives event by event, and two upstreams that respond when the test says so.
struct World {
    engine: Engine,
    upstreams: [TcpListener; 2],
    next: u64,
}

/// A request that waits for its reply, and until when its client does.
struct Waiting {
    id: RequestId,
    deadline: Instant,
    reply: oneshot::Receiver<EngineReply>,
}

impl World {
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
            connect_timeout: AMPLE_TIME,
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
            .expect("good settings");
        let any = "127.0.0.1:0";
        let upstreams = [
            TcpListener::bind(any).await.expect("a port"),
            TcpListener::bind(any).await.expect("a port"),
        ];
        Self {
            engine,
            upstreams,
            next: 0,
        }
    }

    /// Lists the first so many upstreams.
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

    fn submit(&mut self) -> Waiting {
        let id = RequestId(self.next);
        self.next += 1;
        let (sender, reply) = oneshot::channel();
        let deadline = Instant::now() + AMPLE_TIME;
        let request = IncomingRequest {
            class: 0,
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
            body: Bytes::new(),
        };
        self.engine.handle_event(EngineEvent::RequestArrived {
            id,
            service: 0,
            request,
            forwarded,
            reply: sender,
        });
        Waiting {
            id,
            deadline,
            reply,
        }
    }

    /// Attempts may be cancelled from now on.
    fn allow_cancels(&mut self, effect: Effect) {
        let mut settings = settings(effect);
        settings.limits.cancel = true;
        self.engine
            .apply_settings(0, settings)
            .expect("good settings");
    }

    /// The next event of the engine's own.
    async fn handle_next_event(&mut self) {
        let event = self.engine.events.recv().await.expect("it has a sender");
        self.engine.handle_event(event);
    }

    /// The connection on which an upstream has the next request, which is this one.
    async fn accept_request(&self, upstream: usize, request: &Waiting) -> TcpStream {
        let (mut stream, _) = self.upstreams[upstream].accept().await.expect("accepted");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            assert!(stream.read_buf(&mut head).await.expect("a head") > 0);
        }
        let id = format!("attempt-id: {}\r\n", request.id.0);
        assert!(
            String::from_utf8_lossy(&head).contains(&id),
            "another request's"
        );
        stream
    }
}

fn settings(effect: Effect) -> Settings {
    let whole = Span(AMPLE_TIME.as_micros() as i64);
    Settings::basic(vec![RequestClass {
        effect,
        ..RequestClass::safe(whole, whole)
    }])
}

async fn respond(stream: &mut TcpStream, to: &Waiting, status: &str, body: &str) {
    let (id, length) = (to.id.0, body.len());
    let head = format!("HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nUpstream-Seal: {body}\r\n");
    let text = format!("{head}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).await.expect("written");
}

/// The status and body of the upstream's response, if that is the reply.
fn served_response(waiting: &mut Waiting) -> Option<(u16, String)> {
    let Ok(EngineReply::Served(response)) = waiting.reply.try_recv() else {
        return None;
    };
    let body = String::from_utf8_lossy(response.body()).into_owned();
    assert_eq!(
        response.headers().get(SEAL).map(HeaderValue::as_bytes),
        Some(body.as_bytes())
    );
    Some((response.status().as_u16(), body))
}

fn awaits_reply(waiting: &mut Waiting) -> bool {
    matches!(waiting.reply.try_recv(), Err(TryRecvError::Empty))
}

async fn in_world(effect: Effect, test: impl AsyncFnOnce(World)) {
    let all = async {
        let mut world = World::new(effect).await;
        world.list_upstreams(1);
        test(world).await;
    };
    LocalSet::new()
        .run_until(timeout(TEST_TIMEOUT, all))
        .await
        .expect("in time");
}

#[tokio::test]
async fn client_that_reconnects_gets_the_response_to_its_new_request() {
    let test = async |mut world: World| {
        let left = world.submit();
        let mut first = world.accept_request(0, &left).await;
        world
            .engine
            .handle_event(EngineEvent::ClientDisconnected(left.id));
        let mut again = world.submit();
        let mut second = world.accept_request(0, &again).await;
        respond(&mut first, &left, "200 OK", "the first").await;
        world.handle_next_event().await;
        assert!(awaits_reply(&mut again), "the first has no reader");
        respond(&mut second, &again, "200 OK", "the second").await;
        world.handle_next_event().await;
        assert_eq!(
            served_response(&mut again),
            Some((200, "the second".into()))
        );
        assert!(world.engine.requests.is_empty());
    };
    in_world(Effect::Safe, test).await;
}

#[tokio::test]
async fn safe_request_is_cancelled_when_its_client_disconnects() {
    let test = async |mut world: World| {
        world.allow_cancels(Effect::Safe);
        let left = world.submit();
        let mut stream = world.accept_request(0, &left).await;
        world
            .engine
            .handle_event(EngineEvent::ClientDisconnected(left.id));
        assert_eq!(
            stream.read(&mut [0; 1]).await.expect("an end"),
            0,
            "its connection is closed"
        );
        assert!(world.engine.requests.is_empty());
    };
    in_world(Effect::Safe, test).await;
}

#[tokio::test]
async fn unsafe_request_runs_to_its_end_when_its_client_disconnects() {
    let test = async |mut world: World| {
        world.allow_cancels(Effect::Unsafe);
        let left = world.submit();
        let mut stream = world.accept_request(0, &left).await;
        world
            .engine
            .handle_event(EngineEvent::ClientDisconnected(left.id));
        assert_eq!(world.engine.requests.len(), 1, "its attempt is out");
        respond(&mut stream, &left, "200 OK", "unread").await;
        world.handle_next_event().await;
        assert!(world.engine.requests.is_empty());
        // The connection is good for another.
        let next = world.submit();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            assert!(stream.read_buf(&mut head).await.expect("a head") > 0);
        }
        assert!(String::from_utf8_lossy(&head).contains(&format!("attempt-id: {}", next.id.0)));
    };
    in_world(Effect::Unsafe, test).await;
}

#[tokio::test]
async fn connection_opened_for_a_disconnected_client_is_reused() {
    let test = async |mut world: World| {
        world.allow_cancels(Effect::Safe);
        let left = world.submit();
        // Its attempt has had no turn yet.
        world
            .engine
            .handle_event(EngineEvent::ClientDisconnected(left.id));
        world.handle_next_event().await;
        assert!(world.engine.requests.is_empty());
        let next = world.submit();
        world.accept_request(0, &next).await;
        let another = timeout(Duration::ZERO, world.upstreams[0].accept()).await;
        assert!(another.is_err(), "a second connection");
    };
    in_world(Effect::Safe, test).await;
}

#[tokio::test]
async fn first_response_of_two_hedged_attempts_wins() {
    for first in [0, 1] {
        let test = async |mut world: World| {
            let mut waiting = world.submit();
            let one = world.accept_request(0, &waiting).await;
            world.list_upstreams(2);
            world.engine.services[0].hedging = true;
            world.engine.start_attempt(waiting.id, ServerId(1), Span(0));
            let two = world.accept_request(1, &waiting).await;
            let mut streams = [one, two];
            respond(&mut streams[first], &waiting, "200 OK", "the first").await;
            world.handle_next_event().await;
            assert_eq!(
                served_response(&mut waiting),
                Some((200, "the first".into()))
            );
            respond(&mut streams[1 - first], &waiting, "500 Oops", "the other").await;
            world.handle_next_event().await;
            assert!(world.engine.requests.is_empty());
        };
        in_world(Effect::Safe, test).await;
    }
}

#[tokio::test]
async fn cancel_that_crosses_with_the_response_is_ignored() {
    let test = async |mut world: World| {
        let mut waiting = world.submit();
        let mut stream = world.accept_request(0, &waiting).await;
        respond(&mut stream, &waiting, "200 OK", "own").await;
        let event = world.engine.events.recv().await.expect("its end");
        let cancel = Action::Cancel {
            request: waiting.id,
            attempt: 0,
        };
        world.engine.apply_action(0, cancel);
        world.engine.process_deferred();
        assert!(
            awaits_reply(&mut waiting),
            "the response had come before the cancel"
        );
        world.engine.handle_event(event);
        assert_eq!(served_response(&mut waiting), Some((200, "own".into())));
        assert!(world.engine.requests.is_empty());
    };
    in_world(Effect::Unsafe, test).await;
}

#[tokio::test]
async fn attempt_ends_only_once() {
    let test = async |mut world: World| {
        let mut waiting = world.submit();
        let _stream = world.accept_request(0, &waiting).await;
        // A second copy keeps the request in the table.
        world.list_upstreams(2);
        world.engine.services[0].hedging = true;
        world.engine.start_attempt(waiting.id, ServerId(1), Span(0));
        let mut second = world.accept_request(1, &waiting).await;
        world.engine.apply_action(
            0,
            Action::Cancel {
                request: waiting.id,
                attempt: 0,
            },
        );
        world.engine.process_deferred();
        let late = Response::new(Bytes::from_static(b"late"));
        let ended = AttemptResult {
            response: Some(late),
            ..AttemptResult::from_outcome(AttemptOutcome::Ok)
        };
        world.engine.handle_event(EngineEvent::AttemptEnded {
            id: waiting.id,
            attempt: 0,
            result: ended,
        });
        assert!(awaits_reply(&mut waiting), "it was cancelled");
        respond(&mut second, &waiting, "200 OK", "own").await;
        world.handle_next_event().await;
        assert_eq!(served_response(&mut waiting), Some((200, "own".into())));
    };
    in_world(Effect::Safe, test).await;
}

#[tokio::test]
async fn balancer_is_told_of_every_cancelled_attempt() {
    let test = async |mut world: World| {
        for _ in 0..100 {
            let waiting = world.submit();
            // An attempt that is not reported would occupy its upstream for good, and this would wait for ever.
            let _stream = world.accept_request(0, &waiting).await;
            world
                .engine
                .send_reply(waiting.id, EngineReply::Failed { timed_out: false });
            world.engine.apply_action(
                0,
                Action::Cancel {
                    request: waiting.id,
                    attempt: 0,
                },
            );
            world.engine.remove_request(waiting.id);
            world.engine.process_deferred();
            assert!(world.engine.requests.is_empty());
        }
    };
    in_world(Effect::Safe, test).await;
}

#[tokio::test]
async fn request_is_not_rejected_while_it_may_run() {
    let test = async |mut world: World| {
        let mut waiting = world.submit();
        let _stream = world.accept_request(0, &waiting).await;
        let refuse = Action::Reject {
            request: waiting.id,
            retry_after: Span(1),
        };
        world.engine.apply_action(0, refuse);
        assert!(matches!(
            waiting.reply.try_recv(),
            Ok(EngineReply::Failed { timed_out: false })
        ));
    };
    in_world(Effect::Unsafe, test).await;
}

#[tokio::test]
async fn response_after_the_deadline_is_dropped() {
    let test = async |mut world: World| {
        let mut waiting = world.submit();
        let mut stream = world.accept_request(0, &waiting).await;
        world.engine.on_deadline(waiting.id);
        assert!(matches!(
            waiting.reply.try_recv(),
            Ok(EngineReply::Failed { timed_out: true })
        ));
        assert_eq!(world.engine.requests.len(), 1, "its attempt is out");
        respond(&mut stream, &waiting, "200 OK", "late").await;
        world.handle_next_event().await;
        assert!(world.engine.requests.is_empty());
    };
    in_world(Effect::Unsafe, test).await;
}

#[tokio::test]
async fn shutdown_rejects_queued_requests_and_lets_running_ones_end() {
    let test = async |mut world: World| {
        // As many as its slots are out, and the others wait.
        let mut asked: Vec<Waiting> = (0..40).map(|_| world.submit()).collect();
        asked.retain(|waiting| world.engine.requests.contains_key(&waiting.id));
        let out: Vec<bool> = asked
            .iter()
            .map(|w| world.engine.requests[&w.id].unreported_attempts() > 0)
            .collect();
        assert!(out.contains(&true) && out.contains(&false));
        world.engine.handle_event(EngineEvent::ShutdownStarted);
        for (waiting, out) in asked.iter_mut().zip(&out) {
            let reply = waiting.reply.try_recv();
            let rejected = matches!(reply, Ok(EngineReply::Rejected { .. }));
            assert_eq!((rejected, reply.is_err()), (!out, *out));
        }
        let held = world.engine.requests.len();
        assert_eq!(
            held,
            out.iter().filter(|out| **out).count(),
            "nothing else is held"
        );
        let first = out.iter().position(|out| *out).expect("one is out");
        let mut stream = world.accept_request(0, &asked[first]).await;
        respond(&mut stream, &asked[first], "200 OK", "own").await;
        world.handle_next_event().await;
        assert_eq!(
            served_response(&mut asked[first]),
            Some((200, "own".into()))
        );
    };
    in_world(Effect::Unsafe, test).await;
}

/// In virtual time, so that the speed of the machine does not matter.
#[tokio::test]
async fn silent_upstream_times_out_right_before_the_deadline() {
    let test = async {
        let mut world = World::new(Effect::Unsafe).await;
        world.list_upstreams(1);
        let waiting = world.submit();
        let _stream = world.accept_request(0, &waiting).await;
        tokio::time::pause();
        tokio::task::spawn_local(world.engine.run());
        let reply = waiting.reply.await;
        assert!(matches!(reply, Ok(EngineReply::Failed { timed_out: true })));
        let left = waiting.deadline - Instant::now();
        assert!(left >= DEADLINE_MARGIN, "too late to arrive: {left:?}");
        assert!(left <= HEADROOM, "its upstream had time left: {left:?}");
    };
    LocalSet::new().run_until(test).await;
}

/// An upstream responds with this status after it has run the request.
async fn after_response(status: u16) -> (World, Waiting) {
    let mut world = World::new(Effect::Unsafe).await;
    world.list_upstreams(1);
    let waiting = world.submit();
    let mut stream = world.accept_request(0, &waiting).await;
    respond(&mut stream, &waiting, &format!("{status} Oops"), "its own").await;
    world.handle_next_event().await;
    (world, waiting)
}

#[tokio::test]
async fn upstream_error_keeps_status_and_seal() {
    let test = async {
        for status in [500, 502, 504] {
            let (_world, mut waiting) = after_response(status).await;
            assert_eq!(
                served_response(&mut waiting),
                Some((status, "its own".into()))
            );
        }
    };
    LocalSet::new()
        .run_until(timeout(TEST_TIMEOUT, test))
        .await
        .expect("in time");
}

#[tokio::test]
async fn status_that_implies_not_run_is_not_forwarded() {
    let test = async {
        for status in [408, 429, 503] {
            let (_world, mut waiting) = after_response(status).await;
            let reply = waiting.reply.try_recv();
            assert!(
                matches!(reply, Ok(EngineReply::Failed { timed_out: false })),
                "{status}"
            );
        }
    };
    LocalSet::new()
        .run_until(timeout(TEST_TIMEOUT, test))
        .await
        .expect("in time");
}
