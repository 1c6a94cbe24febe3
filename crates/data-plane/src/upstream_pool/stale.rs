//! Detects stale connections, which upstreams have dropped while idle without closing them, and limits idle times.
//!
//! A request on a stale connection ends as a reset, and can't be retried if it may run only once. After one was
//! detected, connections that have been idle for at least half as long are not used for some time.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// A reused connection that fails within this many times its connect time was stale: processing a request takes longer.
const STALE_RESET_CONNECT_TIMES: u32 = 3;
/// Added to [`STALE_RESET_CONNECT_TIMES`] connect times, to tolerate load on either side.
const STALE_RESET_SLACK: Duration = Duration::from_millis(5);
/// Connections with a shorter idle time are never considered stale. Without this bound, upstreams that reset
/// connections immediately made the proxy close nearly every reusable connection.
const MIN_STALE_IDLE: Duration = Duration::from_millis(100);
/// How long the detection of a stale connection is taken into account. Limited, since the causes of dropped
/// connections are temporary and opening new connections is expensive.
const STALE_OBSERVATION_TTL: Duration = Duration::from_secs(10);

/// A failure of a reused connection.
pub(super) struct ReuseFailure {
    /// How long the connection was idle before its last request was sent.
    pub(super) idle_time: Duration,
    /// Time from the sending of the request to the failure.
    pub(super) failed_after: Duration,
    /// How long the connection had taken to open.
    pub(super) connect_time: Duration,
}

impl ReuseFailure {
    /// Returns whether the upstream had dropped the connection while it was idle.
    fn was_stale(&self) -> bool {
        let max_reset_time = self.connect_time * STALE_RESET_CONNECT_TIMES + STALE_RESET_SLACK;
        self.idle_time >= MIN_STALE_IDLE && self.failed_after < max_reset_time
    }
}

/// The detection of a stale connection.
#[derive(Clone, Copy)]
struct StaleObservation {
    /// The shortest idle time of the stale connections that were detected recently.
    idle_time: Duration,
    /// When the last of these connections was detected.
    at: Instant,
}

/// Keeps track of stale connections, for all upstreams together.
#[derive(Default)]
pub(super) struct StaleConnections {
    last: Cell<Option<StaleObservation>>,
}

impl StaleConnections {
    fn recent(&self) -> Option<StaleObservation> {
        self.last
            .get()
            .filter(|observation| observation.at.elapsed() < STALE_OBSERVATION_TTL)
    }

    /// Returns whether a connection that has been idle for this time may be stale.
    pub(super) fn may_be_stale(&self, idle_for: Duration) -> bool {
        self.recent()
            .is_some_and(|observation| idle_for >= observation.idle_time / 2)
    }

    /// Records the failure of a reused connection before a response began, if the connection was stale.
    pub(super) fn on_reuse_failure(&self, failure: &ReuseFailure) {
        if !failure.was_stale() {
            return;
        }
        let idle_time = self.recent().map_or(failure.idle_time, |last| {
            last.idle_time.min(failure.idle_time)
        });
        self.last.set(Some(StaleObservation {
            idle_time,
            at: Instant::now(),
        }));
    }
}
