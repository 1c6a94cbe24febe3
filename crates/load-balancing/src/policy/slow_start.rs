//! Slow start: at which pace upstreams that have just started get work.
//!
//! An upstream begins at a share of its capacity and falls over when it is sent more than a multiple of what it has.
//! Each balancer earns credit for sends to it: at the rate that the site tells, or else at the rate at which
//! comparable upstreams past their slow start were seen to answer.

use super::Balancer;
use super::state::upstream::Upstream;
use super::state::upstream_table::UpstreamIndex;
use super::subset;
use crate::fleet::send_credit::SendCredit;
use crate::interface::{Span, Time};

/// Pace to an upstream of one's own subset, as a share of the stated multiple of its capacity: few balancers own the
/// same one.
const OWNER_RATE_SHARE: f64 = 1.0 / 3.0;
const MICROS_PER_SECOND: f64 = 1e6;

impl Balancer {
    /// Share of its capacity that an upstream in slow start has for certain, 0 to 1; `None` once it is warm.
    pub(super) fn slow_start_capacity(&self, now: Time, upstream: &Upstream) -> Option<f64> {
        let age = now.since(upstream.started?);
        let rules = &self.settings.rules;
        if age >= rules.slow_start_duration {
            return None;
        }
        let progress = (age.as_micros() / rules.slow_start_duration.as_micros()).max(0.0);
        let least = rules.slow_start_min_capacity;
        Some(least + (1.0 - least) * progress)
    }

    /// Whether an upstream is warm or has earned a send.
    pub(super) fn slow_start_allows(&self, now: Time, upstream: &Upstream) -> bool {
        self.send_credit(now, upstream)
            .is_none_or(|credit| credit >= 1.0)
    }

    /// Sends that an upstream in slow start has earned by now; `None` once it is warm.
    fn send_credit(&self, now: Time, upstream: &Upstream) -> Option<f64> {
        let capacity = self.slow_start_capacity(now, upstream)?;
        let rate = self.warm_rate(upstream) * capacity;
        let ttl = self
            .is_slow_start_rate_told()
            .then_some(self.settings.rules.slow_start_credit_ttl);
        Some(upstream.send_credit.at(now, rate, ttl))
    }

    pub(super) fn is_slow_start_rate_told(&self) -> bool {
        self.settings.rules.slow_start_rate_per_s > 0.0
    }

    /// Sends per microsecond that one upstream like this may get from this balancer once it is warm.
    fn warm_rate(&self, upstream: &Upstream) -> f64 {
        let rules = &self.settings.rules;
        let balancers = f64::from(self.settings.balancers);
        if self.is_slow_start_rate_told() {
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
        // With every upstream young, or nothing observed yet, none would get any work.
        let least = multiple / balancers / fleet.service_time;
        let rate = if observed > 0.0 { observed } else { least };
        // Its owners bring it on: with the pace of an even spread over all balancers, while only those whose subset
        // it was in sent it anything, a fleet that grew fourfold kept rejecting.
        let owner_rate = if upstream.subset_distance <= subset::OWN_SUBSET_DISTANCE {
            multiple * OWNER_RATE_SHARE * self.concurrency(upstream) / fleet.service_time
        } else {
            0.0
        };
        rate.max(owner_rate)
    }

    pub(super) fn spend_send_credit(&mut self, now: Time, upstream: UpstreamIndex) {
        let Some(credit) = self.send_credit(now, &self.upstreams[upstream]) else {
            return;
        };
        self.upstreams[upstream].send_credit = SendCredit::new(credit - 1.0, now);
    }

    /// Counts what warm upstreams served, not what they were sent: in a storm of rejections the sends of a fleet
    /// add up to a multiple of what any upstream can do.
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

    /// Brings the credit of upstreams in slow start, and the rates of warm ones, up to now.
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
        // A peak is kept: when the warm upstreams slowed down, the young ones, who did not, were held back with
        // them.
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

    /// Brings the credit of upstreams in slow start up to now; the total weight of warm ones, by kind.
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
