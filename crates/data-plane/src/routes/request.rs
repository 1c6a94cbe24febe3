//! Processes a request from its head to its response: checks that the request is unambiguous, finds its route, reads
//! its body within the limits, submits it to the engine, and converts the result into a response.

use std::sync::Arc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use load_balancing::interface::Span;
use tokio::time::Instant;

use super::Routes;
use super::client_deadline::ClientDeadline;
use super::route_table::{ActiveRoute, Split};
use crate::engine::{EngineReply, IncomingRequest};
use crate::headers::{
    ClientResponse, bad_request, empty_response, forward_request_headers, forward_response,
    retry_later,
};
use crate::listener::RequestHandler;
use crate::metrics::RequestOutcome;
use crate::request_memory::{ReceiveError, RequestMemory};
use crate::upstream_pool::ForwardedRequest;

/// The `Retry-After` of a request that is refused for lack of a configuration or of memory for its body. Long enough
/// for an update to arrive.
const NOT_READY_RETRY_AFTER: Span = Span(500_000);

/// Headers that must not occur more than once.
const SINGLE_VALUE_HEADERS: [&str; 4] = ["host", "content-length", "attempt-id", "deadline-ms"];
/// The header with the key of a request, for sharded services.
const SHARD_KEY: HeaderName = HeaderName::from_static("shard-key");
/// Response headers that upstreams send only to the balancer; they are not forwarded.
const BALANCER_ONLY_HEADERS: [HeaderName; 2] = [
    HeaderName::from_static("upstream-load"),
    HeaderName::from_static("not-run"),
];

/// Why a request does not get an upstream's response.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestError {
    /// The named part of the request is malformed.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    #[error("the body is larger than the limit")]
    BodyTooLarge,
    #[error("the body was not received before the request's deadline")]
    BodyTimeout,
    /// Like [`Self::Refused`], but a part of the body was not read.
    #[error("no memory for the body")]
    NoMemory,
    #[error("none of the route's services has a weight above zero")]
    NoService,
    /// The request has not run and may be sent again.
    #[error("refused before it ran")]
    Refused { retry_after: Span },
    /// The request may have run.
    #[error("no response before the request's deadline")]
    DeadlineExceeded,
    /// The request may have run.
    #[error("no response from an upstream")]
    NoResponse,
}

impl RequestError {
    fn outcome(&self) -> RequestOutcome {
        match self {
            Self::Malformed(_) | Self::BodyTooLarge | Self::BodyTimeout | Self::NoService => {
                RequestOutcome::Malformed
            }
            Self::Refused { .. } | Self::NoMemory => RequestOutcome::Refused,
            Self::DeadlineExceeded | Self::NoResponse => RequestOutcome::Failed,
        }
    }

    fn into_response(self) -> ClientResponse {
        match self {
            Self::Malformed(part) => bad_request(part),
            Self::BodyTooLarge => empty_response(StatusCode::PAYLOAD_TOO_LARGE),
            Self::BodyTimeout => empty_response(StatusCode::REQUEST_TIMEOUT),
            Self::NoService => empty_response(StatusCode::NOT_FOUND),
            Self::NoMemory => {
                let mut response =
                    retry_later(StatusCode::SERVICE_UNAVAILABLE, NOT_READY_RETRY_AFTER);
                close_connection(&mut response);
                response
            }
            Self::Refused { retry_after } => {
                retry_later(StatusCode::SERVICE_UNAVAILABLE, retry_after)
            }
            Self::DeadlineExceeded => empty_response(StatusCode::GATEWAY_TIMEOUT),
            Self::NoResponse => empty_response(StatusCode::BAD_GATEWAY),
        }
    }
}

impl From<ReceiveError> for RequestError {
    fn from(error: ReceiveError) -> Self {
        match error {
            ReceiveError::TooLarge => Self::BodyTooLarge,
            ReceiveError::TimedOut => Self::BodyTimeout,
            ReceiveError::Malformed => Self::Malformed("body"),
            ReceiveError::NoMemory => Self::NoMemory,
        }
    }
}

/// Lets the connection be closed after the response, since what follows on it can't be read as a request.
fn close_connection(response: &mut ClientResponse) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}

impl RequestHandler for Routes {
    async fn handle_request(
        &self,
        request: Request<Incoming>,
        arrived_at: Instant,
        _: bool,
    ) -> ClientResponse {
        // If a request has both a length and a transfer coding, the coding applies (RFC 9112, 6.3). An intermediary may
        // have used the length instead; closing the connection prevents a part of what it took for the body from being
        // read as a request here.
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let mut response = self.respond(request, arrived_at).await;
        if chunked || response.status() == StatusCode::BAD_REQUEST {
            close_connection(&mut response);
        }
        response
    }

