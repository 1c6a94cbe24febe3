//! JSON responses.

use bytes::Bytes;
use data_plane::headers::ClientResponse;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde_json::json;

/// Builds a response with a JSON body.
pub(super) fn json_response(status: StatusCode, body: &serde_json::Value) -> ClientResponse {
    raw_json_response(status, Bytes::from(body.to_string()))
}

/// Builds a response from a body that is already encoded as JSON.
pub(super) fn raw_json_response(status: StatusCode, body: Bytes) -> ClientResponse {
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Builds a response with the body `{"err": message}`.
pub(super) fn error_response(status: StatusCode, message: &str) -> ClientResponse {
    json_response(status, &json!({"err": message}))
}
