//! Answers as a client reads them, and whether they may be given.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;

use crate::upstream::Runs;

#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
    pub(crate) is_complete: bool,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let is_header = |line: &&str| line.to_ascii_lowercase().starts_with(&format!("{name}:"));
        let line = self.head.lines().find(is_header)?;
        Some(line[name.len() + 1..].trim())
    }
}

/// Reads one answer; `None` where none has begun.
pub(crate) fn read_answer(stream: &mut TcpStream, has_body: bool) -> Option<Answer> {
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
    let status = status.unwrap_or_else(|| panic!("no answer: {head:?}"));
    let mut answer = Answer {
        status,
        head,
        body: Vec::new(),
        is_complete: true,
    };
    if !has_body {
        return Some(answer);
    }
    let length = answer.header("content-length").and_then(|l| l.parse().ok());
    let length: usize =
        length.unwrap_or_else(|| panic!("it would look complete anywhere: {answer:?}"));
    answer.body = vec![0; length];
    let mut read = 0;
    while read < length {
        match stream.read(&mut answer.body[read..]) {
            Ok(n) if n > 0 => read += n,
            _ => break,
        }
    }
    answer.body.truncate(read);
    answer.is_complete = read == length;
    Some(answer)
}

/// Nothing comes on a connection on which no request waits.
pub(crate) fn assert_nothing_unread(stream: &TcpStream) {
    stream.set_nonblocking(true).expect("set");
    match stream.peek(&mut [0]) {
        Ok(0) => {}
        Ok(_) => panic!("an answer that nobody waits for"),
        Err(e) => {
            assert!(e.kind() == ErrorKind::WouldBlock || e.kind() == ErrorKind::ConnectionReset);
        }
    }
    stream.set_nonblocking(false).expect("set");
}

/// Whether an answer may be given to a request whose runs are known.
pub(crate) fn assert_own_answer(runs: &Runs, id: &str, answer: &Answer) {
    let runs = runs.of(id);
    let context = || {
        format!(
            "{id}: {:?} {:.200?} of {runs:.500?}",
            answer.head, answer.body
        )
    };
    if let Some(echoed) = answer.header("attempt-id") {
        assert_eq!(echoed, id, "{}", context());
    }
    let Some(seal) = answer.header("upstream-seal") else {
        let is_of_balancer = [502, 503, 504].contains(&answer.status);
        assert!(is_of_balancer, "whose is that? {}", context());
        return;
    };
    assert_eq!(seal, format!("seal-{}", answer.status), "{}", context());
    let is_own = runs.iter().any(|run| {
        run.status == answer.status
            && if answer.is_complete {
                run.is_complete && run.body.as_bytes() == answer.body
            } else {
                run.body.as_bytes().starts_with(&answer.body)
            }
    });
    assert!(is_own, "another's answer: {}", context());
}
