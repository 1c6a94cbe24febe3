//! Trials that find out how many requests upstreams run concurrently, where the host does not report it.
//!
//! A trial gives an upstream some slots more or fewer than others of its machine type have, for a few service times. A
//! level is a number of requests in flight at an upstream; the throughput at each level decides which level is used
//! ([`ConcurrencyEstimate`]).

use super::Balancer;
use super::state::concurrency::{ConcurrencyEstimate, MAX_CONCURRENCY};
use super::state::upstream::Upstream;
use super::state::upstream_table::UpstreamIndex;
use super::subset;
use crate::interface::Time;

/// Maximum time until the next answer that is recorded for a level, in service times: a longer gap indicates a fault
/// rather than the throughput of the level.
const MAX_ANSWER_GAP_IN_SERVICE_TIMES: f64 = 5.0;
/// Duration of a trial in service times, enough for a few answers at each level.
const TRIAL_DURATION_IN_SERVICE_TIMES: f64 = 4.0;
/// Share of the upstreams that try a higher level while nothing is known of it.
const FIRST_TRIAL_SHARE: f64 = 0.5;
/// Share of the upstreams that try a higher level once enough is known of it.
const LATER_TRIAL_SHARE: f64 = 1.0 / 96.0;
/// Slowness, relative to the mean, above which an upstream is an outlier.
const OUTLIER_SLOWNESS: f64 = 2.0;

impl Balancer {
    /// Returns how many requests an upstream runs concurrently: as reported, or else as estimated for its machine
    /// type.
    pub(super) fn concurrency(&self, upstream: &Upstream) -> f64 {
        if upstream.reports_concurrency() {
            return f64::from(upstream.reported_concurrency);
        }
        self.estimate_of_kind(upstream).level as f64
    }

    fn estimate_of_kind(&self, upstream: &Upstream) -> &ConcurrencyEstimate {
        &self.fleet.concurrency[upstream.kind as usize]
    }

    /// Records how long an upstream had its current number of attempts in flight. `served_mean` is the mean latency, in
    /// microseconds, of the class of the request that was served at the end of that time, if any; its work is recorded
    /// too.
    pub(super) fn record_concurrency(
        &mut self,
        now: Time,
        upstream: UpstreamIndex,
        served_mean: Option<f64>,
    ) {
        let i = upstream;
        let upstream = &self.upstreams[i];
        let max_time = self.service_time(upstream) * MAX_ANSWER_GAP_IN_SERVICE_TIMES;
        let time = now
            .since(upstream.in_flight_changed_at)
            .as_micros()
            .min(max_time);
        let (kind, in_flight) = (upstream.kind as usize, upstream.in_flight as usize);
        if self.is_representative(now, upstream) && (1..=MAX_CONCURRENCY).contains(&in_flight) {
            let work = served_mean.map_or(0.0, |mean| mean / self.fleet.service_time);
            self.fleet.concurrency[kind].record(in_flight, time, work);
        }
        self.upstreams[i].in_flight_changed_at = now;
    }

    /// Returns whether an upstream is representative of its machine type, which excludes upstreams in slow start and
    /// outliers.
    fn is_representative(&self, now: Time, upstream: &Upstream) -> bool {
        upstream.estimate.slowness <= OUTLIER_SLOWNESS
            && self.slow_start_capacity(now, upstream).is_none()
    }

    /// Ends trials that have run long enough and starts new ones: at one upstream of the balancer's own subset at a
    /// time, or at half of them while nothing is known of a higher level. When upstreams with six cores were tried one
    /// after the other from the start, a quarter of the requests was rejected during the first minute, even under light
    /// load. Upstreams outside the subset are excluded, since trials of several balancers would overlap there.
    pub(super) fn refresh_concurrency_trials(&mut self, now: Time) {
        let age = now.since(self.fleet.trials_started_at).as_micros();
        if age < self.fleet.service_time * TRIAL_DURATION_IN_SERVICE_TIMES {
            return;
        }
        self.fleet.trials_started_at = now;
        self.fleet
            .concurrency
            .iter_mut()
            .for_each(ConcurrencyEstimate::end_round);
        for upstream in self.upstreams.iter_mut() {
            upstream.concurrency_trial = 0;
        }
        let own: Vec<UpstreamIndex> = self
            .by_cost
            .iter()
            .copied()
            .filter(|&i| self.is_candidate_for_trial(now, &self.upstreams[i]))
            .collect();
        if own.is_empty() {
            return;
        }
        self.start_first_trials(&own);
        self.start_later_trial(&own);
    }

    fn is_candidate_for_trial(&self, now: Time, upstream: &Upstream) -> bool {
        !upstream.reports_concurrency()
            && upstream.subset_distance <= subset::OWN_SUBSET_DISTANCE
            && self.is_representative(now, upstream)
    }

    /// Tries a higher level at half of the upstreams for whose machine type too little is known of that level.
    fn start_first_trials(&mut self, own: &[UpstreamIndex]) {
        for &i in own {
            let estimate = self.estimate_of_kind(&self.upstreams[i]);
            let next = estimate.next_level();
            let step = (next.level - estimate.level) as i32;
            if !next.is_known && self.rng.rand_float() < FIRST_TRIAL_SHARE {
                self.upstreams[i].concurrency_trial = step;
            }
        }
    }

    /// Tries a higher level at one upstream occasionally, and otherwise a lower level at one.
    fn start_later_trial(&mut self, own: &[UpstreamIndex]) {
        let higher = self.random_of(own);
        let lower = self.random_of(own);
        let estimate = self.estimate_of_kind(&self.upstreams[higher]);
        let next = estimate.next_level();
        if !next.is_known {
            return;
        }
        let step = (next.level - estimate.level) as i32;
        if self.rng.rand_float() < LATER_TRIAL_SHARE * own.len() as f64 {
            self.upstreams[higher].concurrency_trial = step;
        } else {
            let level = self.estimate_of_kind(&self.upstreams[lower]).level;
            let step = (level - 1).min((level / 3).max(1));
            self.upstreams[lower].concurrency_trial = -(step as i32);
        }
    }

    fn random_of(&mut self, upstreams: &[UpstreamIndex]) -> UpstreamIndex {
        upstreams[self.rng.rand_range(0..upstreams.len() as u64) as usize]
    }
}
