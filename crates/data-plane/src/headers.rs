//! Heads of requests and responses: which headers go on, and responses of the balancer's own.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Response, StatusCode};
use load_balancing::interface::Span;

/// Header lines that a head may have, on either side.
pub const MAX_HEADER_LINES: usize = 64;

/// A response to a client, with its whole body.
pub type ClientResponse = Response<Full<Bytes>>;

/// A response with a status and no body.
pub fn empty_response(status: StatusCode) -> ClientResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// A 400 that names the part of the request that is malformed.
pub fn bad_request(what: &str) -> ClientResponse {
    let mut response = Response::new(Full::from(format!("malformed: {what}\n")));
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}

/// `Retry-After` in seconds with three decimals; none where there is no advice to give.
///
/// RFC 9110, 10.2.3 has whole seconds; the users' protocol has fractions.
pub fn retry_after_value(span: Span) -> Option<HeaderValue> {
    if span.0 <= 0 {
        return None;
    }
    HeaderValue::from_str(&format!("{:.3}", span.as_micros() / 1e6)).ok()
}

/// A refusal of a request that has not run, with advice on when to send it again.
pub fn retry_later(status: StatusCode, retry_after: Span) -> ClientResponse {
    let mut response = empty_response(status);
    if let Some(value) = retry_after_value(retry_after) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// An upstream's response as it goes to the client, without the headers that concern one connection and without these.
pub fn forward_response(response: Response<Bytes>, without: &[HeaderName]) -> ClientResponse {
    let (mut head, body) = response.into_parts();
    remove_hop_by_hop(&mut head.headers);
    for name in without {
        head.headers.remove(name);
    }
    head.headers.remove(CONTENT_LENGTH);
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}

/// The headers of a request as they go on to an upstream, with the length of its body in bytes.
pub fn forward_request_headers(mut headers: HeaderMap, body_bytes: usize) -> HeaderMap {
    remove_hop_by_hop(&mut headers);
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
    if body_bytes > 0 {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(body_bytes));
    }
    // Without one the upstream could not read it as HTTP/1.1.
    headers
        .entry(HOST)
        .or_insert(HeaderValue::from_static("api.internal"));
    headers
}

/// Removes the headers that concern one connection only (RFC 9110, 7.6.1), those that `Connection` names included.
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
