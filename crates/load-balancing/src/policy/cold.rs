//! Cold upstreams: at which pace they get work.

use super::*;

impl Balancer {
    /// Share of its capacity that a young upstream has for certain; `None` once warm.
    pub(super) fn cold_share(&self, now: Time, s: &Server) -> Option<f64> {
        let age = now.since(s.started?);
        let rules = &self.settings.rules;
        if age >= rules.slow_start_duration {
            return None;
        }
        let grown = (age.as_micros() / rules.slow_start_duration.as_micros()).max(0.0);
        Some(rules.slow_start_min_capacity + (1.0 - rules.slow_start_min_capacity) * grown)
    }

    pub(super) fn cold_allows(&self, now: Time, s: &Server) -> bool {
        self.earned(now, s).is_none_or(|tokens| tokens >= 1.0)
    }

    /// Sends that a young upstream has earned by now, one at most; `None` once warm.
    pub(super) fn earned(&self, now: Time, s: &Server) -> Option<f64> {
        let pace = self.warm_rate(s) * self.cold_share(now, s)?;
        let r = &self.settings.rules;
        Some(s.pace.by(
            now,
            pace,
            (r.slow_start_rate_per_s > 0.0).then_some(r.slow_start_credit_ttl),
        ))
    }

    /// Answers per microsecond that one warm upstream like `s` has been seen to give.
    pub(super) fn warm_rate(&self, s: &Server) -> f64 {
        let f = &self.fleet;
        if self.settings.rules.slow_start_rate_per_s > 0.0 {
            return self.settings.rules.slow_start_rate_per_s
                / 1e6
                / f64::from(self.settings.balancers);
        }
        let like = f.warm_rate.get(s.kind as usize).copied().unwrap_or(0.0);
        let rate = s.weight * if like > 0.0 { like } else { f.any_rate };
        let multiple = self.settings.rules.overload_multiple.max(1.0);
        // Failure: with every upstream young, or nothing observed yet, none got any work.
        let least = multiple / f64::from(self.settings.balancers) / f.ts;
        let rate = if rate > 0.0 { rate } else { least };
        // Failure: a fleet that grew fourfold kept refusing: each young upstream had the pace of an even
        // spread over the bank, but only the proxies whose own it was sent it anything.
        let owner = if s.reach <= OWN {
            multiple * OWNER_PACE * self.lanes(s) / f.ts
        } else {
            0.0
        };
        rate.max(owner)
    }

    pub(super) fn count_send(&mut self, now: Time, server: usize) {
        let Some(earned) = self.earned(now, &self.servers[server]) else {
            return;
        };
        self.servers[server].pace = Pace::new(earned - 1.0, now);
    }

    /// Counts what warm upstreams served, not what they were sent: in a storm of refusals the sends of a bank
    /// add up to a multiple of what any upstream can do.
    pub(super) fn count_served(&mut self, now: Time, server: usize) {
        let s = &self.servers[server];
        if self.cold_share(now, s).is_some() {
            return;
        }
        let (kind, served) = (s.kind as usize, &mut self.fleet.warm_served);
        served.resize(served.len().max(kind + 1), 0.0);
        served[kind] += 1.0;
    }

    pub(super) fn refresh_warm(&mut self, now: Time) {
        let elapsed = now.since(self.fleet.counted).as_micros();
        self.fleet.counted = now;
        let mut weight = vec![0.0; self.fleet.warm_served.len()];
        for &i in &self.order {
            let s = &self.servers[i];
            if let Some(earned) = self.earned(now, s) {
                self.servers[i].pace = Pace::new(earned, now);
            } else if let Some(w) = weight.get_mut(s.kind as usize) {
                *w += s.weight;
            }
        }
        let window = self.settings.rules.overload_window.as_micros().max(1.0);
        let cold = self.settings.rules.slow_start_duration.as_micros().max(1.0);
        let f = &mut self.fleet;
        f.warm_served
            .iter_mut()
            .for_each(|w| *w *= (-elapsed / window).exp());
        f.warm_rate.resize(weight.len(), 0.0);
        // Failure: when the warm ones slowed, the young, who did not, were held back with them.
        let keep = |peak: &mut f64, served: f64, weight: f64| {
            let seen = if weight > 0.0 && served >= 1.0 {
                served / window / weight
            } else {
                0.0
            };
            *peak = (*peak * (-elapsed / cold).exp()).max(seen);
        };
        keep(
            &mut f.any_rate,
            f.warm_served.iter().sum(),
            weight.iter().sum(),
        );
        for ((peak, served), weight) in f.warm_rate.iter_mut().zip(&f.warm_served).zip(weight) {
            keep(peak, *served, weight);
        }
    }
}
