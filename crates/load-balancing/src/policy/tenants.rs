//! Shares of tenants.

use super::*;

impl Balancer {
    /// Whether one more request of this tenant is within its share; what is refused uses up none.
    pub(super) fn in_share(&mut self, now: Time, tenant: usize) -> bool {
        let Some(q) = self.quotas.get_mut(tenant) else {
            return true;
        };
        let rate =
            self.settings.tenants[tenant].quota_rps / 1e6 / f64::from(self.settings.balancers);
        // A share unused for the life of a request is gone: the fleet did not wait for it.
        let most = rate
            * self
                .settings
                .classes
                .iter()
                .map(|c| c.deadline.as_micros())
                .fold(0.0, f64::max);
        q.tokens = (q.tokens + rate * now.since(q.counted).as_micros()).min(most.max(1.0));
        q.counted = now;
        q.tokens >= 1.0
    }
}
