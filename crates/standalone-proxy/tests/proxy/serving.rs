//! Request handling, retries, discovery, draining, shutdown and startup errors.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::harness::*;
use serde_json::json;

#[test]
fn forwards_requests_and_responses_unchanged() {
    let upstream = Upstream::start(|_| ok("done"));
    let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
    let response = proxy.client().request(
        "POST /api?x=1%20y HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: r1\r\nX-Class: log\r\n\
         Idempotency-Key: k1\r\nX-Deadline-Ms: 5000\r\nContent-Length: 5\r\n\r\nhello",
    );
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, &b"done"[..])
    );
    let (_, forwarded) = upstream.next_request();
    assert_eq!(forwarded.start_line, "POST /api?x=1%20y HTTP/1.1");
    assert_eq!(forwarded.body, b"hello");
    assert_eq!(
        (
            forwarded.header("x-request-id"),
            forwarded.header("idempotency-key")
        ),
        ("r1", "k1")
    );
    let remaining_ms: u64 = forwarded
        .header("x-deadline-ms")
        .parse()
        .expect("whole milliseconds");
    assert!(
        remaining_ms > 0 && remaining_ms < 5000,
        "the upstream got {remaining_ms} ms instead of the remaining time"
    );
}

#[test]
fn rejects_malformed_requests_without_an_upstream() {
    let upstream = Upstream::start(|_| ok(""));
    let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
    let head = "Host: a\r\nX-Request-Id: r\r\n";
    let deadline = "X-Deadline-Ms: 5000\r\n";
    let class = "X-Class: read\r\n";
    let invalid = [
        format!("GET /api HTTP/1.1\r\n{head}X-Class: none\r\n{deadline}\r\n"),
        format!("GET /api HTTP/1.1\r\n{head}{deadline}\r\n"),
        format!("GET /api HTTP/1.1\r\n{head}{class}\r\n"),
        format!("GET /api HTTP/1.1\r\n{head}{class}X-Deadline-Ms: soon\r\n\r\n"),
        format!("GET /api HTTP/1.1\r\n{head}{class}X-Deadline-Ms: 0\r\n\r\n"),
        format!("GET /api HTTP/1.1\r\n{head}{class}X-Deadline-Ms: -3\r\n\r\n"),
        format!("GET /api HTTP/1.1\r\nHost: a\r\n{class}{deadline}\r\n"),
        format!("POST /api HTTP/1.1\r\n{head}{class}{deadline}Content-Length: 0\r\n\r\n"),
        format!("GET /api HTTP/1.1\r\n{head}X-Class: alarm\r\n{deadline}\r\n"),
        format!("POST /api HTTP/1.1\r\n{head}X-Class: log\r\n{deadline}Content-Length: 0\r\n\r\n"),
    ];
    for text in invalid {
        let short: String = text.chars().take(160).collect();
        assert_eq!(proxy.client().request(&text).status(), 400, "{short}");
    }
    assert_eq!(
        proxy
            .client()
            .request("GET /other HTTP/1.1\r\nHost: a\r\n\r\n")
            .status(),
        404
    );
    assert_eq!(
        proxy
            .client()
            .request("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            .status(),
        200
    );
    assert_eq!(upstream.requests_so_far(), 0);
    let long = "x".repeat((64 << 10) + 1);
    assert_eq!(
        proxy
            .client()
            .request(&unsafe_request("r", 5000, &long))
            .status(),
        413
    );
    let whole = "x".repeat(64 << 10);
    assert_eq!(
        proxy
            .client()
            .request(&unsafe_request("r", 5000, &whole))
            .status(),
        200
    );
}

#[test]
fn is_ready_once_there_is_an_upstream() {
    let proxy = Proxy::start(&config(&[]));
    let mut client = proxy.client();
    let ready = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    assert_eq!(client.request(ready).status(), 503);
    let upstream = Upstream::start(|_| ok(""));
    let (_, mut watch) = proxy.discovery.watch();
    let list = json!({"revision": 42, "complete": true, "members": serving_entries(&[&upstream])});
    send_chunk(&mut watch, &format!("{list}\n"));
    let start = Instant::now();
    while client.request(ready).status() != 200 {
        assert!(
            start.elapsed() < EVENT_TIMEOUT,
            "not ready despite an upstream"
        );
    }
}

/// Starts two upstreams. The first request to either gets this behavior, every later one a valid response.
fn pair_whose_first_request(behavior: &UpstreamBehavior) -> (Upstream, Upstream) {
    let requests = Arc::new(AtomicUsize::new(0));
    let start = || {
        let (requests, behavior) = (requests.clone(), behavior.clone());
        Upstream::start(move |_| match requests.fetch_add(1, Ordering::SeqCst) {
            0 => behavior.clone(),
            _ => ok("second"),
        })
    };
    (start(), start())
}

fn requests_at(pair: &(Upstream, Upstream)) -> usize {
    pair.0.requests_so_far() + pair.1.requests_so_far()
}

#[test]
fn retries_an_unsafe_request_that_was_rejected() {
    for status in ["503 Service Unavailable", "504 Gateway Timeout"] {
        let pair = pair_whose_first_request(&empty_response_with(status, "X-Not-Run: 1\r\n"));
        let proxy = Proxy::start(&config(&serving_entries(&[&pair.0, &pair.1])));
        let response = proxy.client().request(&unsafe_request("r1", 5000, "x"));
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, &b"second"[..])
        );
        assert_eq!(requests_at(&pair), 2);
    }
}

