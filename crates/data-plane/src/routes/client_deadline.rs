//! How much time a client gives its request, and whether the request has been elsewhere before.
//!
//! A client says in `Deadline-Ms` how much time it has left. One that says clearly less than others of its route has
//! lost time with an earlier attempt: it was refused by another balancer, or waited there.

use std::cell::Cell;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName};
use tokio::time::Instant;

use super::request::RequestError;
use super::route_table::ActiveRoute;

const DEADLINE: HeaderName = HeaderName::from_static("deadline-ms");
/// The longest deadline is that of this long and of the window before: some first tries of each client.
const DEADLINE_WINDOW: Duration = Duration::from_secs(30);

/// The time that a client gives a request.
pub(super) struct ClientDeadline {
    /// From the arrival of the request; no longer than the route's.
    pub(super) deadline: Duration,
    /// The client has probably sent the request before.
    pub(super) is_resent: bool,
}

impl ClientDeadline {
    /// Reads it from the head of a request. Without the header the route's deadline holds.
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

/// The longest deadline that clients of a route gave of late: that of first attempts.
#[derive(Default)]
pub(super) struct MaxDeadline(Cell<Windows>);

#[derive(Clone, Copy, Default)]
struct Windows {
    current: Duration,
    previous: Duration,
    /// When the current window began; none before the first request.
    since: Option<Instant>,
}

impl MaxDeadline {
    /// Takes in a deadline, and gives the longest of the current window and the one before.
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
