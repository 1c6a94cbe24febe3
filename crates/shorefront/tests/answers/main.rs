//! Checks with whole processes that each client gets the response to its own request. Clients send and abandon
//! requests, upstreams misbehave, and balancers are shut down and killed meanwhile. Every response is compared with
//! what the upstreams ran.

mod answer;
mod client;
#[path = "../common/mod.rs"]
mod common;
mod fleet;
mod upstream;

use std::io::Write;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::Ordering::Relaxed;
use std::thread;
use std::time::{Duration, Instant};

use answer::{Response, assert_nothing_unread, read_response};
use client::{Tally, run_clients};
use common::http_client::connect;
use fleet::{Fleet, Stop};

const BALANCERS: usize = 3;
const CLIENTS: usize = 8;
/// Minimum number of served requests; the clients go on until all restarts are done.
const MIN_SERVED: usize = 5000;
/// Time limit for each number of served requests to be reached.
const TIME_LIMIT: Duration = Duration::from_secs(180);

fn wait_until_served(tally: &Tally, count: usize) {
    let started = Instant::now();
    while tally.served.load(Relaxed) < count {
        assert!(!tally.should_stop.load(Relaxed), "a client has failed");
        assert!(
            started.elapsed() < TIME_LIMIT,
            "too few requests were served"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn responses_match_their_own_run_and_mutating_requests_run_at_most_once() {
    let mut fleet = Fleet::start("answers", BALANCERS);
    let (tally, addresses, runs) = (Tally::default(), fleet.http.clone(), fleet.runs.clone());
    let requests = thread::scope(|scope| {
        let clients = run_clients(scope, CLIENTS, &addresses, &runs, &tally);
        // A panic is caught, so that the clients are told to stop in any case.
        let restarts = catch_unwind(AssertUnwindSafe(|| {
            wait_until_served(&tally, MIN_SERVED / 4);
            fleet.restart(0, Stop::Terminate);
            wait_until_served(&tally, MIN_SERVED / 2);
            fleet.restart(1, Stop::Kill);
            fleet.restart(2, Stop::Terminate);
            wait_until_served(&tally, MIN_SERVED);
        }));
        tally.should_stop.store(true, Relaxed);
        let requests: Vec<_> = clients
            .into_iter()
            .flat_map(|c| c.join().expect("a client that does not fail"))
            .collect();
        restarts.expect("restarted");
        requests
    });
    // Once the balancers have ended, no request in flight can run any more.
    fleet.stop_all();
    for request in &requests {
        let (id, count) = (&request.id, runs.of(&request.id).len());
        assert!(!request.is_mutating || count <= 1, "{id} ran {count} times");
        let contradicts_response = request.is_mutating && request.is_reported_not_run && count > 0;
        assert!(
            !contradicts_response,
            "{id} ran, although its response said that it had not"
        );
    }
    println!("{} requests: {tally:?}", requests.len());
}

/// Sends one request without a body, and returns the response. `plan` says how the upstream responds.
fn send_request(fleet: &Fleet, request_line: &str, plan: &str, has_body: bool) -> Response {
    let mut stream = connect(fleet.http[0]).expect("reachable");
    let headers = "Host: h\r\nAttempt-Id: a-1\r\nDeadline-Ms: 15000\r\nSize: 9";
    write!(
        stream,
        "{request_line}\r\n{headers}\r\nPlan: {plan}\r\n\r\n"
    )
    .expect("sent");
    let response = read_response(&mut stream, has_body).expect("a response");
    assert_nothing_unread(&stream);
    response
}

/// Checks that headers for one hop, or for the balancer only, are not forwarded to the client.
fn check_hop_by_hop_headers(fleet: &Fleet, seal: &str) {
    let plan = format!(
        "raw HTTP/1.1 200 OK|{seal}Connection: close, X-Hop|X-Hop: 1|Keep-Alive: timeout=5|\
         Upstream-Load: 1,0,8|X-Own: 1|Transfer-Encoding: chunked||3|own|0||"
    );
    let response = send_request(fleet, "GET /i/x HTTP/1.1", &plan, true);
    assert_eq!((response.status, &response.body[..]), (200, &b"own"[..]));
    assert_eq!(response.header("x-own"), Some("1"));
    assert_eq!(response.header("attempt-id"), Some("a-1"));
    for name in [
        "connection",
        "x-hop",
        "keep-alive",
        "upstream-load",
        "transfer-encoding",
    ] {
        assert_eq!(response.header(name), None, "{name}");
    }
    // An HTTP/1.0 client gets the same response in its own protocol version, and its connection is closed.
    let response = send_request(fleet, "GET /i/x HTTP/1.0", &plan, true);
    assert!(response.head.starts_with("HTTP/1.0 200"), "{response:?}");
    assert_eq!(response.body, b"own");
}

/// Checks responses without a body, with and without the length that the body would have.
fn check_responses_without_body(fleet: &Fleet, seal: &str) {
    let plan = format!("raw HTTP/1.1 200 OK|{seal}Content-Length: 100||");
    let response = send_request(fleet, "HEAD /i/x HTTP/1.1", &plan, false);
    assert_eq!(
        (response.status, response.header("content-length")),
        (200, Some("100"))
    );
    for status in [204, 304] {
        let plan = format!("raw HTTP/1.1 {status} Bare|{seal}|");
        let response = send_request(fleet, "GET /i/x HTTP/1.1", &plan, false);
        assert_eq!(
            (response.status, response.header("content-length")),
            (status, None)
        );
        assert_eq!(response.header("upstream-seal"), Some("s"));
    }
}

#[test]
fn response_is_forwarded_as_its_upstream_sent_it() {
    let fleet = Fleet::start("wire", 1);
    let seal = "Attempt-Id: {id}|Upstream-Seal: s|";
    check_hop_by_hop_headers(&fleet, seal);
    check_responses_without_body(&fleet, seal);
    // An error of the upstream keeps its status and seal. One of the balancer has no seal.
    for (plan, status, is_sealed) in [("error", 500, true), ("unproven-rejection", 502, false)] {
        let response = send_request(&fleet, "POST /m/x HTTP/1.1", plan, true);
        assert_eq!(
            (response.status, response.header("upstream-seal").is_some()),
            (status, is_sealed)
        );
    }
    // A route whose deadline exceeds any clock value.
    let mut stream = connect(fleet.http[0]).expect("reachable");
    let sent = stream.write_all(b"GET /endless/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-2\r\n\r\n");
    sent.expect("sent");
    let status = read_response(&mut stream, true).map(|response| response.status);
    assert_eq!(status, Some(200));
    // A successful response to CONNECT would have no end but that of the connection.
    let response = send_request(&fleet, "CONNECT /m/x HTTP/1.1", "plain", true);
    assert_eq!(response.status, 400);
}