#[test]
fn never_retries_an_unsafe_request_that_may_have_run() {
    let may_have_run = [
        empty_response_with("503 Service Unavailable", ""),
        empty_response_with("504 Gateway Timeout", ""),
        empty_response_with("500 Internal Server Error", "X-Not-Run: 1\r\n"),
        UpstreamBehavior::RespondAndClose(String::new()),
        // Truncated: must not count as a response.
        UpstreamBehavior::RespondAndClose(
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_string(),
        ),
    ];
    for behavior in may_have_run {
        let pair = pair_whose_first_request(&behavior);
        let proxy = Proxy::start(&config(&serving_entries(&[&pair.0, &pair.1])));
        assert_eq!(
            proxy
                .client()
                .request(&unsafe_request("r1", 5000, "x"))
                .status(),
            502
        );
        assert_eq!(requests_at(&pair), 1);
    }
}

#[test]
fn retries_after_a_refused_connection() {
    let dead = TcpListener::bind("127.0.0.1:0")
        .expect("a port")
        .local_addr()
        .expect("an address");
    let upstream = Upstream::start(|_| ok("served"));
    let both = [
        entry_of("s-0", dead, "SERVING"),
        entry_of("s-1", upstream.address, "SERVING"),
    ];
    let proxy = Proxy::start(&config(&both));
    for id in ["r1", "r2", "r3"] {
        assert_eq!(
            proxy
                .client()
                .request(&unsafe_request(id, 5000, "x"))
                .status(),
            200
        );
    }
}

#[test]
fn times_out_a_silent_upstream_at_the_deadline() {
    let upstream = Upstream::start(|_| UpstreamBehavior::Hang);
    let mut config = config(&serving_entries(&[&upstream]));
    config["settings"]["Services"][2]["Deadline"] = json!(600_000.0);
    let proxy = Proxy::start(&config);
    // The latency target is later than this deadline, and the deadline of the class is ten minutes, so only the
    // deadline of the request can have ended it. A test of the data plane's engine checks how long before the deadline
    // that is.
    let response = proxy.client().request(&unsafe_request("r1", 1500, "x"));
    assert_eq!(response.status(), 504);
    // The connection cannot be reused, and is closed.
    let start = Instant::now();
    while !matches!(
        upstream.events.recv_timeout(EVENT_TIMEOUT),
        Ok(UpstreamEvent::Closed)
    ) {
        assert!(
            start.elapsed() < EVENT_TIMEOUT,
            "the connection was not closed"
        );
    }
}