    fn request_memory(&self) -> Option<&RequestMemory> {
        Some(&self.request_memory)
    }
}

impl Routes {
    /// Finds the route of a request, obtains the response, and records the outcome.
    async fn respond(&self, request: Request<Incoming>, arrived_at: Instant) -> ClientResponse {
        let (head, body) = request.into_parts();
        if let Err(error) = check_head(&head) {
            return error.into_response();
        }
        if !self.control_state.borrow().has_config() {
            return retry_later(StatusCode::SERVICE_UNAVAILABLE, NOT_READY_RETRY_AFTER);
        }
        let host = head.headers.get(HOST).and_then(|v| v.to_str().ok());
        let host = host.unwrap_or_default();
        let Some(route) = self.route_table.find(host, head.uri.path()) else {
            self.metrics.unrouted_requests.inc();
            return empty_response(StatusCode::NOT_FOUND);
        };
        let (outcome, response) = match self.forward(&route, head, body, arrived_at).await {
            Ok(response) => (RequestOutcome::Served, response),
            Err(error) => (error.outcome(), error.into_response()),
        };
        route.metrics.record_response(outcome, arrived_at);
        response
    }

    /// Reads the body of a request that has a route, and submits the request to the engine.
    async fn forward(
        &self,
        route: &ActiveRoute,
        head: Parts,
        body: Incoming,
        arrived_at: Instant,
    ) -> Result<ClientResponse, RequestError> {
        let ClientDeadline {
            deadline,
            is_resent,
        } = ClientDeadline::from_headers(&head.headers, route, arrived_at)?;
        let until = arrived_at + deadline;
        let max_body_bytes = self.control_state.borrow().limits.max_body_bytes;
        let body = self
            .request_memory
            .receive(body, max_body_bytes, until)
            .await?;
        let split = self
            .route_table
            .next_split(route)
            .ok_or(RequestError::NoService)?;
        let request = IncomingRequest {
            class: split.class.index,
            accepted_class: Some(Arc::clone(&split.class.class)),
            tenant: 0,
            key: None,
            shard: shard_key(split, &head),
            deadline: until,
            estimated_work: None,
            is_client_retry: is_resent,
        };
        let method = head.method.clone();
        let forwarded = ForwardedRequest {
            method: head.method,
            uri: head.uri,
            headers: forward_request_headers(head.headers, body.len()),
            body,
        };
        let reply = self.engine.submit(split.service, request, forwarded).await;
        into_result(reply, &method)
    }
}

/// Returns the key of a request if its service was sharded when the request was accepted.
fn shard_key(split: &Split, head: &Parts) -> Option<u16> {
    let value = head.headers.get(SHARD_KEY)?;
    let key = value.to_str().ok()?.trim().parse().ok();
    key.filter(|_| split.is_sharded)
}

/// Checks that the head of a request is unambiguous, so that every upstream interprets it in the same way.
fn check_head(head: &Parts) -> Result<(), RequestError> {
    if head.uri.authority().is_some() {
        return Err(RequestError::Malformed("target"));
    }
    // A successful response to CONNECT ends only with the connection (RFC 9110, 9.3.6), so that a truncated one would
    // look complete.
    if head.method == Method::CONNECT {
        return Err(RequestError::Malformed("method"));
    }
    for name in SINGLE_VALUE_HEADERS {
        if head.headers.get_all(name).iter().nth(1).is_some() {
            return Err(RequestError::Malformed(name));
        }
    }
    if !head.headers.contains_key(HOST) {
        return Err(RequestError::Malformed("Host"));
    }
    Ok(())
}

/// Converts the engine's reply into a response or an error.
fn into_result(reply: EngineReply, method: &Method) -> Result<ClientResponse, RequestError> {
    match reply {
        EngineReply::Served(response) => Ok(client_response(response, method)),
        EngineReply::Rejected { retry_after } => Err(RequestError::Refused { retry_after }),
        EngineReply::Failed { timed_out: true } => Err(RequestError::DeadlineExceeded),
        EngineReply::Failed { timed_out: false } => Err(RequestError::NoResponse),
    }
}

/// Returns an upstream's response as forwarded to the client. A response to HEAD keeps its `Content-Length`.
fn client_response(response: Response<Bytes>, method: &Method) -> ClientResponse {
    let length = response
        .headers()
        .get(CONTENT_LENGTH)
        .filter(|_| method == Method::HEAD)
        .cloned();
    let mut response = forward_response(response, &BALANCER_ONLY_HEADERS);
    if let Some(length) = length {
        response.headers_mut().insert(CONTENT_LENGTH, length);
    }
    response
}
