//! The retry budget: a balancer's part of what all may send beyond the first attempt of each request.

use crate::interface::{Rules, Settings, Time};

/// The window of the budget is counted in so many buckets.
const BUCKETS: i64 = 10;
/// One bucket more than the window has: the oldest is only partly within it.
const KEPT_BUCKETS: usize = BUCKETS as usize + 1;

/// What happened in one bucket of time.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Which bucket of time it is, counted from time 0.
    number: i64,
    requests: u32,
    retries: u32,
}

/// A share of the balancer's own recent requests, and its even part of the fixed allowance. The parts of all
/// balancers add up to the whole budget, whatever traffic each of them gets.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryBudget {
    /// By their number modulo [`KEPT_BUCKETS`].
    buckets: [Bucket; KEPT_BUCKETS],
}

impl RetryBudget {
    /// Counts a new request.
    pub(crate) fn count_request(&mut self, now: Time, rules: &Rules) {
        self.current(now, rules).requests += 1;
    }

    /// Counts a retry that is sent.
    pub(crate) fn count_retry(&mut self, now: Time, rules: &Rules) {
        self.current(now, rules).retries += 1;
    }

    /// Whether one more retry is within this balancer's part. Retries are counted over a bucket more than the
    /// window, requests over no more than the window.
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

    /// The bucket of `now`, emptied if it last stood for an earlier time.
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
