//! The times between SIGTERM and the end of the process, and the limits that clients have meanwhile.
//!
//! SIGTERM, then connections are accepted for a while (`accept_grace`), then what is open may finish
//! (`drain_timeout`); what was not sent to an upstream by then is rejected shortly before, and [`EXIT_MARGIN`] is left.

use std::time::Duration;

use protocol::config::RequestLimits;

use super::client_timeouts;
use crate::listener::{FINAL_REQUEST_WAIT, ListenerLimits};

/// New connections are accepted for this part of the time from SIGTERM to the end at the most: clients need it to hear
/// of the stop.
const ACCEPT_SHARE_OF_GRACE: f64 = 0.5;
/// Nothing is taken later than this after SIGTERM. A request that was taken after 4.4 s of 10 was sent on twice, and
/// the process ended while its upstream was at work. The platform asks for a response to whatever a client sent up to
/// 3 s after the signal.
const LAST_REQUEST_AFTER_SIGTERM: Duration = Duration::from_millis(2800);
/// This much is left at the end.
pub(super) const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// What has not run by then is rejected so long before the last responses have to be out.
const REJECT_LEAD_TIME: Duration = Duration::from_millis(300);

/// The limits of the clients' side, with so many connections and so much time from SIGTERM to the end.
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

/// How long after SIGTERM what was not sent to an upstream is rejected.
pub(super) fn reject_unsent_after(limits: &ListenerLimits) -> Duration {
    (limits.accept_grace + limits.drain_timeout).saturating_sub(REJECT_LEAD_TIME)
}
