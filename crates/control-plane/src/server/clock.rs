//! The two clocks of a control process.

use tokio::time::Instant;

/// Uptime, which is monotonic and includes time during which the process was suspended, and Unix time, which may jump
/// forwards and backwards.
pub(super) struct Clock {
    started: Instant,
    unix_ms: Box<dyn Fn() -> u64>,
}

impl Clock {
    /// Creates a clock whose uptime starts now.
    pub(super) fn new(unix_ms: Box<dyn Fn() -> u64>) -> Self {
        Self {
            started: Instant::now(),
            unix_ms,
        }
    }

    /// Returns the milliseconds since the process started.
    pub(super) fn uptime_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns Unix time in milliseconds.
    pub(super) fn unix_ms(&self) -> u64 {
        (self.unix_ms)()
    }
}
