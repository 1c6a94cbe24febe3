//! Clients that send invalid or incomplete requests, or nothing: checks the responses that they get, and that other
//! clients are not affected.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::harness::*;
use serde_json::json;

/// Reads until the connection ends. Returns the received text, and whether the connection was closed without an error.
fn read_to_end_of_connection(stream: &mut TcpStream) -> (String, bool) {
    stream
        .set_read_timeout(Some(EVENT_TIMEOUT))
        .expect("a read timeout");
    let mut all = Vec::new();
    let ended = stream.read_to_end(&mut all);
    assert!(
        !matches!(&ended, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock),
        "the connection was not closed"
    );
    (String::from_utf8_lossy(&all).into_owned(), ended.is_ok())
}

/// Sends the text on a new connection, and reads until the connection ends.
fn send_and_read_to_end(proxy: &Proxy, text: &[u8]) -> (String, bool) {
    let mut stream = TcpStream::connect(proxy.address).expect("connected");
    // The proxy may close the connection before everything is written.
    let _ = stream.write_all(text);
    read_to_end_of_connection(&mut stream)
}

#[test]
fn ambiguous_requests_reach_no_upstream() {
    let upstream = Upstream::start(|_| ok("ok"));
    let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
    let head = |more: &str| {
        format!("POST /api HTTP/1.1\r\nHost: a\r\nX-Class: alarm\r\nX-Deadline-Ms: 5000\r\n{more}")
    };
    let smuggled = "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: h\r\n\r\n";
    let chunked = format!("0\r\n\r\n{smuggled}");
    let (te, cl) = (
        "Transfer-Encoding: chunked\r\n",
        format!("Content-Length: {}\r\n", chunked.len()),
    );
    let id = "X-Request-Id: r\r\n";
    let ambiguous = [
        head(&format!("{id}{te}{cl}\r\n{chunked}")),
        head(&format!("{id}{cl}{te}\r\n{chunked}")),
        head(&format!("{id}{te}\r\n1\r\nx\r\n0\r\n\r\n")),
        head(&format!(
            "{id}Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy"
        )),
        head(&format!("{id}Content-Length: -1\r\n\r\nx")),
        head(&format!(
            "{id}Content-Length: 99999999999999999999\r\n\r\nx"
        )),
        head(&format!(
            "{id}X-Request-Id: s\r\nContent-Length: 1\r\n\r\nx"
        )),
        head(&format!("{id}X-Class: read\r\nContent-Length: 1\r\n\r\nx")),
        head(&format!("{id}Host: b\r\nContent-Length: 1\r\n\r\nx")),
        head(&format!(
            "X-Request-Id: {}\r\nContent-Length: 1\r\n\r\nx",
            "r".repeat(1000)
        )),
        safe_request("r", 5000).replace("/api?", "http://a/api?"),
        safe_request("r", 5000).replace("5000", "+5000"),
    ];
    for text in ambiguous {
        let (response, _) = send_and_read_to_end(&proxy, text.as_bytes());
        let status = response.split(' ').nth(1).unwrap_or_default();
        assert!(status.starts_with('4'), "{text}\n{response}");
        assert_eq!(
            response.matches("HTTP/1.1 ").count(),
            1,
            "{text}\n{response}"
        );
    }
    let (response, _) =
        send_and_read_to_end(&proxy, &[b"\x00\xff\r\n\r\n".as_slice(), &[7; 64]].concat());
    assert!(
        response.is_empty() || response.starts_with("HTTP/1.1 4"),
        "{response}"
    );
    assert_eq!(upstream.requests_so_far(), 0);
}

#[test]
fn client_that_is_still_sending_gets_its_error() {
    let upstream = Upstream::start(|_| ok("ok"));
    let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
    let body = "x".repeat(1 << 20);
    // The body exceeds all buffers on the way, and the response is sent long before its end.
    let (response, closed_cleanly) =
        send_and_read_to_end(&proxy, unsafe_request("r", 5000, &body).as_bytes());
    assert!(response.starts_with("HTTP/1.1 413 "), "{response:?}");
    assert!(closed_cleanly, "a reset could have discarded the response");
}

