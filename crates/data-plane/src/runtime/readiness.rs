//! Serves readiness checks of the platform and metrics on a separate address.

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use tokio::time::Instant;

use crate::headers::{ClientResponse, empty_response};
use crate::listener::RequestHandler;
use crate::metrics::metrics_response;
use crate::routes::Routes;

/// The maximum number of connections; readiness checks are infrequent.
pub(super) const MAX_READINESS_CONNECTIONS: usize = 16;

/// Handles `/-/ready` and `/-/metrics`.
pub(super) struct ReadinessHandler {
    routes: Rc<Routes>,
}

impl ReadinessHandler {
    pub(super) fn new(routes: Rc<Routes>) -> Self {
        Self { routes }
    }
}

impl RequestHandler for ReadinessHandler {
    async fn handle_request(
        &self,
        request: Request<Incoming>,
        _: Instant,
        _: bool,
    ) -> ClientResponse {
        match request.uri().path() {
            "/-/ready" if self.routes.is_ready() => empty_response(StatusCode::OK),
            "/-/ready" => empty_response(StatusCode::SERVICE_UNAVAILABLE),
            "/-/metrics" => metrics_response(self.routes.metrics_text()),
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }
}
