//! The way of a request from its head to its response: checks that all readers would read it the same, finds its
//! route, reads its body within the limits, hands it to the engine, and turns what comes of it into a response.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use load_balancing::interface::Span;
use tokio::time::{Instant, timeout_at};

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
use crate::upstream_pool::ForwardedRequest;

/// `Retry-After` of a request that finds no configuration, or no memory for its body: time for an update to come.
const NOT_READY_RETRY_AFTER: Span = Span(500_000);

/// Headers that mean nothing when they come twice.
const SINGLE_VALUE_HEADERS: [&str; 4] = ["host", "content-length", "attempt-id", "deadline-ms"];
/// The key of a request, for services whose upstreams divide their keys.
const SHARD_KEY: HeaderName = HeaderName::from_static("shard-key");
/// What an upstream says to the balancer only.
const BALANCER_ONLY_HEADERS: [HeaderName; 2] = [
    HeaderName::from_static("upstream-load"),
    HeaderName::from_static("not-run"),
];

/// Why a request that has a route does not get an upstream's response.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestError {
    /// In this part.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    #[error("the body is larger than the limit")]
    BodyTooLarge,
    #[error("the body did not come within the request's deadline")]
    BodyTimeout,
    #[error("none of the route's services has a weight")]
    NoService,
    /// It has not run and may be sent again.
    #[error("refused before it ran")]
    Refused { retry_after: Span },
    /// It may have run.
    #[error("no response within the request's deadline")]
    DeadlineExceeded,
    /// It may have run.
    #[error("no response from an upstream")]
    NoResponse,
}

impl RequestError {
    fn outcome(&self) -> RequestOutcome {
        match self {
            Self::Malformed(_) | Self::BodyTooLarge | Self::BodyTimeout | Self::NoService => {
                RequestOutcome::Malformed
            }
            Self::Refused { .. } => RequestOutcome::Refused,
            Self::DeadlineExceeded | Self::NoResponse => RequestOutcome::Failed,
        }
    }

    fn into_response(self) -> ClientResponse {
        match self {
            Self::Malformed(part) => bad_request(part),
            Self::BodyTooLarge => empty_response(StatusCode::PAYLOAD_TOO_LARGE),
            Self::BodyTimeout => empty_response(StatusCode::REQUEST_TIMEOUT),
            Self::NoService => empty_response(StatusCode::NOT_FOUND),
            Self::Refused { retry_after } => {
                retry_later(StatusCode::SERVICE_UNAVAILABLE, retry_after)
            }
            Self::DeadlineExceeded => empty_response(StatusCode::GATEWAY_TIMEOUT),
            Self::NoResponse => empty_response(StatusCode::BAD_GATEWAY),
        }
    }
}

impl RequestHandler for Routes {
    async fn handle_request(
        &self,
        request: Request<Incoming>,
        arrived_at: Instant,
        _: bool,
    ) -> ClientResponse {
        // A length beside a transfer coding is read by the coding (RFC 9112, 6.3); another reader may have gone by
        // the length, and what it took for the body must not be taken for a request here.
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let mut response = self.respond(request, arrived_at).await;
        if chunked || response.status() == StatusCode::BAD_REQUEST {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

impl Routes {
    /// Finds the route of a request and answers it, and counts what became of it.
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

    /// Reads the body of a request that has a route, and lets the engine get a response for it.
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
        let length = body.size_hint().exact();
        if length.is_some_and(|l| l > max_body_bytes as u64) {
            return Err(RequestError::BodyTooLarge);
        }
        // Held until the response is there: as long as the body may be sent again.
        let _reservation = self
            .body_budget
            .reserve(length.unwrap_or(0) as usize)
            .ok_or(RequestError::Refused {
                retry_after: NOT_READY_RETRY_AFTER,
            })?;
        let body = read_body(body, max_body_bytes, until).await?;
        let Split { service, class, .. } = self
            .route_table
            .next_split(route)
            .ok_or(RequestError::NoService)?;
        let request = IncomingRequest {
            class,
            tenant: 0,
            key: None,
            shard: self.shard_key(service, &head),
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
        let reply = self.engine.submit(service, request, forwarded).await;
        into_result(reply, &method)
    }

    /// The key of a request, if the upstreams of its service divide their keys.
    fn shard_key(&self, service: usize, head: &Parts) -> Option<u16> {
        let value = head.headers.get(SHARD_KEY)?;
        let key = value.to_str().ok()?.trim().parse().ok();
        key.filter(|_| self.services.borrow().get(service).is_sharded)
    }
}

/// Checks that a request is framed and named such that no upstream can read it in another way.
fn check_head(head: &Parts) -> Result<(), RequestError> {
    if head.uri.authority().is_some() {
        return Err(RequestError::Malformed("target"));
    }
    // A success to it has no end but the connection's (RFC 9110, 9.3.6), and would look whole when cut.
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

/// Reads a body to its end, within a size and until a time.
async fn read_body(
    body: Incoming,
    max_bytes: usize,
    until: Instant,
) -> Result<Bytes, RequestError> {
    match timeout_at(until, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RequestError::BodyTooLarge),
        Ok(Err(_)) => Err(RequestError::Malformed("body")),
        Err(_) => Err(RequestError::BodyTimeout),
    }
}

/// What the engine made of a request, for its client.
fn into_result(reply: EngineReply, method: &Method) -> Result<ClientResponse, RequestError> {
    match reply {
        EngineReply::Served(response) => Ok(client_response(response, method)),
        EngineReply::Rejected { retry_after } => Err(RequestError::Refused { retry_after }),
        EngineReply::Failed { timed_out: true } => Err(RequestError::DeadlineExceeded),
        EngineReply::Failed { timed_out: false } => Err(RequestError::NoResponse),
    }
}

/// An upstream's response as it goes to the client; one to HEAD keeps the length that it tells of.
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
