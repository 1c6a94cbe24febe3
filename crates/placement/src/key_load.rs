//! How much work the keys bring, as balancers counted it lately: how many requests an upstream has at a time for
//! them, on the average. What is slow, or waits, at the one that holds a key weighs more.

use protocol::key_load::{BucketLoad, KEYS_PER_BUCKET, LOAD_UNIT_MS};

const RUNS: usize = (1 << 16) / KEYS_PER_BUCKET as usize;
/// What was counted so many milliseconds ago weighs a third as much as what is counted now.
const MEMORY: f64 = 5000.0;
/// All keys together weigh at least this share more than what was counted: what nobody asked for lately may be
/// asked for, and before the first request all weigh alike.
const UNSEEN: f64 = 0.1;

/// The work of a service's keys.
#[derive(Clone, Debug)]
pub struct KeyLoad {
    /// Requests that are there at a time for each run, and as of when.
    rates: Vec<f64>,
    at: u64,
    /// The sums up to each run, with what is not seen.
    sums: Vec<f64>,
}

impl Default for KeyLoad {
    fn default() -> Self {
        let mut work = Self {
            rates: vec![0.0; RUNS],
            at: 0,
            sums: Vec::new(),
        };
        work.sum();
        work
    }
}

impl KeyLoad {
    /// Work that was done: the run and how much.
    pub fn record(&mut self, loads: &[BucketLoad]) {
        for BucketLoad { bucket, units } in loads {
            if let Some(rate) = self.rates.get_mut(usize::from(*bucket)) {
                *rate += f64::from(*units) * LOAD_UNIT_MS as f64 / MEMORY;
            }
        }
    }

    /// As of now.
    pub fn refresh(&mut self, now: u64) {
        let fade = (-(now.saturating_sub(self.at) as f64) / MEMORY).exp();
        self.rates.iter_mut().for_each(|r| *r *= fade);
        self.at = now;
        self.sum();
    }

    fn sum(&mut self) {
        let total: f64 = self.rates.iter().sum();
        let unseen = if total > 0.0 { total * UNSEEN } else { 1.0 } / RUNS as f64;
        self.sums.clear();
        self.sums.push(0.0);
        let mut sum = 0.0;
        for rate in &self.rates {
            sum += rate + unseen;
            self.sums.push(sum);
        }
    }

    /// That of all keys before this one.
    fn before(&self, key: u32) -> f64 {
        let run = (key / u32::from(KEYS_PER_BUCKET)) as usize;
        let part = f64::from(key % u32::from(KEYS_PER_BUCKET)) / f64::from(KEYS_PER_BUCKET);
        let next = self.sums.get(run + 1).copied().unwrap_or(self.sums[run]);
        self.sums[run] + (next - self.sums[run]) * part
    }

    /// That of the keys from `since` to `to`.
    pub fn of_range(&self, since: u16, to: u16) -> f64 {
        self.before(u32::from(to) + 1) - self.before(u32::from(since))
    }

    /// Where to cut these keys so that those from there on bring about so much; nothing if that leaves none.
    pub fn split_point(&self, since: u16, to: u16, wanted: f64) -> Option<u16> {
        let (mut low, mut high) = (since, to);
        while low < high {
            let mid = low + (high - low) / 2;
            if self.of_range(mid, to) > wanted {
                low = mid + 1
            } else {
                high = mid
            }
        }
        (low > since).then_some(low)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn load(key: u16, units: u16) -> BucketLoad {
        BucketLoad {
            bucket: key / KEYS_PER_BUCKET,
            units,
        }
    }

    #[test]
    fn busy_keys_weigh_more_and_what_is_past_fades() {
        let mut work = KeyLoad::default();
        let all = work.of_range(0, u16::MAX);
        assert!(
            (work.of_range(0, 32767) / all - 0.5).abs() < 1e-9,
            "all alike"
        );
        work.record(&[load(100, 50), load(40_000, 50)]);
        work.refresh(1000);
        let all = work.of_range(0, u16::MAX);
        let busy = work.of_range(96, 111) / all;
        assert!((0.4..0.5).contains(&busy), "{busy}");
        let cut = work.split_point(0, u16::MAX, all / 2.0).expect("a cut");
        assert!((200..40_000).contains(&cut), "{cut}");
        assert_eq!(work.split_point(7, 7, 0.0), None, "one key can't be cut");
        work.refresh(100_000);
        work.record(&[load(5000, 10)]);
        work.refresh(100_100);
        assert!(work.of_range(96, 111) / work.of_range(0, u16::MAX) < 0.01);
    }
}
