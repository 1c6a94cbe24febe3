//! The retry budget: a balancer's part of the retries that the whole fleet may send.

use crate::interface::{Rules, Settings, Time};

/// Buckets of time into which the budget's window is divided.
const BUCKETS: i64 = 10;
/// One bucket more than the window has, because the oldest bucket is only partly within the window.
const KEPT_BUCKETS: usize = BUCKETS as usize + 1;

/// Requests and retries in one bucket of time.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Index of the bucket, counted from time 0.
    number: i64,
    requests: u32,
    retries: u32,
}

/// Allows retries up to a fraction of the balancer's own recent requests plus an even share of the fixed allowance.
/// The parts of all balancers add up to the fleet's budget however the traffic is distributed among them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryBudget {
    /// Ring buffer, indexed by bucket number modulo [`KEPT_BUCKETS`].
    buckets: [Bucket; KEPT_BUCKETS],
}

impl RetryBudget {
    /// Counts a new request.
    pub(crate) fn count_request(&mut self, now: Time, rules: &Rules) {
        self.current(now, rules).requests += 1;
    }

    /// Counts a retry that is being sent.
    pub(crate) fn count_retry(&mut self, now: Time, rules: &Rules) {
        self.current(now, rules).retries += 1;
    }

    /// Returns whether one more retry is within this balancer's part of the budget. Retries are counted over one
    /// bucket more than the window and requests over the window at most, so that the rounding to whole buckets can only
    /// reduce the number of retries.
    pub(crate) fn allows_retry(&self, now: Time, settings: &Settings) -> bool {
        let rules = &settings.rules;
        if rules.retry_window.0 <= 0 {
            return true;
        }
        let number = bucket_number(now, rules);
        let recent = |buckets: i64| {
            self.buckets
                .iter()
                .filter(move |bucket| (0..buckets).contains(&(number - bucket.number)))
        };
        let retries: u32 = recent(BUCKETS + 1).map(|bucket| bucket.retries).sum();
        let requests: u32 = recent(BUCKETS).map(|bucket| bucket.requests).sum();
        let allowance = rules.retry_allowance / f64::from(settings.balancers.max(1));
        f64::from(retries) + 1.0 <= rules.retry_ratio * f64::from(requests) + allowance
    }

    /// Returns the bucket that contains `now`, reset if it was last used for an earlier time.
    fn current(&mut self, now: Time, rules: &Rules) -> &mut Bucket {
        let number = bucket_number(now, rules);
        let bucket = &mut self.buckets[number.rem_euclid(BUCKETS + 1) as usize];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }
}

fn bucket_number(now: Time, rules: &Rules) -> i64 {
    now.0 / (rules.retry_window.0 / BUCKETS).max(1)
}
