//! Heads of requests and responses: which headers are forwarded, and the responses that the balancer itself generates.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Response, StatusCode};
use load_balancing::interface::Span;

/// The maximum number of header lines in a request or response head.
pub const MAX_HEADER_LINES: usize = 64;

/// A response to a client, with its complete body.
pub type ClientResponse = Response<Full<Bytes>>;

/// Returns a response with a status and no body.
pub fn empty_response(status: StatusCode) -> ClientResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Returns a 400 that names the malformed part of the request.
pub fn bad_request(what: &str) -> ClientResponse {
    let mut response = Response::new(Full::from(format!("malformed: {what}\n")));
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}

/// Returns the value of `Retry-After` in seconds with three decimals, or `None` if `span` is not positive.
///
/// RFC 9110, 10.2.3 allows only whole seconds; the protocol that clients of this balancer use allows fractions.
pub fn retry_after_value(span: Span) -> Option<HeaderValue> {
    if span.0 <= 0 {
        return None;
    }
    HeaderValue::from_str(&format!("{:.3}", span.as_micros() / 1e6)).ok()
}

/// Returns the refusal of a request that has not run, with a `Retry-After`.
pub fn retry_later(status: StatusCode, retry_after: Span) -> ClientResponse {
    let mut response = empty_response(status);
    if let Some(value) = retry_after_value(retry_after) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Returns an upstream's response as forwarded to the client, without hop-by-hop headers and without those in
/// `without`.
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

/// Returns the headers of a request as forwarded to an upstream, with the length of its body in bytes.
pub fn forward_request_headers(mut headers: HeaderMap, body_bytes: usize) -> HeaderMap {
    remove_hop_by_hop(&mut headers);
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
    if body_bytes > 0 {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(body_bytes));
    }
    // HTTP/1.1 requires a `Host` header.
    headers
        .entry(HOST)
        .or_insert(HeaderValue::from_static("api.internal"));
    headers
}

/// Removes the hop-by-hop headers (RFC 9110, 7.6.1), including those listed in `Connection`.
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
