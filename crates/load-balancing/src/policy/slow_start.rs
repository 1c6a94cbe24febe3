//! Slow start: limits the rate at which recently started upstreams get requests.
//!
//! An upstream starts with a fraction of its capacity and fails if it is sent more than a multiple of the current one.
//! Each balancer earns send credit for such an upstream, either at the configured rate or at the rate at which
//! comparable warm upstreams, those past their slow start, were observed to answer.

use super::Balancer;
use super::state::upstream::Upstream;
use super::state::upstream_table::UpstreamIndex;
use super::subset;
use crate::fleet::send_credit::SendCredit;
use crate::interface::{Span, Time};

/// Rate towards an upstream of the balancer's own subset, as a share of the configured multiple of its capacity: an
/// upstream is in the own subset of only a few balancers.
const OWN_SUBSET_RATE_SHARE: f64 = 1.0 / 3.0;
const MICROS_PER_SECOND: f64 = 1e6;

impl Balancer {
    /// Returns the share of its capacity, 0 to 1, that an upstream in slow start has at least; `None` once it is warm.
    pub(super) fn slow_start_capacity(&self, now: Time, upstream: &Upstream) -> Option<f64> {
        let age = now.since(upstream.started?);
        let rules = &self.settings.rules;
        if age >= rules.slow_start_duration {
            return None;
        }
        let progress = (age.as_micros() / rules.slow_start_duration.as_micros()).max(0.0);
        let min_capacity = rules.slow_start_min_capacity;
        Some(min_capacity + (1.0 - min_capacity) * progress)
    }

    /// Returns whether an upstream is warm or this balancer has earned a send to it.
    pub(super) fn slow_start_allows(&self, now: Time, upstream: &Upstream) -> bool {
        self.send_credit(now, upstream)
            .is_none_or(|credit| credit >= 1.0)
    }

    /// Returns the number of sends earned by now for an upstream in slow start; `None` once it is warm.
    fn send_credit(&self, now: Time, upstream: &Upstream) -> Option<f64> {
        let capacity = self.slow_start_capacity(now, upstream)?;
        let rate = self.warm_rate(upstream) * capacity;
        let ttl = self
            .has_configured_slow_start_rate()
            .then_some(self.settings.rules.slow_start_credit_ttl);
        Some(upstream.send_credit.at(now, rate, ttl))
    }

    pub(super) fn has_configured_slow_start_rate(&self) -> bool {
        self.settings.rules.slow_start_rate_per_s > 0.0
    }

    /// Returns the number of sends per microsecond that an upstream may get from this balancer once it is warm.
    fn warm_rate(&self, upstream: &Upstream) -> f64 {
        let rules = &self.settings.rules;
        let balancers = f64::from(self.settings.balancers);
        if self.has_configured_slow_start_rate() {
            return rules.slow_start_rate_per_s / MICROS_PER_SECOND / balancers;
        }
        let fleet = &self.fleet;
        let kind_rate = fleet.warm_rate.get(upstream.kind as usize);
        let kind_rate = kind_rate.copied().unwrap_or(0.0);
        let observed = upstream.weight
            * if kind_rate > 0.0 {
                kind_rate
            } else {
                fleet.overall_warm_rate
            };
        let multiple = rules.overload_multiple.max(1.0);
        // Used when no rate has been observed yet or every upstream is in slow start: otherwise no upstream would get
        // any requests.
        let min_rate = multiple / balancers / fleet.service_time;
        let rate = if observed > 0.0 { observed } else { min_rate };
        // Balancers that have the upstream in their own subset send at a higher rate. When they used the rate of an
        // even spread over all balancers, but no other balancer sent anything, requests kept being rejected after the
        // number of upstreams had grown fourfold.
        let own_subset_rate = if upstream.subset_distance <= subset::OWN_SUBSET_DISTANCE {
            multiple * OWN_SUBSET_RATE_SHARE * self.concurrency(upstream) / fleet.service_time
        } else {
            0.0
        };
        rate.max(own_subset_rate)
    }

    pub(super) fn spend_send_credit(&mut self, now: Time, upstream: UpstreamIndex) {
        let Some(credit) = self.send_credit(now, &self.upstreams[upstream]) else {
            return;
        };
        self.upstreams[upstream].send_credit = SendCredit::new(credit - 1.0, now);
    }

    /// Counts a served request, if its upstream is warm. Sends are not counted: while many requests are rejected, the
    /// sends of all balancers add up to a multiple of any upstream's capacity.
    pub(super) fn count_served(&mut self, now: Time, upstream: UpstreamIndex) {
        let upstream = &self.upstreams[upstream];
        if self.slow_start_capacity(now, upstream).is_some() {
            return;
        }
        let kind = upstream.kind as usize;
        let served = &mut self.fleet.warm_served;
        served.resize(served.len().max(kind + 1), 0.0);
        served[kind] += 1.0;
    }

    /// Updates the send credit of upstreams in slow start and the rates of warm upstreams to the current time.
    pub(super) fn refresh_warm_rates(&mut self, now: Time) {
        let elapsed = now.since(self.fleet.warm_counted_at).as_micros();
        self.fleet.warm_counted_at = now;
        let warm_weight = self.refresh_send_credit(now);
        let rules = &self.settings.rules;
        let window = at_least_a_microsecond(rules.overload_window);
        let memory = at_least_a_microsecond(rules.slow_start_duration);
        let fleet = &mut self.fleet;
        for served in &mut fleet.warm_served {
            *served *= (-elapsed / window).exp();
        }
        fleet.warm_rate.resize(warm_weight.len(), 0.0);
        // Keeps a decaying peak: when warm upstreams slowed down, those in slow start would otherwise be limited along
        // with them although they were still fast.
        let keep_peak = |peak: &mut f64, served: f64, weight: f64| {
            let observed = if weight > 0.0 && served >= 1.0 {
                served / window / weight
            } else {
                0.0
            };
            *peak = (*peak * (-elapsed / memory).exp()).max(observed);
        };
        keep_peak(
            &mut fleet.overall_warm_rate,
            fleet.warm_served.iter().sum(),
            warm_weight.iter().sum(),
        );
        let kinds = fleet.warm_rate.iter_mut().zip(&fleet.warm_served);
        for ((peak, served), weight) in kinds.zip(warm_weight) {
            keep_peak(peak, *served, weight);
        }
    }

    /// Updates the send credit of upstreams in slow start to the current time. Returns the total weight of warm
    /// upstreams by machine type.
    fn refresh_send_credit(&mut self, now: Time) -> Vec<f64> {
        let mut warm_weight = vec![0.0; self.fleet.warm_served.len()];
        for &i in &self.by_cost {
            let upstream = &self.upstreams[i];
            if let Some(credit) = self.send_credit(now, upstream) {
                self.upstreams[i].send_credit = SendCredit::new(credit, now);
            } else if let Some(weight) = warm_weight.get_mut(upstream.kind as usize) {
                *weight += upstream.weight;
            }
        }
        warm_weight
    }
}

fn at_least_a_microsecond(span: Span) -> f64 {
    span.as_micros().max(1.0)
}
