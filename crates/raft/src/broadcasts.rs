//! The leader's broadcasts, by which it proves that it still leads.
//!
//! Each broadcast has a number, which members return in their responses. Once a majority has
//! answered a broadcast, no other leader had been elected when it was *sent* (Raft thesis, section
//! 6.4). **Owns** the numbers, the time of the next heartbeat, and the time of the last confirmed
//! broadcast.

use std::collections::VecDeque;

/// The broadcasts of a leader. The numbers go on over its terms.
#[derive(Debug, Default)]
pub(crate) struct Broadcasts {
    sequence: u64,
    heartbeat_deadline: u64,
    unconfirmed: VecDeque<Broadcast>,
    /// When the last confirmed broadcast was sent.
    confirmed_at: Option<u64>,
}

/// A broadcast that a majority has not answered yet.
#[derive(Debug)]
struct Broadcast {
    sequence: u64,
    sent_at: u64,
}

impl Broadcasts {
    /// A new leader has confirmed nothing.
    pub(crate) fn on_new_term(&mut self) {
        self.unconfirmed.clear();
        self.confirmed_at = None;
    }

    /// Begins a broadcast, which is also a heartbeat.
    pub(crate) fn begin(&mut self, now: u64, heartbeat_interval_ms: u64) {
        self.heartbeat_deadline = now + heartbeat_interval_ms;
        self.sequence += 1;
        self.unconfirmed.push_back(Broadcast {
            sequence: self.sequence,
            sent_at: now,
        });
    }

    /// The number of the last broadcast.
    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// When the next heartbeat is due.
    pub(crate) fn heartbeat_deadline(&self) -> u64 {
        self.heartbeat_deadline
    }

    /// The number of the oldest broadcast that is not confirmed.
    pub(crate) fn oldest_unconfirmed(&self) -> Option<u64> {
        self.unconfirmed.front().map(|broadcast| broadcast.sequence)
    }

    /// A majority has answered the oldest broadcast that was not confirmed.
    pub(crate) fn confirm_oldest(&mut self) {
        if let Some(broadcast) = self.unconfirmed.pop_front() {
            self.confirmed_at = Some(broadcast.sent_at);
        }
    }

    /// When the last confirmed broadcast was sent.
    pub(crate) fn confirmed_at(&self) -> Option<u64> {
        self.confirmed_at
    }
}
