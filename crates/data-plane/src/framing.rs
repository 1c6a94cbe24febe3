//! Parses the heads of upstreams' responses and determines where their bodies end (RFC 9112). Holds no state.
//!
//! **Promises.** A response that can be read in two ways is an error: another reader of the same bytes, the upstream
//! first of all, could place the end of the body elsewhere, and what follows would be taken for the response to
//! another request.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use hyper::{Method, Response, StatusCode, Version};

use crate::headers::MAX_HEADER_LINES;
use crate::response_desync::find_status_lines;

/// The head of a response may have so many bytes, and so may each line of a chunked body's framing. A choice of
/// ours; RFC 9112 sets no limit.
pub(crate) const MAX_HEAD_BYTES: usize = 16 << 10;

/// The bytes are not a response, or can be read in more than one way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed response")]
pub(crate) struct MalformedResponse;

/// Where a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// After so many bytes.
    Length(usize),
    /// After the last chunk and the trailers (RFC 9112, 7.1).
    Chunked,
    /// At the end of the connection. Whether it is complete can't be known: an upstream that dies ends it too.
    Close,
}

impl Framing {
    /// The length of the body in bytes as announced by its head; 0 if it announces none.
    pub(crate) fn announced_bytes(self) -> usize {
        match self {
            Self::Length(length) => length,
            Self::Chunked | Self::Close => 0,
        }
    }
}

/// A head that was parsed.
#[derive(Debug)]
pub(crate) struct ParsedHead {
    /// Status, version and headers.
    pub(crate) head: Response<()>,
    /// How many bytes it takes, the empty line at its end included.
    pub(crate) length: usize,
}

/// Parses the head at the start of `bytes`; `None` while more of it is to come.
///
/// # Errors
/// The bytes are no head of HTTP/1.x, the head is larger than [`MAX_HEAD_BYTES`], or it can be read in two ways.
pub(crate) fn parse_head(bytes: &[u8]) -> Result<Option<ParsedHead>, MalformedResponse> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
    let mut parsed = httparse::Response::new(&mut lines);
    let length = match parsed.parse(bytes).map_err(|_| MalformedResponse)? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(length) => length,
    };
    if length > MAX_HEAD_BYTES || has_bare_line_feed(&bytes[..length]) {
        return Err(MalformedResponse);
    }
    // Behind its own status line, another one shows that two heads run into each other.
    if find_status_lines(&bytes[1..length]).next().is_some() {
        return Err(MalformedResponse);
    }
    let code = parsed
        .code
        .filter(|code| (100..600).contains(code))
        .ok_or(MalformedResponse)?;
    let mut head = Response::new(());
    *head.status_mut() = StatusCode::from_u16(code).map_err(|_| MalformedResponse)?;
    *head.version_mut() = if parsed.version == Some(1) {
        Version::HTTP_11
    } else {
        Version::HTTP_10
    };
    for line in parsed.headers {
        let name = HeaderName::from_bytes(line.name.as_bytes()).map_err(|_| MalformedResponse)?;
        let value = HeaderValue::from_bytes(line.value).map_err(|_| MalformedResponse)?;
        head.headers_mut().append(name, value);
    }
    Ok(Some(ParsedHead { head, length }))
}

/// Whether a line ends without a carriage return. Looks at all pairs without an early exit, so that the compiler can
/// vectorize it.
fn has_bare_line_feed(bytes: &[u8]) -> bool {
    let pairs = bytes.iter().zip(bytes.iter().skip(1));
    pairs.fold(false, |found, (before, byte)| {
        found | ((*byte == b'\n') & (*before != b'\r'))
    })
}

/// How the body that follows a head is framed (RFC 9112, 6.3), in the response to a request of this method.
///
/// # Errors
/// The head states its body's length in two ways, by a coding other than `chunked`, or announces a body where none
/// may be; or it switches protocols.
pub(crate) fn framing(head: &Response<()>, method: &Method) -> Result<Framing, MalformedResponse> {
    let (status, headers) = (head.status(), head.headers());
    if status == StatusCode::SWITCHING_PROTOCOLS {
        return Err(MalformedResponse);
    }
    let has_coding = headers.contains_key(TRANSFER_ENCODING);
    let length = content_length(headers)?;
    if has_coding && (length.is_some() || !is_chunked(head)) {
        return Err(MalformedResponse);
    }
    if status.is_informational() || status == StatusCode::NO_CONTENT {
        // Neither has a body. An upstream that announces one might send it all the same.
        let announced = has_coding || length.is_some_and(|length| length > 0);
        return if announced {
            Err(MalformedResponse)
        } else {
            Ok(Framing::Length(0))
        };
    }
    if status == StatusCode::NOT_MODIFIED || method == Method::HEAD {
        // They announce the length of the body that they leave out.
        return Ok(Framing::Length(0));
    }
    Ok(match length {
        Some(length) => Framing::Length(length),
        None if has_coding => Framing::Chunked,
        None => Framing::Close,
    })
}

/// The value of `Content-Length`, which may stand once and has digits only.
fn content_length(headers: &HeaderMap) -> Result<Option<usize>, MalformedResponse> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else {
        return Ok(None);
    };
    // `parse` would accept a sign.
    if lengths.next().is_some() || !length.as_bytes().iter().all(u8::is_ascii_digit) {
        return Err(MalformedResponse);
    }
    let length = length.to_str().ok().and_then(|text| text.parse().ok());
    length.map(Some).ok_or(MalformedResponse)
}

/// Whether `chunked` is the only coding, in a version that knows it.
fn is_chunked(head: &Response<()>) -> bool {
    let mut codings = head.headers().get_all(TRANSFER_ENCODING).iter();
    let first = codings
        .next()
        .is_some_and(|c| c.as_bytes().eq_ignore_ascii_case(b"chunked"));
    first && codings.next().is_none() && head.version() == Version::HTTP_11
}

/// The size in bytes that a chunk's first line announces (RFC 9112, 7.1); chunk extensions are ignored.
///
/// # Errors
/// The line does not begin with hexadecimal digits alone.
pub(crate) fn chunk_size(line: &[u8]) -> Result<usize, MalformedResponse> {
    let digits = line
        .split(|byte| *byte == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii_end();
    // `from_str_radix` would accept a sign.
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(MalformedResponse);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| MalformedResponse)?;
    usize::from_str_radix(digits, 16).map_err(|_| MalformedResponse)
}

/// Whether a line after the last chunk is a trailer. The status line of another response is not.
pub(crate) fn is_trailer(line: &[u8]) -> bool {
    let name = line
        .iter()
        .position(|byte| *byte == b':')
        .map(|end| &line[..end]);
    name.is_some_and(|name| HeaderName::from_bytes(name).is_ok())
}

/// Whether the upstream closes the connection after this response (RFC 9112, 9.3).
pub(crate) fn closes_connection(head: &Response<()>) -> bool {
    head.version() != Version::HTTP_11 || names_in_connection(head.headers(), "close")
}

/// Whether the `Connection` header lists `name` (RFC 9110, 7.6.1).
pub(crate) fn names_in_connection(headers: &HeaderMap, name: &str) -> bool {
    let values = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok());
    values
        .flat_map(|v| v.split(','))
        .any(|n| n.trim().eq_ignore_ascii_case(name))
}
