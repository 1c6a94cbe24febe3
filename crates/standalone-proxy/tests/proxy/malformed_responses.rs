//! Upstreams that send malformed responses, or more bytes than belong to a response.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::channel;

use crate::harness::*;
use serde_json::json;

const GOOD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";

/// Starts an upstream that responds to request `r1` with this text, and to all others with a valid response.
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
        // The upstream keeps the connection open, and the deadline is ten minutes away, so only the malformed response
        // can have ended the request.
        let response = proxy.client().request(&unsafe_request("r1", 600_000, "x"));
        assert_eq!(response.status(), 502, "{}", &text[..40.min(text.len())]);
        assert_eq!(
            proxy
                .client()
                .request(&unsafe_request("r2", 6000, "x"))
                .body,
            b"own"
        );
        assert_eq!(
            upstream.requests_so_far(),
            2,
            "an unsafe request that may have been executed was retried"
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
    let response = proxy.client().request(&unsafe_request("r1", 6000, "x"));
    assert_eq!(response.status(), 200);
    assert!(response.body == large.as_bytes());
}

#[test]
fn accepts_informational_responses_and_invalid_load_reports() {
    let informational =
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    let invalid_load = GOOD.replacen(
        "\r\n",
        "\r\nX-Load: TEXT eps=-1, qps=1e999, inflight=\x01\r\n",
        1,
    );
    for text in [
        format!("{informational}{GOOD}"),
        invalid_load.replace('\x01', "x"),
    ] {
        let upstream = upstream_whose_first_response(text);
        let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
        assert_eq!(
            proxy
                .client()
                .request(&unsafe_request("r1", 6000, "x"))
                .body,
            b"good"
        );
    }
}

#[test]
fn discards_extra_bytes_sent_with_a_response() {
    for extra in [GOOD, "\x07noise", "\r\n"] {
        let upstream = upstream_whose_first_response(format!("{GOOD}{extra}"));
        let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
        let mut client = proxy.client();
        assert_eq!(
            client.request(&unsafe_request("r1", 6000, "x")).body,
            b"good"
        );
        assert_eq!(
            client.request(&unsafe_request("r2", 6000, "x")).body,
            b"own",
            "{extra:?}"
        );
    }
}

#[test]
fn discards_extra_bytes_sent_after_a_response() {
    let (release, released) = channel();
    let released = Arc::new(Mutex::new(released));
    let upstream = Upstream::start(move |m| match m.header("x-request-id") {
        "r1" => UpstreamBehavior::RespondTwice(GOOD.to_string(), released.clone()),
        _ => ok("own"),
    });
    let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
    let mut client = proxy.client();
    assert_eq!(
        client.request(&unsafe_request("r1", 6000, "x")).body,
        b"good"
    );
    // The second copy and the next request arrive while the proxy is stopped, so that it sees both at the same time.
    proxy.signal("STOP");
    release.send(()).expect("the upstream is waiting");
    client.send(&unsafe_request("r2", 6000, "x"));
    while !matches!(
        upstream.events.recv_timeout(EVENT_TIMEOUT),
        Ok(UpstreamEvent::WroteAgain)
    ) {}
    proxy.signal("CONT");
    assert_eq!(client.response().expect("a response").body, b"own");
}
