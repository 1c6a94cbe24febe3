//! Recent load of a service's keys, as reported by balancers.
//!
//! **State.** For each bucket of keys, the mean number of concurrent requests at upstreams. Requests that are slow, or
//! that wait at the upstream that owns the key, count for more.
//!
//! **Persistence.** None. A new leader begins with equal loads and has current ones within seconds.

use protocol::key_load::{BucketLoad, KEYS_PER_BUCKET, LOAD_UNIT_MS};

const BUCKETS: usize = (1 << 16) / KEYS_PER_BUCKET as usize;
/// Time constant of the exponential decay: a load reported this long ago counts for 1/e of one reported now.
const DECAY_TIME_MS: f64 = 5000.0;
/// Baseline load of all keys together, as a share of the reported load. It accounts for future requests to keys that
/// had no recent ones, and makes all keys equal before the first report.
const BASELINE_SHARE: f64 = 0.1;

/// Estimated load of a service's keys.
#[derive(Clone, Debug)]
pub struct KeyLoad {
    /// Mean concurrent requests for each bucket, as of `refreshed_at`.
    rates: Vec<f64>,
    refreshed_at: u64,
    /// Prefix sums of the rates including the baseline: element `i` is the load of all buckets before bucket `i`; one
    /// more element than buckets.
    cumulative: Vec<f64>,
}

impl Default for KeyLoad {
    fn default() -> Self {
        let mut load = Self {
            rates: vec![0.0; BUCKETS],
            refreshed_at: 0,
            cumulative: Vec::new(),
        };
        load.accumulate();
        load
    }
}

impl KeyLoad {
    /// Adds reported loads. They take effect with the next [`refresh`](Self::refresh).
    pub fn record(&mut self, loads: &[BucketLoad]) {
        for BucketLoad { bucket, units } in loads {
            if let Some(rate) = self.rates.get_mut(usize::from(*bucket)) {
                *rate += f64::from(*units) * LOAD_UNIT_MS as f64 / DECAY_TIME_MS;
            }
        }
    }

    /// Decays the loads to `now`, in milliseconds of the host's clock.
    pub fn refresh(&mut self, now: u64) {
        let elapsed_ms = now.saturating_sub(self.refreshed_at) as f64;
        let decay = (-elapsed_ms / DECAY_TIME_MS).exp();
        for rate in &mut self.rates {
            *rate *= decay;
        }
        self.refreshed_at = now;
        self.accumulate();
    }

    fn accumulate(&mut self) {
        let total: f64 = self.rates.iter().sum();
        let all_baselines = if total > 0.0 {
            total * BASELINE_SHARE
        } else {
            1.0
        };
        let baseline = all_baselines / BUCKETS as f64;
        self.cumulative.clear();
        self.cumulative.push(0.0);
        let mut sum = 0.0;
        for rate in &self.rates {
            sum += rate + baseline;
            self.cumulative.push(sum);
        }
    }

    /// Returns the load of all keys before `key`. The load of a bucket is divided equally among its keys.
    fn load_before(&self, key: u32) -> f64 {
        let keys_per_bucket = u32::from(KEYS_PER_BUCKET);
        let bucket = (key / keys_per_bucket) as usize;
        let part = f64::from(key % keys_per_bucket) / f64::from(KEYS_PER_BUCKET);
        let start = self.cumulative[bucket];
        let end = self.cumulative.get(bucket + 1).copied().unwrap_or(start);
        start + (end - start) * part
    }

    /// Returns the load of the keys from `first` to `last`, both included.
    pub fn range_load(&self, first: u16, last: u16) -> f64 {
        self.load_before(u32::from(last) + 1) - self.load_before(u32::from(first))
    }

    /// Returns the key at which to split a range so that the part from there to `last` has at most the load `wanted`;
    /// `None` if that part would be the whole range.
    pub fn split_point(&self, first: u16, last: u16, wanted: f64) -> Option<u16> {
        let (mut low, mut high) = (first, last);
        while low < high {
            let middle = low + (high - low) / 2;
            if self.range_load(middle, last) > wanted {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        (low > first).then_some(low)
    }
}

#[cfg(test)]
mod tests;
