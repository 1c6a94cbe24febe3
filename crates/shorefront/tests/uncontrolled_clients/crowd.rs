//! Clients that keep to no rule: many at once, most of which stop just short of the end of their request or read no
//! response, and stay open.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::http_client::connect;

/// Time limit for a crowd, whose requests take long to read on a busy machine.
const CROWD_LIMIT: Duration = Duration::from_secs(180);
/// Interval between two checks whether a crowd's bytes were read.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

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
    /// Returns the same request with the complete body.
    pub(crate) fn complete(&self) -> Self {
        Self {
            withheld_bytes: 0,
            ..self.clone()
        }
    }

    /// Returns the bytes that the client sends.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let sent = self.body_bytes - self.withheld_bytes;
        let mut encoded = self.head.clone().into_bytes();
        let Framing::Chunks(chunk_bytes) = self.framing else {
            encoded.extend(format!("Content-Length: {}\r\n\r\n", self.body_bytes).into_bytes());
            encoded.extend(body(0..sent));
            return encoded;
        };
        encoded.extend(b"Transfer-Encoding: chunked\r\n\r\n");
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
pub(crate) fn send(at: SocketAddr, bytes: &[u8]) -> Option<TcpStream> {
    let mut stream = connect(at).ok()?;
    stream.set_write_timeout(Some(CROWD_LIMIT)).ok()?;
    let _ = stream.write_all(bytes);
    Some(stream)
}

/// Connections that stay open while this value exists.
pub(crate) struct Crowd(Vec<TcpStream>);

impl Crowd {
    /// Sends these bytes on so many connections at once, and returns when each client has sent all that the balancer
    /// takes.
    pub(crate) fn send(at: SocketAddr, clients: usize, bytes: &[u8]) -> Self {
        thread::scope(|scope| {
            let clients: Vec<_> = (0..clients)
                .map(|_| scope.spawn(|| send(at, bytes)))
                .collect();
            let streams = clients
                .into_iter()
                .map(|client| client.join().expect("a client"));
            Self(streams.flatten().collect())
        })
    }

    /// Lets so many clients send this request at once, and returns when the balancer has read all that it takes. All
    /// but every eighth withhold the end.
    pub(crate) fn upload(at: SocketAddr, clients: usize, upload: &Upload) -> Self {
        let complete = clients / 8;
        let (stopping, complete_bytes) = (upload.encode(), upload.complete().encode());
        thread::scope(|scope| {
            let others = scope.spawn(|| Self::send(at, complete, &complete_bytes));
            let mut crowd = Self::send(at, clients - complete, &stopping);
            crowd.0.extend(others.join().expect("a crowd").0);
            wait_until_read(at);
            crowd
        })
    }
}

/// Waits until no byte that was sent to this address is unread.
fn wait_until_read(at: SocketAddr) {
    let started = Instant::now();
    while has_unread_bytes(at) {
        assert!(
            started.elapsed() < CROWD_LIMIT,
            "the crowd's bytes were not read within {CROWD_LIMIT:?}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns whether the kernel holds bytes that were sent to this address, on either side of a connection.
fn has_unread_bytes(at: SocketAddr) -> bool {
    const ESTABLISHED: &str = "01";
    let port = format!(":{:04X}", at.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("readable");
    table.lines().skip(1).any(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, remote, state, queues, ..] = fields[..] else {
            return false;
        };
        let (to_send, unread) = queues.split_once(':').expect("two queues");
        let is_waiting = local.ends_with(&port) && unread.trim_start_matches('0') != ""
            || remote.ends_with(&port) && to_send.trim_start_matches('0') != "";
        state == ESTABLISHED && is_waiting
    })
}

/// Sends one request, and returns the status and the body of the response.
pub(crate) fn exchange(at: SocketAddr, upload: &Upload) -> Option<(u16, String)> {
    let mut stream = send(at, &upload.encode())?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    let status = response.split(' ').nth(1)?.parse().ok()?;
    Some((status, response.split_once("\r\n\r\n")?.1.to_string()))
}