#[test]
fn a_late_response_is_not_sent_to_another_client() {
    let (release, released) = channel();
    let released = Arc::new(Mutex::new(released));
    let upstream = Upstream::start(move |m| match m.header("x-request-id") {
        "r1" => UpstreamBehavior::RespondLater(released.clone()),
        _ => ok("own"),
    });
    let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
    let mut leaving = proxy.client();
    leaving.send(&safe_request("r1", 5000));
    let (first, _) = upstream.next_request();
    drop(leaving);
    // The upstream's only slot is still in use, so the second request waits for the end of the first.
    let mut staying = proxy.client();
    staying.send(&safe_request("r2", 5000));
    release.send(()).expect("the upstream is waiting");
    let response = staying.response().expect("a response");
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, &b"own"[..])
    );
    let (second, _) = upstream.next_request();
    assert_eq!(first, second, "the reusable connection was not kept");
}

#[test]
fn does_not_use_a_connection_that_the_upstream_closed() {
    // The close and the next request happen while the proxy is stopped, in either order, so that it sees both at the
    // same time.
    for close_first in [true, false] {
        let (release, released) = channel();
        let released = Arc::new(Mutex::new(released));
        let upstream = Upstream::start(move |m| match m.header("x-request-id") {
            "r1" => UpstreamBehavior::RespondThenClose(
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".to_string(),
                released.clone(),
            ),
            _ => ok("ok"),
        });
        let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
        let mut client = proxy.client();
        assert_eq!(
            client.request(&unsafe_request("r1", 5000, "x")).status(),
            200
        );
        let (connection, _) = upstream.next_request();
        let close = || {
            release.send(()).expect("the upstream is waiting");
            while !matches!(
                upstream.events.recv_timeout(EVENT_TIMEOUT),
                Ok(UpstreamEvent::Closed)
            ) {}
            wait_for_delivered_close(connection);
        };
        proxy.signal("STOP");
        if close_first {
            close();
        }
        client.send(&unsafe_request("r2", 5000, "x"));
        if !close_first {
            close();
        }
        proxy.signal("CONT");
        assert_eq!(
            client.response().expect("a response").status(),
            200,
            "{close_first}"
        );
    }
}

#[test]
fn closes_idle_connections_before_the_upstream_does() {
    let upstream = Upstream::start(|_| ok("ok"));
    let mut config = config(&serving_entries(&[&upstream]));
    config["settings"]["PolicyLimits"]["Keepalive"] = json!(4000.0);
    let proxy = Proxy::start(&config);
    assert_eq!(
        proxy.client().request(&safe_request("r1", 5000)).status(),
        200
    );
    let start = Instant::now();
    while !matches!(
        upstream.events.recv_timeout(EVENT_TIMEOUT),
        Ok(UpstreamEvent::Closed)
    ) {
        // A data-plane test checks how long before the upstream's timeout that is.
        assert!(
            start.elapsed() < EVENT_TIMEOUT,
            "the connection was not closed"
        );
    }
}

#[test]
fn follows_the_discovery_watch_and_renews_it() {
    let (old, new) = (
        Upstream::start(|_| ok("old")),
        Upstream::start(|_| ok("new")),
    );
    let proxy = Proxy::start(&config(&serving_entries(&[&old])));
    let mut client = proxy.client();
    assert_eq!(client.request(&safe_request("r1", 5000)).body, b"old");
    let (request_line, mut watch) = proxy.discovery.watch();
    assert_eq!(request_line, "GET /api/targets?stream=1&index=41 HTTP/1.1");
    // Heartbeats, and an update in two chunks that changes the address of the upstream.
    let moved = json!({"revision": 43, "complete": false,
        "members": [entry_of("s-0", new.address, "SERVING")]});
    let text = format!("\n\n{moved}\n\n");
    let (a, b) = text.split_at(30);
    send_chunk(&mut watch, a);
    send_chunk(&mut watch, b);
    let start = Instant::now();
    while client.request(&safe_request("r2", 5000)).body != b"new" {
        assert!(
            start.elapsed() < EVENT_TIMEOUT,
            "the new address was not applied"
        );
    }
    // After its end, the watch is reopened from the last revision.
    drop(watch);
    let (request_line, _) = proxy.discovery.watch();
    assert_eq!(request_line, "GET /api/targets?stream=1&index=43 HTTP/1.1");
}

