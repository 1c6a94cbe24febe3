//! The time that the module is told.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use load_balancing::interface::Time;
use tokio::time::Instant;

/// The module's clock: monotonic, and set once to Unix time so that the list's times need no further
/// mapping.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    start: Instant,
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
        self.at(Instant::now())
    }

    pub(super) fn at(&self, instant: Instant) -> Time {
        Time(self.unix_us + instant.saturating_duration_since(self.start).as_micros() as i64)
    }

    pub(super) fn of(&self, time: SystemTime) -> Time {
        let unix = time.duration_since(UNIX_EPOCH).unwrap_or_default();
        Time(unix.as_micros() as i64)
    }

    /// The first point of the grid that is not before `time`.
    pub(super) fn on_grid(&self, time: Time, grid: Duration) -> Instant {
        let grid = grid.as_micros().max(1) as i64;
        let passed = time.0 - self.unix_us;
        self.instant(Time(
            self.unix_us + (passed + grid - 1).div_euclid(grid) * grid,
        ))
    }

    pub(super) fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_micros((time.0 - self.unix_us).max(0) as u64)
    }
}
