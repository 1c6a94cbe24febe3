//! Computes the times between SIGTERM and process exit, and the limits of the client listener.
//!
//! After SIGTERM, new connections are still accepted for `accept_grace`. Open requests then have `drain_timeout` to
//! finish. Shortly before its end, requests that were not sent to an upstream are rejected. [`EXIT_MARGIN`] remains.

use std::time::Duration;

use protocol::config::RequestLimits;

use super::client_timeouts;
use crate::listener::{FINAL_REQUEST_WAIT, ListenerLimits};

/// The maximum fraction of the grace period for which new connections are accepted, since clients learn of the shutdown
/// with a delay.
const ACCEPT_SHARE_OF_GRACE: f64 = 0.5;
/// How long after SIGTERM requests are accepted at most. A request that was accepted 4.4 s into a grace period of 10 s
/// was sent to upstreams twice, and the process exited while its upstream was still processing it. The platform
/// requires responses to requests that clients sent up to 3 s after the signal.
const LAST_REQUEST_AFTER_SIGTERM: Duration = Duration::from_millis(2800);
/// The part of the grace period that is left unused at its end.
pub(super) const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// How long before the end of the drain timeout requests that have not been sent to an upstream are rejected.
const REJECT_LEAD_TIME: Duration = Duration::from_millis(300);

/// Returns the limits of the client listener; `grace` is the time from SIGTERM to process exit.
pub(super) fn client_limits(max_connections: usize, grace: Duration) -> ListenerLimits {
    let limits = RequestLimits::default();
    let accept_grace = grace
        .mul_f64(ACCEPT_SHARE_OF_GRACE)
        .min(LAST_REQUEST_AFTER_SIGTERM - FINAL_REQUEST_WAIT);
    ListenerLimits {
        max_connections,
        idle_eviction_threshold: max_connections / 2,
        max_header_bytes: limits.max_header_bytes,
        timeouts: client_timeouts(&limits),
        accept_grace,
        drain_timeout: grace
            .saturating_sub(accept_grace)
            .saturating_sub(EXIT_MARGIN),
        final_request_wait: FINAL_REQUEST_WAIT,
    }
}

/// Returns how long after SIGTERM requests that have not been sent to an upstream are rejected.
pub(super) fn reject_unsent_after(limits: &ListenerLimits) -> Duration {
    (limits.accept_grace + limits.drain_timeout).saturating_sub(REJECT_LEAD_TIME)
}
