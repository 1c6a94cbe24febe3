//! One connection to an upstream over loopback: whose each answer is, and what is none.

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

async fn pair() -> (UpstreamConnection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(at).await.expect("a connection");
    let (far, _) = listener.accept().await.expect("accepted");
    (
        UpstreamConnection::new(stream, at, Duration::ZERO, Duration::from_secs(8)),
        far,
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

async fn receive(link: &mut UpstreamConnection, id: &str) -> Option<Bytes> {
    let id = HeaderValue::from_str(id).expect("an id");
    let all = BodyBudget::new(1 << 20);
    let mut sent = SendProgress::default();
    let mut request = OutgoingRequest::new(b"x", b"", &mut sent);
    request.progress.bytes_sent = 1;
    link.receive(&awaited(&id), &mut request, &all)
        .await
        .ok()
        .map(Response::into_body)
}

/// What comes on the wire, in pieces; whether `b` gets its answer, and may be followed.
async fn told(pieces: &[&str]) -> (Option<String>, bool) {
    let (mut link, mut far) = pair().await;
    link.carried_ids.insert(&HeaderValue::from_static("a"));
    let pieces: Vec<String> = pieces.iter().map(ToString::to_string).collect();
    let upstream = async move {
        for piece in pieces {
            far.write_all(piece.as_bytes()).await.expect("written");
            far.flush().await.expect("flushed");
            tokio::task::yield_now().await;
        }
    };
    let (body, ()) = tokio::join!(receive(&mut link, "b"), upstream);
    (
        body.map(|b| String::from_utf8_lossy(&b).into_owned()),
        link.reusable,
    )
}

#[tokio::test]
async fn an_answer_belongs_to_a_request_by_its_id_wherever_it_stands() {
    let (own, surplus) = (answer("b", "own"), answer("a", "other"));
    let chunked = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n\
        3\r\nxyz\r\n2;x=1\r\nab\r\n0\r\nTrail: 1\r\n\r\n";
    let hints = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    let own_text = Some("own".to_string());
    assert_eq!(told(&[&own]).await, (own_text.clone(), true));
    assert_eq!(told(&[hints, &own]).await, (own_text.clone(), true));
    // Whole, split within its head and its body, in one piece with the next, chunked, twice.
    let both = format!("{surplus}{own}");
    for pieces in [
        vec![&surplus[..], &own],
        vec![&surplus[..20], &surplus[20..], &own[..54], &own[54..]],
        vec![&both],
        vec![chunked, &own],
        vec![&surplus, &surplus, hints, &own],
    ] {
        assert_eq!(told(&pieces).await, (own_text.clone(), false), "{pieces:?}");
    }
    // What follows is not the next one's either.
    let after = format!("{own}{surplus}");
    assert_eq!(told(&[&after]).await, (own_text.clone(), false));
    let more = format!("{own}\r\n");
    assert_eq!(told(&[&more]).await, (own_text, false));
}

#[tokio::test]
async fn what_is_cut_short_garbled_or_nobodys_is_no_answer() {
    let nameless = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
    let cases = [
        nameless.to_string(),
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
        assert_eq!(told(&[&text]).await, (None, false), "{text:?}");
    }
}

/// What a request without an id is answered on this connection.
async fn receive_unnamed(link: &mut UpstreamConnection) -> Option<Bytes> {
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
    link.receive(&awaited, &mut request, &all)
        .await
        .ok()
        .map(Response::into_body)
}

#[tokio::test]
async fn an_answer_without_an_echo_is_only_that_to_a_request_without_an_id() {
    let nameless = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
    let (mut link, mut far) = pair().await;
    far.write_all(nameless).await.expect("written");
    assert_eq!(
        receive(&mut link, "b").await,
        None,
        "it does not say whose it is"
    );
    assert!(!link.reusable);

    let (mut link, mut far) = pair().await;
    far.write_all(nameless).await.expect("written");
    assert_eq!(receive_unnamed(&mut link).await.expect("the first"), "own");
    assert!(
        !link.reusable,
        "the next answer could be the surplus of this one"
    );

    // After another exchange it could be the surplus of that one.
    let (mut link, mut far) = pair().await;
    link.carried_ids.insert(&HeaderValue::from_static("a"));
    let awaited = AwaitedResponse {
        method: &Method::GET,
        echoed_id: Some(EchoedId {
            header: &ID,
            value: None,
        }),
    };
    assert!(!link.can_carry(&awaited));
    far.write_all(nameless).await.expect("written");
    drop(far);
    assert_eq!(receive_unnamed(&mut link).await, None);
}

#[tokio::test]
async fn a_connection_is_not_used_again_for_the_same_id_or_with_something_on_it() {
    let (mut link, mut far) = pair().await;
    far.write_all(answer("b", "own").as_bytes())
        .await
        .expect("written");
    assert!(receive(&mut link, "b").await.is_some() && link.reusable);
    let (b, c) = (HeaderValue::from_static("b"), HeaderValue::from_static("c"));
    assert!(
        !link.can_carry(&awaited(&b)),
        "its first answer may come again"
    );
    assert!(link.can_carry(&awaited(&c)));
    far.write_all(answer("b", "own").as_bytes())
        .await
        .expect("written");
    far.flush().await.expect("flushed");
    link.stream.readable().await.expect("it came");
    assert!(
        !link.can_carry(&awaited(&c)),
        "something unasked for has come"
    );
}

#[tokio::test]
async fn what_the_upstream_says_before_all_is_written_is_heard() {
    let (mut link, mut far) = pair().await;
    let mut sent = SendProgress::default();
    let large = vec![b'x'; 64 << 20];
    far.write_all(answer("b", "full").as_bytes())
        .await
        .expect("written");
    let mut request = OutgoingRequest::new(b"head", &large, &mut sent);
    link.send(&mut request).await.expect("it spoke");
    assert!(sent.is_incomplete() && !sent.is_unsent());
    assert_eq!(receive(&mut link, "b").await.expect("its word"), "full");
}

#[test]
fn only_what_is_certainly_not_whole_never_ran() {
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

/// A connection within this process, whose far side takes in no more than `room` bytes unread.
struct Memory(DuplexStream);

impl AsyncRead for Memory {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for Memory {
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

impl Transport for Memory {
    fn is_idle(&self) -> bool {
        true
    }
}

/// A connection that has carried these ids, and its far side.
fn memory(room: usize, carried: &[&str]) -> (UpstreamConnection<Memory>, DuplexStream) {
    let (near, far) = tokio::io::duplex(room);
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut link = UpstreamConnection::new(
        Memory(near),
        address,
        Duration::ZERO,
        Duration::from_secs(8),
    );
    for id in carried {
        link.carried_ids
            .insert(&HeaderValue::from_str(id).expect("an id"));
    }
    (link, far)
}

/// What became of a request by `b`: its answer's body, how far it was sent, whether another may follow.
type Became = (Option<String>, SendProgress, bool);

/// Sends a request of a head and a body, and reads its answer; gives up after a minute of paused time.
async fn exchange<S: Transport>(
    link: &mut UpstreamConnection<S>,
    method: &Method,
    body: &[u8],
) -> Became {
    let (id, mut sent) = (HeaderValue::from_static("b"), SendProgress::default());
    let awaited = AwaitedResponse {
        method,
        ..awaited(&id)
    };
    let all = BodyBudget::new(2 << 20);
    let answer = async {
        let mut request = OutgoingRequest::new(b"head", body, &mut sent);
        link.send(&mut request).await.ok()?;
        link.receive(&awaited, &mut request, &all).await.ok()
    };
    let answer = timeout(Duration::from_secs(60), answer)
        .await
        .ok()
        .flatten();
    let body = answer.map(|a| String::from_utf8_lossy(a.body()).into_owned());
    (body, sent, link.reusable)
}

#[tokio::test]
async fn no_connection_carries_an_id_twice_or_more_ids_than_it_remembers() {
    let (mut link, mut far) = pair().await;
    for n in 1..=MAX_EXCHANGES {
        let id = HeaderValue::from_str(&n.to_string()).expect("an id");
        assert!(link.can_carry(&awaited(&id)), "{n}");
        far.write_all(answer(&n.to_string(), "own").as_bytes())
            .await
            .expect("written");
        assert!(receive(&mut link, &n.to_string()).await.is_some(), "{n}");
        assert_eq!(link.reusable, n < MAX_EXCHANGES, "{n}");
        if n == 3 {
            for earlier in ["1", "2", "3"].map(HeaderValue::from_static) {
                assert!(
                    !link.can_carry(&awaited(&earlier)),
                    "its surplus would answer its next try"
                );
            }
        }
    }
}

#[tokio::test]
async fn a_connection_that_has_carried_a_request_carries_none_by_head() {
    // A surplus answer is read by the method of the request that is awaited.
    let (id, method) = (HeaderValue::from_static("b"), Method::HEAD);
    let head = AwaitedResponse {
        method: &method,
        ..awaited(&id)
    };
    let (mut link, mut far) = memory(4096, &[]);
    assert!(link.can_carry(&head));
    far.write_all(b"HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: 9\r\n\r\n")
        .await
        .expect("written");
    let (body, _, reusable) = exchange(&mut link, &method, b"").await;
    assert_eq!((body.as_deref(), reusable), (Some(""), false));
    assert!(!memory(1, &["a"]).0.can_carry(&head));
}

#[tokio::test(start_paused = true)]
async fn a_surplus_answer_during_the_writing_settles_nothing_of_the_request() {
    let (surplus, large) = (answer("a", "other"), vec![b'x'; 10_000]);
    let whole = large.len() + b"head".len();
    // The surplus comes at once and in two halves; the rest of the request is read only after it.
    for cut in [1, 20, surplus.len() - 1, surplus.len()] {
        let (mut link, mut far) = memory(128, &["a"]);
        let upstream = async {
            far.write_all(&surplus.as_bytes()[..cut])
                .await
                .expect("written");
            far.read_exact(&mut vec![0; 1000]).await.expect("a part");
            far.write_all(&surplus.as_bytes()[cut..])
                .await
                .expect("written");
            far.read_exact(&mut vec![0; whole - 1000])
                .await
                .expect("all of it");
            far.write_all(answer("b", "own").as_bytes())
                .await
                .expect("written");
        };
        let upstream = timeout(Duration::from_secs(60), upstream);
        let (became, read) = tokio::join!(exchange(&mut link, &Method::POST, &large), upstream);
        assert!(read.is_ok(), "the rest was never written");
        let (body, sent, reusable) = became;
        assert_eq!(
            (body.as_deref(), reusable),
            (Some("own"), false),
            "cut at {cut}"
        );
        assert!(!sent.is_incomplete() && !sent.proves_not_run());
    }
    // The upstream breaks off after the surplus: nobody has had the whole request.
    let (mut link, mut far) = memory(128, &["a"]);
    let upstream = async {
        far.write_all(surplus.as_bytes()).await.expect("written");
        far.read_exact(&mut vec![0; 1000]).await.expect("a part");
        far.shutdown().await.expect("closed");
    };
    let (became, ()) = tokio::join!(exchange(&mut link, &Method::POST, &large), upstream);
    assert!(became.0.is_none() && became.1.proves_not_run() && !became.1.is_unsent());
}

#[tokio::test(start_paused = true)]
async fn an_own_answer_during_the_writing_ends_it_and_may_mean_that_it_ran() {
    let (own, large) = (answer("b", "own"), vec![b'x'; 10_000]);
    let unechoed = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    let cases = [
        (&[][..], own.clone(), Some("own")),
        (
            &["a"][..],
            format!("{}{own}", answer("a", "other")),
            Some("own"),
        ),
        // Begun and cut short, in its body or its head; not said whose it is; garbled.
        (&["a"][..], own[..own.len() - 1].to_string(), None),
        (&["a"][..], own[..9].to_string(), None),
        (&[][..], unechoed.to_string(), None),
        (&["a"][..], unechoed.to_string(), None),
        (
            &["a"][..],
            format!("{}noise\r\n\r\n", answer("a", "other")),
            None,
        ),
    ];
    for (carried, text, expected) in cases {
        let (mut link, mut far) = memory(128, carried);
        let upstream = async {
            far.write_all(&text.as_bytes()[..text.len() - 1])
                .await
                .expect("written");
            // Whatever still comes of the request is taken, once the head says whose the answer is.
            let rest = async { while far.read(&mut [0; 512]).await.is_ok_and(|n| n > 0) {} };
            if expected.is_some() {
                let _ = timeout(Duration::from_secs(1), rest).await;
            }
            far.write_all(&text.as_bytes()[text.len() - 1..])
                .await
                .expect("written");
            far.shutdown().await.expect("closed");
        };
        let (became, ()) = tokio::join!(exchange(&mut link, &Method::POST, &large), upstream);
        let (body, sent, reusable) = became;
        assert_eq!(body.as_deref(), expected, "{text:?}");
        assert!(
            sent.is_incomplete() && !sent.proves_not_run() && !reusable,
            "{text:?}"
        );
    }
}

/// The answer to a request that was written, and whether another may follow; the far side then closes.
async fn outcome(carried: &[&str], method: &Method, text: &str) -> (Option<String>, bool) {
    let (mut link, mut far) = memory(4 << 20, carried);
    far.write_all(text.as_bytes()).await.expect("written");
    far.shutdown().await.expect("closed");
    let (body, sent, reusable) = exchange(&mut link, method, b"").await;
    assert!(!sent.is_incomplete(), "{text:?}");
    (body, reusable)
}

#[tokio::test(start_paused = true)]
async fn an_echo_counts_once_and_as_it_was_sent() {
    let said = |lines: &str| format!("HTTP/1.1 200 OK\r\n{lines}Content-Length: 3\r\n\r\nown");
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
                outcome(carried, &Method::GET, &said(lines)).await.0,
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
            answer("b", "own") + &said(""),
        ] {
            assert_eq!(
                outcome(carried, &Method::GET, &text).await.0,
                own,
                "{text:?}"
            );
        }
    }
    // Ahead of an own one, what may be the own one ends it all; another's does so where there was no other.
    for (ahead, fresh, used) in [
        (said(""), None, None),
        (said("Attempt-Id: a\r\nAttempt-Id: a\r\n"), None, None),
        (said("Attempt-Id: a\r\n"), None, own.clone()),
    ] {
        let text = ahead + &answer("b", "own");
        assert_eq!(outcome(&[], &Method::GET, &text).await.0, fresh, "{text:?}");
        assert_eq!(
            outcome(&["a"], &Method::GET, &text).await.0,
            used,
            "{text:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn what_could_end_elsewhere_is_no_answer() {
    let head = |version: &str, status: &str, lines: &str| {
        format!("HTTP/{version} {status}\r\nAttempt-Id: b\r\n{lines}\r\n")
    };
    let ok = |lines: &str, body: &str| head("1.1", "200 OK", lines) + body;
    let chunked = |body: &str| ok("Transfer-Encoding: chunked\r\n", body);
    let length = "Content-Length: 3\r\n";
    let refused = [
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
        // Heads.
        ok("Content-Length: 3\n", "own"),
        ok("X: 1\r\n folded\r\nContent-Length: 3\r\n", "own"),
        ok("X: \0\r\nContent-Length: 3\r\n", "own"),
        ok("X : 1\r\nContent-Length: 3\r\n", "own"),
        ok("X: 1\rContent-Length: 3\r\n", "own"),
        head("1.1", "600 Odd", length) + "own",
        head("1.1", "099 Odd", length) + "own",
        head("2.0", "200 OK", length) + "own",
        // No body may come, and one is announced.
        head("1.1", "204 No Content", length) + "own",
        head("1.1", "204 No Content", "Transfer-Encoding: chunked\r\n") + "0\r\n\r\n",
        head("1.1", "103 Early Hints", length) + "own" + &answer("b", "own"),
    ];
    for text in refused {
        for carried in [&[][..], &["a"][..]] {
            assert_eq!(
                outcome(carried, &Method::GET, &text).await,
                (None, false),
                "{text:?}"
            );
        }
    }
    let own = Some("own".to_string());
    for text in [
        ok(length, "own"),
        ok("Content-Length: 003\r\n", "own"),
        head("1.0", "200 OK", length) + "own",
        chunked("3\r\nown\r\n0\r\n\r\n"),
        chunked("1;x\r\no\r\n002 ;x=\"y\"\r\nwn\r\n0;z\r\nTrail: 1\r\nTrail: 2\r\n\r\n"),
    ] {
        assert_eq!(outcome(&[], &Method::GET, &text).await.0, own, "{text:?}");
    }
    // Whether another request may follow.
    for (text, follows) in [
        (ok(length, "own"), true),
        (head("1.0", "200 OK", length) + "own", false),
        (
            ok("Connection: x, Close\r\nContent-Length: 3\r\n", "own"),
            false,
        ),
    ] {
        assert_eq!(
            outcome(&[], &Method::GET, &text).await,
            (own.clone(), follows),
            "{text:?}"
        );
    }
    // Without a body, whatever they announce; what follows is nobody's.
    let none = Some(String::new());
    for (method, text) in [
        (Method::GET, head("1.1", "204 No Content", "") + "own"),
        (Method::GET, head("1.1", "304 Not Modified", length) + "own"),
        (Method::HEAD, ok(length, "own")),
        (Method::HEAD, ok("Transfer-Encoding: chunked\r\n", "")),
    ] {
        assert_eq!(
            outcome(&[], &method, &text).await,
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
            outcome(&[], &Method::GET, &text).await,
            (none.clone(), true),
            "{text:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn an_answer_is_as_large_as_any_may_be_and_as_there_is_room_for() {
    for (size, fits) in [(MAX_RESPONSE_BYTES, true), (MAX_RESPONSE_BYTES + 1, false)] {
        let body = "x".repeat(size);
        let chunked = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n\
             {size:x}\r\n{body}\r\n0\r\n\r\n"
        );
        for text in [answer("b", &body), chunked] {
            let read = outcome(&[], &Method::GET, &text).await.0;
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
    for (said, whole) in [
        (text("b", 1000), false),
        (text("a", 1000) + &text("b", 99), true),
    ] {
        let (mut link, mut far) = memory(1 << 16, &["a"]);
        far.write_all(said.as_bytes()).await.expect("written");
        let (id, mut sent) = (HeaderValue::from_static("b"), SendProgress::default());
        let mut request = OutgoingRequest::new(b"head", b"", &mut sent);
        link.send(&mut request).await.expect("written");
        let answer = link.receive(&awaited(&id), &mut request, &half).await;
        assert_eq!(answer.as_ref().is_ok_and(|a| a.body().len() == 100), whole);
        assert!(
            answer.is_ok() || !sent.proves_not_run(),
            "what has begun to answer has run"
        );
        drop(answer);
        assert!(half.reserve(500).is_some(), "all of it is given back");
    }
}

/// Failure: an upstream that broke off in the middle of an answer without closing, and then wrote the late second
/// answer to an earlier request, had the two taken for one.
#[tokio::test]
async fn an_answer_that_another_one_breaks_into_is_none() {
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
        assert_eq!(told(&[&mixed]).await, (None, false), "cut at {cut}");
        assert_eq!(
            told(&[&own[..cut], &surplus]).await,
            (None, false),
            "cut at {cut}"
        );
    }
    // Cut within its head, the other way round too: the status of one, the body of the other.
    for cut in 0..head {
        for (first, second) in [(&own, &surplus), (&surplus, &own)] {
            let mixed = format!("{}{second}", &first[..cut.min(first.len())]);
            let (body, _) = told(&[&mixed]).await;
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
    assert_eq!(told(&[&told_of]).await, (Some(body), true));
    let protocol = "asked over HTTP/1.1";
    assert_eq!(
        told(&[&answer("b", protocol)]).await,
        (Some(protocol.to_string()), true)
    );
}
