//! The clock that provides the balancers' time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use load_balancing::interface::Time;
use tokio::time::Instant;

/// A monotonic clock that is aligned with Unix time once, at its start, so that its times are comparable with those in
/// lists of upstreams.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    start: Instant,
    /// `start` in microseconds since the Unix epoch.
    unix_us: i64,
}

impl Clock {
    pub(super) fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start: Instant::now(),
            unix_us: unix.as_micros() as i64,
        }
    }

    pub(super) fn now(&self) -> Time {
        self.to_time(Instant::now())
    }

    pub(super) fn to_time(self, instant: Instant) -> Time {
        Time(self.unix_us + instant.saturating_duration_since(self.start).as_micros() as i64)
    }

    /// Converts a system time. Does not depend on the start of a clock.
    pub(super) fn from_system_time(time: SystemTime) -> Time {
        let unix = time.duration_since(UNIX_EPOCH).unwrap_or_default();
        Time(unix.as_micros() as i64)
    }

    /// Returns the first instant at or after `time` that is a multiple of `granularity` after the start.
    pub(super) fn round_up(&self, time: Time, granularity: Duration) -> Instant {
        let granularity = granularity.as_micros().max(1) as i64;
        let elapsed = time.0 - self.unix_us;
        self.to_instant(Time(
            self.unix_us + (elapsed + granularity - 1).div_euclid(granularity) * granularity,
        ))
    }

    /// Converts a time to an instant. Times before the start yield the start.
    fn to_instant(self, time: Time) -> Instant {
        self.start + Duration::from_micros((time.0 - self.unix_us).max(0) as u64)
    }
}
