//! Tests of one connection to an upstream: matching of responses to requests, and rejection of invalid responses.

use hyper::header::{HeaderName, HeaderValue};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadBuf};
use tokio::net::TcpListener;
use tokio::time::timeout;

use super::matching::MAX_EXCHANGES;
use super::*;
use crate::request_body::RequestBody;

static ID: HeaderName = HeaderName::from_static("attempt-id");

fn response_with_id(id: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-Length: {length}\r\n\r\n{body}")
}

async fn loopback_connection() -> (UpstreamConnection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(at).await.expect("a connection");
    let (peer, _) = listener.accept().await.expect("accepted");
    (
        UpstreamConnection::new(stream, at, Duration::ZERO, Duration::from_secs(8)),
        peer,
    )
}

fn awaited(id: &HeaderValue) -> AwaitedResponse<'_> {
    AwaitedResponse {
        method: &Method::GET,
        echoed_id: Some(EchoedId {
            header: &ID,
            value: Some(id),
        }),
    }
}

async fn receive(connection: &mut UpstreamConnection, id: &str) -> Option<Bytes> {
    let id = HeaderValue::from_str(id).expect("an id");
    let budget = BodyBudget::new(1 << 20);
    let (body, mut progress) = (RequestBody::default(), SendProgress::default());
    let mut request = OutgoingRequest::new(b"x", &body, &mut progress);
    request.progress.bytes_sent = 1;
    connection
        .receive(&awaited(&id), &mut request, &budget)
        .await
        .ok()
        .map(Response::into_body)
}

/// Writes these chunks one by one to a connection that has carried request `a`. Returns the body of the response to
/// request `b`, and whether the connection is reusable.
async fn receive_chunks(chunks: &[&str]) -> (Option<String>, bool) {
    let (mut connection, mut peer) = loopback_connection().await;
    connection
        .carried_ids
        .insert(&HeaderValue::from_static("a"));
    let chunks: Vec<String> = chunks.iter().map(ToString::to_string).collect();
    let upstream = async move {
        for chunk in chunks {
            peer.write_all(chunk.as_bytes()).await.expect("written");
            peer.flush().await.expect("flushed");
            tokio::task::yield_now().await;
        }
    };
    let (body, ()) = tokio::join!(receive(&mut connection, "b"), upstream);
    (
        body.map(|b| String::from_utf8_lossy(&b).into_owned()),
        connection.reusable,
    )
}

#[tokio::test]
async fn response_is_matched_by_its_id() {
    let (own, surplus) = (response_with_id("b", "own"), response_with_id("a", "other"));
    let chunked = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n\
        3\r\nxyz\r\n2;x=1\r\nab\r\n0\r\nTrail: 1\r\n\r\n";
    let hints = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    let own_text = Some("own".to_string());
    assert_eq!(receive_chunks(&[&own]).await, (own_text.clone(), true));
    assert_eq!(
        receive_chunks(&[hints, &own]).await,
        (own_text.clone(), true)
    );
    // A surplus response precedes the awaited one: complete, split within head and body, in the same chunk as the next,
    // with chunked encoding, and repeated.
    let both = format!("{surplus}{own}");
    for chunks in [
        vec![&surplus[..], &own],
        vec![&surplus[..20], &surplus[20..], &own[..54], &own[54..]],
        vec![&both],
        vec![chunked, &own],
        vec![&surplus, &surplus, hints, &own],
    ] {
        assert_eq!(
            receive_chunks(&chunks).await,
            (own_text.clone(), false),
            "{chunks:?}"
        );
    }
    // Unexpected data after the response makes the connection unusable.
    let after = format!("{own}{surplus}");
    assert_eq!(receive_chunks(&[&after]).await, (own_text.clone(), false));
    let more = format!("{own}\r\n");
    assert_eq!(receive_chunks(&[&more]).await, (own_text, false));
}

