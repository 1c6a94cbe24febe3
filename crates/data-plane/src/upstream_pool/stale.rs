//! Idle connections that their upstreams have dropped without closing them ("stale"), and how long idling is safe.
//!
//! A request on such a connection ends as a reset, and may not be sent again if it may run only once. So once one was
//! met, connections that have idled for half as long are not used for a while.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// A connection that is reset within this many times its connect time was stale: work takes longer.
const STALE_RESET_CONNECT_TIMES: u32 = 3;
/// And this much more, for a busy moment on either side.
const STALE_RESET_SLACK: Duration = Duration::from_millis(5);
/// No upstream drops a connection that has idled for less. Without this bound, upstreams that broke off at once made
/// a balancer close nearly every connection that it could have used again.
const MIN_STALE_IDLE: Duration = Duration::from_millis(100);
/// For how long a stale connection is remembered: what makes upstreams drop connections passes, and a new connection
/// has its price.
const STALE_MEMORY: Duration = Duration::from_secs(10);

/// How a reused connection broke.
pub(super) struct BrokenReuse {
    /// How long it had idled before its last request was sent.
    pub(super) idled: Duration,
    /// From the sending of the request to the break.
    pub(super) broke_after: Duration,
    /// How long it had taken to open.
    pub(super) connect_time: Duration,
}

impl BrokenReuse {
    /// Whether the upstream had dropped it while it idled.
    fn was_stale(&self) -> bool {
        let max_reset_time = self.connect_time * STALE_RESET_CONNECT_TIMES + STALE_RESET_SLACK;
        self.idled >= MIN_STALE_IDLE && self.broke_after < max_reset_time
    }
}

/// A stale connection that was met.
#[derive(Clone, Copy)]
struct Sighting {
    /// The shortest time that one had idled.
    idled: Duration,
    at: Instant,
}

/// What is known of stale connections, over all upstreams.
#[derive(Default)]
pub(super) struct StaleConnections {
    last: Cell<Option<Sighting>>,
}

impl StaleConnections {
    fn recent(&self) -> Option<Sighting> {
        self.last
            .get()
            .filter(|sighting| sighting.at.elapsed() < STALE_MEMORY)
    }

    /// Whether a connection that has idled for so long may be stale.
    pub(super) fn is_suspect(&self, idle_for: Duration) -> bool {
        self.recent()
            .is_some_and(|sighting| idle_for >= sighting.idled / 2)
    }

    /// A reused connection broke before a response began: remembers it if it was stale.
    pub(super) fn on_broken_reuse(&self, broken: &BrokenReuse) {
        if !broken.was_stale() {
            return;
        }
        let idled = self
            .recent()
            .map_or(broken.idled, |known| known.idled.min(broken.idled));
        self.last.set(Some(Sighting {
            idled,
            at: Instant::now(),
        }));
    }
}
