//! Heads of answers, and where their bodies end (RFC 9112).
//!
//! **Guarantees.** What could be read in two ways is no answer: another reader of the same bytes, the upstream
//! first of all, could place the end of the body elsewhere, and what follows would be taken for the answer to
//! another request.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use hyper::{Method, Response, StatusCode, Version};

use crate::headers::MAX_HEADER_LINES;
use crate::response_desync::find_status_lines;

/// The head of an answer may have so many bytes, and so may each line of a chunked body's framing.
pub const HEAD_LIMIT: usize = 16 << 10;

/// Bytes that are no answer, or could be read as more than one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed answer")]
pub struct Malformed;

/// Where a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunked,
    /// At the end of the connection. Whether it is whole can't be known: an upstream that dies ends it too.
    Close,
}

impl Framing {
    /// The length of the body, as far as its head tells.
    pub fn announced(self) -> usize {
        match self {
            Self::Length(length) => length,
            Self::Chunked | Self::Close => 0,
        }
    }
}

/// The head at the start of `bytes` and its length, or `None` while more of it is to come.
pub fn parse_head(bytes: &[u8]) -> Result<Option<(Response<()>, usize)>, Malformed> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
    let mut answer = httparse::Response::new(&mut lines);
    let length = match answer.parse(bytes).map_err(|_| Malformed)? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(length) => length,
    };
    if length > HEAD_LIMIT || has_bare_line_feed(&bytes[..length]) {
        return Err(Malformed);
    }
    // Behind its own status line, another one shows that two heads run into each other.
    if find_status_lines(&bytes[1..length]).next().is_some() {
        return Err(Malformed);
    }
    let code = answer
        .code
        .filter(|code| (100..600).contains(code))
        .ok_or(Malformed)?;
    let mut head = Response::new(());
    *head.status_mut() = StatusCode::from_u16(code).map_err(|_| Malformed)?;
    *head.version_mut() = if answer.version == Some(1) {
        Version::HTTP_11
    } else {
        Version::HTTP_10
    };
    for line in answer.headers {
        let name = HeaderName::from_bytes(line.name.as_bytes()).map_err(|_| Malformed)?;
        let value = HeaderValue::from_bytes(line.value).map_err(|_| Malformed)?;
        head.headers_mut().append(name, value);
    }
    Ok(Some((head, length)))
}

/// Whether a line ends without a carriage return. Looks at all pairs, so that the compiler can take many at once.
fn has_bare_line_feed(bytes: &[u8]) -> bool {
    let pairs = bytes.iter().zip(bytes.iter().skip(1));
    pairs.fold(false, |found, (before, byte)| {
        found | ((*byte == b'\n') & (*before != b'\r'))
    })
}

/// How the body that follows a head is framed (RFC 9112, 6.3).
pub fn framing(head: &Response<()>, method: &Method) -> Result<Framing, Malformed> {
    let (status, headers) = (head.status(), head.headers());
    if status == StatusCode::SWITCHING_PROTOCOLS {
        return Err(Malformed);
    }
    let coded = headers.contains_key(TRANSFER_ENCODING);
    let length = content_length(headers)?;
    if coded && (length.is_some() || !is_chunked(head)) {
        return Err(Malformed);
    }
    if status.is_informational() || status == StatusCode::NO_CONTENT {
        // Neither has a body. One that announces a body might send it all the same.
        let announced = coded || length.is_some_and(|length| length > 0);
        return if announced {
            Err(Malformed)
        } else {
            Ok(Framing::Length(0))
        };
    }
    if status == StatusCode::NOT_MODIFIED || method == Method::HEAD {
        // What they announce is the body that they leave out.
        return Ok(Framing::Length(0));
    }
    Ok(match length {
        Some(length) => Framing::Length(length),
        None if coded => Framing::Chunked,
        None => Framing::Close,
    })
}

fn content_length(headers: &HeaderMap) -> Result<Option<usize>, Malformed> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else {
        return Ok(None);
    };
    // `parse` would take a sign.
    if lengths.next().is_some() || !length.as_bytes().iter().all(u8::is_ascii_digit) {
        return Err(Malformed);
    }
    let length = length.to_str().ok().and_then(|text| text.parse().ok());
    length.map(Some).ok_or(Malformed)
}

/// Whether the one coding is the chunked one, and the version knows it.
fn is_chunked(head: &Response<()>) -> bool {
    let mut codings = head.headers().get_all(TRANSFER_ENCODING).iter();
    let first = codings
        .next()
        .is_some_and(|c| c.as_bytes().eq_ignore_ascii_case(b"chunked"));
    first && codings.next().is_none() && head.version() == Version::HTTP_11
}

/// The size that a chunk's first line announces, whatever extensions follow it.
pub fn chunk_size(line: &[u8]) -> Result<usize, Malformed> {
    let digits = line
        .split(|byte| *byte == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii_end();
    // `from_str_radix` would take a sign.
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(Malformed);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| Malformed)?;
    usize::from_str_radix(digits, 16).map_err(|_| Malformed)
}

/// Whether a line after the last chunk is a header. A second answer's first line is none.
pub fn is_trailer(line: &[u8]) -> bool {
    let name = line
        .iter()
        .position(|byte| *byte == b':')
        .map(|end| &line[..end]);
    name.is_some_and(|name| HeaderName::from_bytes(name).is_ok())
}

/// Whether the connection ends after this answer.
pub fn closes(head: &Response<()>) -> bool {
    head.version() != Version::HTTP_11 || names_in_connection(head.headers(), "close")
}

/// Whether the `Connection` header names this.
pub fn names_in_connection(headers: &HeaderMap, name: &str) -> bool {
    let values = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok());
    values
        .flat_map(|v| v.split(','))
        .any(|n| n.trim().eq_ignore_ascii_case(name))
}