#[tokio::test]
async fn incomplete_or_malformed_response_is_refused() {
    let without_id = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
    let cases = [
        without_id.to_string(),
        response_with_id("a", "other"),
        response_with_id("b", "own")[..54].to_string(),
        format!("{}noise\r\n\r\n", response_with_id("a", "other")),
        format!("xx{}", response_with_id("b", "own")),
        "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n-3\r\nown\r\n"
            .into(),
        "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n".into(),
        "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nownn"
            .into(),
        "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: +3\r\n\r\nown".into(),
        "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: 3\r\n\
         Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n"
            .into(),
        "HTTP/1.1 101 Switching Protocols\r\nAttempt-Id: b\r\n\r\n".into(),
        "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(MAX_SKIPPED_RESPONSES + 1),
    ];
    for text in cases {
        assert_eq!(receive_chunks(&[&text]).await, (None, false), "{text:?}");
    }
}

/// Returns the body of the response to a request without an id on this connection.
async fn receive_without_id(connection: &mut UpstreamConnection) -> Option<Bytes> {
    let (body, mut progress) = (RequestBody::default(), SendProgress::default());
    let mut request = OutgoingRequest::new(b"x", &body, &mut progress);
    request.progress.bytes_sent = 1;
    let awaited = AwaitedResponse {
        method: &Method::GET,
        echoed_id: Some(EchoedId {
            header: &ID,
            value: None,
        }),
    };
    let budget = BodyBudget::new(1 << 20);
    connection
        .receive(&awaited, &mut request, &budget)
        .await
        .ok()
        .map(Response::into_body)
}

#[tokio::test]
async fn response_without_id_answers_only_a_request_without_id() {
    let without_id = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
    let (mut connection, mut peer) = loopback_connection().await;
    peer.write_all(without_id).await.expect("written");
    assert_eq!(
        receive(&mut connection, "b").await,
        None,
        "the response has no id"
    );
    assert!(!connection.reusable);

    let (mut connection, mut peer) = loopback_connection().await;
    peer.write_all(without_id).await.expect("written");
    assert_eq!(
        receive_without_id(&mut connection)
            .await
            .expect("the first"),
        "own"
    );
    assert!(
        !connection.reusable,
        "the next response could be a surplus response to this request"
    );

    // After another exchange it could be a surplus response to that request.
    let (mut connection, mut peer) = loopback_connection().await;
    connection
        .carried_ids
        .insert(&HeaderValue::from_static("a"));
    let awaited = AwaitedResponse {
        method: &Method::GET,
        echoed_id: Some(EchoedId {
            header: &ID,
            value: None,
        }),
    };
    assert!(!connection.can_carry(&awaited));
    peer.write_all(without_id).await.expect("written");
    drop(peer);
    assert_eq!(receive_without_id(&mut connection).await, None);
}

#[tokio::test]
async fn connection_is_not_reused_for_the_same_id_or_with_unread_bytes() {
    let (mut connection, mut peer) = loopback_connection().await;
    peer.write_all(response_with_id("b", "own").as_bytes())
        .await
        .expect("written");
    assert!(receive(&mut connection, "b").await.is_some() && connection.reusable);
    let (b, c) = (HeaderValue::from_static("b"), HeaderValue::from_static("c"));
    assert!(
        !connection.can_carry(&awaited(&b)),
        "a second response to the same id may arrive"
    );
    assert!(connection.can_carry(&awaited(&c)));
    peer.write_all(response_with_id("b", "own").as_bytes())
        .await
        .expect("written");
    peer.flush().await.expect("flushed");
    connection.stream.readable().await.expect("readable");
    assert!(
        !connection.can_carry(&awaited(&c)),
        "an unexpected response has arrived"
    );
}

