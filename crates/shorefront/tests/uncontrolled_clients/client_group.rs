//! Clients that keep to no rule: many at once, most of which stop just short of the end of their request or read no
//! response, and stay open.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::http_client::connect;

/// Time limit for a group, whose requests take long to read on a busy machine.
pub(crate) const GROUP_LIMIT: Duration = Duration::from_secs(180);
/// Of a group that stops short, one in so many clients sends its request completely.
const COMPLETE_EVERY: usize = 8;
/// Interval between two checks whether a group's bytes were read.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Connections whose queues don't change for this long are settled.
const SETTLED_AFTER: Duration = Duration::from_millis(500);

/// How a body is framed.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Framing {
    /// With a length.
    Length,
    /// In chunks of this many bytes.
    Chunks(usize),
}

/// The head and the body of a request whose client may stop before its end.
#[derive(Clone)]
pub(crate) struct Upload {
    pub(crate) head: String,
    pub(crate) framing: Framing,
    pub(crate) body_bytes: usize,
    /// How many bytes of the body, at its end, the client does not send.
    pub(crate) withheld_bytes: usize,
}

/// Returns the byte at this position of a body, so that a body in the wrong order has another checksum.
pub(crate) fn body_byte(position: usize) -> u8 {
    (position % 251) as u8
}

fn body(range: std::ops::Range<usize>) -> Vec<u8> {
    range.map(body_byte).collect()
}

impl Upload {
    /// Returns what a client without a number of its own sends.
    pub(crate) fn encode(&self) -> Vec<u8> {
        [self.encode_head(0), self.encode_body()].concat()
    }

    /// Returns the head that the client with this number sends. Its number is the id of its request.
    fn encode_head(&self, client: usize) -> Vec<u8> {
        let framing = match self.framing {
            Framing::Length => format!("Content-Length: {}", self.body_bytes),
            Framing::Chunks(_) => "Transfer-Encoding: chunked".to_string(),
        };
        format!("{}Attempt-Id: {client}\r\n{framing}\r\n\r\n", self.head).into_bytes()
    }

    /// Returns what the client sends of the body.
    fn encode_body(&self) -> Vec<u8> {
        let sent = self.body_bytes - self.withheld_bytes;
        let Framing::Chunks(chunk_bytes) = self.framing else {
            return body(0..sent);
        };
        let mut encoded = Vec::new();
        for start in (0..sent).step_by(chunk_bytes) {
            let end = sent.min(start + chunk_bytes);
            encoded.extend(format!("{:x}\r\n", end - start).into_bytes());
            encoded.extend(body(start..end));
            encoded.extend(b"\r\n");
        }
        if self.withheld_bytes == 0 {
            encoded.extend(b"0\r\n\r\n");
        }
        encoded
    }
}

/// Sends these bytes on a new connection. The balancer may refuse them at any time.
fn send(at: SocketAddr, head: &[u8], body: &[u8]) -> Option<TcpStream> {
    let mut stream = connect(at).ok()?;
    stream.set_write_timeout(Some(GROUP_LIMIT)).ok()?;
    let _ = stream.write_all(head).and_then(|()| stream.write_all(body));
    Some(stream)
}

/// Sends a request as the client with this number.
pub(crate) fn send_upload(at: SocketAddr, client: usize, upload: &Upload) -> Option<TcpStream> {
    send(at, &upload.encode_head(client), &upload.encode_body())
}

/// A request that was refused: the number of its client, and the head of the response.
pub(crate) struct Refusal {
    pub(crate) client: usize,
    pub(crate) head: String,
}

/// Connections that stay open while this value exists, by the number of their client.
pub(crate) struct ClientGroup(Vec<TcpStream>);

impl ClientGroup {
    /// Sends these bytes on so many connections at once, and returns when each client has sent all that the balancer
    /// takes.
    pub(crate) fn send(at: SocketAddr, clients: usize, bytes: &[u8]) -> Self {
        Self::send_each(clients, |_| send(at, bytes, b""))
    }

    /// Lets so many clients send this request at once, and returns when the balancer has read all that it takes. All
    /// but every eighth withhold the end.
    pub(crate) fn upload(at: SocketAddr, clients: usize, upload: &Upload) -> Self {
        let complete = Upload {
            withheld_bytes: 0,
            ..upload.clone()
        };
        let (stopping_body, complete_body) = (upload.encode_body(), complete.encode_body());
        let group = Self::send_each(clients, |client| {
            let is_complete = client % COMPLETE_EVERY == 0;
            let body = if is_complete {
                &complete_body
            } else {
                &stopping_body
            };
            send(at, &upload.encode_head(client), body)
        });
        wait_until_read(at);
        group
    }