#[test]
fn replaces_a_silent_discovery_watch() {
    let upstream = Upstream::start(|_| ok("ok"));
    let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
    let (_, mut first) = proxy.discovery.watch();
    // After the first message, the load balancer considers the watch established, and requests no other by itself.
    let list = json!({"revision": 42, "complete": false, "members": []});
    send_chunk(&mut first, &format!("{list}\n\n"));
    // The connection stays open and silent, like that of a host that was cut off from the network.
    let (_, second) = proxy.discovery.watch();
    drop((first, second));
}

/// Starts an upstream that is slow enough for two requests to be in progress at the same time.
fn slow(body: &'static str) -> Upstream {
    Upstream::start(move |_| {
        std::thread::sleep(Duration::from_millis(30));
        ok(body)
    })
}

/// Waits until two concurrent requests are both served by the upstream with this body, and checks that it remains so.
/// Upstreams have one slot each: with two available upstreams, each would get one of the requests.
fn wait_until_only(proxy: &Proxy, remaining: &str) {
    let mut pair = [proxy.client(), proxy.client()];
    let mut only_remaining = || {
        pair.iter_mut()
            .zip(["r1", "r2"])
            .for_each(|(c, id)| c.send(&safe_request(id, 5000)));
        pair.each_mut()
            .map(|c| c.response().expect("a response").body == remaining.as_bytes())
            == [true; 2]
    };
    let start = Instant::now();
    while !only_remaining() {
        assert!(
            start.elapsed() < EVENT_TIMEOUT,
            "the update was not applied"
        );
    }
    for _ in 0..4 {
        assert!(only_remaining());
    }
}

#[test]
fn an_invalid_entry_does_not_block_others() {
    let (a, b) = (slow("a"), slow("b"));
    let proxy = Proxy::start(&config(&serving_entries(&[&a, &b])));
    let (_, mut watch) = proxy.discovery.watch();
    // Both ways round. Entries that accept no requests have no address.
    let phases = [["DRAINING", "SERVING"], ["SERVING", "DELETED"]];
    for (revision, (phases, remaining)) in phases.into_iter().zip(["b", "a"]).enumerate() {
        let entry = |id, upstream: &Upstream, phase| match phase {
            "SERVING" => entry_of(id, upstream.address, phase),
            _ => json!({"id": id, "phase": phase}),
        };
        let list = json!({"revision": 42 + revision, "complete": false, "members":
            [{"id": 7, "phase": []}, entry("s-0", &a, phases[0]), entry("s-1", &b, phases[1])]});
        send_chunk(&mut watch, &format!("{list}\n"));
        wait_until_only(&proxy, remaining);
    }
}

#[test]
fn rejects_at_once_with_retry_after() {
    let upstream = Upstream::start(|_| UpstreamBehavior::Hang);
    let mut config = config(&serving_entries(&[&upstream]));
    config["settings"]["Services"][0]["Deadline"] = json!(600_000.0);
    let proxy = Proxy::start(&config);
    let mut clients: Vec<Client> = (0..20).map(|_| proxy.client()).collect();
    clients
        .iter_mut()
        .enumerate()
        .for_each(|(i, c)| c.send(&safe_request(&format!("r{i}"), 600_000)));
    // With one slot at one upstream, most of the twenty requests do not fit into the queue. Queued requests get no
    // response for ten minutes.
    let rejected = clients
        .pop()
        .expect("twenty")
        .response()
        .expect("an immediate response");
    assert_eq!(rejected.status(), 503);
    let retry_after: f64 = rejected.header("retry-after").parse().expect("seconds");
    assert!(retry_after > 0.0 && retry_after <= 2.0, "{retry_after}");
}

