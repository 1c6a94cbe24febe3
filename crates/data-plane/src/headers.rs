//! Heads of requests and answers: what may pass, what is added, what is said in short.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Response, StatusCode};
use load_balancing::interface::Span;

/// A head may have so many lines, on either side.
pub const MAX_HEADER_LINES: usize = 64;

/// An answer to a client.
pub type ClientResponse = Response<Full<Bytes>>;

/// An answer of nothing but a status.
pub fn empty_response(status: StatusCode) -> ClientResponse {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

/// A request that makes no sense, and in what.
pub fn bad_request(what: &str) -> ClientResponse {
    let mut answer = Response::new(Full::from(format!("malformed: {what}\n")));
    *answer.status_mut() = StatusCode::BAD_REQUEST;
    answer
}

/// `Retry-After` in decimal seconds; none for no advice.
pub fn retry_after_value(span: Span) -> Option<HeaderValue> {
    if span.0 <= 0 {
        return None;
    }
    HeaderValue::from_str(&format!("{:.3}", span.as_micros() / 1e6)).ok()
}

/// A refusal of what has not run, with advice on when to come back.
pub fn retry_later(status: StatusCode, retry_after: Span) -> ClientResponse {
    let mut answer = empty_response(status);
    if let Some(value) = retry_after_value(retry_after) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

/// An upstream's answer as it goes to the client.
pub fn forward_response(response: Response<Bytes>, internal: &[HeaderName]) -> ClientResponse {
    let (mut head, body) = response.into_parts();
    remove_hop_by_hop(&mut head.headers);
    for name in internal {
        head.headers.remove(name);
    }
    head.headers.remove(CONTENT_LENGTH);
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = head.headers;
    answer
}

/// The headers that go on to an upstream.
pub fn forward_request_headers(mut headers: HeaderMap, body: usize) -> HeaderMap {
    remove_hop_by_hop(&mut headers);
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
    if body > 0 {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(body));
    }
    // Without one the upstream could not read it as HTTP/1.1.
    headers
        .entry(HOST)
        .or_insert(HeaderValue::from_static("api.internal"));
    headers
}

/// Takes out what concerns one connection only (RFC 9110, 7.6.1).
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE] {
        headers.remove(name);
    }
    for name in [
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
    ] {
        headers.remove(name);
    }
}
