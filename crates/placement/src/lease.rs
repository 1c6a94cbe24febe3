//! Calls to an upstream for a lease, and what the leader knows of each lease.

use protocol::key_ranges::LeaseHolder;

/// What an upstream is asked to do with a range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseRequest {
    /// Run requests for its keys.
    Grant {
        /// Length of the lease from the arrival of the call, in milliseconds of the upstream's clock.
        lease_ms: u64,
        /// What the owner before it handed over on its release.
        handoff: Option<String>,
    },
    /// Run no further requests for its keys; answered once those that run have ended.
    Release,
}

/// A call to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseCall {
    /// Whom to call.
    pub holder: LeaseHolder,
    /// First key of the range.
    pub first: u16,
    /// Last key of the range.
    pub last: u16,
    /// The range's token; an upstream refuses a grant with a lower one than it has seen.
    pub fencing_token: u64,
    /// What it is asked to do.
    pub request: LeaseRequest,
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseCallOutcome {
    /// It was done; with the handoff of a release, if the upstream gave one.
    Completed(Option<String>),
    /// The upstream has seen a higher fencing token.
    Fenced,
    /// Another upstream has the address by now.
    AddressReused,
    /// It surely did not arrive: no connection came up.
    NotSent,
    /// It may have arrived: there was no answer, or one that makes no sense.
    NoResponse,
}

/// An upstream's answer to a release.
#[derive(Clone, Debug)]
pub(crate) struct Release {
    pub(crate) handoff: Option<String>,
}

/// What the leader knows of the lease on one range, at the upstream that owns it or has to release it.
///
/// Invariant: at `expires_at`, by the leader's clock, every lease that anyone may have granted this upstream on these
/// keys has run out. It falls only back to what it was before a grant that surely did not arrive, or to what an
/// answered grant shows.
#[derive(Clone, Debug)]
pub(crate) struct LeaseState {
    pub(crate) holder_id: String,
    pub(crate) expires_at: u64,
    /// `expires_at` before the grant that is in flight.
    pub(crate) expires_at_before_grant: u64,
    /// When the next grant is due.
    pub(crate) next_grant_at: u64,
    /// No call of any kind before this: the last one failed.
    pub(crate) next_call_at: u64,
    /// Fencing token of the call that is in flight.
    pub(crate) token_in_flight: Option<u64>,
    /// Calls in a row without an answer.
    pub(crate) unanswered_calls: u32,
    /// The upstream has seen a higher token than the range's: the range needs a higher one.
    pub(crate) is_fenced: bool,
    /// It has released the range.
    pub(crate) release: Option<Release>,
}

impl LeaseState {
    /// This leader has not called the upstream yet; what predecessors may have granted has run out at `expires_at`.
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

    /// Whether the upstream left so many calls unanswered that it is given up.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.unanswered_calls >= crate::timing::MAX_UNANSWERED_CALLS
    }
}
