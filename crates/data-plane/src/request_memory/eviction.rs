//! Decides which incomplete body is evicted when another one needs memory. Holds no state.
//!
//! 1. Of the bodies that have received nothing for [`STALLED_AFTER`], the largest is evicted.
//! 2. If none has stalled, the largest body is evicted or, if that is the one that needs the memory, refused. A small body
//!    thus always gets memory before a larger one, and two bodies never evict each other in turn.

use std::time::Duration;

use tokio::time::Instant;

use super::budget::SMALL_BODY_BYTES;

/// The time without a byte after which a body counts as stalled when the memory is exhausted.
pub(super) const STALLED_AFTER: Duration = Duration::from_secs(1);
/// The time without a byte after which a body may be evicted because no connection is left: clients that have a body send
/// it immediately.
pub(super) const DISCONNECTED_AFTER: Duration = Duration::from_millis(250);

/// An incomplete body that may be evicted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) id: u64,
    /// The memory that is reserved for it.
    pub(super) bytes: usize,
    pub(super) is_in_small_pool: bool,
    pub(super) last_progress: Instant,
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
    let largest = usable.max_by_key(|c| (is_stalled(c, now), c.bytes))?;
    let is_evictable = is_stalled(largest, now) || largest.bytes > claim.bytes;
    is_evictable.then_some(largest.id)
}

/// Returns the body that has stalled longest, if that is at least [`DISCONNECTED_AFTER`].
pub(super) fn choose_longest_stalled(candidates: &[Candidate], now: Instant) -> Option<u64> {
    let longest = candidates.iter().min_by_key(|c| c.last_progress)?;
    (now >= longest.last_progress + DISCONNECTED_AFTER).then_some(longest.id)
}

fn is_stalled(candidate: &Candidate, now: Instant) -> bool {
    now >= candidate.last_progress + STALLED_AFTER
}
