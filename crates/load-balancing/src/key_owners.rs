//! Owners of the keys of a sharded service.
//!
//! State: the key ranges of the host's last update and, for each range, whether its owner has recently rejected a
//! request for it. Each update replaces all ranges. After a restart no key has an owner until the first update, and
//! requests with a key wait. The module does no I/O and reads no clock.

use crate::interface::{AttemptOutcome, AttemptResult, OwnedKeyRange, ServerId, Span, Time};

#[cfg(test)]
mod tests;

/// Maximum number of doublings of the pause after a rejection. After that time, an owner that lost its lease has
/// either renewed it or been replaced.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// A key range, with this balancer's recent experience of its owner.
#[derive(Clone, Copy, Debug)]
struct KeyRangeState {
    range: OwnedKeyRange,
    /// No request for these keys is sent to the owner before this time, because it rejected one.
    paused_until: Time,
    /// Consecutive rejections, up to [`MAX_PAUSE_DOUBLINGS`].
    consecutive_rejections: u32,
}

/// The owners of all keys; empty if the service is not sharded.
#[derive(Debug, Default)]
pub(crate) struct KeyOwners {
    /// Sorted by first key.
    ranges: Vec<KeyRangeState>,
}

impl KeyOwners {
    /// Replaces all ranges. A range whose owner is unchanged keeps its pause.
    pub(crate) fn replace(&mut self, now: Time, list: &[OwnedKeyRange]) {
        let state = |range: &OwnedKeyRange| {
            let known = self.position_of(range.first).map(|i| self.ranges[i]);
            let same = known.filter(|known| known.range.server == range.server);
            let (paused_until, consecutive_rejections) = same.map_or((now, 0), |known| {
                (known.paused_until, known.consecutive_rejections)
            });
            KeyRangeState {
                range: *range,
                paused_until,
                consecutive_rejections,
            }
        };
        let mut ranges: Vec<KeyRangeState> = list.iter().map(state).collect();
        ranges.sort_by_key(|state| state.range.first);
        self.ranges = ranges;
    }

    /// Returns the only upstream that a request with this key may be sent to now, if there is one.
    pub(crate) fn owner_of(&self, now: Time, key: u16) -> Option<ServerId> {
        let state = &self.ranges[self.position_of(key)?];
        state.range.server.filter(|_| now >= state.paused_until)
    }

    /// Records the outcome of an attempt with this key. If the listed owner rejects it as not the owner, it is paused
    /// for `pause_us` microseconds, doubled for each consecutive rejection.
    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Time,
        key: u16,
        result: &AttemptResult,
        pause_us: f64,
    ) {
        let Some(i) = self.position_of(key) else {
            return;
        };
        let state = &mut self.ranges[i];
        if state.range.server != Some(result.server) {
            return;
        }
        if result.outcome == AttemptOutcome::Ok {
            state.consecutive_rejections = 0;
        } else if result.outcome == AttemptOutcome::NotOwner && now >= state.paused_until {
            let pause = pause_us * f64::from(1 << state.consecutive_rejections);
            state.paused_until = now.plus(Span::from_micros(pause));
            state.consecutive_rejections =
                (state.consecutive_rejections + 1).min(MAX_PAUSE_DOUBLINGS);
        }
    }

    fn position_of(&self, key: u16) -> Option<usize> {
        let after = self
            .ranges
            .partition_point(|state| state.range.first <= key);
        let i = after.checked_sub(1)?;
        (key <= self.ranges[i].range.last).then_some(i)
    }
}