#[tokio::test]
async fn response_before_the_request_is_written_is_received() {
    let (mut connection, mut peer) = loopback_connection().await;
    let mut progress = SendProgress::default();
    let large = RequestBody::from(vec![b'x'; 64 << 20]);
    peer.write_all(response_with_id("b", "full").as_bytes())
        .await
        .expect("written");
    let mut request = OutgoingRequest::new(b"head", &large, &mut progress);
    connection.send(&mut request).await.expect("sent in part");
    assert!(progress.is_incomplete() && !progress.is_unsent());
    assert_eq!(
        receive(&mut connection, "b").await.expect("a response"),
        "full"
    );
}

#[test]
fn request_is_incomplete_until_its_last_byte_is_sent() {
    let mut progress = SendProgress::default();
    assert!(
        progress.is_unsent() && progress.is_incomplete(),
        "the total size is unknown before there is a connection"
    );
    progress = SendProgress {
        bytes_sent: 0,
        total_bytes: 10,
        ..progress
    };
    assert!(progress.is_unsent() && progress.is_incomplete());
    progress.bytes_sent = 9;
    assert!(!progress.is_unsent() && progress.is_incomplete());
    progress.bytes_sent = 10;
    assert!(!progress.is_incomplete());
}

/// An in-memory transport.
struct MemoryTransport(DuplexStream);

impl AsyncRead for MemoryTransport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for MemoryTransport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, data)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl Transport for MemoryTransport {
    fn is_idle(&self) -> bool {
        true
    }
}

/// Returns a connection that has carried these ids, and its peer. Each direction buffers at most `capacity` bytes.
fn memory_connection(
    capacity: usize,
    carried: &[&str],
) -> (UpstreamConnection<MemoryTransport>, DuplexStream) {
    let (own_end, peer) = tokio::io::duplex(capacity);
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut connection = UpstreamConnection::new(
        MemoryTransport(own_end),
        address,
        Duration::ZERO,
        Duration::from_secs(8),
    );
    for id in carried {
        connection
            .carried_ids
            .insert(&HeaderValue::from_str(id).expect("an id"));
    }
    (connection, peer)
}

/// The result of request `b`: the body of its response, the send progress, and whether the connection is reusable.
type ExchangeResult = (Option<String>, SendProgress, bool);

/// Sends request `b` with this body and receives the response, within a minute of paused time.
async fn exchange<S: Transport>(
    connection: &mut UpstreamConnection<S>,
    method: &Method,
    body: &[u8],
) -> ExchangeResult {
    let (id, mut progress) = (HeaderValue::from_static("b"), SendProgress::default());
    let awaited = AwaitedResponse {
        method,
        ..awaited(&id)
    };
    let budget = BodyBudget::new(2 << 20);
    let body = RequestBody::from(body.to_vec());
    let response = async {
        let mut request = OutgoingRequest::new(b"head", &body, &mut progress);
        connection.send(&mut request).await.ok()?;
        connection
            .receive(&awaited, &mut request, &budget)
            .await
            .ok()
    };
    let response = timeout(Duration::from_secs(60), response)
        .await
        .ok()
        .flatten();
    let body = response.map(|r| String::from_utf8_lossy(r.body()).into_owned());
    (body, progress, connection.reusable)
}

#[tokio::test]
async fn connection_carries_each_id_once_and_a_limited_number() {
    let (mut connection, mut peer) = loopback_connection().await;
    for n in 1..=MAX_EXCHANGES {
        let id = HeaderValue::from_str(&n.to_string()).expect("an id");
        assert!(connection.can_carry(&awaited(&id)), "{n}");
        peer.write_all(response_with_id(&n.to_string(), "own").as_bytes())
            .await
            .expect("written");
        assert!(
            receive(&mut connection, &n.to_string()).await.is_some(),
            "{n}"
        );
        assert_eq!(connection.reusable, n < MAX_EXCHANGES, "{n}");
        if n == 3 {
            for earlier in ["1", "2", "3"].map(HeaderValue::from_static) {
                assert!(
                    !connection.can_carry(&awaited(&earlier)),
                    "a surplus response could be taken for the response to a later attempt"
                );
            }
        }
    }
}

