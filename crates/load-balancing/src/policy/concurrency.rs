//! Trials of how many requests upstreams run concurrently, where nobody tells.
//!
//! A trial gives an upstream some slots more or fewer than its kind has, for a few service times; what gets done at
//! each level decides ([`ConcurrencyEstimate`]).

use super::Balancer;
use super::state::concurrency::{ConcurrencyEstimate, MAX_CONCURRENCY};
use super::state::upstream::Upstream;
use super::state::upstream_table::UpstreamIndex;
use super::subset;
use crate::interface::Time;

/// A longer wait for the next answer, in service times, tells of a fault, not of the level.
const MAX_ANSWER_GAP_IN_SERVICE_TIMES: f64 = 5.0;
/// How long a trial runs, in service times: a few answers at each level.
const TRIAL_DURATION_IN_SERVICE_TIMES: f64 = 4.0;
/// Share of the upstreams that are tried with a higher level while nothing is known of it.
const FIRST_TRIAL_SHARE: f64 = 0.5;
/// Share of the upstreams that are tried with a higher level once enough is known of it.
const LATER_TRIAL_SHARE: f64 = 1.0 / 96.0;
/// An upstream this many times slower than the mean is an outlier.
const OUTLIER_SLOWNESS: f64 = 2.0;

impl Balancer {
    /// Requests that an upstream runs concurrently: as told, or as learned of its kind.
    pub(super) fn concurrency(&self, upstream: &Upstream) -> f64 {
        if upstream.has_reported_slots() {
            return f64::from(upstream.slots);
        }
        self.estimate_of_kind(upstream).level as f64
    }

    fn estimate_of_kind(&self, upstream: &Upstream) -> &ConcurrencyEstimate {
        &self.fleet.concurrency[upstream.kind as usize]
    }

    /// Books the time that an upstream had so many in flight, and the work of the served request of class
    /// `served` that ends it.
    pub(super) fn record_concurrency(
        &mut self,
        now: Time,
        upstream: UpstreamIndex,
        served: Option<usize>,
    ) {
        let i = upstream;
        let upstream = &self.upstreams[i];
        let most = self.service_time(upstream) * MAX_ANSWER_GAP_IN_SERVICE_TIMES;
        let time = now
            .since(upstream.in_flight_changed_at)
            .as_micros()
            .min(most);
        let (kind, in_flight) = (upstream.kind as usize, upstream.in_flight as usize);
        if self.is_representative(now, upstream) && (1..=MAX_CONCURRENCY).contains(&in_flight) {
            let work = served.map_or(0.0, |class| {
                self.fleet.classes[class].mean / self.fleet.service_time
            });
            self.fleet.concurrency[kind].record(in_flight, time, work);
        }
        self.upstreams[i].in_flight_changed_at = now;
    }

    /// Upstreams in slow start and outliers say nothing of their kind.
    fn is_representative(&self, now: Time, upstream: &Upstream) -> bool {
        upstream.estimate.slowness <= OUTLIER_SLOWNESS
            && self.slow_start_capacity(now, upstream).is_none()
    }

    /// Ends the trials that have run long enough and begins others: at one own upstream at a time, or at half of them
    /// while nothing is known of a higher level. (With upstreams of six cores learned one by one, a quarter of the
    /// requests was rejected for the first minute of a quiet day.) Not beyond one's own subset: there the trials of
    /// several balancers would meet.
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
        !upstream.has_reported_slots()
            && upstream.subset_distance <= subset::OWN_SUBSET_DISTANCE
            && self.is_representative(now, upstream)
    }

    /// Tries a higher level at half of the upstreams of whose kind nothing is known of it.
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

    /// Tries, at one upstream, a higher level now and then, else a lower one.
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
