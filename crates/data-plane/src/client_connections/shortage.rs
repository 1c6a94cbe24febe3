//! Shortens the timeouts of slow clients while others wait for a connection.
//!
//! A fixed threshold does not suffice: clients that stay just within it would keep all connections. While a listener is
//! full and nobody may be evicted, the level of the shortage rises, and each level halves the timeouts and doubles the
//! rates that clients have to reach. It falls as soon as clients no longer wait.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// The level rises each time that a full listener has evicted and accepted nobody for this long.
const RISE_INTERVAL: Duration = Duration::from_millis(500);
/// The highest level.
const MAX_LEVEL: u32 = 12;
/// The lower bound of shortened timeouts: a connected client always has this long for its next bytes.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(250);

/// The level of a shortage of connections; 0 if there is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShortageLevel(u32);

impl ShortageLevel {
    /// Returns how long a client may make no progress at this level, given the timeout without a shortage.
    pub fn stall_timeout(self, without_shortage: Duration) -> Duration {
        (without_shortage / (1 << self.0)).max(MIN_STALL_TIMEOUT.min(without_shortage))
    }

    /// Returns the rate that a client must reach at this level, given the one without a shortage.
    pub fn min_rate(self, without_shortage: f64) -> f64 {
        without_shortage * f64::from(1 << self.0)
    }
}

/// Tracks the shortage of connections of one listener.
#[derive(Default)]
pub struct ConnectionShortage {
    level: Cell<ShortageLevel>,
    /// Since when clients have waited although nobody was evicted or accepted.
    unrelieved_since: Cell<Option<Instant>>,
}

impl ConnectionShortage {
    /// Returns the current level.
    pub fn level(&self) -> ShortageLevel {
        self.level.get()
    }

    /// Records that the listener is full and that nobody may be evicted at the current level.
    pub fn on_nothing_evicted(&self) {
        let now = Instant::now();
        let since = self.unrelieved_since.get().unwrap_or(now);
        let has_risen = now >= since + RISE_INTERVAL;
        self.unrelieved_since
            .set(Some(if has_risen { now } else { since }));
        if has_risen {
            let ShortageLevel(level) = self.level.get();
            self.level.set(ShortageLevel((level + 1).min(MAX_LEVEL)));
        }
    }

    /// Records that a client was evicted or accepted.
    pub fn on_relieved(&self) {
        self.unrelieved_since.set(None);
    }

    /// Records that a connection was free while no client waited for one.
    pub fn on_no_client_waiting(&self) {
        let ShortageLevel(level) = self.level.get();
        self.level.set(ShortageLevel(level.saturating_sub(1)));
        self.on_relieved();
    }
}
