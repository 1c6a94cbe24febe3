//! Runs the proxy as a process between a test client, test upstreams and a test discovery service. All listen on
//! ephemeral loopback ports. Tests wait for events, with a timeout that suffices on a busy machine.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Timeout for expected events.
pub(crate) const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// A received HTTP message: start line, headers with lower-case names, and body.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub start_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub(crate) fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .expect("a status")
            .parse()
            .expect("a number")
    }
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads one message; returns `None` if the connection ends first.
pub(crate) fn read_message(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = || {
        let mut line = String::new();
        stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
        Some(line.trim_end().to_string())
    };
    let start_line = line()?;
    let mut headers = HashMap::new();
    loop {
        let line = line()?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        headers.insert(name.to_lowercase(), value.trim().to_string());
    }
    let length = headers
        .get("content-length")
        .map_or(0, |v| v.parse().expect("a length"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Message {
        start_line,
        headers,
        body,
    })
}

/// Reaction of an upstream to a request.
#[derive(Clone)]
pub(crate) enum UpstreamBehavior {
    /// Writes the text and keeps the connection open.
    Respond(String),
    /// Writes the text and closes the connection.
    RespondAndClose(String),
    /// Writes the text, and closes the connection on a message from the channel.
    RespondThenClose(String, Arc<std::sync::Mutex<Receiver<()>>>),
    /// Writes the text, and again on a message from the channel.
    RespondTwice(String, Arc<std::sync::Mutex<Receiver<()>>>),
    /// Keeps the connection open without a response.
    Hang,
    /// Responds on a message from the channel.
    RespondLater(Arc<std::sync::Mutex<Receiver<()>>>),
}

pub(crate) fn ok(body: &str) -> UpstreamBehavior {
    UpstreamBehavior::Respond(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

pub(crate) fn empty_response_with(status: &str, headers: &str) -> UpstreamBehavior {
    UpstreamBehavior::Respond(format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n"
    ))
}

/// An event at an upstream.
#[derive(Debug)]
pub(crate) enum UpstreamEvent {
    /// A request arrived from this peer.
    Request(SocketAddr, Message),
    /// The second copy of a response was written.
    WroteAgain,
    /// A connection was closed.
    Closed,
}

/// A test upstream.
pub(crate) struct Upstream {
    pub address: SocketAddr,
    pub events: Receiver<UpstreamEvent>,
}

impl Upstream {
    pub(crate) fn start(
        behavior: impl Fn(&Message) -> UpstreamBehavior + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, events) = channel();
        let behavior = Arc::new(behavior);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, sender, behavior) =
                    (stream.expect("accepted"), sender.clone(), behavior.clone());
                thread::spawn(move || {
                    let peer = stream.peer_addr().expect("a peer");
                    serve_connection(stream, peer, &sender, &*behavior);
                    let _ = sender.send(UpstreamEvent::Closed);
                });
            }
        });
        Self { address, events }
    }

    /// Waits for the next request, and skips other events.
    pub(crate) fn next_request(&self) -> (SocketAddr, Message) {
        loop {
            match self.events.recv_timeout(EVENT_TIMEOUT).expect("a request") {
                UpstreamEvent::Request(from, message) => return (from, message),
                _ => continue,
            }
        }
    }

    /// Returns the number of requests received so far, and removes all pending events.
    pub(crate) fn requests_so_far(&self) -> usize {
        self.events
            .try_iter()
            .filter(|event| matches!(event, UpstreamEvent::Request(..)))
            .count()
    }
}

fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    events: &Sender<UpstreamEvent>,
    behavior: &dyn Fn(&Message) -> UpstreamBehavior,
) {
    let mut out = stream.try_clone().expect("a second handle");
    let mut reader = BufReader::new(stream);
    while let Some(message) = read_message(&mut reader) {
        let _ = events.send(UpstreamEvent::Request(peer, message.clone()));
        match behavior(&message) {
            UpstreamBehavior::Respond(text) => out.write_all(text.as_bytes()).unwrap_or(()),
            UpstreamBehavior::RespondAndClose(text) => {
                let _ = out.write_all(text.as_bytes());
                return;
            }
            UpstreamBehavior::RespondThenClose(text, released) => {
                let _ = out.write_all(text.as_bytes());
                let _ = released
                    .lock()
                    .expect("not poisoned")
                    .recv_timeout(EVENT_TIMEOUT);
                return;
            }
            UpstreamBehavior::RespondTwice(text, released) => {
                let _ = out.write_all(text.as_bytes());
                let _ = released
                    .lock()
                    .expect("not poisoned")
                    .recv_timeout(EVENT_TIMEOUT);
                let _ = out.write_all(text.as_bytes());
                let _ = events.send(UpstreamEvent::WroteAgain);
            }
            UpstreamBehavior::Hang => {}
            UpstreamBehavior::RespondLater(released) => {
                let _ = released
                    .lock()
                    .expect("not poisoned")
                    .recv_timeout(EVENT_TIMEOUT);
                let _ = out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
            }
        }
    }
}

/// Waits until the peer's close of a connection has arrived at the end with this local address.
///
/// A child process that another test starts holds copies of all descriptors between fork and exec, and a close is not
/// sent before it releases them: about 90 ms under load.
pub(crate) fn wait_for_delivered_close(local: SocketAddr) {
    const CLOSE_WAIT: &str = "08";
    let port = format!(":{:04X}", local.port());
    let is_delivered = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let (address, state) = (fields.next(), fields.nth(1));
        address.is_some_and(|a| a.ends_with(&port)) && state == Some(CLOSE_WAIT)
    };
    let start = Instant::now();
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp is readable");
        if table.lines().any(is_delivered) {
            return;
        }
        assert!(
            start.elapsed() < EVENT_TIMEOUT,
            "the close was not delivered"
        );
        thread::sleep(Duration::from_millis(1));
    }
}

/// Test discovery service. Writes the response head of each watch, and passes on its request line and connection.
pub(crate) struct Discovery {
    pub address: SocketAddr,
    pub watches: Receiver<(String, TcpStream)>,
}

impl Discovery {
    pub(crate) fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, watches) = channel();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("accepted");
                let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                let Some(request) = read_message(&mut reader) else {
                    continue;
                };
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let _ = stream.write_all(head.as_bytes());
                let _ = sender.send((request.start_line, stream));
            }
        });
        Self { address, watches }
    }

    /// Waits for the next watch, and returns its request line and connection.
    pub(crate) fn watch(&self) -> (String, TcpStream) {
        self.watches.recv_timeout(EVENT_TIMEOUT).expect("a watch")
    }
}

/// Writes a part of a watch response as one chunk.
pub(crate) fn send_chunk(stream: &mut TcpStream, text: &str) {
    let framed = format!("{:x}\r\n{text}\r\n", text.len());
    stream
        .write_all(framed.as_bytes())
        .expect("the watch is open");
}

pub(crate) fn entry_of(id: &str, address: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": "m", "cell": 0,
        "phase": phase, "size": 1.0, "up_since_ms": 0})
}

pub(crate) fn serving_entries(upstreams: &[&Upstream]) -> Vec<Value> {
    let name = |(i, u): (usize, &&Upstream)| entry_of(&format!("s-{i}"), u.address, "SERVING");
    upstreams.iter().enumerate().map(name).collect()
}

pub(crate) fn config(known: &[Value]) -> Value {
    json!({
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 41, "complete": true, "members": known},
        "settings": {
            "Balancers": 1, "Position": 0, "Zone": 0, "Zones": ["a"], "MachineTypes": ["m"],
            "Tick": 1.0, "RegistryMode": "subscribe",
            "Services": [
                {"Name": "read", "Aim": 2000.0, "Deadline": 6000.0, "Effect": "retryable"},
                {"Name": "log", "Aim": 2000.0, "Deadline": 6000.0, "Effect": "dedup",
                    "Group": "cell", "Window": 10000.0},
                {"Name": "alarm", "Aim": 2000.0, "Deadline": 6000.0, "Effect": "fragile"},
            ],
            "PolicyLimits": {"MaxAttempts": 3, "RetryAfter": true, "MaxRetryAfter": 2000.0,
                "ConnectTimeout": 250.0, "Keepalive": 5000.0, "StreamsPerConn": 1},
            "Safety": {"Cold": 5000.0, "ColdFrom": 0.2, "FallMultiple": 3.0, "TipAfter": 1000.0,
                "DrainGrace": 500.0, "AnswerSlack": 20.0, "AskEvery": 2000.0},
            "Stats": {"How": "piggyback", "Names": ["eps", "qps", "inflight"]},
        },
    })
}