    fn send_each(
        clients: usize,
        send: impl Fn(usize) -> Option<TcpStream> + Send + Copy + Sync,
    ) -> Self {
        thread::scope(|scope| {
            let clients: Vec<_> = (0..clients)
                .map(|client| scope.spawn(move || send(client)))
                .collect();
            let streams = clients
                .into_iter()
                .map(|client| client.join().expect("a client"));
            Self(streams.map(|stream| stream.expect("connected")).collect())
        })
    }

    /// Returns the refusals that have arrived. Those that a reset has destroyed are left out.
    pub(crate) fn refusals(&self) -> Vec<Refusal> {
        let heads = self.0.iter().enumerate().filter_map(|(client, stream)| {
            stream.set_nonblocking(true).expect("set");
            let mut head = [0; 512];
            let bytes = (&*stream).read(&mut head).ok().filter(|bytes| *bytes > 0)?;
            let head = String::from_utf8_lossy(&head[..bytes]).into_owned();
            Some(Refusal { client, head })
        });
        heads
            .filter(|refusal| !refusal.head.contains(" 200 "))
            .collect()
    }
}

/// Waits until no byte that was sent to this address is unread.
fn wait_until_read(at: SocketAddr) {
    let started = Instant::now();
    while has_unread_bytes(at) {
        assert!(
            started.elapsed() < GROUP_LIMIT,
            "the group's bytes were not read within {GROUP_LIMIT:?}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// Waits until the connections to this address transfer nothing any more.
pub(crate) fn wait_until_settled(at: SocketAddr) {
    let started = Instant::now();
    let mut queues = queues_of_connections(at);
    loop {
        thread::sleep(SETTLED_AFTER);
        let next = queues_of_connections(at);
        if next == queues {
            return;
        }
        assert!(
            started.elapsed() < GROUP_LIMIT,
            "the group's connections transfer data for over {GROUP_LIMIT:?}"
        );
        queues = next;
    }
}

/// How many bytes the kernel holds for an established connection.
#[derive(Debug, PartialEq)]
struct ConnectionQueues {
    /// Whether this is the end at the address that was asked for.
    is_server_end: bool,
    bytes_to_send: u64,
    unread_bytes: u64,
}

/// Returns the queues of both ends of each connection to this address.
fn queues_of_connections(at: SocketAddr) -> Vec<ConnectionQueues> {
    const ESTABLISHED: &str = "01";
    let port = format!(":{:04X}", at.port());
    let bytes = |queue: &str| u64::from_str_radix(queue, 16).expect("a hexadecimal number");
    let table = std::fs::read_to_string("/proc/net/tcp").expect("readable");
    let queues = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, remote, ESTABLISHED, queues, ..] = fields[..] else {
            return None;
        };
        if !local.ends_with(&port) && !remote.ends_with(&port) {
            return None;
        }
        let (to_send, unread) = queues.split_once(':').expect("two queues");
        Some(ConnectionQueues {
            is_server_end: local.ends_with(&port),
            bytes_to_send: bytes(to_send),
            unread_bytes: bytes(unread),
        })
    });
    queues.collect()
}

/// Returns whether the kernel holds bytes that were sent to this address, on either end of a connection.
fn has_unread_bytes(at: SocketAddr) -> bool {
    let holds_bytes = |queues: &ConnectionQueues| {
        if queues.is_server_end {
            queues.unread_bytes > 0
        } else {
            queues.bytes_to_send > 0
        }
    };
    queues_of_connections(at).iter().any(holds_bytes)
}

/// Sends one request, and returns the status and the body of the response, if it comes within this time after the
/// request was written.
pub(crate) fn exchange(at: SocketAddr, upload: &Upload, within: Duration) -> Option<(u16, String)> {
    let mut stream = send_upload(at, usize::MAX, upload)?;
    stream.set_read_timeout(Some(within)).ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    let status = response.split(' ').nth(1)?.parse().ok()?;
    Some((status, response.split_once("\r\n\r\n")?.1.to_string()))
}