#[test]
fn rejects_the_id_of_a_request_in_progress() {
    let (release, released) = std::sync::mpsc::channel();
    let released = std::sync::Arc::new(std::sync::Mutex::new(released));
    let upstream = Upstream::start(move |_| UpstreamBehavior::RespondLater(released.clone()));
    let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
    let mut first = proxy.client();
    first.send(&safe_request("r", 5500));
    upstream.next_request();
    assert_eq!(
        proxy.client().request(&safe_request("r", 5000)).status(),
        409
    );
    release.send(()).expect("the upstream is waiting");
    assert_eq!(first.response().expect("a response").status(), 200);
    release.send(()).expect("the upstream is waiting");
    assert_eq!(
        first.request(&safe_request("r", 5000)).status(),
        200,
        "the id is still in use after the response"
    );
}

#[test]
fn incomplete_requests_end_within_three_seconds() {
    let upstream = Upstream::start(|_| ok("ok"));
    let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
    let whole = unsafe_request("r", 5000, "whole");
    let prefixes = [
        "",
        "POST /api HT",
        &whole[..whole.len() - 7],
        &whole[..whole.len() - 2],
    ];
    let mut all: Vec<_> = prefixes
        .iter()
        .map(|prefix| {
            let mut stream = TcpStream::connect(proxy.address).expect("connected");
            stream.write_all(prefix.as_bytes()).expect("written");
            (Instant::now(), stream)
        })
        .collect();
    // The same timeout applies to the next head on a kept-alive connection.
    let mut kept = TcpStream::connect(proxy.address).expect("connected");
    kept.write_all(safe_request("k", 5000).as_bytes())
        .expect("written");
    assert!(kept.read(&mut [0; 4096]).expect("a response") > 0);
    kept.write_all(b"GET /api").expect("written");
    all.push((Instant::now(), kept));
    for (i, (start, mut stream)) in all.into_iter().enumerate() {
        read_to_end_of_connection(&mut stream);
        assert!(
            start.elapsed() < Duration::from_millis(2900),
            "{i}: {:?}",
            start.elapsed()
        );
    }
    assert_eq!(upstream.requests_so_far(), 1);
}

#[test]
fn silent_connections_do_not_block_new_clients() {
    let upstream = Upstream::start(|_| ok("ok"));
    let mut config = config(&serving_entries(&[&upstream]));
    config["limits"]["sockets"] = json!(128); // 52 connections for clients.
    let proxy = Proxy::start(&config);
    let mut busy = proxy.client();
    assert_eq!(busy.request(&safe_request("first", 5000)).status(), 200);
    let silent: Vec<TcpStream> = (0..200)
        .map(|_| TcpStream::connect(proxy.address).expect("the backlog holds it"))
        .collect();
    let start = Instant::now();
    assert_eq!(
        proxy.client().request(&safe_request("r", 5000)).status(),
        200
    );
    // Less than the 2 s head timeout, which would otherwise have to close about 150 connections first.
    assert!(
        start.elapsed() < Duration::from_millis(1900),
        "{:?}",
        start.elapsed()
    );
    // A recently used connection is not evicted.
    assert_eq!(busy.request(&safe_request("last", 5000)).status(), 200);
    drop(silent);
}

#[test]
fn idle_clients_are_evicted_before_busy_ones() {
    let upstream = Upstream::start(|_| ok("ok"));
    let mut config = config(&serving_entries(&[&upstream]));
    config["limits"]["sockets"] = json!(256); // Up to 64 idle connections.
    let proxy = Proxy::start(&config);
    let mut busy = proxy.client();
    let mut idle: Vec<Client> = Vec::new();
    for i in 0..80 {
        idle.push(proxy.client());
        assert_eq!(
            idle[i]
                .request(&safe_request(&format!("once-{i}"), 5000))
                .status(),
            200
        );
        assert_eq!(
            busy.request(&safe_request(&format!("busy-{i}"), 5000))
                .status(),
            200
        );
    }
    let eviction_start = Instant::now();
    for client in &mut idle[..17] {
        assert!(client.response().is_none(), "not evicted");
    }
    assert!(
        eviction_start.elapsed() < Duration::from_secs(1),
        "closed by the idle timeout rather than by eviction"
    );
    assert_eq!(idle[79].request(&safe_request("again", 5000)).status(), 200);
}
