//! Decides which incomplete body is evicted when another one needs memory. Holds no state.
//!
//! 1. Of the bodies that have received nothing for [`STALLED_AFTER`], or less than [`MIN_RECEIVE_BYTES_PER_SECOND`], the
//!    largest is evicted.
//! 2. If none is that slow, the largest body is evicted or, if that is the one that needs the memory, refused. A small body
//!    thus always gets memory before a larger one, and two bodies never evict each other in turn.

use std::time::Duration;

use tokio::time::Instant;

use crate::byte_rate::ByteRate;
use crate::client_connections::ShortageLevel;
use crate::request_budget::SMALL_BODY_BYTES;

/// The time without a byte after which a body counts as stalled when the memory is exhausted.
pub(super) const STALLED_AFTER: Duration = Duration::from_secs(1);
/// A body that arrives at a lower rate than this gives way to others. A threshold for the time without a byte alone would
/// spare clients that send a byte now and then.
pub(super) const MIN_RECEIVE_BYTES_PER_SECOND: f64 = 512.0;
/// The time from its first byte after which a body may be evicted because no connection is left: clients that have a body
/// send it immediately.
pub(super) const DISCONNECTED_AFTER: Duration = Duration::from_millis(250);

/// An incomplete body that may be evicted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) id: u64,
    /// The memory that is reserved for it.
    pub(super) bytes: usize,
    pub(super) is_in_small_pool: bool,
    pub(super) started_at: Instant,
    pub(super) last_progress: Instant,
    pub(super) rate: ByteRate,
}

impl Candidate {
    /// Returns whether the body has stalled or arrives too slowly. Its rate counts once it has been received for `grace`.
    fn is_slow(&self, now: Instant, grace: Duration, shortage: ShortageLevel) -> bool {
        let has_stalled = now >= self.last_progress + shortage.stall_timeout(STALLED_AFTER);
        let min_rate = shortage.min_rate(MIN_RECEIVE_BYTES_PER_SECOND);
        let is_below_rate = || self.rate.bytes_per_second(now) < min_rate;
        has_stalled || now >= self.started_at + grace && is_below_rate()
    }
}

/// A body that needs memory.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    /// The memory that the body needs in total.
    pub(super) bytes: usize,
}

impl Claim {
    /// Returns whether the claim may use memory that the candidate releases.
    fn can_use_memory_of(self, candidate: &Candidate) -> bool {
        candidate.bytes > 0 && (!candidate.is_in_small_pool || self.bytes <= SMALL_BODY_BYTES)
    }
}

/// Returns the body to evict for a claim, or `None` if the claim has to be refused.
pub(super) fn choose_victim(candidates: &[Candidate], claim: Claim, now: Instant) -> Option<u64> {
    let usable = candidates.iter().filter(|c| claim.can_use_memory_of(c));
    let is_slow = |c: &Candidate| c.is_slow(now, STALLED_AFTER, ShortageLevel::default());
    let largest = usable.max_by_key(|c| (is_slow(c), c.bytes))?;
    let is_evictable = is_slow(largest) || largest.bytes > claim.bytes;
    is_evictable.then_some(largest.id)
}

/// Returns the body that arrives most slowly, if it is slow enough to be evicted for its connection.
pub(super) fn choose_slowest(
    candidates: &[Candidate],
    shortage: ShortageLevel,
    now: Instant,
) -> Option<u64> {
    let slow = candidates
        .iter()
        .filter(|c| c.is_slow(now, DISCONNECTED_AFTER, shortage));
    let rate = |c: &Candidate| c.rate.bytes_per_second(now);
    let slowest = slow.min_by(|a, b| {
        let by_rate = rate(a).total_cmp(&rate(b));
        by_rate.then(a.last_progress.cmp(&b.last_progress))
    })?;
    Some(slowest.id)
}
