//! The rate at which bytes arrive, over the last seconds.

use std::time::Duration;

use tokio::time::Instant;

/// The time over which the rate is measured.
const WINDOW: Duration = Duration::from_secs(2);
/// A rate is never computed over less time than this.
const MIN_DURATION: Duration = Duration::from_millis(250);

/// Counts bytes in the current and in the previous window.
///
/// An average since the start would let a client send much at first and next to nothing from then on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ByteRate {
    started_at: Instant,
    window_started_at: Instant,
    bytes_in_window: u64,
    bytes_in_previous_window: u64,
}

impl ByteRate {
    /// Creates a rate of no bytes.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            window_started_at: now,
            bytes_in_window: 0,
            bytes_in_previous_window: 0,
        }
    }

    /// Records that bytes have arrived.
    pub(crate) fn record(&mut self, now: Instant, bytes: usize) {
        self.advance_to(now);
        self.bytes_in_window += bytes as u64;
    }

    /// Returns the rate in bytes per second.
    pub(crate) fn bytes_per_second(mut self, now: Instant) -> f64 {
        self.advance_to(now);
        let in_window = now - self.window_started_at;
        let overlap = 1.0 - in_window.as_secs_f64() / WINDOW.as_secs_f64();
        let bytes = self.bytes_in_window as f64 + self.bytes_in_previous_window as f64 * overlap;
        let duration = (now - self.started_at).clamp(MIN_DURATION, WINDOW);
        bytes / duration.as_secs_f64()
    }

    /// Begins a new window if the current one has ended.
    fn advance_to(&mut self, now: Instant) {
        let elapsed = now - self.window_started_at;
        if elapsed < WINDOW {
            return;
        }
        let is_next = elapsed < 2 * WINDOW;
        self.bytes_in_previous_window = if is_next { self.bytes_in_window } else { 0 };
        self.bytes_in_window = 0;
        self.window_started_at = if is_next {
            self.window_started_at + WINDOW
        } else {
            now
        };
    }
}
