//! The latest time at which this process is known, from reads, to have applied everything that was acknowledged
//! anywhere.

use std::time::Duration;

use tokio::time::Instant;

/// The interval at which a follower sends the leader contact requests.
const CONTACT_REQUEST_INTERVAL: Duration = Duration::from_millis(600);

/// Proof of quorum contact by reads, and the status that was last reported.
///
/// Invariant: `proven_at_ms` never decreases. Everything acknowledged *before* that time is applied here, so it is the
/// time at which a read began, not ended. Only `server::contact` changes it. A process starts out of contact, until a
/// read or the Raft node proves otherwise.
pub(crate) struct QuorumContact {
    /// Uptime in ms up to which a read has proven that everything acknowledged is applied here.
    proven_at_ms: Option<u64>,
    /// Whether the process was in contact at the last check.
    was_in_contact: bool,
    /// When the last request was sent to the leader.
    requested_at: Instant,
}

impl QuorumContact {
    /// Creates the state of a process that is out of contact.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            proven_at_ms: None,
            was_in_contact: false,
            requested_at: now,
        }
    }

    /// Returns the uptime in ms of the latest proof by a read.
    pub(crate) fn proven_at_ms(&self) -> Option<u64> {
        self.proven_at_ms
    }

    /// Records that a read that began at this uptime is answered and applied.
    pub(crate) fn record_proof(&mut self, began_ms: u64) {
        self.proven_at_ms = self.proven_at_ms.max(Some(began_ms));
    }

    /// Whether it is time to send the leader another request.
    pub(crate) fn is_request_due(&self) -> bool {
        self.requested_at.elapsed() >= CONTACT_REQUEST_INTERVAL
    }

    /// Records that a request is being sent to the leader.
    pub(crate) fn record_request(&mut self, now: Instant) {
        self.requested_at = now;
    }

    /// Records whether the process is in contact. Returns whether that has changed.
    pub(crate) fn record_status(&mut self, is_in_contact: bool) -> bool {
        std::mem::replace(&mut self.was_in_contact, is_in_contact) != is_in_contact
    }
}