#[test]
fn sends_nothing_to_draining_or_removed_upstreams() {
    let (a, b) = (slow("a"), slow("b"));
    let proxy = Proxy::start(&config(&serving_entries(&[&a, &b])));
    let (_, mut watch) = proxy.discovery.watch();
    let list = |revision, complete, members| {
        let list = json!({"revision": revision, "complete": complete, "members": members});
        format!("{list}\n")
    };
    let phases = |a_phase, b_phase| {
        json!([
            entry_of("s-0", a.address, a_phase),
            entry_of("s-1", b.address, b_phase)
        ])
    };
    let [only_a, only_b] =
        [("s-0", &a), ("s-1", &b)].map(|(id, u)| json!([entry_of(id, u.address, "SERVING")]));
    // Both ways round, because the test does not determine which of the two would get the first request.
    let updates = [
        (list(42, false, phases("DRAINING", "SERVING")), "b"),
        (list(43, false, phases("SERVING", "DRAINING")), "a"),
        (list(44, false, phases("DELETED", "SERVING")), "b"),
        (list(45, true, only_a), "a"),
        (list(46, true, only_b), "b"),
    ];
    for (list, remaining) in updates {
        send_chunk(&mut watch, &list);
        wait_until_only(&proxy, remaining);
    }
}

#[test]
fn sends_nothing_after_the_drain_grace() {
    // Fills the backlog of a listener: further connections are established only once there is room again.
    let full = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let full = full.expect("a socket");
    full.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .expect("a port");
    full.listen(1).expect("listening");
    let full = TcpListener::from(full);
    let address = full.local_addr().expect("an address");
    let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(300));
    let fillers: Vec<TcpStream> = std::iter::from_fn(|| fill().ok()).take(64).collect();
    assert!(fillers.len() < 64, "the backlog did not fill up");

    let mut config = config(&[entry_of("s-0", address, "SERVING")]);
    config["settings"]["PolicyLimits"]["ConnectTimeout"] = json!(20_000.0);
    config["settings"]["Services"][2]["Aim"] = json!(25_000.0);
    config["settings"]["Services"][2]["Deadline"] = json!(30_000.0);
    let proxy = Proxy::start(&config);
    let (_, mut watch) = proxy.discovery.watch();
    let mut client = proxy.client();
    client.send(&unsafe_request("r1", 30_000, "x"));
    std::thread::sleep(Duration::from_millis(200)); // The proxy is connecting, and cannot succeed.
    let list = json!({"revision": 42, "complete": false,
        "members": [entry_of("s-0", address, "DRAINING")]});
    send_chunk(&mut watch, &format!("{list}\n"));
    std::thread::sleep(Duration::from_millis(1500)); // Longer than the drain grace of 500 ms.
    let (sender, read_lengths) = channel();
    std::thread::spawn(move || {
        for stream in full.incoming() {
            let (mut stream, sender) = (stream.expect("accepted"), sender.clone());
            std::thread::spawn(move || {
                let read = stream.read(&mut [0; 64]).unwrap_or(0);
                let _ = sender.send(read);
            });
        }
    });
    // The request was never executed and no other upstream is available: the response says that a retry is safe.
    assert_eq!(client.response().expect("a response").status(), 503);
    drop(fillers);
    drop(proxy);
    while let Ok(read) = read_lengths.recv_timeout(Duration::from_millis(300)) {
        assert_eq!(read, 0, "the request was sent");
    }
}

#[test]
fn sigterm_completes_accepted_requests() {
    let (release, released) = channel();
    let released = Arc::new(Mutex::new(released));
    let upstream = Upstream::start(move |m| match m.header("x-request-id") {
        "r1" => UpstreamBehavior::RespondLater(released.clone()),
        _ => ok("ok"),
    });
    let quick = Upstream::start(|_| ok("ok"));
    let mut proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
    let mut accepted = proxy.client();
    accepted.send(&safe_request("r1", 5500));
    upstream.next_request();
    let idle = proxy.client();
    proxy.signal("TERM");
    drop(quick);
    // New connections are still accepted for a moment.
    let mut new = proxy.client();
    new.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    new.response().expect("a response");
    release.send(()).expect("the upstream is waiting");
    let response = accepted.response().expect("a response");
    assert_eq!(
        (response.status(), response.header("connection")),
        (200, "close")
    );
    drop(idle);
    assert_eq!(proxy.exit_code(), Some(0));
}