#[tokio::test]
async fn used_connection_carries_no_head_request() {
    // A surplus response is framed by the method of the awaited request, and a response to `HEAD` has no body.
    let (id, method) = (HeaderValue::from_static("b"), Method::HEAD);
    let head = AwaitedResponse {
        method: &method,
        ..awaited(&id)
    };
    let (mut connection, mut peer) = memory_connection(4096, &[]);
    assert!(connection.can_carry(&head));
    peer.write_all(b"HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: 9\r\n\r\n")
        .await
        .expect("written");
    let (body, _, reusable) = exchange(&mut connection, &method, b"").await;
    assert_eq!((body.as_deref(), reusable), (Some(""), false));
    assert!(!memory_connection(1, &["a"]).0.can_carry(&head));
}

#[tokio::test(start_paused = true)]
async fn surplus_response_during_writing_does_not_end_the_request() {
    let (surplus, large) = (response_with_id("a", "other"), vec![b'x'; 10_000]);
    let total_bytes = large.len() + b"head".len();
    // The surplus response arrives in two parts or at once; the peer reads the rest of the request only after it.
    for cut in [1, 20, surplus.len() - 1, surplus.len()] {
        let (mut connection, mut peer) = memory_connection(128, &["a"]);
        let upstream = async {
            peer.write_all(&surplus.as_bytes()[..cut])
                .await
                .expect("written");
            peer.read_exact(&mut vec![0; 1000]).await.expect("a part");
            peer.write_all(&surplus.as_bytes()[cut..])
                .await
                .expect("written");
            peer.read_exact(&mut vec![0; total_bytes - 1000])
                .await
                .expect("the rest");
            peer.write_all(response_with_id("b", "own").as_bytes())
                .await
                .expect("written");
        };
        let upstream = timeout(Duration::from_secs(60), upstream);
        let (result, read) =
            tokio::join!(exchange(&mut connection, &Method::POST, &large), upstream);
        assert!(read.is_ok(), "the rest of the request was not written");
        let (body, progress, reusable) = result;
        assert_eq!(
            (body.as_deref(), reusable),
            (Some("own"), false),
            "cut at {cut}"
        );
        assert!(!progress.is_incomplete() && !progress.proves_not_run());
    }
    // The upstream closes the connection after the surplus response, without having received the whole request. It may
    // have begun work on it all the same.
    let (mut connection, mut peer) = memory_connection(128, &["a"]);
    let upstream = async {
        peer.write_all(surplus.as_bytes()).await.expect("written");
        peer.read_exact(&mut vec![0; 1000]).await.expect("a part");
        peer.shutdown().await.expect("closed");
    };
    let (result, ()) = tokio::join!(exchange(&mut connection, &Method::POST, &large), upstream);
    assert!(result.0.is_none() && result.1.is_incomplete() && !result.1.proves_not_run());
}

#[tokio::test(start_paused = true)]
async fn awaited_response_during_writing_stops_it_and_means_may_have_run() {
    let (own, large) = (response_with_id("b", "own"), vec![b'x'; 10_000]);
    let without_id = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    let cases = [
        (&[][..], own.clone(), Some("own")),
        (
            &["a"][..],
            format!("{}{own}", response_with_id("a", "other")),
            Some("own"),
        ),
        // Cut off in its body or its head; without an id; malformed.
        (&["a"][..], own[..own.len() - 1].to_string(), None),
        (&["a"][..], own[..9].to_string(), None),
        (&[][..], without_id.to_string(), None),
        (&["a"][..], without_id.to_string(), None),
        (
            &["a"][..],
            format!("{}noise\r\n\r\n", response_with_id("a", "other")),
            None,
        ),
    ];
    for (carried, text, expected) in cases {
        let (mut connection, mut peer) = memory_connection(128, carried);
        let upstream = async {
            peer.write_all(&text.as_bytes()[..text.len() - 1])
                .await
                .expect("written");
            // Reads the rest of the request, whose writing must stop once the head with the id was received.
            let rest = async { while peer.read(&mut [0; 512]).await.is_ok_and(|n| n > 0) {} };
            if expected.is_some() {
                let _ = timeout(Duration::from_secs(1), rest).await;
            }
            peer.write_all(&text.as_bytes()[text.len() - 1..])
                .await
                .expect("written");
            peer.shutdown().await.expect("closed");
        };
        let (result, ()) = tokio::join!(exchange(&mut connection, &Method::POST, &large), upstream);
        let (body, progress, reusable) = result;
        assert_eq!(body.as_deref(), expected, "{text:?}");
        assert!(
            progress.is_incomplete() && !progress.proves_not_run() && !reusable,
            "{text:?}"
        );
    }
}

