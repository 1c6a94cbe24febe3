//! Upstreams whose answers are malformed, or bring more than belongs to them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::channel;

use crate::harness::*;
use serde_json::json;

const GOOD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";

/// An upstream that answers `r1` in this way, and what comes after it properly.
fn upstream_whose_first_response(text: String) -> Upstream {
    Upstream::start(move |m| match m.header("x-request-id") {
        "r1" => UpstreamBehavior::Respond(text.clone()),
        _ => ok("own"),
    })
}

#[test]
fn fails_at_once_on_a_malformed_response() {
    let malformed = [
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand then".to_string(),
        "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ngood".to_string(),
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ngood!".to_string(),
        "\x07\x07noise\r\n\r\n".to_string(),
        format!("HTTP/1.1 200 OK\r\nX-More: {}", "x".repeat(40_000)),
        format!("HTTP/1.1 200 OK\r\n{}", "X-More: x\r\n".repeat(200)),
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}",
            format!("1000\r\n{}\r\n", "x".repeat(4096)).repeat(300)
        ),
    ];
    for text in malformed {
        let upstream = upstream_whose_first_response(text.clone());
        let mut config = config(&serving_entries(&[&upstream]));
        config["settings"]["Services"][2]["Deadline"] = json!(600_000.0);
        let proxy = Proxy::start(&config);
        // The connection stays open: the deadline, in ten minutes, would have ended it otherwise.
        let answer = proxy.client().ask(&unsafe_request("r1", 600_000, "x"));
        assert_eq!(answer.status(), 502, "{}", &text[..40.min(text.len())]);
        assert_eq!(
            proxy.client().ask(&unsafe_request("r2", 6000, "x")).body,
            b"own"
        );
        assert_eq!(
            upstream.requests_so_far(),
            2,
            "an unsafe request that may have run went again"
        );
    }
}

#[test]
fn forwards_a_large_response_whole() {
    let large = "large".repeat(80_000);
    let upstream = upstream_whose_first_response(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n{large}"
    ));
    let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
    let answer = proxy.client().ask(&unsafe_request("r1", 6000, "x"));
    assert_eq!(answer.status(), 200);
    assert!(answer.body == large.as_bytes());
}

#[test]
fn accepts_informational_responses_and_odd_load_reports() {
    let ahead = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    let load = GOOD.replacen(
        "\r\n",
        "\r\nX-Load: TEXT eps=-1, qps=1e999, inflight=\x01\r\n",
        1,
    );
    for text in [format!("{ahead}{GOOD}"), load.replace('\x01', "x")] {
        let upstream = upstream_whose_first_response(text);
        let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
        assert_eq!(
            proxy.client().ask(&unsafe_request("r1", 6000, "x")).body,
            b"good"
        );
    }
}

#[test]
fn discards_bytes_behind_a_response() {
    for more in [GOOD, "\x07noise", "\r\n"] {
        let upstream = upstream_whose_first_response(format!("{GOOD}{more}"));
        let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
        let mut client = proxy.client();
        assert_eq!(client.ask(&unsafe_request("r1", 6000, "x")).body, b"good");
        assert_eq!(
            client.ask(&unsafe_request("r2", 6000, "x")).body,
            b"own",
            "{more:?}"
        );
    }
}

#[test]
fn discards_bytes_that_come_after_a_response() {
    let (go, waits) = channel();
    let waits = Arc::new(Mutex::new(waits));
    let upstream = Upstream::start(move |m| match m.header("x-request-id") {
        "r1" => UpstreamBehavior::RespondTwice(GOOD.to_string(), waits.clone()),
        _ => ok("own"),
    });
    let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
    let mut client = proxy.client();
    assert_eq!(client.ask(&unsafe_request("r1", 6000, "x")).body, b"good");
    // The copy and the next request are there at the same moment.
    proxy.signal("STOP");
    go.send(()).expect("the upstream waits");
    client.send(&unsafe_request("r2", 6000, "x"));
    while !matches!(
        upstream.seen.recv_timeout(EVENT_TIMEOUT),
        Ok(UpstreamEvent::Wrote)
    ) {}
    proxy.signal("CONT");
    assert_eq!(client.answer().expect("an answer").body, b"own");
}