#[test]
fn requests_accepted_after_sigterm_have_their_full_deadline() {
    let upstream = Upstream::start(|_| UpstreamBehavior::Hang);
    // Enough slots for all requests to be in progress until their deadlines.
    let many: Vec<_> = (0..80)
        .map(|i| entry_of(&format!("s-{i}"), upstream.address, "SERVING"))
        .collect();
    let mut config = config(&many);
    for class in 0..3 {
        config["settings"]["Services"][class]["Deadline"] = json!(1000.0);
    }
    let mut proxy = Proxy::start(&config);
    let mut clients = Vec::new();
    // Sends requests during the whole half second in which the proxy still accepts connections. The upstream shows
    // which ones were accepted, regardless of the load on the machine.
    proxy.signal("TERM");
    while let Ok(mut client) = Client::try_to(proxy.address) {
        if client
            .try_send(&unsafe_request(&format!("r{}", clients.len()), 1000, "x"))
            .is_err()
        {
            break;
        }
        clients.push(client);
        std::thread::sleep(Duration::from_millis(10));
    }
    let responses: Vec<_> = clients.iter_mut().map(Client::response).collect();
    let mut reached = 0;
    for event in upstream.events.try_iter() {
        let UpstreamEvent::Request(_, request) = event else {
            continue;
        };
        let id = request
            .header("x-request-id")
            .strip_prefix('r')
            .expect("an id of this test");
        let response = responses[id.parse::<usize>().expect("its number")].as_ref();
        assert_eq!(
            response
                .expect("a response before the end of the connection")
                .status(),
            504,
            "r{id}"
        );
        reached += 1;
    }
    assert!(reached > 0, "no request was accepted after SIGTERM");
    // Requests that were not accepted are not read, and their connections end without a response.
    assert_eq!(responses.iter().flatten().count(), reached);
    assert_eq!(proxy.exit_code(), Some(0));
}

#[test]
fn survives_a_full_descriptor_table() {
    let upstream = Upstream::start(|_| ok("ok"));
    let mut command = Command::new("sh");
    command.args(["-c", "ulimit -n 40; exec \"$0\"", PROXY_BINARY]);
    let mut proxy = Proxy::start_with(command, &config(&serving_entries(&[&upstream])));
    // More clients than descriptors; the others wait in the backlog.
    let connections: Vec<TcpStream> = (0..80)
        .map(|_| TcpStream::connect(proxy.address).expect("the backlog holds it"))
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    drop(connections);
    assert_eq!(
        proxy.client().request(&safe_request("r1", 5000)).status(),
        200
    );
    assert!(proxy.child.try_wait().expect("a child").is_none());
}

#[test]
fn reports_an_unusable_configuration() {
    let run = |file: &str| {
        let path = write_config(file);
        let output = Command::new(PROXY_BINARY)
            .env("LB_CONFIG", &path)
            .env("LB_LISTEN", "127.0.0.1:0")
            .env("LB_DISCOVERY", "127.0.0.1:1")
            .output()
            .expect("it runs");
        let _ = std::fs::remove_file(path);
        assert!(!output.status.success());
        String::from_utf8(output.stderr).expect("UTF-8")
    };
    let mut bad = config(&[]);
    bad["settings"]["Tick"] = json!("often");
    assert!(run(&bad.to_string()).contains("settings.Tick"));
    assert!(run("{").contains("EOF"));
    let mut bad = config(&[]);
    bad["settings"]["Services"] = json!([]);
    assert!(run(&bad.to_string()).contains("no request class"));
}

#[test]
fn a_truncated_request_reaches_no_upstream() {
    let upstream = Upstream::start(|_| ok("ok"));
    let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
    let text = unsafe_request("r1", 5000, "whole");
    let mut truncated = TcpStream::connect(proxy.address).expect("connected");
    truncated
        .write_all(&text.as_bytes()[..text.len() - 2])
        .expect("written");
    drop(truncated);
    assert_eq!(
        proxy
            .client()
            .request(&unsafe_request("r2", 5000, "x"))
            .status(),
        200
    );
    assert_eq!(upstream.requests_so_far(), 1);
}
