//! Requests, upstreams and discovery on ordinary days.

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
    let answer = proxy.client().ask(
        "POST /api?x=1%20y HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: r1\r\nX-Class: log\r\n\
         Idempotency-Key: k1\r\nX-Deadline-Ms: 5000\r\nContent-Length: 5\r\n\r\nhello",
    );
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, &b"done"[..])
    );
    let (_, seen) = upstream.request();
    assert_eq!(seen.first, "POST /api?x=1%20y HTTP/1.1");
    assert_eq!(seen.body, b"hello");
    assert_eq!(
        (seen.header("x-request-id"), seen.header("idempotency-key")),
        ("r1", "k1")
    );
    let left: u64 = seen
        .header("x-deadline-ms")
        .parse()
        .expect("whole milliseconds");
    assert!(
        left > 0 && left < 5000,
        "the upstream is told the time that is left, not {left}"
    );
}

#[test]
fn rejects_malformed_requests_without_an_upstream() {
    let upstream = Upstream::start(|_| ok(""));
    let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
    let head = "Host: a\r\nX-Request-Id: r\r\n";
    let late = "X-Deadline-Ms: 5000\r\n";
    let class = "X-Class: read\r\n";
    let wrong = [
        format!("GET /api HTTP/1.1\r\n{head}X-Class: none\r\n{late}\r\n"),
        format!("GET /api HTTP/1.1\r\n{head}{late}\r\n"),
        format!("GET /api HTTP/1.1\r\n{head}{class}\r\n"),
        format!("GET /api HTTP/1.1\r\n{head}{class}X-Deadline-Ms: soon\r\n\r\n"),
        format!("GET /api HTTP/1.1\r\n{head}{class}X-Deadline-Ms: 0\r\n\r\n"),
        format!("GET /api HTTP/1.1\r\n{head}{class}X-Deadline-Ms: -3\r\n\r\n"),
        format!("GET /api HTTP/1.1\r\nHost: a\r\n{class}{late}\r\n"),
        format!("POST /api HTTP/1.1\r\n{head}{class}{late}Content-Length: 0\r\n\r\n"),
        format!("GET /api HTTP/1.1\r\n{head}X-Class: alarm\r\n{late}\r\n"),
        format!("POST /api HTTP/1.1\r\n{head}X-Class: log\r\n{late}Content-Length: 0\r\n\r\n"),
    ];
    for text in wrong {
        let short: String = text.chars().take(160).collect();
        assert_eq!(proxy.client().ask(&text).status(), 400, "{short}");
    }
    assert_eq!(
        proxy
            .client()
            .ask("GET /other HTTP/1.1\r\nHost: a\r\n\r\n")
            .status(),
        404
    );
    assert_eq!(
        proxy
            .client()
            .ask("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            .status(),
        200
    );
    assert_eq!(upstream.requests_so_far(), 0);
    let long = "x".repeat((64 << 10) + 1);
    assert_eq!(
        proxy
            .client()
            .ask(&unsafe_request("r", 5000, &long))
            .status(),
        413
    );
    let whole = "x".repeat(64 << 10);
    assert_eq!(
        proxy
            .client()
            .ask(&unsafe_request("r", 5000, &whole))
            .status(),
        200
    );
}

#[test]
fn is_ready_once_there_is_an_upstream() {
    let proxy = Proxy::start(&config(&[]));
    let mut client = proxy.client();
    let ready = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    assert_eq!(client.ask(ready).status(), 503);
    let upstream = Upstream::start(|_| ok(""));
    let (_, mut watch) = proxy.discovery.watch();
    let list = json!({"revision": 42, "complete": true, "members": serving_entries(&[&upstream])});
    send_chunk(&mut watch, &format!("{list}\n"));
    let from = Instant::now();
    while client.ask(ready).status() != 200 {
        assert!(from.elapsed() < EVENT_TIMEOUT, "not ready with an upstream");
    }
}

/// A pair of upstreams of which the first that is asked does this, and every later request is served.
fn pair_whose_first_request(does: &UpstreamBehavior) -> (Upstream, Upstream) {
    let asked = Arc::new(AtomicUsize::new(0));
    let start = || {
        let (asked, does) = (asked.clone(), does.clone());
        Upstream::start(move |_| match asked.fetch_add(1, Ordering::SeqCst) {
            0 => does.clone(),
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
        let answer = proxy.client().ask(&unsafe_request("r1", 5000, "x"));
        assert_eq!(
            (answer.status(), answer.body.as_slice()),
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
        // Cut short: it must not pass for an answer.
        UpstreamBehavior::RespondAndClose(
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_string(),
        ),
    ];
    for does in may_have_run {
        let pair = pair_whose_first_request(&does);
        let proxy = Proxy::start(&config(&serving_entries(&[&pair.0, &pair.1])));
        assert_eq!(
            proxy
                .client()
                .ask(&unsafe_request("r1", 5000, "x"))
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
            proxy.client().ask(&unsafe_request(id, 5000, "x")).status(),
            200
        );
    }
}

#[test]
fn answers_for_a_silent_upstream_by_the_deadline() {
    let upstream = Upstream::start(|_| UpstreamBehavior::Hang);
    let mut config = config(&serving_entries(&[&upstream]));
    config["settings"]["Services"][2]["Deadline"] = json!(600_000.0);
    let proxy = Proxy::start(&config);
    // The aim is later than this deadline, and the class's own is out of reach: only the request's can have ended
    // it. How long before it: `a_silent_upstream_is_answered_for_right_before_the_deadline` of the engine.
    let answer = proxy.client().ask(&unsafe_request("r1", 1500, "x"));
    assert_eq!(answer.status(), 504);
    // Its connection is of no more use, and closed.
    let from = Instant::now();
    while !matches!(
        upstream.seen.recv_timeout(EVENT_TIMEOUT),
        Ok(UpstreamEvent::Closed)
    ) {
        assert!(from.elapsed() < EVENT_TIMEOUT, "the connection stays");
    }
}

#[test]
fn a_late_response_goes_to_no_other_client() {
    let (go, waits) = channel();
    let waits = Arc::new(Mutex::new(waits));
    let upstream = Upstream::start(move |m| match m.header("x-request-id") {
        "r1" => UpstreamBehavior::RespondLater(waits.clone()),
        _ => ok("own"),
    });
    let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
    let mut leaves = proxy.client();
    leaves.send(&safe_request("r1", 5000));
    let (first, _) = upstream.request();
    drop(leaves);
    // The one slot is still taken, so the second waits for the first one's end.
    let mut stays = proxy.client();
    stays.send(&safe_request("r2", 5000));
    go.send(()).expect("the upstream waits");
    let answer = stays.answer().expect("an answer");
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, &b"own"[..])
    );
    let (second, _) = upstream.request();
    assert_eq!(first, second, "the connection was in order and is kept");
}

#[test]
fn does_not_use_a_connection_that_the_upstream_closed() {
    // Both happen while the proxy is held up, in either order: the close and the next request are then
    // ready for it at the same moment.
    for close_first in [true, false] {
        let (go, waits) = channel();
        let waits = Arc::new(Mutex::new(waits));
        let upstream = Upstream::start(move |m| match m.header("x-request-id") {
            "r1" => UpstreamBehavior::RespondThenClose(
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".to_string(),
                waits.clone(),
            ),
            _ => ok("ok"),
        });
        let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
        let mut client = proxy.client();
        assert_eq!(client.ask(&unsafe_request("r1", 5000, "x")).status(), 200);
        let (connection, _) = upstream.request();
        let close = || {
            go.send(()).expect("the upstream waits");
            while !matches!(
                upstream.seen.recv_timeout(EVENT_TIMEOUT),
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
            client.answer().expect("an answer").status(),
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
    assert_eq!(proxy.client().ask(&safe_request("r1", 5000)).status(), 200);
    let from = Instant::now();
    while !matches!(
        upstream.seen.recv_timeout(EVENT_TIMEOUT),
        Ok(UpstreamEvent::Closed)
    ) {
        // How long before: `an_idle_connection_is_closed_before_its_upstream_would` of the data plane.
        assert!(from.elapsed() < EVENT_TIMEOUT, "the connection stays");
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
    assert_eq!(client.ask(&safe_request("r1", 5000)).body, b"old");
    let (call, mut watch) = proxy.discovery.watch();
    assert_eq!(call, "GET /api/targets?stream=1&index=41 HTTP/1.1");
    // Heartbeats, an update in two pieces, and the same upstream under another address.
    let moved = json!({"revision": 43, "complete": false,
        "members": [entry_of("s-0", new.address, "SERVING")]});
    let text = format!("\n\n{moved}\n\n");
    let (a, b) = text.split_at(30);
    send_chunk(&mut watch, a);
    send_chunk(&mut watch, b);
    let from = Instant::now();
    while client.ask(&safe_request("r2", 5000)).body != b"new" {
        assert!(
            from.elapsed() < EVENT_TIMEOUT,
            "the new address is not used"
        );
    }
    // An ended watch is asked for again, from where it ended.
    drop(watch);
    let (call, _) = proxy.discovery.watch();
    assert_eq!(call, "GET /api/targets?stream=1&index=43 HTTP/1.1");
}

#[test]
fn gives_up_a_silent_discovery_watch() {
    let upstream = Upstream::start(|_| ok("ok"));
    let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
    let (_, mut first) = proxy.discovery.watch();
    // With a first word the module takes the watch as standing, and will not ask again by itself.
    let list = json!({"revision": 42, "complete": false, "members": []});
    send_chunk(&mut first, &format!("{list}\n\n"));
    // Held open and silent, as by a machine that was cut off.
    let (_, second) = proxy.discovery.watch();
    drop((first, second));
}

/// An upstream that takes long enough for two requests to be out at once.
fn slow(body: &'static str) -> Upstream {
    Upstream::start(move |_| {
        std::thread::sleep(Duration::from_millis(30));
        ok(body)
    })
}

/// Waits until two requests at once are both served by one upstream, which has one slot: while two are open,
/// each would get one. Then it must stay so.
fn wait_until_only(proxy: &Proxy, left: &str) {
    let mut pair = [proxy.client(), proxy.client()];
    let mut all_there = || {
        pair.iter_mut()
            .zip(["r1", "r2"])
            .for_each(|(c, id)| c.send(&safe_request(id, 5000)));
        pair.each_mut()
            .map(|c| c.answer().expect("an answer").body == left.as_bytes())
            == [true; 2]
    };
    let from = Instant::now();
    while !all_there() {
        assert!(from.elapsed() < EVENT_TIMEOUT, "the news was lost");
    }
    for _ in 0..4 {
        assert!(all_there());
    }
}

#[test]
fn an_unreadable_entry_does_not_hold_up_others() {
    let (a, b) = (slow("a"), slow("b"));
    let proxy = Proxy::start(&config(&serving_entries(&[&a, &b])));
    let (_, mut watch) = proxy.discovery.watch();
    // Each way round; what takes no requests comes without an address.
    let phases = [["DRAINING", "SERVING"], ["SERVING", "DELETED"]];
    for (revision, (phases, left)) in phases.into_iter().zip(["b", "a"]).enumerate() {
        let entry = |id, upstream: &Upstream, phase| match phase {
            "SERVING" => entry_of(id, upstream.address, phase),
            _ => json!({"id": id, "phase": phase}),
        };
        let list = json!({"revision": 42 + revision, "complete": false, "members":
            [{"id": 7, "phase": []}, entry("s-0", &a, phases[0]), entry("s-1", &b, phases[1])]});
        send_chunk(&mut watch, &format!("{list}\n"));
        wait_until_only(&proxy, left);
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
    // One slot at one upstream: most of twenty can't be held. What is held back has no answer for ten minutes.
    let refused = clients
        .pop()
        .expect("twenty")
        .answer()
        .expect("an answer at once");
    assert_eq!(refused.status(), 503);
    let after: f64 = refused.header("retry-after").parse().expect("seconds");
    assert!(after > 0.0 && after <= 2.0, "{after}");
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
    // Each way round: which of the two would be asked first is not for this test to say.
    let told = [
        (list(42, false, phases("DRAINING", "SERVING")), "b"),
        (list(43, false, phases("SERVING", "DRAINING")), "a"),
        (list(44, false, phases("DELETED", "SERVING")), "b"),
        (list(45, true, only_a), "a"),
        (list(46, true, only_b), "b"),
    ];
    for (list, left) in told {
        send_chunk(&mut watch, &list);
        wait_until_only(&proxy, left);
    }
}

#[test]
fn sends_nothing_after_the_drain_grace() {
    // A full backlog: connections to it come up only once there is room again.
    let full = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let full = full.expect("a socket");
    full.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .expect("a port");
    full.listen(1).expect("listening");
    let full = TcpListener::from(full);
    let address = full.local_addr().expect("an address");
    let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(300));
    let fillers: Vec<TcpStream> = std::iter::from_fn(|| fill().ok()).take(64).collect();
    assert!(fillers.len() < 64, "the backlog does not fill");

    let mut config = config(&[entry_of("s-0", address, "SERVING")]);
    config["settings"]["PolicyLimits"]["ConnectTimeout"] = json!(20_000.0);
    config["settings"]["Services"][2]["Aim"] = json!(25_000.0);
    config["settings"]["Services"][2]["Deadline"] = json!(30_000.0);
    let proxy = Proxy::start(&config);
    let (_, mut watch) = proxy.discovery.watch();
    let mut client = proxy.client();
    client.send(&unsafe_request("r1", 30_000, "x"));
    std::thread::sleep(Duration::from_millis(200)); // It is on its way, and cannot come up.
    let list = json!({"revision": 42, "complete": false,
        "members": [entry_of("s-0", address, "DRAINING")]});
    send_chunk(&mut watch, &format!("{list}\n"));
    std::thread::sleep(Duration::from_millis(1500)); // Past the grace of 500 ms.
    let (tell, seen) = channel();
    std::thread::spawn(move || {
        for stream in full.incoming() {
            let (mut stream, tell) = (stream.expect("accepted"), tell.clone());
            std::thread::spawn(move || {
                let read = stream.read(&mut [0; 64]).unwrap_or(0);
                let _ = tell.send(read);
            });
        }
    });
    // Never ran, and nowhere else to go: the harmless answer.
    assert_eq!(client.answer().expect("an answer").status(), 503);
    drop(fillers);
    drop(proxy);
    while let Ok(read) = seen.recv_timeout(Duration::from_millis(300)) {
        assert_eq!(read, 0, "it was sent all the same");
    }
}

#[test]
fn sigterm_completes_accepted_requests() {
    let (go, waits) = channel();
    let waits = Arc::new(Mutex::new(waits));
    let upstream = Upstream::start(move |m| match m.header("x-request-id") {
        "r1" => UpstreamBehavior::RespondLater(waits.clone()),
        _ => ok("ok"),
    });
    let quick = Upstream::start(|_| ok("ok"));
    let mut proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
    let mut taken = proxy.client();
    taken.send(&safe_request("r1", 5500));
    upstream.request();
    let idle = proxy.client();
    proxy.signal("TERM");
    drop(quick);
    // New connections still find it for a moment.
    let mut new = proxy.client();
    new.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    new.answer().expect("an answer");
    go.send(()).expect("the upstream waits");
    let answer = taken.answer().expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    drop(idle);
    assert_eq!(proxy.exit_code(), Some(0));
}

#[test]
fn requests_accepted_after_sigterm_have_their_whole_deadline() {
    let upstream = Upstream::start(|_| UpstreamBehavior::Hang);
    // Enough slots for all of them to be out until their deadlines.
    let many: Vec<_> = (0..80)
        .map(|i| entry_of(&format!("s-{i}"), upstream.address, "SERVING"))
        .collect();
    let mut config = config(&many);
    for class in 0..3 {
        config["settings"]["Services"][class]["Deadline"] = json!(1000.0);
    }
    let mut proxy = Proxy::start(&config);
    let mut taken = Vec::new();
    // Over all of the half second in which it still accepts. Which of them it has taken tells the upstream, however
    // busy the machine is.
    proxy.signal("TERM");
    while let Ok(mut client) = Client::try_to(proxy.address) {
        if client
            .try_send(&unsafe_request(&format!("r{}", taken.len()), 1000, "x"))
            .is_err()
        {
            break;
        }
        taken.push(client);
        std::thread::sleep(Duration::from_millis(10));
    }
    let answers: Vec<_> = taken.iter_mut().map(Client::answer).collect();
    let mut reached = 0;
    for seen in upstream.seen.try_iter() {
        let UpstreamEvent::Request(_, request) = seen else {
            continue;
        };
        let id = request
            .header("x-request-id")
            .strip_prefix('r')
            .expect("one of these");
        let answer = answers[id.parse::<usize>().expect("its number")].as_ref();
        assert_eq!(
            answer.expect("an answer, not an end").status(),
            504,
            "r{id}"
        );
        reached += 1;
    }
    assert!(reached > 0, "it still accepts for a moment");
    // What is not taken is not read, and ends without a word.
    assert_eq!(answers.iter().flatten().count(), reached);
    assert_eq!(proxy.exit_code(), Some(0));
}

#[test]
fn survives_a_full_descriptor_table() {
    let upstream = Upstream::start(|_| ok("ok"));
    let mut command = Command::new("sh");
    command.args(["-c", "ulimit -n 40; exec \"$0\"", PROXY_BINARY]);
    let mut proxy = Proxy::start_by(command, &config(&serving_entries(&[&upstream])));
    // More clients than descriptors; the rest waits in the backlog.
    let crowd: Vec<TcpStream> = (0..80)
        .map(|_| TcpStream::connect(proxy.address).expect("the backlog holds it"))
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    drop(crowd);
    assert_eq!(proxy.client().ask(&safe_request("r1", 5000)).status(), 200);
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
    let mut cut = TcpStream::connect(proxy.address).expect("it accepts");
    cut.write_all(&text.as_bytes()[..text.len() - 2])
        .expect("written");
    drop(cut);
    assert_eq!(
        proxy
            .client()
            .ask(&unsafe_request("r2", 5000, "x"))
            .status(),
        200
    );
    assert_eq!(upstream.requests_so_far(), 1);
}
