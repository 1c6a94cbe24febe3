//! The HTTP interface for clients under `/api`. Headers specify the class, the tenant and the deadline of a request.
//!
//! A request is validated, read completely, and submitted to the engine, whose reply becomes the response. If the
//! client disconnects, the future of its request is dropped, which notifies the engine.

mod open_ids;
mod validation;

use std::sync::Arc;
use std::time::Duration;

use data_plane::engine::{EngineHandle, EngineReply, IncomingRequest};
use data_plane::headers::{
    ClientResponse, bad_request, empty_response, forward_request_headers, forward_response,
    retry_later,
};
use data_plane::listener::RequestHandler;
use data_plane::request_body::RequestBody;
use data_plane::request_budget::RequestMemoryLimits;
use data_plane::request_memory::{ReceiveError, RequestMemory};
use data_plane::upstream_pool::ForwardedRequest;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode};
use load_balancing::interface::{Effect, RequestClass, Span};
use load_balancing::settings::{SiteSettings, key_hash};
use tokio::time::Instant;

use crate::SERVICE;
use crate::config::Config;
use open_ids::OpenIds;
use validation::{cookie, header_text, validate_head};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Timeout for receiving a body after its head. Short because clients of this proxy send both at once.
const BODY_TIMEOUT: Duration = Duration::from_millis(750);
/// Request bodies that are being received or held may together use the process's memory limit divided by this.
const BODY_MEMORY_DIVISOR: usize = 8;
/// Response headers from upstreams to the balancer, which are not forwarded to clients.
const INTERNAL_HEADERS: [HeaderName; 2] = [
    HeaderName::from_static("x-load"),
    HeaderName::from_static("x-not-run"),
];

/// Handler of client requests.
pub(crate) struct Api {
    engine: EngineHandle,
    site: SiteSettings,
    /// Effect of each class, by class index.
    effects: Vec<Effect>,
    /// Deadline of each class, by class index.
    deadlines: Vec<Duration>,
    open_ids: OpenIds,
    request_memory: RequestMemory,
}

impl Api {
    pub(crate) fn new(config: &Config, engine: EngineHandle) -> Self {
        let settings = config.site.to_settings();
        let deadline = |c: &Arc<RequestClass>| Duration::from_micros(c.deadline.0.max(0) as u64);
        Self {
            engine,
            site: config.site.clone(),
            effects: settings.classes.iter().map(|c| c.effect).collect(),
            deadlines: settings.classes.iter().map(deadline).collect(),
            open_ids: OpenIds::default(),
            request_memory: RequestMemory::new(RequestMemoryLimits {
                // All bodies are small.
                shared_bytes: 0,
                small_body_bytes: config.max_memory_bytes / BODY_MEMORY_DIVISOR,
                bodies_and_connections_bytes: 0,
            }),
        }
    }

    /// Returns the longest deadline of all classes, which bounds the time that any client waits.
    pub(crate) fn longest_deadline(&self) -> Duration {
        self.deadlines.iter().max().copied().unwrap_or_default()
    }

    async fn handle_api_request(
        &self,
        request: Request<Incoming>,
        arrived: Instant,
    ) -> ClientResponse {
        let (head, body) = request.into_parts();
        if let Err(reason) = validate_head(&head) {
            return bad_request(reason);
        }
        let until = Instant::now() + BODY_TIMEOUT;
        let received = self.request_memory.receive(body, MAX_BODY_BYTES, until);
        let body = match received.await {
            Ok(body) => body,
            Err(error) => return receive_error_response(error),
        };
        // An upstream could not distinguish two concurrent requests with the same id.
        let id = head.headers.get("x-request-id");
        let Some(_open_id) = id.and_then(|id| self.open_ids.open(id)) else {
            return empty_response(StatusCode::CONFLICT);
        };
        match self.incoming_request(&head, &body, arrived) {
            Ok(incoming) => self.submit(incoming, head, body).await,
            Err(reason) => bad_request(reason),
        }
    }

