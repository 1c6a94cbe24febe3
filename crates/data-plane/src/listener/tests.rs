//! A listener on the loopback interface: shutdown, delivery receipts, and clients that disconnect.

use hyper::StatusCode;
use hyper::header::{CONNECTION, HeaderValue};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};

use super::connection::DRAIN_INPUT_TIMEOUT;
use super::*;
use crate::headers::empty_response;

struct OkHandler;

impl RequestHandler for OkHandler {
    async fn handle_request(&self, _: Request<Incoming>, _: Instant, _: bool) -> ClientResponse {
        empty_response(StatusCode::OK)
    }
}

/// Returns limits that no test reaches.
fn limits() -> ListenerLimits {
    ListenerLimits {
        max_connections: 8,
        idle_eviction_threshold: 8,
        max_header_bytes: 8192,
        timeouts: ClientTimeouts {
            header: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        },
        accept_grace: Duration::ZERO,
        drain_timeout: DRAIN_INPUT_TIMEOUT,
        final_request_wait: DRAIN_INPUT_TIMEOUT,
    }
}

async fn bind() -> (TcpListener, std::net::SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    (listener, at)
}

/// Signals the server to stop, and waits until it has received the signal.
async fn stop_serving(server: &Listener<OkHandler>, stop: oneshot::Sender<()>) {
    stop.send(()).expect("the server is running");
    while !server.stopping.get() {
        sleep(Duration::from_millis(1)).await;
    }
}

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// Reads until the server closes the connection.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text).await;
    String::from_utf8_lossy(&text).into_owned()
}

#[tokio::test]
async fn request_in_transit_when_the_listener_closes_is_answered() {
    let test = async {
        let (listener, at) = bind().await;
        let limits = ListenerLimits {
            drain_timeout: Duration::from_secs(60),
            final_request_wait: Duration::from_secs(30),
            ..limits()
        };
        let (stop, stopped) = oneshot::channel::<()>();
        let server = Listener::new(Rc::new(OkHandler), limits);
        let stopped = async move { drop(stopped.await) };
        let serving = spawn_local(server.clone().serve(listener, stopped));
        // One connection has sent a request before, one is new, and one never sends anything.
        let mut keep_alive = TcpStream::connect(at).await.expect("a connection");
        keep_alive.write_all(REQUEST).await.expect("written");
        let mut response = [0; 512];
        assert!(keep_alive.read(&mut response).await.expect("a response") > 0);
        let mut new = TcpStream::connect(at).await.expect("a connection");
        let mut silent = TcpStream::connect(at).await.expect("a connection");
        while server.connections.len() < 3 {
            sleep(Duration::from_millis(1)).await;
        }
        stop_serving(&server, stop).await;
        // Enough for every connection to be notified of the close.
        sleep(Duration::from_millis(50)).await;
        for stream in [&mut keep_alive, &mut new] {
            stream.write_all(REQUEST).await.expect("written");
            let response = read_to_end(stream).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
            assert!(response.contains("connection: close"), "{response:?}");
        }
        silent.shutdown().await.expect("half-closed");
        assert_eq!(read_to_end(&mut silent).await, "", "closed without data");
        serving.await.expect("the listener ends");
    };
    LocalSet::new().run_until(test).await;
}

/// Runs in paused time, so that the speed of the machine does not matter.
#[tokio::test]
async fn nothing_is_accepted_after_the_final_request_wait() {
    let test = async {
        let (listener, at) = bind().await;
        let timeouts = ClientTimeouts {
            header: Duration::from_secs(30),
            idle: Duration::from_secs(30),
        };
        let limits = ListenerLimits {
            timeouts,
            accept_grace: Duration::from_millis(2300),
            drain_timeout: Duration::from_secs(7),
            final_request_wait: FINAL_REQUEST_WAIT,
            ..limits()
        };
        let (stop, stopped) = oneshot::channel::<()>();
        let server = Listener::new(Rc::new(OkHandler), limits);
        let stopped = async move { drop(stopped.await) };
        let serving = spawn_local(server.clone().serve(listener, stopped));
        let mut keep_alive = [TcpStream::connect(at).await, TcpStream::connect(at).await]
            .map(|stream| stream.expect("a connection"));
        for stream in &mut keep_alive {
            stream.write_all(REQUEST).await.expect("written");
            assert!(stream.read(&mut [0; 512]).await.expect("a response") > 0);
        }
        stop_serving(&server, stop).await;
        tokio::time::pause();
        sleep(limits.accept_grace + limits.final_request_wait).await;
        TcpStream::connect(at)
            .await
            .expect_err("the listener is closed");
        for stream in &mut keep_alive {
            let _ = stream.write_all(REQUEST).await;
            assert_eq!(read_to_end(stream).await, "", "closed without data");
        }
        serving.await.expect("the listener ends");
    };
    LocalSet::new().run_until(test).await;
}

/// Closes the connection after each response, and stores the receipts.
#[derive(Default)]
struct ClosingHandler(std::cell::RefCell<Vec<DeliveryReceipt>>);

