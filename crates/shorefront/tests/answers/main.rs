//! Whose answer a client gets, over processes: balancers between clients that come, abandon their requests and come
//! again, and upstreams that misbehave, while balancers are stopped and killed. Every answer is compared with what its
//! upstream ran.

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

use answer::{Answer, assert_nothing_unread, read_answer};
use client::{Tally, run_clients};
use common::http_client::connect;
use fleet::{Fleet, Stop};

const BALANCERS: usize = 3;
const CLIENTS: usize = 8;
/// So many answers are compared at least, and more until all restarts are done.
const MIN_SERVED: usize = 5000;
/// Longest wait for all of it.
const TIME_LIMIT: Duration = Duration::from_secs(180);

fn wait_until_served(tally: &Tally, count: usize) {
    let started = Instant::now();
    while tally.served.load(Relaxed) < count {
        assert!(!tally.is_over.load(Relaxed), "a client saw a fault");
        assert!(started.elapsed() < TIME_LIMIT, "too few are served");
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn each_answer_is_of_its_own_run_and_nothing_runs_twice_or_after_a_promise() {
    let mut fleet = Fleet::start("answers", BALANCERS);
    let (tally, addresses, runs) = (Tally::default(), fleet.http.clone(), fleet.runs.clone());
    let requests = thread::scope(|scope| {
        let clients = run_clients(scope, CLIENTS, &addresses, &runs, &tally);
        // Whatever fails, the clients end.
        let restarts = catch_unwind(AssertUnwindSafe(|| {
            wait_until_served(&tally, MIN_SERVED / 4);
            fleet.restart(0, Stop::Terminate);
            wait_until_served(&tally, MIN_SERVED / 2);
            fleet.restart(1, Stop::Kill);
            fleet.restart(2, Stop::Terminate);
            wait_until_served(&tally, MIN_SERVED);
        }));
        tally.is_over.store(true, Relaxed);
        let requests: Vec<_> = clients
            .into_iter()
            .flat_map(|c| c.join().expect("no client saw a fault"))
            .collect();
        restarts.expect("restarted");
        requests
    });
    // What is still under way when its balancer ends does not run after that.
    fleet.stop_all();
    for request in &requests {
        let (id, count) = (&request.id, runs.of(&request.id).len());
        assert!(!request.is_mutating || count <= 1, "{id} ran {count} times");
        let is_broken = request.is_mutating && request.is_promised_not_to_run && count > 0;
        assert!(!is_broken, "{id} ran, and was promised not to");
    }
    println!("{} requests: {tally:?}", requests.len());
}

/// Sends one request without a body. `plan` says how the upstream answers.
fn ask(fleet: &Fleet, request_line: &str, plan: &str, has_body: bool) -> Answer {
    let mut stream = connect(fleet.http[0]).expect("reachable");
    let headers = "Host: h\r\nAttempt-Id: a-1\r\nDeadline-Ms: 15000\r\nSize: 9";
    write!(
        stream,
        "{request_line}\r\n{headers}\r\nPlan: {plan}\r\n\r\n"
    )
    .expect("sent");
    let answer = read_answer(&mut stream, has_body).expect("an answer");
    assert_nothing_unread(&stream);
    answer
}

/// What concerns one connection, or the balancer alone, stays between the balancer and the upstream.
fn check_hop_by_hop_headers(fleet: &Fleet, seal: &str) {
    let plan = format!(
        "raw HTTP/1.1 200 OK|{seal}Connection: close, X-Hop|X-Hop: 1|Keep-Alive: timeout=5|\
         Upstream-Load: 1,0,8|X-Own: 1|Transfer-Encoding: chunked||3|own|0||"
    );
    let answer = ask(fleet, "GET /i/x HTTP/1.1", &plan, true);
    assert_eq!((answer.status, &answer.body[..]), (200, &b"own"[..]));
    assert_eq!(answer.header("x-own"), Some("1"));
    assert_eq!(answer.header("attempt-id"), Some("a-1"));
    for name in [
        "connection",
        "x-hop",
        "keep-alive",
        "upstream-load",
        "transfer-encoding",
    ] {
        assert_eq!(answer.header(name), None, "{name}");
    }
    // A client of HTTP/1.0 gets the same, and that its connection ends.
    let answer = ask(fleet, "GET /i/x HTTP/1.0", &plan, true);
    assert!(answer.head.starts_with("HTTP/1.0 200"), "{answer:?}");
    assert_eq!(answer.body, b"own");
}

/// Answers without a body, with or without the length that one would have.
fn check_answers_without_body(fleet: &Fleet, seal: &str) {
    let plan = format!("raw HTTP/1.1 200 OK|{seal}Content-Length: 100||");
    let answer = ask(fleet, "HEAD /i/x HTTP/1.1", &plan, false);
    assert_eq!(
        (answer.status, answer.header("content-length")),
        (200, Some("100"))
    );
    for status in [204, 304] {
        let plan = format!("raw HTTP/1.1 {status} Bare|{seal}|");
        let answer = ask(fleet, "GET /i/x HTTP/1.1", &plan, false);
        assert_eq!(
            (answer.status, answer.header("content-length")),
            (status, None)
        );
        assert_eq!(answer.header("upstream-seal"), Some("s"));
    }
}

#[test]
fn an_answer_reaches_its_client_as_its_upstream_meant_it() {
    let fleet = Fleet::start("wire", 1);
    let seal = "Attempt-Id: {id}|Upstream-Seal: s|";
    check_hop_by_hop_headers(&fleet, seal);
    check_answers_without_body(&fleet, seal);
    // An error bears its upstream's own status and seal, or is the balancer's and bears none.
    for (plan, status, is_sealed) in [("error", 500, true), ("unpromised", 502, false)] {
        let answer = ask(&fleet, "POST /m/x HTTP/1.1", plan, true);
        assert_eq!(
            (answer.status, answer.header("upstream-seal").is_some()),
            (status, is_sealed)
        );
    }
    // A deadline beyond any clock.
    let mut stream = connect(fleet.http[0]).expect("reachable");
    let sent = stream.write_all(b"GET /endless/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-2\r\n\r\n");
    sent.expect("sent");
    let status = read_answer(&mut stream, true).map(|answer| answer.status);
    assert_eq!(status, Some(200));
    // A success to CONNECT would end where its connection ends.
    let answer = ask(&fleet, "CONNECT /m/x HTTP/1.1", "plain", true);
    assert_eq!(answer.status, 400);
}
