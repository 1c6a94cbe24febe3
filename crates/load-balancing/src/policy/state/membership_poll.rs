//! When to request the list of upstreams, where it comes only on request.

use crate::interface::Time;

/// State of the subscription to the list.
#[derive(Debug)]
pub(in crate::policy) struct MembershipPoll {
    pub(in crate::policy) is_subscribed: bool,
    pub(in crate::policy) next_request: Time,
    /// Failed calls in a row, as far as they lengthen the wait.
    pub(in crate::policy) consecutive_failures: i32,
}

impl MembershipPoll {
    pub(in crate::policy) fn new(now: Time) -> Self {
        Self {
            is_subscribed: false,
            next_request: now,
            consecutive_failures: 0,
        }
    }
}
