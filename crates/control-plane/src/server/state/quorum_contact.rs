//! When this process was last known to have applied all that was acknowledged anywhere.

use std::time::Duration;

use tokio::time::Instant;

/// A follower asks the leader for contact this often.
const CONTACT_REQUEST_INTERVAL: Duration = Duration::from_millis(600);

/// Proofs of contact by reads, and what was last reported of contact.
///
/// Invariant: `proven_at_ms` only rises, and is a moment *before* which all that was acknowledged is applied here: the
/// time at which a read began, not at which it ended. Changed by `server::contact` alone. A process that starts is out
/// of contact until it has proven the contrary.
pub(crate) struct QuorumContact {
    /// Uptime in ms up to which a read has proven that all that was acknowledged is applied here.
    proven_at_ms: Option<u64>,
    /// Whether it was in contact when that was last looked at.
    was_in_contact: bool,
    /// When the leader was last asked.
    requested_at: Instant,
}

impl QuorumContact {
    /// Out of contact.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            proven_at_ms: None,
            was_in_contact: false,
            requested_at: now,
        }
    }

    /// Uptime in ms of the latest proof by a read.
    pub(crate) fn proven_at_ms(&self) -> Option<u64> {
        self.proven_at_ms
    }

    /// A read that began at this uptime is answered and applied.
    pub(crate) fn record_proof(&mut self, began_ms: u64) {
        self.proven_at_ms = self.proven_at_ms.max(Some(began_ms));
    }

    /// Whether it is time to ask the leader again.
    pub(crate) fn is_request_due(&self) -> bool {
        self.requested_at.elapsed() >= CONTACT_REQUEST_INTERVAL
    }

    /// The leader is being asked.
    pub(crate) fn record_request(&mut self, now: Instant) {
        self.requested_at = now;
    }

    /// Notes whether it is in contact. Returns whether that has changed.
    pub(crate) fn record_status(&mut self, is_in_contact: bool) -> bool {
        std::mem::replace(&mut self.was_in_contact, is_in_contact) != is_in_contact
    }
}
