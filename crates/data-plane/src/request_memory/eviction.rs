//! Decides which incomplete body gives way to another one. Holds no state.
//!
//! 1. A body whose client has sent nothing for [`STALLED_AFTER`] gives way, the largest of them first.
//! 2. Otherwise the largest body gives way, also if that is the one that needs the memory. A small body thus never waits
//!    behind a large one, and of bodies that grow together all but the last still complete.

use std::time::Duration;

use tokio::time::Instant;

use super::budget::SMALL_BODY_BYTES;

/// The time without a byte after which a client counts as stalled where memory is short.
pub(super) const STALLED_AFTER: Duration = Duration::from_secs(1);
/// The time without a byte after which a connection may be taken from a client where connections are short: clients that
/// have a body send it immediately.
pub(super) const DISCONNECTED_AFTER: Duration = Duration::from_millis(250);

/// An incomplete body that may give way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) id: u64,
    /// The memory that it has reserved.
    pub(super) bytes: usize,
    pub(super) is_in_small_pool: bool,
    pub(super) last_progress: Instant,
}

/// A body that needs memory.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    /// All memory that the body would have then.
    pub(super) bytes: usize,
}

impl Claim {
    /// Returns whether memory that the candidate releases is of use to the claim.
    fn can_use_memory_of(self, candidate: &Candidate) -> bool {
        candidate.bytes > 0 && (!candidate.is_in_small_pool || self.bytes <= SMALL_BODY_BYTES)
    }
}

/// Returns the body that gives way to a claim, or `None` if the claim itself has to.
pub(super) fn choose_victim(candidates: &[Candidate], claim: Claim, now: Instant) -> Option<u64> {
    let usable = candidates.iter().filter(|c| claim.can_use_memory_of(c));
    let largest = usable.max_by_key(|c| (is_stalled(c, now), c.bytes))?;
    let gives_way = is_stalled(largest, now) || largest.bytes > claim.bytes;
    gives_way.then_some(largest.id)
}

/// Returns the body whose client has sent nothing for longest, if that is long enough to take its connection.
pub(super) fn choose_longest_stalled(candidates: &[Candidate], now: Instant) -> Option<u64> {
    let longest = candidates.iter().min_by_key(|c| c.last_progress)?;
    (now >= longest.last_progress + DISCONNECTED_AFTER).then_some(longest.id)
}

fn is_stalled(candidate: &Candidate, now: Instant) -> bool {
    now >= candidate.last_progress + STALLED_AFTER
}