/// Regression test: an upstream responded before it had read the whole request and closed the connection, so that the
/// next write failed; the response was lost, although it had arrived.
#[tokio::test(start_paused = true)]
async fn response_that_arrived_before_writing_failed_is_received() {
    let (own, surplus) = (response_with_id("b", "own"), response_with_id("a", "other"));
    let large = vec![b'x'; 10_000];
    let cases = [
        (&[][..], own.clone(), Some("own")),
        (&["a"][..], format!("{surplus}{own}"), Some("own")),
        (&[][..], own[..own.len() - 1].to_string(), None),
        (&["a"][..], surplus, None),
        (&[][..], String::new(), None),
    ];
    for (carried, text, expected) in cases {
        let (mut connection, mut peer) = memory_connection(512, carried);
        let upstream = async {
            peer.read_exact(&mut [0; 100]).await.expect("a part");
            peer.write_all(text.as_bytes()).await.expect("written");
            drop(peer);
        };
        let (result, ()) = tokio::join!(exchange(&mut connection, &Method::POST, &large), upstream);
        let (body, progress, reusable) = result;
        assert_eq!((body.as_deref(), reusable), (expected, false), "{text:?}");
        assert!(progress.is_incomplete() && !progress.proves_not_run());
    }
}

/// Receives this text as the response to a request; the peer then closes the connection. Returns the body of the
/// response and whether the connection is reusable.
async fn exchange_with(carried: &[&str], method: &Method, text: &str) -> (Option<String>, bool) {
    let (mut connection, mut peer) = memory_connection(4 << 20, carried);
    peer.write_all(text.as_bytes()).await.expect("written");
    peer.shutdown().await.expect("closed");
    let (body, progress, reusable) = exchange(&mut connection, method, b"").await;
    assert!(!progress.is_incomplete(), "{text:?}");
    (body, reusable)
}

#[tokio::test(start_paused = true)]
async fn echoed_id_must_match_exactly_and_once() {
    let response = |lines: &str| format!("HTTP/1.1 200 OK\r\n{lines}Content-Length: 3\r\n\r\nown");
    let own = Some("own".to_string());
    for carried in [&[][..], &["a"][..]] {
        let cases = [
            ("Attempt-Id: b\r\n", own.clone()),
            ("ATTEMPT-ID:   b \t\r\n", own.clone()),
            ("", None),
            ("Attempt-Id: B\r\n", None),
            ("Attempt-Id: \"b\"\r\n", None),
            ("Attempt-Id: b, b\r\n", None),
            ("Attempt-Id: b\r\nAttempt-Id: b\r\n", None),
            ("Attempt-Id: b\r\nAttempt-Id: a\r\n", None),
            ("Attempt-Id: a\r\nAttempt-Id: b\r\n", None),
            ("Attempt-Id:\r\n", None),
        ];
        for (lines, expected) in cases {
            assert_eq!(
                exchange_with(carried, &Method::GET, &response(lines))
                    .await
                    .0,
                expected,
                "{lines:?}"
            );
        }
        // Interim responses are skipped whatever they echo, and data after the awaited response is ignored.
        let interim = |lines: &str| {
            format!(
                "HTTP/1.1 103 Early Hints\r\n{lines}\r\n{}",
                response_with_id("b", "own")
            )
        };
        for text in [
            interim(""),
            interim("Attempt-Id: a\r\n"),
            response_with_id("b", "own") + &response(""),
        ] {
            assert_eq!(
                exchange_with(carried, &Method::GET, &text).await.0,
                own,
                "{text:?}"
            );
        }
    }
    // Before the awaited response, one with a missing or repeated id is an error; one with another id is an error only
    // on the first exchange.
    for (preceding, on_new, on_used) in [
        (response(""), None, None),
        (response("Attempt-Id: a\r\nAttempt-Id: a\r\n"), None, None),
        (response("Attempt-Id: a\r\n"), None, own.clone()),
    ] {
        let text = preceding + &response_with_id("b", "own");
        assert_eq!(
            exchange_with(&[], &Method::GET, &text).await.0,
            on_new,
            "{text:?}"
        );
        assert_eq!(
            exchange_with(&["a"], &Method::GET, &text).await.0,
            on_used,
            "{text:?}"
        );
    }
}

