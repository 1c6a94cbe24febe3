//! One connection to an upstream: which request each response answers, and what is not a response.

use hyper::header::{HeaderName, HeaderValue};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadBuf};
use tokio::net::TcpListener;
use tokio::time::timeout;

use super::matching::MAX_EXCHANGES;
use super::*;

static ID: HeaderName = HeaderName::from_static("attempt-id");

fn answer(id: &str, body: &str) -> String {
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
    let all = BodyBudget::new(1 << 20);
    let mut sent = SendProgress::default();
    let mut request = OutgoingRequest::new(b"x", b"", &mut sent);
    request.progress.bytes_sent = 1;
    connection
        .receive(&awaited(&id), &mut request, &all)
        .await
        .ok()
        .map(Response::into_body)
}

/// Sends these chunks on the wire; the body that request `b` gets, and whether the connection is reusable then.
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
    let (own, surplus) = (answer("b", "own"), answer("a", "other"));
    let chunked = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n\
        3\r\nxyz\r\n2;x=1\r\nab\r\n0\r\nTrail: 1\r\n\r\n";
    let hints = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    let own_text = Some("own".to_string());
    assert_eq!(receive_chunks(&[&own]).await, (own_text.clone(), true));
    assert_eq!(
        receive_chunks(&[hints, &own]).await,
        (own_text.clone(), true)
    );
    // Whole, split within its head and its body, in one chunk with the next, chunked, twice.
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
    // What follows is not the next one's either.
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
        answer("a", "other"),
        answer("b", "own")[..54].to_string(),
        format!("{}noise\r\n\r\n", answer("a", "other")),
        format!("xx{}", answer("b", "own")),
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
        "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(MAX_OTHER_RESPONSES + 1),
    ];
    for text in cases {
        assert_eq!(receive_chunks(&[&text]).await, (None, false), "{text:?}");
    }
}

/// The body that a request without an id gets on this connection.
async fn receive_without_id(connection: &mut UpstreamConnection) -> Option<Bytes> {
    let mut sent = SendProgress::default();
    let mut request = OutgoingRequest::new(b"x", b"", &mut sent);
    request.progress.bytes_sent = 1;
    let awaited = AwaitedResponse {
        method: &Method::GET,
        echoed_id: Some(EchoedId {
            header: &ID,
            value: None,
        }),
    };
    let all = BodyBudget::new(1 << 20);
    connection
        .receive(&awaited, &mut request, &all)
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
        "it does not say which request it answers"
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
        "the next answer could be the surplus of this one"
    );

    // After another exchange it could be the surplus of that one.
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
    peer.write_all(answer("b", "own").as_bytes())
        .await
        .expect("written");
    assert!(receive(&mut connection, "b").await.is_some() && connection.reusable);
    let (b, c) = (HeaderValue::from_static("b"), HeaderValue::from_static("c"));
    assert!(
        !connection.can_carry(&awaited(&b)),
        "its response may come again"
    );
    assert!(connection.can_carry(&awaited(&c)));
    peer.write_all(answer("b", "own").as_bytes())
        .await
        .expect("written");
    peer.flush().await.expect("flushed");
    connection.stream.readable().await.expect("it came");
    assert!(
        !connection.can_carry(&awaited(&c)),
        "an unexpected response has come"
    );
}

#[tokio::test]
async fn response_before_the_request_is_written_is_received() {
    let (mut connection, mut peer) = loopback_connection().await;
    let mut sent = SendProgress::default();
    let large = vec![b'x'; 64 << 20];
    peer.write_all(answer("b", "full").as_bytes())
        .await
        .expect("written");
    let mut request = OutgoingRequest::new(b"head", &large, &mut sent);
    connection.send(&mut request).await.expect("it spoke");
    assert!(sent.is_incomplete() && !sent.is_unsent());
    assert_eq!(
        receive(&mut connection, "b").await.expect("its word"),
        "full"
    );
}

#[test]
fn only_an_incomplete_request_is_proof_of_not_run() {
    let mut sent = SendProgress::default();
    assert!(
        sent.is_unsent() && sent.is_incomplete(),
        "no connection yet"
    );
    sent = SendProgress {
        bytes_sent: 0,
        total_bytes: 10,
        ..sent
    };
    assert!(sent.is_unsent() && sent.is_incomplete());
    sent.bytes_sent = 9;
    assert!(!sent.is_unsent() && sent.is_incomplete());
    sent.bytes_sent = 10;
    assert!(!sent.is_incomplete());
}

