//! The two clocks of a control process.

use tokio::time::Instant;

/// Uptime, which never steps back and runs on while the process stands still, and Unix time, which may step either way.
pub(super) struct Clock {
    started: Instant,
    unix_ms: Box<dyn Fn() -> u64>,
}

impl Clock {
    /// Its uptime begins now.
    pub(super) fn new(unix_ms: Box<dyn Fn() -> u64>) -> Self {
        Self {
            started: Instant::now(),
            unix_ms,
        }
    }

    /// Milliseconds since the process began.
    pub(super) fn uptime_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Milliseconds of Unix time.
    pub(super) fn unix_ms(&self) -> u64 {
        (self.unix_ms)()
    }
}