/// A running proxy process, killed on drop.
pub(crate) struct Proxy {
    pub child: Child,
    pub address: SocketAddr,
    pub discovery: Discovery,
    config: std::path::PathBuf,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

pub(crate) const PROXY_BINARY: &str = env!("CARGO_BIN_EXE_standalone-proxy");

pub(crate) fn write_config(config: &str) -> std::path::PathBuf {
    static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let n = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let name = format!("standalone-proxy-{}-{n}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config).expect("a temporary file");
    path
}

impl Proxy {
    pub(crate) fn start(config: &Value) -> Self {
        Self::start_with(Command::new(PROXY_BINARY), config)
    }

    /// Starts the proxy with this command, and waits until it listens.
    pub(crate) fn start_with(mut command: Command, config: &Value) -> Self {
        let discovery = Discovery::start();
        let path = write_config(&config.to_string());
        let mut child = command
            .env("LB_NAME", "n0")
            .env("LB_LISTEN", "127.0.0.1:0")
            .env("LB_DISCOVERY", discovery.address.to_string())
            .env("LB_CONFIG", &path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the proxy starts");
        let mut log = BufReader::new(child.stderr.take().expect("piped")).lines();
        let address = loop {
            let line = log
                .next()
                .expect("a log line with the address")
                .expect("UTF-8");
            if let Some((_, rest)) = line.split_once("listening on ") {
                break rest
                    .split_whitespace()
                    .next()
                    .expect("an address")
                    .parse()
                    .expect("valid");
            }
        };
        // The proxy would block on a full pipe.
        thread::spawn(move || log.for_each(|l| eprintln!("proxy: {}", l.unwrap_or_default())));
        Self {
            child,
            address,
            discovery,
            config: path,
        }
    }

    pub(crate) fn client(&self) -> Client {
        Client::to(self.address)
    }

    /// Waits until the proxy exits, and returns its exit code.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < EVENT_TIMEOUT {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status.code();
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the proxy did not exit");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub(crate) fn reconfigure(&self, text: &str) {
        std::fs::write(&self.config, text).expect("written");
        self.signal("HUP");
    }

    /// Sends the signal with this name to the proxy.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("sh")
            .args(["-c", "kill -\"$1\" \"$0\"", &pid, name])
            .status();
        assert!(sent.expect("a shell").success());
    }
}

/// A client connection to the proxy.
pub(crate) struct Client(BufReader<TcpStream>);

impl Client {
    pub(crate) fn to(address: SocketAddr) -> Self {
        Self::try_to(address).expect("connected")
    }
    pub(crate) fn try_to(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(EVENT_TIMEOUT))?;
        Ok(Self(BufReader::new(stream)))
    }
    pub(crate) fn send(&mut self, text: &str) {
        self.try_send(text).expect("written");
    }
    pub(crate) fn try_send(&mut self, text: &str) -> std::io::Result<()> {
        self.0.get_mut().write_all(text.as_bytes())
    }
    /// Reads the next response; returns `None` if the connection ends first.
    pub(crate) fn response(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }
    /// Sends a request and waits for the response.
    pub(crate) fn request(&mut self, text: &str) -> Message {
        self.send(text);
        self.response().expect("a response")
    }
}

/// Returns a request of the class that is safe to repeat.
pub(crate) fn safe_request(id: &str, deadline_ms: u64) -> String {
    format!(
        "GET /api?of={id} HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: read\r\n\
         Cookie: sid=7f3a9c21e0b4d655\r\nX-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
}

/// Returns a request of the class that must never be executed twice.
pub(crate) fn unsafe_request(id: &str, deadline_ms: u64, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: alarm\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
