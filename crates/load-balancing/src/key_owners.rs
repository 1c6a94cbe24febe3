//! Which upstream owns which keys, where the upstreams of a service divide them.
//!
//! State: the ranges as the host told them last, and for each whether its owner has just rejected a request of
//! that range. It is replaced as a whole by each update; after a restart nothing has an owner until the first
//! update, and requests with a key wait. No clock and no I/O.

use crate::interface::{AttemptOutcome, AttemptResult, OwnedKeyRange, ServerId, Span, Time};

#[cfg(test)]
mod tests;

/// Most doublings of the pause after a rejection: by then an owner that has lost its lease has it back, or another
/// upstream has it.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// A range of keys as this balancer sees it.
#[derive(Clone, Copy, Debug)]
struct KeyRangeState {
    range: OwnedKeyRange,
    /// Its owner rejected a request for these keys: until then nothing more goes there for them.
    paused_until: Time,
    /// Rejections in a row, up to [`MAX_PAUSE_DOUBLINGS`].
    consecutive_rejections: u32,
}

/// Who owns which keys; empty where upstreams don't divide them.
#[derive(Debug, Default)]
pub(crate) struct KeyOwners {
    /// In the order of the keys.
    ranges: Vec<KeyRangeState>,
}

impl KeyOwners {
    /// Replaces all ranges. One whose owner is the same as before keeps its pause.
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

    /// The one upstream that a request with this key may go to now.
    pub(crate) fn owner_of(&self, now: Time, key: u16) -> Option<ServerId> {
        let state = &self.ranges[self.position_of(key)?];
        state.range.server.filter(|_| now >= state.paused_until)
    }

    /// Takes in what came of an attempt with this key: an upstream that is listed as the owner and says that it
    /// is not gets a pause of `pause_us` microseconds, doubled for each further time in a row.
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
