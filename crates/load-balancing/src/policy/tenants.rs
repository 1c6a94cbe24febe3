//! Tenant quotas.
//!
//! Each balancer has an even share of every tenant's quota. Requests over quota are admitted only while there is
//! room for them without any queue wait ([`admission`](super::admission)).

use super::Balancer;
use crate::interface::Time;

const MICROS_PER_SECOND: f64 = 1e6;

impl Balancer {
    /// Returns whether one more request of this tenant is within its quota. Rejected requests use up no quota.
    pub(super) fn is_within_quota(&mut self, now: Time, tenant: usize) -> bool {
        let Some(quota) = self.tenant_quotas.get_mut(tenant) else {
            return true;
        };
        let rate = self.settings.tenants[tenant].quota_rps
            / MICROS_PER_SECOND
            / f64::from(self.settings.balancers);
        // Unused quota expires after the longest deadline, since the capacity it stood for has passed unused.
        let deadlines = self.settings.classes.iter().map(|c| c.deadline.as_micros());
        let max_tokens = rate * deadlines.fold(0.0, f64::max);
        let elapsed = now.since(quota.refilled_at).as_micros();
        quota.tokens = (quota.tokens + rate * elapsed).min(max_tokens.max(1.0));
        quota.refilled_at = now;
        quota.tokens >= 1.0
    }

    pub(super) fn spend_quota(&mut self, tenant: usize) {
        if let Some(quota) = self.tenant_quotas.get_mut(tenant) {
            quota.tokens -= 1.0;
        }
    }
}
