//! Validation of request heads, and access to header values.

use hyper::header::{COOKIE, HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;

/// Maximum length of a request id.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// Headers that may occur only once, because repeated values would be ambiguous.
const SINGLE_HEADERS: [&str; 7] = [
    "host",
    "x-request-id",
    "x-class",
    "x-tenant",
    "x-deadline-ms",
    "idempotency-key",
    "content-length",
];

/// Rejects requests whose framing or identity an upstream could interpret differently (request smuggling). The error
/// names the invalid part.
///
/// Transfer codings are rejected altogether: hyper drops a `Content-Length` next to a `Transfer-Encoding`, so an
/// upstream could find a second request in the body. Clients of this proxy do not need them.
pub(super) fn validate_head(head: &Parts) -> Result<(), &'static str> {
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err("Transfer-Encoding");
    }
    if head.uri.authority().is_some() {
        return Err("target");
    }
    for name in SINGLE_HEADERS {
        if head.headers.get_all(name).iter().nth(1).is_some() {
            return Err(name);
        }
    }
    let is_text = |value: &HeaderValue| value.to_str().is_ok();
    if !head.headers.contains_key(HOST) || !head.headers.values().all(is_text) {
        return Err("headers");
    }
    let id_bytes = head.headers.get("x-request-id").map_or(0, HeaderValue::len);
    if (1..=MAX_REQUEST_ID_BYTES).contains(&id_bytes) {
        Ok(())
    } else {
        Err("X-Request-Id")
    }
}

/// Returns the value of a header if it is valid text.
pub(super) fn header_text<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the value of the first cookie with this name.
pub(super) fn cookie<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let lines = headers.get_all(COOKIE).iter();
    lines
        .filter_map(|value| value.to_str().ok())
        .flat_map(|line| line.split(';'))
        .filter_map(|pair| pair.trim().split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
