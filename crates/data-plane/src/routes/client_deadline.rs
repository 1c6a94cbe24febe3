//! Determines the client's deadline of a request, and whether the client has probably sent the request before.
//!
//! A client states the remaining time in `Deadline-Ms`. If it is clearly shorter than that of other clients of the same
//! route, the client has lost time with an earlier attempt: another balancer refused it or let it wait.

use std::cell::Cell;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName};
use tokio::time::Instant;

use super::request::RequestError;
use super::route_table::ActiveRoute;

const DEADLINE: HeaderName = HeaderName::from_static("deadline-ms");
/// The length of a window. The longest deadline is taken over the current and the previous window, which contain some
/// first attempts of each client.
const DEADLINE_WINDOW: Duration = Duration::from_secs(30);

/// The deadline that a client sets for a request.
pub(super) struct ClientDeadline {
    /// The time from the arrival of the request; at most the route's deadline.
    pub(super) deadline: Duration,
    /// Whether the client has probably sent the request before.
    pub(super) is_resent: bool,
}

impl ClientDeadline {
    /// Reads the deadline from the headers of a request. Without the header, the route's deadline applies.
    pub(super) fn from_headers(
        headers: &HeaderMap,
        route: &ActiveRoute,
        arrived_at: Instant,
    ) -> Result<Self, RequestError> {
        let Some(value) = headers.get(DEADLINE) else {
            return Ok(Self {
                deadline: route.deadline,
                is_resent: false,
            });
        };
        let ms = value.to_str().ok().and_then(|v| v.trim().parse().ok());
        let ms = ms
            .filter(|ms| *ms > 0)
            .ok_or(RequestError::Malformed("Deadline-Ms"))?;
        let deadline = route.deadline.min(Duration::from_millis(ms));
        let max_recent = route.max_recent_deadline.observe(arrived_at, deadline);
        Ok(Self {
            deadline,
            is_resent: max_recent > deadline + route.resent_margin,
        })
    }
}

/// The longest deadline that clients of a route have recently set, which is that of first attempts.
#[derive(Default)]
pub(super) struct MaxDeadline(Cell<Windows>);

/// The longest deadlines of the current and the previous window.
#[derive(Clone, Copy, Default)]
struct Windows {
    current: Duration,
    previous: Duration,
    /// When the current window began; `None` before the first request.
    since: Option<Instant>,
}

impl MaxDeadline {
    /// Records a deadline and returns the longest one of the current and the previous window.
    pub(super) fn observe(&self, now: Instant, deadline: Duration) -> Duration {
        let mut windows = self.0.get();
        let is_current = |since: &Instant| now < *since + DEADLINE_WINDOW;
        if windows.since.filter(is_current).is_none() {
            windows = Windows {
                current: Duration::ZERO,
                previous: windows.current,
                since: Some(now),
            };
        }
        windows.current = windows.current.max(deadline);
        self.0.set(windows);
        windows.current.max(windows.previous)
    }
}
