//! Circuit breakers of upstreams.

use crate::interface::{Span, Time};

/// Opens at a fault, and for twice as long at each further one in a row.
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

    /// Opens the breaker for `pause_us` microseconds, doubled for each earlier fault in a row, `max_doublings`
    /// times at most. Without the doubling, the upstreams of a lost zone, long still on the list, were tried every
    /// few milliseconds by every balancer, and most attempts of the fleet ended there.
    pub(in crate::policy) fn trip(&mut self, now: Time, pause_us: f64, max_doublings: u32) {
        if self.is_open(now) {
            return; // Sent before the pause began: the same fault, already counted.
        }
        let pause = pause_us * f64::from(1 << self.consecutive_faults);
        self.open_until = now.plus(Span::from_micros(pause));
        self.consecutive_faults = (self.consecutive_faults + 1).min(max_doublings);
    }

    /// Forgets earlier faults; a pause that has begun goes on.
    pub(in crate::policy) fn reset_faults(&mut self) {
        self.consecutive_faults = 0;
    }
}
