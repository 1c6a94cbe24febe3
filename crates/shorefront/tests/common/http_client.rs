//! A plain HTTP client that sends exactly the bytes that a test asks for.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

use serde_json::Value;

use super::WAIT_LIMIT;

/// Status and body of a response.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) body: String,
}

/// Opens a connection whose reads end after [`WAIT_LIMIT`].
pub(crate) fn connect(at: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(at)?;
    stream.set_read_timeout(Some(WAIT_LIMIT))?;
    Ok(stream)
}

/// Sends one request on a new connection. Returns `None` if there is no response.
pub(crate) fn send(at: SocketAddr, request: &str) -> Option<Response> {
    let mut stream = connect(at).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    let status = response.split(' ').nth(1)?.parse().ok()?;
    let body = response.split_once("\r\n\r\n")?.1.to_string();
    Some(Response { status, body })
}

pub(crate) fn get(at: SocketAddr, host: &str, path: &str) -> Option<Response> {
    let head = format!("Host: {host}\r\nAttempt-Id: 1\r\nDeadline-Ms: 5000\r\nConnection: close");
    send(at, &format!("GET {path} HTTP/1.1\r\n{head}\r\n\r\n"))
}

/// Sends a command that is based on revision `base` to a control balancer.
pub(crate) fn post(at: SocketAddr, path: &str, base: u64, body: &Value) -> Option<Response> {
    let body = body.to_string();
    let length = body.len();
    send(
        at,
        &format!(
            "POST {path} HTTP/1.1\r\nHost: c\r\nBase-Version: {base}\r\nConnection: close\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        ),
    )
}

/// Replaces the configuration, and returns the status of the response.
pub(crate) fn replace_config(ctl: SocketAddr, base: u64, config: &Value) -> Option<u16> {
    post(ctl, "/-/Config.Replace", base, config).map(|response| response.status)
}

/// Sends bytes, and reads until the balancer closes the connection. Panics if a read takes longer than [`WAIT_LIMIT`].
pub(crate) fn exchange_bytes(at: SocketAddr, sent: &[u8]) -> String {
    let mut stream = connect(at).expect("reachable");
    // The balancer may close before it has read everything.
    let _ = stream.write_all(sent);
    let mut response = Vec::new();
    let mut part = [0; 4096];
    loop {
        match stream.read(&mut part) {
            Ok(0) => break,
            Ok(n) => response.extend_from_slice(&part[..n]),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => break,
            Err(e) => panic!("not closed within {WAIT_LIMIT:?}: {e}"),
        }
    }
    String::from_utf8_lossy(&response).into_owned()
}
