//! Token buckets for tenant quotas.

use crate::interface::Time;

/// A tenant's quota at this balancer: a token bucket counted in requests.
#[derive(Debug)]
pub(in crate::policy) struct TenantQuota {
    pub(in crate::policy) tokens: f64,
    pub(in crate::policy) refilled_at: Time,
}

impl TenantQuota {
    /// Creates a bucket with one token.
    pub(in crate::policy) fn new(now: Time) -> Self {
        Self {
            tokens: 1.0,
            refilled_at: now,
        }
    }
}
