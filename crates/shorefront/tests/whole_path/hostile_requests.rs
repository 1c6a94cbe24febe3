//! Requests that are deliberately malformed.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr};

use serde_json::json;

use crate::common::http_client::{connect, exchange_bytes};
use crate::system::System;

/// Headers that a valid request needs.
const HEADERS: &str = "Host: h\r\nAttempt-Id: 1\r\nDeadline-Ms: 4000\r\n";

/// Returns a request that must not be recognized inside another one.
fn smuggled_request() -> String {
    format!("GET /p/evil HTTP/1.1\r\n{HEADERS}\r\n")
}

fn post(more_headers: &str, body: &str) -> String {
    format!("POST /p/x HTTP/1.1\r\n{HEADERS}{more_headers}\r\n{body}")
}

/// A malformed request. `statuses` are those that the response may have; an empty one stands for a close without a
/// response.
struct Case {
    name: &'static str,
    sent: String,
    statuses: &'static [&'static str],
}

fn case(name: &'static str, sent: String, statuses: &'static [&'static str]) -> Case {
    Case {
        name,
        sent,
        statuses,
    }
}

fn framing_cases() -> Vec<Case> {
    let evil = smuggled_request();
    let coding = |coding: &str, body: &str| post(&format!("Transfer-Encoding: {coding}\r\n"), body);
    vec![
        case(
            "two lengths",
            post("Content-Length: 4\r\nContent-Length: 5\r\n", "abcde"),
            &["400"],
        ),
        case(
            "an invalid length",
            post("Content-Length: 4x\r\n", "abcd"),
            &["400"],
        ),
        case(
            "an unknown coding",
            coding("xchunked", &evil),
            &["400", "501"],
        ),
        case(
            "chunked is not the last coding",
            coding("chunked, identity", &format!("0\r\n\r\n{evil}")),
            &["400", "501"],
        ),
        case(
            "a broken chunk",
            coding("chunked", &format!("zz\r\n{evil}")),
            &["400"],
        ),
        case(
            "a chunk length that overflows",
            coding("chunked", "fffffffffffffffff\r\nabc"),
            &["400"],
        ),
    ]
}

fn header_cases() -> Vec<Case> {
    vec![
        case(
            "a folded line",
            post("X: a\r\n folded: b\r\n", ""),
            &["400"],
        ),
        case("a space before the colon", post("X : a\r\n", ""), &["400"]),
        case("a NUL in a name", post("X\0: a\r\n", ""), &["400"]),
        case(
            "no host",
            "GET /p/x HTTP/1.1\r\nAttempt-Id: 1\r\n\r\n".into(),
            &["400"],
        ),
        case(
            "two hosts",
            format!("GET /p/x HTTP/1.1\r\nHost: i\r\n{HEADERS}\r\n"),
            &["400"],
        ),
        case(
            "a target with an authority",
            format!("GET http://h/p/x HTTP/1.1\r\n{HEADERS}\r\n"),
            &["400"],
        ),
        case(
            "not HTTP",
            "\x16\x03\x01\x02\x00\x01\r\n\r\n".into(),
            &["400"],
        ),
        case(
            "an invalid deadline",
            "GET /p/x HTTP/1.1\r\nHost: h\r\nDeadline-Ms: soon\r\n\r\n".into(),
            &["400"],
        ),
    ]
}

fn limit_cases() -> Vec<Case> {
    let long = "x".repeat(20_000);
    vec![
        case(
            "a head too long",
            post(&format!("X: {long}\r\n"), ""),
            &["431"],
        ),
        case(
            "a body too long",
            post("Content-Length: 1001\r\n", &long[..1001]),
            &["413"],
        ),
        case(
            "a chunked body too long",
            post(
                "Transfer-Encoding: chunked\r\n",
                &format!("3ff\r\n{}\r\n0\r\n\r\n", &long[..1023]),
            ),
            &["413"],
        ),
        case(
            "a head that never ends",
            format!("GET /p/x HTTP/1.1\r\n{HEADERS}"),
            &["408", ""],
        ),
    ]
}

/// Checks that a request whose body is truncated gets an error or no response.
fn check_truncated_body(http: SocketAddr) {
    let mut stream = connect(http).expect("reachable");
    stream
        .write_all(post("Content-Length: 10\r\n", "abc").as_bytes())
        .expect("sent");
    stream.shutdown(Shutdown::Write).expect("shut");
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response);
    assert!(
        response.is_empty() || response.starts_with("HTTP/1.1 400"),
        "{response:?}"
    );
}

/// Checks that `Transfer-Encoding` overrides `Content-Length`, and that nothing after the body is taken for a request.
fn check_length_beside_coding(system: &System) {
    let both = post(
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "0\r\n\r\n",
    );
    let sent = both + &smuggled_request();
    let response = exchange_bytes(system.http, sent.as_bytes());
    assert_eq!(response.matches("HTTP/1.1 ").count(), 1, "{response:?}");
    let lines = system.request_lines();
    assert!(
        !lines.iter().any(|l| l.contains("evil")),
        "smuggled: {lines:?}"
    );
}

/// Checks that pipelined requests each get one response, in order.
fn check_pipelined_requests(system: &System) {
    let request = |n: u32, more: &str| format!("GET /p/{n} HTTP/1.1\r\n{HEADERS}{more}\r\n");
    let sent = [
        request(1, ""),
        request(2, ""),
        request(3, "Connection: close\r\n"),
    ]
    .concat();
    let response = exchange_bytes(system.http, sent.as_bytes());
    assert_eq!(response.matches("HTTP/1.1 200").count(), 3, "{response:?}");
    let mut lines = system.request_lines();
    lines.retain(|l| l.starts_with("GET /p/"));
    assert_eq!(
        lines,
        [
            "GET /p/1 HTTP/1.1",
            "GET /p/2 HTTP/1.1",
            "GET /p/3 HTTP/1.1"
        ]
    );
}

#[test]
fn hostile_requests_get_an_error_or_a_close_and_reach_no_upstream() {
    let system = System::start("hostile");
    system.configure(&json!({"rev": 5, "services": [{"name": "one"}],
        "routes": [{"name": "r", "host": "h", "path_prefix": "/p/", "type": "idempotent",
            "deadline_ms": 5000, "target_ms": 1000, "svc": "one", "tries": 2}],
        "limits": {"max_header_bytes": 8192, "max_body_bytes": 1000,
            "header_timeout_ms": 700, "idle_timeout_ms": 1500}}));
    let cases = [framing_cases(), header_cases(), limit_cases()];
    for case in cases.iter().flatten() {
        let response = exchange_bytes(system.http, case.sent.as_bytes());
        let status = response.split(' ').nth(1).unwrap_or("");
        assert!(
            case.statuses.contains(&status),
            "{}: {response:?}",
            case.name
        );
    }
    check_truncated_body(system.http);
    assert_eq!(
        system.request_lines(),
        Vec::<String>::new(),
        "a malformed request reached an upstream"
    );
    check_length_beside_coding(&system);
    check_pipelined_requests(&system);
}