const LENGTH: &str = "Content-Length: 3\r\n";

/// Returns the head of a response to request `b`.
fn head(version: &str, status: &str, lines: &str) -> String {
    format!("HTTP/{version} {status}\r\nAttempt-Id: b\r\n{lines}\r\n")
}

fn ok(lines: &str, body: &str) -> String {
    head("1.1", "200 OK", lines) + body
}

fn chunked(body: &str) -> String {
    ok("Transfer-Encoding: chunked\r\n", body)
}

/// Checks that none of these responses is accepted, on a new connection or on one that has carried a request.
async fn assert_refused(responses: &[String]) {
    for text in responses {
        for carried in [&[][..], &["a"][..]] {
            assert_eq!(
                exchange_with(carried, &Method::GET, text).await,
                (None, false),
                "{text:?}"
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn response_with_ambiguous_length_is_refused() {
    assert_refused(&[
        // Bodies that are delimited only by the end of the connection.
        ok("", "own"),
        ok("Connection: close\r\n", "own"),
        head("1.0", "200 OK", "") + "own",
        head("1.1", "500 Error", "") + "own",
        ok("", ""),
        // Invalid or repeated lengths.
        ok("Content-Length: 3\r\nContent-Length: 3\r\n", "own"),
        ok("Content-Length: 3, 3\r\n", "own"),
        ok("Content-Length: -3\r\n", "own"),
        ok("Content-Length: 0x3\r\n", "own"),
        ok("Content-Length: 3 3\r\n", "own"),
        ok("Content-Length:\r\n", "own"),
        ok("Content-Length: 99999999999999999999999\r\n", "own"),
        ok("Content-Length: 4\r\n", "own"),
    ])
    .await;
}

#[tokio::test(start_paused = true)]
async fn response_with_unsupported_coding_is_refused() {
    assert_refused(&[
        ok(
            "Transfer-Encoding: gzip, chunked\r\n",
            "3\r\nown\r\n0\r\n\r\n",
        ),
        ok(
            "Transfer-Encoding: chunked, chunked\r\n",
            "3\r\nown\r\n0\r\n\r\n",
        ),
        ok(
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            "3\r\nown\r\n0\r\n\r\n",
        ),
        ok("Transfer-Encoding: identity\r\n", "own"),
        ok(
            "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
            "3\r\nown\r\n0\r\n\r\n",
        ),
        head("1.0", "200 OK", "Transfer-Encoding: chunked\r\n") + "3\r\nown\r\n0\r\n\r\n",
    ])
    .await;
}

#[tokio::test(start_paused = true)]
async fn response_with_malformed_chunks_is_refused() {
    assert_refused(&[
        chunked("3\r\nown\r\n"),
        chunked("3\r\nown\r\n0\r\n"),
        chunked("3\r\nown\r\n0\r\nTrail: 1\r\n"),
        chunked("3\r\nown\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n"),
        chunked("3\r\nown0\r\n\r\n"),
        chunked("3\nown\n0\n\n"),
        chunked("3\r\nown\r\n0\r\n\n"),
        chunked("3;x=\n\"\r\nown\r\n0\r\n\r\n"),
        chunked("3;x=\r\"\r\nown\r\n0\r\n\r\n"),
        chunked("\r\nown\r\n0\r\n\r\n"),
        chunked(" 3\r\nown\r\n0\r\n\r\n"),
        chunked("+3\r\nown\r\n0\r\n\r\n"),
        chunked("0x3\r\nown\r\n0\r\n\r\n"),
        chunked("3 3\r\nown\r\n0\r\n\r\n"),
        chunked("10000000000000003\r\nown\r\n0\r\n\r\n"),
        chunked("fffffffffffffffe\r\nown\r\n0\r\n\r\n"),
    ])
    .await;
}

#[tokio::test(start_paused = true)]
async fn response_with_malformed_head_or_forbidden_body_is_refused() {
    assert_refused(&[
        // Malformed heads.
        ok("Content-Length: 3\n", "own"),
        ok("X: 1\r\n folded\r\nContent-Length: 3\r\n", "own"),
        ok("X: \0\r\nContent-Length: 3\r\n", "own"),
        ok("X : 1\r\nContent-Length: 3\r\n", "own"),
        ok("X: 1\rContent-Length: 3\r\n", "own"),
        head("1.1", "600 Odd", LENGTH) + "own",
        head("1.1", "099 Odd", LENGTH) + "own",
        head("2.0", "200 OK", LENGTH) + "own",
        // A body is announced where none is allowed.
        head("1.1", "204 No Content", LENGTH) + "own",
        head("1.1", "204 No Content", "Transfer-Encoding: chunked\r\n") + "0\r\n\r\n",
        head("1.1", "103 Early Hints", LENGTH) + "own" + &response_with_id("b", "own"),
    ])
    .await;
}

#[tokio::test(start_paused = true)]
async fn unambiguously_framed_response_is_accepted() {
    let own = Some("own".to_string());
    for text in [
        ok(LENGTH, "own"),
        ok("Content-Length: 003\r\n", "own"),
        head("1.0", "200 OK", LENGTH) + "own",
        chunked("3\r\nown\r\n0\r\n\r\n"),
        chunked("1;x\r\no\r\n002 ;x=\"y\"\r\nwn\r\n0;z\r\nTrail: 1\r\nTrail: 2\r\n\r\n"),
    ] {
        assert_eq!(
            exchange_with(&[], &Method::GET, &text).await.0,
            own,
            "{text:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn connection_is_reusable_unless_the_response_closes_it() {
    let own = Some("own".to_string());
    for (text, reusable) in [
        (ok(LENGTH, "own"), true),
        (head("1.0", "200 OK", LENGTH) + "own", false),
        (
            ok("Connection: x, Close\r\nContent-Length: 3\r\n", "own"),
            false,
        ),
    ] {
        assert_eq!(
            exchange_with(&[], &Method::GET, &text).await,
            (own.clone(), reusable),
            "{text:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn response_without_body_ends_with_its_head() {
    // These responses have no body, whatever their heads announce.
    let empty = Some(String::new());
    for (method, text) in [
        (Method::GET, head("1.1", "204 No Content", "") + "own"),
        (Method::GET, head("1.1", "304 Not Modified", LENGTH) + "own"),
        (Method::HEAD, ok(LENGTH, "own")),
        (Method::HEAD, ok("Transfer-Encoding: chunked\r\n", "")),
    ] {
        assert_eq!(
            exchange_with(&[], &method, &text).await,
            (empty.clone(), false),
            "{text:?}"
        );
    }
    for lines in [
        "204 No Content\r\nContent-Length: 0",
        "304 Not Modified\r\nContent-Length: 9",
    ] {
        let text = head("1.1", lines, "");
        assert_eq!(
            exchange_with(&[], &Method::GET, &text).await,
            (empty.clone(), true),
            "{text:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn body_is_limited_by_size_and_budget() {
    for (size, fits) in [(MAX_RESPONSE_BYTES, true), (MAX_RESPONSE_BYTES + 1, false)] {
        let body = "x".repeat(size);
        let chunked = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n\
             {size:x}\r\n{body}\r\n0\r\n\r\n"
        );
        for text in [response_with_id("b", &body), chunked] {
            let read = exchange_with(&[], &Method::GET, &text).await.0;
            assert!(read == fits.then(|| body.clone()), "{size}");
        }
    }
    // The budget is too small for the first response. Skipped responses do not count towards it.
    let small_budget = BodyBudget::new(500);
    let text = |id: &str, size: usize| {
        let body = "x".repeat(size);
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n\
             1\r\nx\r\n{size:x}\r\n{body}\r\n0\r\n\r\n"
        )
    };
    for (response, fits) in [
        (text("b", 1000), false),
        (text("a", 1000) + &text("b", 99), true),
    ] {
        let (mut connection, mut peer) = memory_connection(1 << 16, &["a"]);
        peer.write_all(response.as_bytes()).await.expect("written");
        let (id, mut progress) = (HeaderValue::from_static("b"), SendProgress::default());
        let body = RequestBody::default();
        let mut request = OutgoingRequest::new(b"head", &body, &mut progress);
        connection.send(&mut request).await.expect("written");
        let received = connection
            .receive(&awaited(&id), &mut request, &small_budget)
            .await;
        assert_eq!(received.as_ref().is_ok_and(|r| r.body().len() == 100), fits);
        assert!(
            received.is_ok() || !progress.proves_not_run(),
            "a request whose response has begun may have run"
        );
        drop(received);
        assert!(
            small_budget.reserve(500).is_some(),
            "all of the budget is released"
        );
    }
}

/// Regression test: an upstream stopped in the middle of a response without closing the connection, and then wrote a
/// late second response to an earlier request. The two were taken for one response.
#[tokio::test]
async fn response_containing_another_one_is_refused() {
    let (own, surplus) = (
        response_with_id("b", &"own".repeat(100)),
        response_with_id("a", &"other".repeat(40)),
    );
    let body_start = own.find("\r\n\r\n").expect("a head") + 4;
    // Cut within the body: the missing part is filled by the complete other response, a part of it, or its head.
    for cut in [
        body_start,
        body_start + 10,
        body_start + 100,
        body_start + 200,
        body_start + 280,
        own.len() - 20,
    ] {
        let mixed = format!("{}{surplus}", &own[..cut]);
        assert_eq!(
            receive_chunks(&[&mixed]).await,
            (None, false),
            "cut at {cut}"
        );
        assert_eq!(
            receive_chunks(&[&own[..cut], &surplus]).await,
            (None, false),
            "cut at {cut}"
        );
    }
    // Cut within the head of either response, so that the status is of one response and the body of the other.
    for cut in 0..body_start {
        for (first, second) in [(&own, &surplus), (&surplus, &own)] {
            let mixed = format!("{}{second}", &first[..cut.min(first.len())]);
            let (body, _) = receive_chunks(&[&mixed]).await;
            let is_uncut = cut == 0 && std::ptr::eq(second, &own);
            assert_eq!(
                body.as_deref(),
                is_uncut.then_some(&own[body_start..]),
                "cut at {cut}"
            );
        }
    }
    // A body may contain the text of a response if the connection has not carried its request.
    let quoting_response = response_with_id("b", &format!("seen: {}", response_with_id("c", "x")));
    let body =
        quoting_response[quoting_response.find("\r\n\r\n").expect("a head") + 4..].to_string();
    assert_eq!(
        receive_chunks(&[&quoting_response]).await,
        (Some(body), true)
    );
    let protocol = "asked over HTTP/1.1";
    assert_eq!(
        receive_chunks(&[&response_with_id("b", protocol)]).await,
        (Some(protocol.to_string()), true)
    );
}