/// A connection within this process.
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

/// A connection that has carried these ids, and its peer, which buffers no more than `capacity` unread bytes.
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

/// What ended of request `b`: the body of its response, how much of it was sent, whether another may follow.
type ExchangeEnd = (Option<String>, SendProgress, bool);

/// Sends a request of a head and a body, and reads its answer; gives up after a minute of paused time.
async fn exchange<S: Transport>(
    connection: &mut UpstreamConnection<S>,
    method: &Method,
    body: &[u8],
) -> ExchangeEnd {
    let (id, mut sent) = (HeaderValue::from_static("b"), SendProgress::default());
    let awaited = AwaitedResponse {
        method,
        ..awaited(&id)
    };
    let all = BodyBudget::new(2 << 20);
    let answer = async {
        let mut request = OutgoingRequest::new(b"head", body, &mut sent);
        connection.send(&mut request).await.ok()?;
        connection.receive(&awaited, &mut request, &all).await.ok()
    };
    let answer = timeout(Duration::from_secs(60), answer)
        .await
        .ok()
        .flatten();
    let body = answer.map(|a| String::from_utf8_lossy(a.body()).into_owned());
    (body, sent, connection.reusable)
}

#[tokio::test]
async fn connection_carries_each_id_once_and_a_limited_number() {
    let (mut connection, mut peer) = loopback_connection().await;
    for n in 1..=MAX_EXCHANGES {
        let id = HeaderValue::from_str(&n.to_string()).expect("an id");
        assert!(connection.can_carry(&awaited(&id)), "{n}");
        peer.write_all(answer(&n.to_string(), "own").as_bytes())
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
                    "its surplus would answer its next attempt"
                );
            }
        }
    }
}

#[tokio::test]
async fn used_connection_carries_no_head_request() {
    // A surplus answer is read by the method of the request that is awaited.
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
    let (surplus, large) = (answer("a", "other"), vec![b'x'; 10_000]);
    let whole = large.len() + b"head".len();
    // The surplus comes at once and in two halves; the rest of the request is read only after it.
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
            peer.read_exact(&mut vec![0; whole - 1000])
                .await
                .expect("all of it");
            peer.write_all(answer("b", "own").as_bytes())
                .await
                .expect("written");
        };
        let upstream = timeout(Duration::from_secs(60), upstream);
        let (ended, read) =
            tokio::join!(exchange(&mut connection, &Method::POST, &large), upstream);
        assert!(read.is_ok(), "the rest was never written");
        let (body, sent, reusable) = ended;
        assert_eq!(
            (body.as_deref(), reusable),
            (Some("own"), false),
            "cut at {cut}"
        );
        assert!(!sent.is_incomplete() && !sent.proves_not_run());
    }
    // The upstream breaks off after the surplus: nobody has had the whole request.
    let (mut connection, mut peer) = memory_connection(128, &["a"]);
    let upstream = async {
        peer.write_all(surplus.as_bytes()).await.expect("written");
        peer.read_exact(&mut vec![0; 1000]).await.expect("a part");
        peer.shutdown().await.expect("closed");
    };
    let (ended, ()) = tokio::join!(exchange(&mut connection, &Method::POST, &large), upstream);
    assert!(ended.0.is_none() && ended.1.proves_not_run() && !ended.1.is_unsent());
}

