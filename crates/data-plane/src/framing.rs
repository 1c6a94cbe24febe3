//! Parses the heads of upstream responses and determines where their bodies end (RFC 9112). Holds no state.
//!
//! **Guarantees.** An ambiguous response is an error. Otherwise the upstream could place the end of the body elsewhere
//! than this parser, and what follows would be taken for the response to another request.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use hyper::{Method, Response, StatusCode, Version};

use crate::headers::MAX_HEADER_LINES;
use crate::response_desync::find_status_lines;

/// The maximum size of a response head, and of each line of chunked framing, in bytes. RFC 9112 sets no limit.
pub(crate) const MAX_HEAD_BYTES: usize = 16 << 10;

/// The bytes are not an HTTP response, or are ambiguous.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed response")]
pub(crate) struct MalformedResponse;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The body has this many bytes.
    Length(usize),
    /// The body ends after the last chunk and the trailers (RFC 9112, 7.1).
    Chunked,
    /// The body ends when the connection is closed. Whether it is complete is unknown, since the connection of an
    /// upstream that crashes is closed too.
    Close,
}

impl Framing {
    /// Returns the length of the body in bytes as announced by the head, or 0 if it announces none.
    pub(crate) fn announced_bytes(self) -> usize {
        match self {
            Self::Length(length) => length,
            Self::Chunked | Self::Close => 0,
        }
    }
}

/// A parsed response head.
#[derive(Debug)]
pub(crate) struct ParsedHead {
    /// Status, version and headers.
    pub(crate) head: Response<()>,
    /// The length of the head in bytes, including the empty line at its end.
    pub(crate) length: usize,
}

/// Parses the head at the start of `bytes`. Returns `None` if the head is incomplete.
///
/// # Errors
/// The bytes are not an HTTP/1.x response head, or the head is larger than [`MAX_HEAD_BYTES`] or ambiguous.
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
    // A second status line within the head means that two responses are interleaved.
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

/// Returns whether a line ends without a carriage return. Checks all pairs without an early exit, so that the compiler
/// can vectorize the loop.
fn has_bare_line_feed(bytes: &[u8]) -> bool {
    let pairs = bytes.iter().zip(bytes.iter().skip(1));
    pairs.fold(false, |found, (before, byte)| {
        found | ((*byte == b'\n') & (*before != b'\r'))
    })
}

/// Returns the framing of the body that follows a head (RFC 9112, 6.3), in the response to a request with this method.
///
/// # Errors
/// The head has both a length and a transfer coding, a transfer coding other than `chunked`, or an invalid length;
/// announces a body where none is allowed; or switches protocols.
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
        // These responses have no body. An upstream that announces one might still send it.
        let announced = has_coding || length.is_some_and(|length| length > 0);
        return if announced {
            Err(MalformedResponse)
        } else {
            Ok(Framing::Length(0))
        };
    }
    if status == StatusCode::NOT_MODIFIED || method == Method::HEAD {
        // These responses may announce the length of the body that they omit.
        return Ok(Framing::Length(0));
    }
    Ok(match length {
        Some(length) => Framing::Length(length),
        None if has_coding => Framing::Chunked,
        None => Framing::Close,
    })
}

/// Returns the value of `Content-Length`, which may occur only once and has to consist of digits.
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

/// Returns whether `chunked` is the only transfer coding, and the HTTP version supports it.
fn is_chunked(head: &Response<()>) -> bool {
    let mut codings = head.headers().get_all(TRANSFER_ENCODING).iter();
    let first = codings
        .next()
        .is_some_and(|c| c.as_bytes().eq_ignore_ascii_case(b"chunked"));
    first && codings.next().is_none() && head.version() == Version::HTTP_11
}

/// Returns the size in bytes announced by the first line of a chunk (RFC 9112, 7.1). Chunk extensions are ignored.
///
/// # Errors
/// The size does not consist of hexadecimal digits only, or overflows.
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

/// Returns whether a line after the last chunk is a trailer field, rather than, for example, the status line of another
/// response.
pub(crate) fn is_trailer(line: &[u8]) -> bool {
    let name = line
        .iter()
        .position(|byte| *byte == b':')
        .map(|end| &line[..end]);
    name.is_some_and(|name| HeaderName::from_bytes(name).is_ok())
}

/// Returns whether the upstream closes the connection after this response (RFC 9112, 9.3).
pub(crate) fn closes_connection(head: &Response<()>) -> bool {
    head.version() != Version::HTTP_11 || names_in_connection(head.headers(), "close")
}

/// Returns whether the `Connection` header lists `name` (RFC 9110, 7.6.1).
pub(crate) fn names_in_connection(headers: &HeaderMap, name: &str) -> bool {
    let values = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok());
    values
        .flat_map(|v| v.split(','))
        .any(|n| n.trim().eq_ignore_ascii_case(name))
}
