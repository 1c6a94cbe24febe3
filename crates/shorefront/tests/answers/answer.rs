//! Reads responses as a client, and checks them against what the upstreams ran.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;

use crate::upstream::Runs;

#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
    pub(crate) is_complete: bool,
}

impl Response {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let is_header = |line: &&str| line.to_ascii_lowercase().starts_with(&format!("{name}:"));
        let line = self.head.lines().find(is_header)?;
        Some(line[name.len() + 1..].trim())
    }
}

/// Reads one response. Returns `None` if the connection ends before a complete head.
pub(crate) fn read_response(stream: &mut TcpStream, has_body: bool) -> Option<Response> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    let head = String::from_utf8(head).expect("text");
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.unwrap_or_else(|| panic!("not a response: {head:?}"));
    let mut response = Response {
        status,
        head,
        body: Vec::new(),
        is_complete: true,
    };
    if !has_body {
        return Some(response);
    }
    let length = response
        .header("content-length")
        .and_then(|l| l.parse().ok());
    let length: usize = length.unwrap_or_else(|| {
        panic!("a response without its length looks complete wherever it ends: {response:?}")
    });
    response.body = vec![0; length];
    let mut read = 0;
    while read < length {
        match stream.read(&mut response.body[read..]) {
            Ok(n) if n > 0 => read += n,
            _ => break,
        }
    }
    response.body.truncate(read);
    response.is_complete = read == length;
    Some(response)
}

/// Asserts that a connection without a pending request has no bytes to read.
pub(crate) fn assert_nothing_unread(stream: &TcpStream) {
    stream.set_nonblocking(true).expect("set");
    match stream.peek(&mut [0]) {
        Ok(0) => {}
        Ok(_) => panic!("an unsolicited response"),
        Err(e) => {
            assert!(e.kind() == ErrorKind::WouldBlock || e.kind() == ErrorKind::ConnectionReset);
        }
    }
    stream.set_nonblocking(false).expect("set");
}

/// Asserts that a response belongs to one of the runs of this request, or is an error of the balancer itself.
pub(crate) fn assert_response_matches_run(runs: &Runs, id: &str, response: &Response) {
    let runs = runs.of(id);
    let context = || {
        format!(
            "{id}: {:?} {:.200?} of {runs:.500?}",
            response.head, response.body
        )
    };
    if let Some(echoed) = response.header("attempt-id") {
        assert_eq!(echoed, id, "{}", context());
    }
    let Some(seal) = response.header("upstream-seal") else {
        let is_of_balancer = [502, 503, 504].contains(&response.status);
        assert!(
            is_of_balancer,
            "neither sealed by an upstream nor an error of the balancer: {}",
            context()
        );
        return;
    };
    assert_eq!(seal, format!("seal-{}", response.status), "{}", context());
    let matches_run = runs.iter().any(|run| {
        run.status == response.status
            && if response.is_complete {
                run.is_complete && run.body.as_bytes() == response.body
            } else {
                run.body.as_bytes().starts_with(&response.body)
            }
    });
    assert!(matches_run, "a response to another request: {}", context());
}
