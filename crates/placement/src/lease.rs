//! Lease calls to upstreams, and the leader's state of each lease.

use protocol::key_ranges::LeaseHolder;

/// What an upstream is asked to do with a key range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseRequest {
    /// Run requests for the range's keys.
    Grant {
        /// Length of the lease from the arrival of the call, in milliseconds of the upstream's clock.
        lease_ms: u64,
        /// The handoff that the previous owner returned when it released the range.
        handoff: Option<String>,
    },
    /// Run no more requests for the range's keys. Answered once the running requests have ended.
    Release,
}

/// A call to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseCall {
    /// The upstream to call.
    pub holder: LeaseHolder,
    /// First key of the range.
    pub first: u16,
    /// Last key of the range.
    pub last: u16,
    /// Fencing token of the range. An upstream rejects a grant with a lower token than the highest that it has seen.
    pub fencing_token: u64,
    /// What the upstream is asked to do.
    pub request: LeaseRequest,
}

/// Outcome of a lease call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseCallOutcome {
    /// The upstream granted or released the range. Holds the handoff of a release, if the upstream returned one.
    Completed(Option<String>),
    /// The upstream has seen a higher fencing token.
    Fenced,
    /// Another upstream has the address now.
    AddressReused,
    /// The call certainly did not arrive: no connection was established.
    NotSent,
    /// The call may have arrived: there was no answer, or an invalid one.
    NoResponse,
}

/// A released range, with the handoff of the upstream that released it.
#[derive(Clone, Debug)]
pub(crate) struct Release {
    pub(crate) handoff: Option<String>,
}

/// The leader's state of the lease on one range, at the upstream that owns it or has to release it.
///
/// Invariant: at `expires_at`, by the leader's clock, every lease on these keys that any leader may have granted this
/// upstream has expired. `expires_at` decreases in two cases only: after a grant that certainly did not arrive, to its
/// value before that grant; and after an answered grant, to the value that follows from the answer.
#[derive(Clone, Debug)]
pub(crate) struct LeaseState {
    pub(crate) holder_id: String,
    pub(crate) expires_at: u64,
    /// Value of `expires_at` before the grant that is in flight.
    pub(crate) expires_at_before_grant: u64,
    /// When the next grant is due.
    pub(crate) next_grant_at: u64,
    /// Earliest time of the next call of any kind, after a failed one.
    pub(crate) next_call_at: u64,
    /// Fencing token of the call that is in flight, if any.
    pub(crate) token_in_flight: Option<u64>,
    /// Consecutive calls without an answer.
    pub(crate) unanswered_calls: u32,
    /// Whether the upstream has seen a higher token than the range's, so that the range needs a new one.
    pub(crate) is_fenced: bool,
    /// Set once the upstream has released the range.
    pub(crate) release: Option<Release>,
}

impl LeaseState {
    /// Creates the state for an upstream that this leader has not called yet; leases from earlier leaders have expired
    /// at `expires_at`.
    pub(crate) fn new(holder_id: &str, expires_at: u64, now: u64) -> Self {
        Self {
            holder_id: holder_id.to_string(),
            expires_at,
            expires_at_before_grant: expires_at,
            next_grant_at: now,
            next_call_at: now,
            token_in_flight: None,
            unanswered_calls: 0,
            is_fenced: false,
            release: None,
        }
    }

    /// Returns whether so many calls were unanswered that the upstream counts as unresponsive.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.unanswered_calls >= crate::timing::MAX_UNANSWERED_CALLS
    }
}
