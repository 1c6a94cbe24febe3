//! The protocol between the proxy and upstreams: encodes the head of a request, and classifies a complete response by
//! its status and headers.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Response, StatusCode, Uri};
use load_balancing::interface::AttemptOutcome;
use tokio::time::Instant;

use super::{LoadReportFormat, Target};
use crate::framing::names_in_connection;
use crate::request_body::RequestBody;
use crate::upstream_connection::{AwaitedResponse, EchoedId};

/// How long before the timeout that the upstream announces in `Keep-Alive` idle connections are closed, but not before
/// half of it. The announced timeout is in whole seconds.
const ANNOUNCED_KEEPALIVE_MARGIN: Duration = Duration::from_secs(1);
/// Initial capacity of an encoded head in bytes; sufficient for most requests.
const HEAD_CAPACITY: usize = 512;

/// The headers and statuses with which the upstreams of a deployment communicate with the proxy.
pub struct UpstreamProtocol {
    /// Request header: the remaining milliseconds until the attempt's deadline.
    pub deadline_header: HeaderName,
    /// Request header: the name of the one upstream that may run the request, if upstreams check it.
    pub target_header: Option<HeaderName>,
    /// Response header: the value `1` means that the request did not run and never will.
    pub not_run_header: HeaderName,
    /// The statuses with which [`Self::not_run_header`] is trusted.
    pub not_run_statuses: &'static [StatusCode],
    /// Request header with the id that upstreams echo in the response, if they do.
    pub request_id_header: Option<HeaderName>,
    /// Response header that every success must have, if any: a success without it is not the response to the request.
    pub seal_header: Option<HeaderName>,
    /// Returns whether a response with this status has served the request.
    pub is_served: fn(StatusCode) -> bool,
    /// Whether an upstream's own error response is forwarded to the client if no attempt succeeds.
    pub forwards_errors: bool,
    /// The format of load reports.
    pub load_report: LoadReportFormat,
}

/// Returns whether a client concludes from this status that its request has not run and never will (RFC 9110, 15.5 and
/// 15.6). Such a status from an upstream is trusted only together with the deployment's own header, and is never
/// forwarded: clients get it only from the proxy itself.
pub fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

impl UpstreamProtocol {
    /// Determines the outcome of an attempt from a complete response.
    pub(super) fn classify(&self, response: &Response<Bytes>) -> AttemptOutcome {
        let (status, headers) = (response.status(), response.headers());
        if status.is_success() && !self.is_sealed(headers) {
            // Not the response to the request, which may have run.
            return AttemptOutcome::Reset;
        }
        if (self.is_served)(status) {
            AttemptOutcome::Ok
        } else if !self.says_not_run(headers) {
            AttemptOutcome::Error
        } else if self.target_header.is_some() && status == StatusCode::MISDIRECTED_REQUEST {
            AttemptOutcome::NotOwner
        } else if self.not_run_statuses.contains(&status) {
            AttemptOutcome::Rejected
        } else {
            AttemptOutcome::Error
        }
    }

    /// Returns whether the upstream says that it did not run the request and never will. No status says so by itself.
    fn says_not_run(&self, headers: &HeaderMap) -> bool {
        single_value(headers, &self.not_run_header).is_some_and(|value| value == "1")
    }

    /// Returns the id of a request, if it has one and upstreams echo it.
    pub(super) fn request_id<'a>(&self, request: &'a ForwardedRequest) -> Option<&'a HeaderValue> {
        request.headers.get(self.request_id_header.as_ref()?)
    }

    /// Returns by what the response to a request is recognized.
    pub(super) fn awaited_response<'a>(
        &'a self,
        request: &'a ForwardedRequest,
    ) -> AwaitedResponse<'a> {
        AwaitedResponse {
            method: &request.method,
            echoed_id: self.request_id_header.as_ref().map(|header| EchoedId {
                header,
                value: request.headers.get(header),
            }),
        }
    }

    /// Returns whether a response with this outcome may be forwarded to the client.
    pub(super) fn may_forward(&self, outcome: AttemptOutcome, status: StatusCode) -> bool {
        match outcome {
            AttemptOutcome::Ok => true,
            AttemptOutcome::Error => self.forwards_errors && !implies_not_run(status),
            _ => false,
        }
    }

    /// Returns whether a success has a valid seal header: exactly one, not empty, and not removed by `Connection`
    /// before it reaches the client.
    fn is_sealed(&self, headers: &HeaderMap) -> bool {
        let Some(name) = &self.seal_header else {
            return true;
        };
        let has_seal = single_value(headers, name).is_some_and(|seal| !seal.is_empty());
        has_seal && !names_in_connection(headers, name.as_str())
    }
}

/// Returns the value of a header that occurs exactly once. A repeated header is ambiguous and ignored.
fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

/// Returns how long a connection may be idle, if the upstream announces its timeout (`Keep-Alive: timeout=SECONDS`).
pub(super) fn announced_max_idle(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    let keepalive = Duration::from_secs(seconds.parse().ok()?);
    let max_idle = keepalive.saturating_sub(ANNOUNCED_KEEPALIVE_MARGIN);
    Some(max_idle.max(keepalive / 2))
}

/// A client's request as it is forwarded to upstreams, the same for each of its attempts.
pub struct ForwardedRequest {
    /// The method, as the client sent it.
    pub method: Method,
    /// Path and query, as the client sent them.
    pub uri: Uri,
    /// The headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: RequestBody,
}

impl ForwardedRequest {
    /// Encodes the head for an attempt that ends at `deadline`.
    pub(super) fn encode_head(
        &self,
        protocol: &UpstreamProtocol,
        target: &Target,
        deadline: Instant,
    ) -> Vec<u8> {
        let mut head = Vec::with_capacity(HEAD_CAPACITY);
        let path = self.uri.path_and_query().map_or("/", |p| p.as_str());
        let mut push = |parts: [&[u8]; 4]| parts.iter().for_each(|p| head.extend_from_slice(p));
        push([
            self.method.as_str().as_bytes(),
            b" ",
            path.as_bytes(),
            b" HTTP/1.1\r\n",
        ]);
        let is_set_below = |name: &HeaderName| {
            *name == protocol.deadline_header || Some(name) == protocol.target_header.as_ref()
        };
        for (name, value) in &self.headers {
            if !is_set_below(name) {
                push([name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"]);
            }
        }
        let remaining_ms = deadline
            .saturating_duration_since(Instant::now())
            .as_millis()
            .to_string();
        push([
            protocol.deadline_header.as_str().as_bytes(),
            b": ",
            remaining_ms.as_bytes(),
            b"\r\n",
        ]);
        if let (Some(header), Some(name)) = (&protocol.target_header, &target.name) {
            push([header.as_str().as_bytes(), b": ", name.as_bytes(), b"\r\n"]);
        }
        // Methods that anticipate a body need an explicit length of 0 (RFC 9110, 8.6).
        let anticipates_body = [Method::POST, Method::PUT, Method::PATCH].contains(&self.method);
        if anticipates_body && self.body.is_empty() {
            push([b"content-length", b": ", b"0", b"\r\n"]);
        }
        head.extend_from_slice(b"\r\n");
        head
    }
}
