//! Estimates of TP_i, TS_i, K_i and N_i for each upstream, and of the capacity that all upstreams together offer this
//! balancer.
//!
//! [`Balancer::learn`] updates the estimates with every outcome of an attempt. Values for all upstreams together
//! are recomputed at each sweep and each membership change.

use super::Balancer;
use super::state::latency_estimate::SERVICE_TIME_GAIN;
use super::state::request::Attempt;
use super::state::upstream::Upstream;
use super::state::upstream_table::UpstreamIndex;
use crate::fleet::fair_share::FairShare;
use crate::fleet::peer_load::ReportedLoad;
use crate::interface::{AttemptOutcome, AttemptResult, Span, Time};

impl Balancer {
    /// Returns TS_i in microseconds.
    pub(super) fn service_time(&self, upstream: &Upstream) -> f64 {
        self.fleet.service_time * upstream.estimate.slowness
    }

    /// Returns 2*TP_i in microseconds, or the mean of all upstreams where it is not known.
    fn propagation(&self, upstream: &Upstream) -> f64 {
        let known = upstream.estimate.propagation;
        known.unwrap_or(self.fleet.propagation)
    }

    /// Returns K_i = 2*TP_i / TS_i + 1 for an upstream that runs one request at a time, plus one for each further
    /// request that it runs concurrently. The result is at most N_i.
    fn exact_max_in_flight(&self, upstream: &Upstream) -> f64 {
        let k =
            self.propagation(upstream) / self.service_time(upstream) + self.concurrency(upstream);
        k.min(self.admission_limit_per_us(upstream) * self.mean_latency_target)
    }

    /// Returns K_i as a whole number of requests, including the concurrency on trial. It is at least 1, since nothing
    /// would be learned about the upstream otherwise.
    pub(super) fn max_in_flight(&self, upstream: &Upstream, trial: i32) -> u32 {
        (self.exact_max_in_flight(upstream) as i32 + trial).max(1) as u32
    }

    /// Returns N_i per microsecond of T_QoS: 1 / (2*TP_i + TS_i) for each request that the upstream runs concurrently.
    pub(super) fn admission_limit_per_us(&self, upstream: &Upstream) -> f64 {
        let round_trip = self.propagation(upstream) + self.service_time(upstream);
        self.concurrency(upstream) / round_trip
    }

    /// Updates all estimates with the outcome of an attempt of a request with this class index and deadline.
    pub(super) fn learn(
        &mut self,
        now: Time,
        class: Option<usize>,
        deadline: Span,
        attempt: Attempt,
        result: &AttemptResult,
    ) {
        let is_served = result.outcome == AttemptOutcome::Ok;
        // Clamped, since a single implausible latency would make the mean of its class unusable for good.
        let latency = result.latency.as_micros().clamp(1.0, deadline.as_micros());
        let served_mean = is_served.then(|| self.fleet.class(class).mean);
        self.record_concurrency(now, attempt.upstream, served_mean);
        // Answers are slower while a trial has more requests in flight than usual. When they were included, the
        // upstream looked slow and its balancer moved its requests into the subsets of other balancers.
        let upstream = &self.upstreams[attempt.upstream];
        let is_on_trial = upstream.in_flight > self.max_in_flight(upstream, 0);
        if is_served {
            self.count_served(now, attempt.upstream);
            if !is_on_trial {
                self.fleet.learn_latency(class, latency);
            }
        }
        let mean = self.fleet.class_mean(class);
        self.adjust_tolerance(latency / mean, result.outcome);
        if let Some(class) = class
            && attempt.is_hedge_due
            && result.outcome != AttemptOutcome::Cancelled
        {
            let unanswered = &mut self.fleet.classes[class].unanswered_share;
            *unanswered += (f64::from(!is_served) - *unanswered) * SERVICE_TIME_GAIN;
        }
        let is_already_counted = attempt.is_overdue && result.outcome == AttemptOutcome::Timeout;
        let is_slowed_by_trial = is_served && is_on_trial;
        if !is_already_counted && !is_slowed_by_trial {
            let estimate = &mut self.upstreams[attempt.upstream].estimate;
            estimate.learn(result.outcome, latency, mean);
        }
        self.update_breakers(now, class, attempt, result.outcome, mean);
        if !attempt.is_slot_released {
            self.count_in_flight(attempt.upstream, -1);
        }
        self.learn_reported_load(now, attempt.upstream, result);
    }

    /// Records how many requests of other balancers an upstream reported.
    fn learn_reported_load(&mut self, now: Time, upstream: UpstreamIndex, result: &AttemptResult) {
        let Some(running) = result.report.inflight else {
            return;
        };
        let upstream = &mut self.upstreams[upstream];
        let all = running + result.report.queued.unwrap_or(0.0);
        let peers = (all - f64::from(upstream.in_flight)).max(0.0);
        upstream.reported = ReportedLoad { peers, at: now };
        let peers_per_slot = peers / f64::from(upstream.reported_concurrency.max(1));
        self.fleet.peer_load.learn(now, peers_per_slot);
    }

    /// Recomputes everything derived from the estimates: the sums of K_i and N_i, the order of cost and the maximum
    /// queue wait.
    pub(super) fn refresh_estimates(&mut self) {
        self.refresh_mean_propagation();
        for pool in 0..self.capacity.pools.len() {
            self.refresh_capacity_pool(pool);
        }
        self.recount_in_flight();
        self.sort_by_cost();
        self.refresh_max_queue_wait();
    }

    fn refresh_mean_propagation(&mut self) {
        let known = self
            .upstreams
            .iter()
            .filter_map(|upstream| upstream.estimate.propagation);
        let (sum, count) = known.fold((0.0, 0.0), |(sum, count), p| (sum + p, count + 1.0));
        if count > 0.0 {
            self.fleet.propagation = sum / count;
        }
    }

    /// Recomputes this balancer's share of the sums of K_i and N_i over the live upstreams of a pool. Unresponsive
    /// upstreams are excluded: otherwise the sums included a lost zone for as long as it was listed, and queues grew
    /// past the latency target.
    pub(super) fn refresh_capacity_pool(&mut self, pool: usize) {
        self.capacity.pools[pool].all_unresponsive = !self
            .upstreams
            .iter()
            .filter(|upstream| upstream.is_live() && self.capacity.pools[pool].contains(upstream))
            .any(|upstream| !upstream.is_unresponsive());
        let (mut slots, mut per_us) = (0.0, 0.0);
        for upstream in self.upstreams.iter() {
            if upstream.is_live() && self.is_counted(&self.capacity.pools[pool], upstream) {
                slots += self.exact_max_in_flight(upstream);
                per_us += self.admission_limit_per_us(upstream);
            }
        }
        let share = FairShare::new(slots, self.fleet.tolerance, self.settings.balancers);
        // The headroom for bursts is reserved only where upstreams report their concurrency. With an estimated one,
        // balancers rejected retries that they could have served after the number of balancers had shrunk.
        let is_concurrency_reported = self.upstreams.iter().any(Upstream::reports_concurrency);
        let pool = &mut self.capacity.pools[pool];
        pool.slots = slots * share.of_slots;
        pool.admission_limit_per_us = per_us * share.of_slots;
        pool.even_share = if is_concurrency_reported {
            share.even
        } else {
            1.0
        };
    }
}
