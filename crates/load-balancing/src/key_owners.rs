//! Who holds which keys, where the upstreams of a service divide them. No clock and no I/O, as the policy that
//! uses it.

use crate::interface::*;

/// A run of keys at this proxy.
#[derive(Clone, Copy, Debug)]
struct Run {
    keys: OwnedKeyRange,
    /// Its holder turned a request for them away: until then nothing more goes there for them.
    until: Time,
    faults: u32,
}

/// Most doublings of that rest: a holder that has lost its grant has it back, or another has it, by then.
const DOUBLINGS: u32 = 4;

/// Who holds which keys; nothing where upstreams don't divide them.
#[derive(Debug, Default)]
pub(crate) struct KeyOwners {
    /// In the order of the keys.
    runs: Vec<Run>,
}

impl KeyOwners {
    /// All of them, as told now.
    pub(crate) fn told(&mut self, now: Time, list: &[OwnedKeyRange]) {
        let run = |keys: &OwnedKeyRange| {
            let known = self.at(keys.first).map(|i| self.runs[i]);
            let same = known.filter(|k| k.keys.server == keys.server);
            let (until, faults) = same.map_or((now, 0), |k| (k.until, k.faults));
            Run {
                keys: *keys,
                until,
                faults,
            }
        };
        let mut runs: Vec<Run> = list.iter().map(run).collect();
        runs.sort_by_key(|r| r.keys.first);
        self.runs = runs;
    }

    fn at(&self, key: u16) -> Option<usize> {
        let i = self
            .runs
            .partition_point(|r| r.keys.first <= key)
            .checked_sub(1)?;
        (key <= self.runs[i].keys.last).then_some(i)
    }

    /// The one upstream that a request with this key may go to now.
    pub(crate) fn of(&self, now: Time, key: u16) -> Option<ServerId> {
        let run = &self.runs[self.at(key)?];
        run.keys.server.filter(|_| now >= run.until)
    }

    /// What came of a request that went to the holder: whether that said that it is not.
    pub(crate) fn heard(&mut self, now: Time, key: u16, a: &AttemptResult, pause: f64) {
        let Some(run) = self.at(key).and_then(|i| self.runs.get_mut(i)) else {
            return;
        };
        if run.keys.server != Some(a.server) {
            return;
        }
        if a.outcome == AttemptOutcome::Ok {
            run.faults = 0;
        } else if a.outcome == AttemptOutcome::NotOwner && now >= run.until {
            run.until = now.plus(Span::from_micros(pause * f64::from(1 << run.faults)));
            run.faults = (run.faults + 1).min(DOUBLINGS);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_key_has_the_holder_that_was_told_last_unless_it_said_no() {
        let mut holders = KeyOwners::default();
        let keys = |since, to, server: Option<u32>| OwnedKeyRange {
            first: since,
            last: to,
            server: server.map(ServerId),
        };
        let (t, later) = (Time(0), Time(1_000_000));
        assert_eq!(holders.of(t, 7), None);
        holders.told(t, &[keys(100, u16::MAX, None), keys(0, 99, Some(1))]);
        assert_eq!(
            [0, 99, 100].map(|k| holders.of(t, k)),
            [Some(ServerId(1)), Some(ServerId(1)), None]
        );
        let no = |id| {
            AttemptResult::new(
                RequestId(1),
                0,
                ServerId(id),
                AttemptOutcome::NotOwner,
                Span(9),
                true,
            )
        };
        holders.heard(t, 50, &no(1), 500_000.0);
        assert_eq!(
            (holders.of(t, 0), holders.of(later, 0)),
            (None, Some(ServerId(1)))
        );
        holders.told(t, &[keys(0, 99, Some(1)), keys(100, u16::MAX, Some(2))]);
        assert_eq!(
            holders.of(t, 0),
            None,
            "told again, it is the same one that said no"
        );
        holders.told(t, &[keys(0, 99, Some(3)), keys(100, u16::MAX, Some(2))]);
        assert_eq!(holders.of(t, 0), Some(ServerId(3)));
        holders.heard(t, 0, &no(1), 500_000.0);
        assert_eq!(
            holders.of(t, 0),
            Some(ServerId(3)),
            "it said no of an earlier holder"
        );
    }
}
