//! Circuit breakers of upstreams.

use crate::interface::{Span, Time};

/// A breaker that opens at a fault, for twice as long at each consecutive fault.
#[derive(Clone, Copy, Debug)]
pub(in crate::policy) struct CircuitBreaker {
    open_until: Time,
    consecutive_faults: u32,
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self {
            open_until: Time(i64::MIN),
            consecutive_faults: 0,
        }
    }
}

impl CircuitBreaker {
    pub(in crate::policy) fn is_open(&self, now: Time) -> bool {
        now < self.open_until
    }

    /// Opens the breaker for `pause_us` microseconds, doubled for each earlier consecutive fault, at most
    /// `max_doublings` times. Without the doubling, every balancer retried the upstreams of a lost zone, which stayed
    /// listed for long, every few milliseconds, and most attempts of all balancers were lost there.
    pub(in crate::policy) fn trip(&mut self, now: Time, pause_us: f64, max_doublings: u32) {
        if self.is_open(now) {
            return; // Sent before the pause began: the same fault, already counted.
        }
        let pause = pause_us * f64::from(1 << self.consecutive_faults);
        self.open_until = now.plus(Span::from_micros(pause));
        self.consecutive_faults = (self.consecutive_faults + 1).min(max_doublings);
    }

    /// Resets the count of faults; a pause that has begun continues.
    pub(in crate::policy) fn reset_faults(&mut self) {
        self.consecutive_faults = 0;
    }
}