#[tokio::test(start_paused = true)]
async fn own_response_during_writing_stops_it_and_counts_as_run() {
    let (own, large) = (answer("b", "own"), vec![b'x'; 10_000]);
    let without_id = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    let cases = [
        (&[][..], own.clone(), Some("own")),
        (
            &["a"][..],
            format!("{}{own}", answer("a", "other")),
            Some("own"),
        ),
        // Begun and cut short, in its body or its head; not response whose it is; garbled.
        (&["a"][..], own[..own.len() - 1].to_string(), None),
        (&["a"][..], own[..9].to_string(), None),
        (&[][..], without_id.to_string(), None),
        (&["a"][..], without_id.to_string(), None),
        (
            &["a"][..],
            format!("{}noise\r\n\r\n", answer("a", "other")),
            None,
        ),
    ];
    for (carried, text, expected) in cases {
        let (mut connection, mut peer) = memory_connection(128, carried);
        let upstream = async {
            peer.write_all(&text.as_bytes()[..text.len() - 1])
                .await
                .expect("written");
            // Whatever still comes of the request is taken, once the head says whose the answer is.
            let rest = async { while peer.read(&mut [0; 512]).await.is_ok_and(|n| n > 0) {} };
            if expected.is_some() {
                let _ = timeout(Duration::from_secs(1), rest).await;
            }
            peer.write_all(&text.as_bytes()[text.len() - 1..])
                .await
                .expect("written");
            peer.shutdown().await.expect("closed");
        };
        let (ended, ()) = tokio::join!(exchange(&mut connection, &Method::POST, &large), upstream);
        let (body, sent, reusable) = ended;
        assert_eq!(body.as_deref(), expected, "{text:?}");
        assert!(
            sent.is_incomplete() && !sent.proves_not_run() && !reusable,
            "{text:?}"
        );
    }
}

/// The body of this response to a request, and whether another may follow; the peer then closes.
async fn exchange_with(carried: &[&str], method: &Method, text: &str) -> (Option<String>, bool) {
    let (mut connection, mut peer) = memory_connection(4 << 20, carried);
    peer.write_all(text.as_bytes()).await.expect("written");
    peer.shutdown().await.expect("closed");
    let (body, sent, reusable) = exchange(&mut connection, method, b"").await;
    assert!(!sent.is_incomplete(), "{text:?}");
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
        // Interim answers are nobody's, whatever they echo; a second one without an echo is nobody's either.
        let interim = |lines: &str| {
            format!(
                "HTTP/1.1 103 Early Hints\r\n{lines}\r\n{}",
                answer("b", "own")
            )
        };
        for text in [
            interim(""),
            interim("Attempt-Id: a\r\n"),
            answer("b", "own") + &response(""),
        ] {
            assert_eq!(
                exchange_with(carried, &Method::GET, &text).await.0,
                own,
                "{text:?}"
            );
        }
    }
    // Ahead of an own one, what may be the own one ends it all; another's does so where there was no other.
    for (ahead, fresh, used) in [
        (response(""), None, None),
        (response("Attempt-Id: a\r\nAttempt-Id: a\r\n"), None, None),
        (response("Attempt-Id: a\r\n"), None, own.clone()),
    ] {
        let text = ahead + &answer("b", "own");
        assert_eq!(
            exchange_with(&[], &Method::GET, &text).await.0,
            fresh,
            "{text:?}"
        );
        assert_eq!(
            exchange_with(&["a"], &Method::GET, &text).await.0,
            used,
            "{text:?}"
        );
    }
}

const LENGTH: &str = "Content-Length: 3\r\n";

/// A head that answers request `b`.
fn head(version: &str, status: &str, lines: &str) -> String {
    format!("HTTP/{version} {status}\r\nAttempt-Id: b\r\n{lines}\r\n")
}

fn ok(lines: &str, body: &str) -> String {
    head("1.1", "200 OK", lines) + body
}

fn chunked(body: &str) -> String {
    ok("Transfer-Encoding: chunked\r\n", body)
}

