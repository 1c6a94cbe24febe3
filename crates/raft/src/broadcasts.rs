//! The leader's numbered broadcasts, whose responses prove that it still leads.
//!
//! Members return a broadcast's number in their responses. Once a majority has responded to a
//! broadcast, no other leader had been elected when it was *sent* (Raft thesis, section 6.4).

use std::collections::VecDeque;

/// The broadcast numbers of a leader, the time of its next heartbeat, and the time of its last
/// confirmed broadcast. The numbers keep increasing across its terms.
#[derive(Debug, Default)]
pub(crate) struct Broadcasts {
    sequence: u64,
    heartbeat_deadline: u64,
    unconfirmed: VecDeque<Broadcast>,
    /// When the last confirmed broadcast was sent.
    confirmed_at: Option<u64>,
}

/// A broadcast to which a majority has not responded yet.
#[derive(Debug)]
struct Broadcast {
    sequence: u64,
    sent_at: u64,
}

impl Broadcasts {
    /// Discards the confirmations of earlier terms: a new leader has confirmed nothing.
    pub(crate) fn on_new_term(&mut self) {
        self.unconfirmed.clear();
        self.confirmed_at = None;
    }

    /// Starts a broadcast, which also serves as a heartbeat.
    pub(crate) fn begin(&mut self, now: u64, heartbeat_interval_ms: u64) {
        self.heartbeat_deadline = now + heartbeat_interval_ms;
        self.sequence += 1;
        self.unconfirmed.push_back(Broadcast {
            sequence: self.sequence,
            sent_at: now,
        });
    }

    /// Returns the number of the last broadcast.
    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the time at which the next heartbeat is due.
    pub(crate) fn heartbeat_deadline(&self) -> u64 {
        self.heartbeat_deadline
    }

    /// Returns the number of the oldest broadcast that is not confirmed.
    pub(crate) fn oldest_unconfirmed(&self) -> Option<u64> {
        self.unconfirmed.front().map(|broadcast| broadcast.sequence)
    }

    /// Records that a majority has responded to the oldest unconfirmed broadcast.
    pub(crate) fn confirm_oldest(&mut self) {
        if let Some(broadcast) = self.unconfirmed.pop_front() {
            self.confirmed_at = Some(broadcast.sent_at);
        }
    }

    /// Returns the time at which the last confirmed broadcast was sent.
    pub(crate) fn confirmed_at(&self) -> Option<u64> {
        self.confirmed_at
    }
}