impl RequestHandler for ClosingHandler {
    const WANTS_RECEIPT: bool = true;

    async fn handle_request(
        &self,
        request: Request<Incoming>,
        _: Instant,
        _: bool,
    ) -> ClientResponse {
        self.0
            .borrow_mut()
            .extend(request.extensions().get().cloned());
        let mut response = empty_response(StatusCode::OK);
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
        response
    }
}

#[tokio::test]
async fn receipt_reports_whether_the_response_was_read() {
    let test = async {
        let (listener, at) = bind().await;
        let limits = limits();
        let handler = Rc::new(ClosingHandler::default());
        let server = Listener::new(handler.clone(), limits);
        spawn_local(server.serve(listener, std::future::pending()));
        for status in [
            DeliveryStatus::Delivered,
            DeliveryStatus::Broken,
            DeliveryStatus::Unknown,
        ] {
            let mut stream = TcpStream::connect(at).await.expect("a connection");
            stream.write_all(REQUEST).await.expect("written");
            if status == DeliveryStatus::Broken {
                // Dropping the stream with the response unread resets the connection.
                stream.readable().await.expect("a response");
            } else {
                assert!(read_to_end(&mut stream).await.starts_with("HTTP/1.1 200"));
            }
            let kept_open = (status == DeliveryStatus::Unknown).then_some(stream);
            let mut receipt = handler.0.borrow_mut().pop().expect("a receipt");
            assert_eq!(receipt.wait().await, status);
            drop(kept_open);
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Never responds, and counts the requests whose futures were dropped.
#[derive(Default)]
struct PendingHandler {
    requests: Cell<usize>,
    dropped: Rc<Cell<usize>>,
}

/// Increments the counter when it is dropped.
struct DropCounter(Rc<Cell<usize>>);

impl Drop for DropCounter {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

impl RequestHandler for PendingHandler {
    async fn handle_request(&self, _: Request<Incoming>, _: Instant, _: bool) -> ClientResponse {
        let _counter = DropCounter(self.dropped.clone());
        self.requests.set(self.requests.get() + 1);
        std::future::pending().await
    }
}

/// The maximum wait for an expected condition.
const MAX_WAIT: Duration = Duration::from_secs(6);

async fn wait_until(what: &str, happened: impl Fn() -> bool) {
    let happened = async {
        while !happened() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(MAX_WAIT, happened)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting for {what}"));
}

/// How a client disconnects while its request is open.
#[derive(Clone, Copy, Debug)]
enum ClientExit {
    Closes,
    Resets,
    /// Closes its sending side and could still read.
    HalfCloses,
}

#[tokio::test]
async fn request_is_dropped_when_its_client_disconnects() {
    let test = async {
        let (listener, at) = bind().await;
        let timeouts = ClientTimeouts {
            header: MAX_WAIT,
            idle: MAX_WAIT,
        };
        let limits = ListenerLimits {
            max_connections: 99,
            idle_eviction_threshold: 99,
            timeouts,
            ..limits()
        };
        let handler = Rc::new(PendingHandler::default());
        spawn_local(Listener::new(handler.clone(), limits).serve(listener, std::future::pending()));
        let mut clients = 0;
        for exit in [
            ClientExit::Closes,
            ClientExit::Resets,
            ClientExit::HalfCloses,
        ] {
            // Nothing, a partial request, a complete request, and more than the HTTP library buffers.
            for trailing in [&b""[..], b"GET / HT", REQUEST, &[b'x'; 12_000]] {
                let mut stream = TcpStream::connect(at).await.expect("a connection");
                clients += 1;
                stream.write_all(REQUEST).await.expect("written");
                wait_until("a request", || handler.requests.get() == clients).await;
                stream.write_all(trailing).await.expect("written");
                let mut kept_open = None;
                match exit {
                    ClientExit::Closes => drop(stream),
                    ClientExit::Resets => {
                        socket2::SockRef::from(&stream)
                            .set_linger(Some(Duration::ZERO))
                            .expect("set");
                        drop(stream);
                    }
                    ClientExit::HalfCloses => {
                        stream.shutdown().await.expect("half-closed");
                        kept_open = Some(stream);
                    }
                }
                let what = format!(
                    "the drop after {exit:?} with {} trailing bytes",
                    trailing.len()
                );
                wait_until(&what, || handler.dropped.get() == clients).await;
                drop(kept_open);
            }
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a queue that a few clients fill up while the listener is full: the system would drop the connection
/// attempts of others.
#[tokio::test]
async fn many_clients_may_wait_to_be_accepted() {
    let listener = super::bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let at = listener.local_addr().expect("an address");
    let most = std::fs::read_to_string("/proc/sys/net/core/somaxconn");
    let most = most.ok().and_then(|text| text.trim().parse().ok());
    let mut clients = Vec::new();
    for client in 0..most.unwrap_or(300).min(300) {
        let connected = timeout(Duration::from_secs(30), TcpStream::connect(at)).await;
        clients.push(connected.unwrap_or_else(|_| panic!("client {client} waits for the queue")));
    }
    assert!(clients.iter().all(Result::is_ok));
}