/// None of these responses is accepted, on a new connection or on one that has carried a request.
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
        // Only the end of the connection ends it: whole, cut, and with an older version.
        ok("", "own"),
        ok("Connection: close\r\n", "own"),
        head("1.0", "200 OK", "") + "own",
        head("1.1", "500 Error", "") + "own",
        ok("", ""),
        // Lengths.
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
        // Codings.
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
        // Chunks.
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
        // Heads.
        ok("Content-Length: 3\n", "own"),
        ok("X: 1\r\n folded\r\nContent-Length: 3\r\n", "own"),
        ok("X: \0\r\nContent-Length: 3\r\n", "own"),
        ok("X : 1\r\nContent-Length: 3\r\n", "own"),
        ok("X: 1\rContent-Length: 3\r\n", "own"),
        head("1.1", "600 Odd", LENGTH) + "own",
        head("1.1", "099 Odd", LENGTH) + "own",
        head("2.0", "200 OK", LENGTH) + "own",
        // No body may come, and one is announced.
        head("1.1", "204 No Content", LENGTH) + "own",
        head("1.1", "204 No Content", "Transfer-Encoding: chunked\r\n") + "0\r\n\r\n",
        head("1.1", "103 Early Hints", LENGTH) + "own" + &answer("b", "own"),
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
    // Whether another request may follow.
    for (text, follows) in [
        (ok(LENGTH, "own"), true),
        (head("1.0", "200 OK", LENGTH) + "own", false),
        (
            ok("Connection: x, Close\r\nContent-Length: 3\r\n", "own"),
            false,
        ),
    ] {
        assert_eq!(
            exchange_with(&[], &Method::GET, &text).await,
            (own.clone(), follows),
            "{text:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn response_without_body_ends_with_its_head() {
    // Without a body, whatever they announce; what follows is nobody's.
    let none = Some(String::new());
    for (method, text) in [
        (Method::GET, head("1.1", "204 No Content", "") + "own"),
        (Method::GET, head("1.1", "304 Not Modified", LENGTH) + "own"),
        (Method::HEAD, ok(LENGTH, "own")),
        (Method::HEAD, ok("Transfer-Encoding: chunked\r\n", "")),
    ] {
        assert_eq!(
            exchange_with(&[], &method, &text).await,
            (none.clone(), false),
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
            (none.clone(), true),
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
        for text in [answer("b", &body), chunked] {
            let read = exchange_with(&[], &Method::GET, &text).await.0;
            assert!(read == fits.then(|| body.clone()), "{size}");
        }
    }
    // Room for a half of it: midway there is none left, and a surplus answer takes none.
    let half = BodyBudget::new(500);
    let text = |id: &str, size: usize| {
        let body = "x".repeat(size);
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n\
             1\r\nx\r\n{size:x}\r\n{body}\r\n0\r\n\r\n"
        )
    };
    for (response, whole) in [
        (text("b", 1000), false),
        (text("a", 1000) + &text("b", 99), true),
    ] {
        let (mut connection, mut peer) = memory_connection(1 << 16, &["a"]);
        peer.write_all(response.as_bytes()).await.expect("written");
        let (id, mut sent) = (HeaderValue::from_static("b"), SendProgress::default());
        let mut request = OutgoingRequest::new(b"head", b"", &mut sent);
        connection.send(&mut request).await.expect("written");
        let answer = connection.receive(&awaited(&id), &mut request, &half).await;
        assert_eq!(answer.as_ref().is_ok_and(|a| a.body().len() == 100), whole);
        assert!(
            answer.is_ok() || !sent.proves_not_run(),
            "what has begun to answer has run"
        );
        drop(answer);
        assert!(half.reserve(500).is_some(), "all of it is given back");
    }
}

/// Once an upstream stopped in the middle of a response without closing, and then wrote a late second response to an
/// earlier request: the two were taken for one.
#[tokio::test]
async fn response_with_another_one_inside_is_refused() {
    let (own, surplus) = (
        answer("b", &"own".repeat(100)),
        answer("a", &"other".repeat(40)),
    );
    let head = own.find("\r\n\r\n").expect("a head") + 4;
    // Cut within its body: what is missing is made up by the whole of the other answer, a part of it, or its head.
    for cut in [
        head,
        head + 10,
        head + 100,
        head + 200,
        head + 280,
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
    // Cut within its head, the other way round too: the status of one, the body of the other.
    for cut in 0..head {
        for (first, second) in [(&own, &surplus), (&surplus, &own)] {
            let mixed = format!("{}{second}", &first[..cut.min(first.len())]);
            let (body, _) = receive_chunks(&[&mixed]).await;
            let uncut = cut == 0 && std::ptr::eq(second, &own);
            assert_eq!(
                body.as_deref(),
                uncut.then_some(&own[head..]),
                "cut at {cut}"
            );
        }
    }
    // A body may speak of answers all the same: it is not one that this connection has carried.
    let told_of = answer("b", &format!("seen: {}", answer("c", "x")));
    let body = told_of[told_of.find("\r\n\r\n").expect("a head") + 4..].to_string();
    assert_eq!(receive_chunks(&[&told_of]).await, (Some(body), true));
    let protocol = "asked over HTTP/1.1";
    assert_eq!(
        receive_chunks(&[&answer("b", protocol)]).await,
        (Some(protocol.to_string()), true)
    );
}
