//! Clients that send what no request is, or nothing: what they get, and that the others don't notice.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::harness::*;
use serde_json::json;

/// Everything that comes until the connection ends, and whether it ended in order.
fn read_to_end_of_connection(stream: &mut TcpStream) -> (String, bool) {
    stream
        .set_read_timeout(Some(EVENT_TIMEOUT))
        .expect("a limit");
    let mut all = Vec::new();
    let ended = stream.read_to_end(&mut all);
    assert!(
        !matches!(&ended, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock),
        "left alone"
    );
    (String::from_utf8_lossy(&all).into_owned(), ended.is_ok())
}

/// Sends this on a connection of its own, and waits for its end.
fn sends(proxy: &Proxy, text: &[u8]) -> (String, bool) {
    let mut stream = TcpStream::connect(proxy.address).expect("it accepts");
    // The end may come before all is written.
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
    let hidden = "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: h\r\n\r\n";
    let chunked = format!("0\r\n\r\n{hidden}");
    let (te, cl) = (
        "Transfer-Encoding: chunked\r\n",
        format!("Content-Length: {}\r\n", chunked.len()),
    );
    let id = "X-Request-Id: r\r\n";
    let wrong = [
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
    for text in wrong {
        let (answer, _) = sends(&proxy, text.as_bytes());
        let status = answer.split(' ').nth(1).unwrap_or_default();
        assert!(status.starts_with('4'), "{text}\n{answer}");
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{text}\n{answer}");
    }
    let (answer, _) = sends(&proxy, &[b"\x00\xff\r\n\r\n".as_slice(), &[7; 64]].concat());
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 4"),
        "{answer}"
    );
    assert_eq!(upstream.requests_so_far(), 0);
}

#[test]
fn a_client_that_still_sends_gets_its_error() {
    let upstream = Upstream::start(|_| ok("ok"));
    let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
    let body = "x".repeat(1 << 20);
    // More than any buffer between the two holds, and the answer comes long before the end of it.
    let (answer, in_order) = sends(&proxy, unsafe_request("r", 5000, &body).as_bytes());
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer:?}");
    assert!(in_order, "the answer could have been lost to a reset");
}

#[test]
fn the_id_of_an_open_request_is_in_use_until_it_ends() {
    let (go, waits) = std::sync::mpsc::channel();
    let waits = std::sync::Arc::new(std::sync::Mutex::new(waits));
    let upstream = Upstream::start(move |_| UpstreamBehavior::RespondLater(waits.clone()));
    let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
    let mut first = proxy.client();
    first.send(&safe_request("r", 5500));
    upstream.request();
    assert_eq!(proxy.client().ask(&safe_request("r", 5000)).status(), 409);
    go.send(()).expect("the upstream waits");
    assert_eq!(first.answer().expect("an answer").status(), 200);
    go.send(()).expect("the upstream waits");
    assert_eq!(
        first.ask(&safe_request("r", 5000)).status(),
        200,
        "the first is over"
    );
}

#[test]
fn incomplete_requests_end_within_three_seconds() {
    let upstream = Upstream::start(|_| ok("ok"));
    let proxy = Proxy::start(&config(&serving_entries(&[&upstream])));
    let whole = unsafe_request("r", 5000, "whole");
    let starts = [
        "",
        "POST /api HT",
        &whole[..whole.len() - 7],
        &whole[..whole.len() - 2],
    ];
    let mut all: Vec<_> = starts
        .iter()
        .map(|start| {
            let mut stream = TcpStream::connect(proxy.address).expect("it accepts");
            stream.write_all(start.as_bytes()).expect("written");
            (Instant::now(), stream)
        })
        .collect();
    // A kept connection owes its next head as soon.
    let mut kept = TcpStream::connect(proxy.address).expect("it accepts");
    kept.write_all(safe_request("k", 5000).as_bytes())
        .expect("written");
    assert!(kept.read(&mut [0; 4096]).expect("an answer") > 0);
    kept.write_all(b"GET /api").expect("written");
    all.push((Instant::now(), kept));
    for (i, (from, mut stream)) in all.into_iter().enumerate() {
        read_to_end_of_connection(&mut stream);
        assert!(
            from.elapsed() < Duration::from_millis(2900),
            "{i}: {:?}",
            from.elapsed()
        );
    }
    assert_eq!(upstream.requests_so_far(), 1);
}

#[test]
fn silent_connections_keep_nobody_out() {
    let upstream = Upstream::start(|_| ok("ok"));
    let mut config = config(&serving_entries(&[&upstream]));
    config["limits"]["sockets"] = json!(128); // 52 for clients.
    let proxy = Proxy::start(&config);
    let mut busy = proxy.client();
    assert_eq!(busy.ask(&safe_request("first", 5000)).status(), 200);
    let crowd: Vec<TcpStream> = (0..200)
        .map(|_| TcpStream::connect(proxy.address).expect("the backlog holds it"))
        .collect();
    let from = Instant::now();
    assert_eq!(proxy.client().ask(&safe_request("r", 5000)).status(), 200);
    // Sooner than a head's own limit would have made room for 150 before it.
    assert!(
        from.elapsed() < Duration::from_millis(1900),
        "{:?}",
        from.elapsed()
    );
    // One that was in use just now is not what gives way.
    assert_eq!(busy.ask(&safe_request("last", 5000)).status(), 200);
    drop(crowd);
}

#[test]
fn idle_clients_give_way_before_busy_ones() {
    let upstream = Upstream::start(|_| ok("ok"));
    let mut config = config(&serving_entries(&[&upstream]));
    config["limits"]["sockets"] = json!(256); // Up to 64 may idle.
    let proxy = Proxy::start(&config);
    let mut busy = proxy.client();
    let mut stay: Vec<Client> = Vec::new();
    for i in 0..80 {
        stay.push(proxy.client());
        assert_eq!(
            stay[i]
                .ask(&safe_request(&format!("once-{i}"), 5000))
                .status(),
            200
        );
        assert_eq!(
            busy.ask(&safe_request(&format!("busy-{i}"), 5000)).status(),
            200
        );
    }
    let since = Instant::now();
    for client in &mut stay[..17] {
        assert!(client.answer().is_none(), "closed");
    }
    assert!(
        since.elapsed() < Duration::from_secs(1),
        "not only for having idled too long"
    );
    assert_eq!(stay[79].ask(&safe_request("again", 5000)).status(), 200);
}