    /// Submits a request to the engine and waits for its reply.
    async fn submit(
        &self,
        incoming: IncomingRequest,
        head: Parts,
        body: RequestBody,
    ) -> ClientResponse {
        let forward = ForwardedRequest {
            method: head.method,
            uri: head.uri,
            headers: forward_request_headers(head.headers, body.len()),
            body,
        };
        match self.engine.submit(SERVICE, incoming, forward).await {
            EngineReply::Served(response) => forward_response(response, &INTERNAL_HEADERS),
            EngineReply::Rejected { retry_after } => {
                retry_later(StatusCode::SERVICE_UNAVAILABLE, retry_after)
            }
            EngineReply::Failed { timed_out: true } => empty_response(StatusCode::GATEWAY_TIMEOUT),
            EngineReply::Failed { timed_out: false } => empty_response(StatusCode::BAD_GATEWAY),
        }
    }

    /// Extracts the request properties that the engine needs. The error names the invalid part.
    fn incoming_request(
        &self,
        head: &Parts,
        body: &RequestBody,
        arrived: Instant,
    ) -> Result<IncomingRequest, &'static str> {
        let class = self.class_of(head)?;
        if !self.matches_effect(class, head, body) {
            return Err("method");
        }
        // The deadline of the class is an upper bound for the client's.
        let deadline = deadline_of(head)?.min(self.deadlines[class]);
        let tenant = self.tenant_of(head)?;
        let work_us = header_text(head, "x-cost-hint").and_then(|v| v.trim().parse::<f64>().ok());
        Ok(IncomingRequest {
            class,
            // The settings never change.
            accepted_class: None,
            tenant,
            shard: None,
            key: cookie(&head.headers, "sid").map(key_hash),
            deadline: arrived + deadline,
            estimated_work: work_us
                .filter(|us| us.is_finite() && *us > 0.0)
                .map(|us| Span(us as i64)),
            is_client_retry: header_text(head, "x-retry").is_some_and(|v| v == "1"),
        })
    }

    fn class_of(&self, head: &Parts) -> Result<usize, &'static str> {
        let name = header_text(head, "x-class").ok_or("X-Class")?;
        let class = self.site.services.iter().position(|s| s.name == name);
        class.ok_or("X-Class")
    }

    fn tenant_of(&self, head: &Parts) -> Result<usize, &'static str> {
        if self.site.tenants.is_empty() {
            return Ok(0);
        }
        let name = header_text(head, "x-tenant").unwrap_or_default();
        let tenant = self.site.tenants.iter().position(|t| t.name == name);
        tenant.ok_or("X-Tenant")
    }

    /// Returns whether the method, body and idempotency key are valid for the effect of the class.
    fn matches_effect(&self, class: usize, head: &Parts, body: &RequestBody) -> bool {
        let key = head.headers.get("idempotency-key");
        match self.effects[class] {
            Effect::Safe => head.method == Method::GET && body.is_empty(),
            Effect::Keyed => head.method == Method::POST && key.is_some_and(|k| !k.is_empty()),
            Effect::Unsafe => head.method == Method::POST && key.is_none(),
        }
    }
}

/// Returns the response to a request whose body was not received. The request has not run.
fn receive_error_response(error: ReceiveError) -> ClientResponse {
    match error {
        ReceiveError::TooLarge => empty_response(StatusCode::PAYLOAD_TOO_LARGE),
        ReceiveError::TimedOut => empty_response(StatusCode::REQUEST_TIMEOUT),
        ReceiveError::Malformed => bad_request("body"),
        ReceiveError::NoMemory => empty_response(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Returns the time that the client is willing to wait, from its `X-Deadline-Ms` header.
fn deadline_of(head: &Parts) -> Result<Duration, &'static str> {
    header_text(head, "x-deadline-ms")
        .filter(|text| text.bytes().all(|b| b.is_ascii_digit()))
        .and_then(|text| text.parse::<u64>().ok())
        .filter(|ms| *ms > 0)
        .map(Duration::from_millis)
        .ok_or("X-Deadline-Ms")
}

impl RequestHandler for Api {
    async fn handle_request(
        &self,
        request: Request<Incoming>,
        arrived: Instant,
        stopping: bool,
    ) -> ClientResponse {
        let path = request.uri().path();
        let mut response = if path == "/-/ready" {
            let is_ready = self.engine.is_ready() && !stopping;
            empty_response(if is_ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            })
        } else if path == "/api" || path.starts_with("/api/") {
            self.handle_api_request(request, arrived).await
        } else {
            empty_response(StatusCode::NOT_FOUND)
        };
        // Data that follows an invalid request cannot be interpreted reliably, so the connection is closed.
        if response.status().is_client_error() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }
    fn request_memory(&self) -> Option<&RequestMemory> {
        Some(&self.request_memory)
    }
}
