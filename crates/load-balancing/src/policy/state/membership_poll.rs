//! Schedule of requests for the membership list, where it is only sent on request.

use crate::interface::Time;

/// State of the subscription to the membership list.
#[derive(Debug)]
pub(in crate::policy) struct MembershipPoll {
    pub(in crate::policy) is_subscribed: bool,
    pub(in crate::policy) next_request: Time,
    /// Consecutive failed requests, up to the maximum number of doublings of the wait.
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
