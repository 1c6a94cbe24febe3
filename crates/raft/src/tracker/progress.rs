//! How far a member has the leader's log, and how it is brought up to date.

use super::inflights::Inflights;
use super::outgoing_transfer::OutgoingTransfer;
use crate::{AppendConflict, AppendResponse};

/// How a leader brings a member up to date.
#[derive(Debug)]
pub(crate) enum ProgressState {
    /// It is not known where the member's log matches the leader's: one append at a time.
    Probe {
        /// An append is sent and not answered.
        awaiting_response: bool,
    },
    /// Entries are sent without waiting for responses, as far as the window allows.
    Replicate,
    /// A snapshot or a large entry is sent in chunks.
    Transfer(OutgoingTransfer),
}

/// What a leader knows of another member. `match_index < next_index` but during a transfer.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) state: ProgressState,
    /// The next entry to send.
    pub(crate) next_index: u64,
    /// The last entry known to be synced on the member's disk.
    pub(crate) match_index: u64,
    /// The last broadcast with whose response the member reported it.
    match_sequence: u64,
    /// Conflicts in response to this broadcast or an earlier one are known.
    reset_sequence: u64,
    /// When the member last answered.
    pub(crate) last_response_at: u64,
    /// The last broadcast that the member has answered.
    pub(crate) answered_sequence: u64,
    /// The commit index that the member was last sent, up to what it had been sent.
    pub(crate) sent_commit_index: u64,
    pub(crate) inflights: Inflights,
}

impl Progress {
    /// The progress of a member of which nothing is known. It is given the time of an election to
    /// answer.
    pub(super) fn new(next_index: u64, now: u64) -> Self {
        Self {
            state: ProgressState::Probe {
                awaiting_response: false,
            },
            next_index,
            match_index: 0,
            match_sequence: 0,
            reset_sequence: 0,
            last_response_at: now,
            answered_sequence: 0,
            sent_commit_index: 0,
            inflights: Inflights::default(),
        }
    }

    /// The member has answered a broadcast.
    pub(crate) fn on_response(&mut self, sequence: u64, now: u64) {
        self.last_response_at = now;
        self.answered_sequence = self.answered_sequence.max(sequence);
    }

    /// The member has synced the leader's log up to an entry, at most to the leader's last one.
    pub(crate) fn on_match(&mut self, response: &AppendResponse, last_index: u64, now: u64) {
        let match_index = response.match_index.min(last_index);
        if match_index >= self.match_index {
            self.match_index = match_index;
            self.match_sequence = self.match_sequence.max(response.sequence);
        }
        match &self.state {
            ProgressState::Probe { .. } => self.become_replicate(),
            ProgressState::Replicate => {
                self.next_index = self.next_index.max(self.match_index + 1);
                self.inflights.free_to(self.match_index, now);
            }
            ProgressState::Transfer(transfer) if self.match_index >= transfer.index() => {
                self.become_replicate();
            }
            ProgressState::Transfer(_) => {}
        }
    }

    fn become_replicate(&mut self) {
        self.state = ProgressState::Replicate;
        self.next_index = self.match_index + 1;
        self.inflights.clear();
    }

    /// Begins a transfer.
    pub(crate) fn become_transfer(&mut self, transfer: OutgoingTransfer) {
        self.inflights.clear();
        self.state = ProgressState::Transfer(transfer);
    }

    /// Whether a conflict is older than what is known.
    pub(crate) fn is_stale_conflict(&self, response: &AppendConflict) -> bool {
        let AppendConflict {
            rejected_index,
            sequence,
            ..
        } = *response;
        let matched_since = rejected_index <= self.match_index && sequence <= self.match_sequence;
        let repeated = match self.state {
            ProgressState::Probe { .. } => rejected_index + 1 != self.next_index,
            ProgressState::Replicate | ProgressState::Transfer(_) => {
                sequence <= self.reset_sequence
            }
        };
        matched_since || repeated
    }

    /// The logs match up to `index` if `matches`, else at most up to there. `sequence` is the last
    /// broadcast.
    pub(crate) fn reset(&mut self, index: u64, matches: bool, sequence: u64) {
        self.state = if matches {
            ProgressState::Replicate
        } else {
            ProgressState::Probe {
                awaiting_response: false,
            }
        };
        self.next_index = index + 1;
        // Only a disk that lost what it had synced brings it below what was acknowledged.
        self.match_index = self.match_index.min(index);
        self.reset_sequence = sequence;
        self.inflights.clear();
    }

    /// The last entry that the member has, or will have once a transfer under way is complete.
    pub(super) fn replicated_index(&self) -> u64 {
        match &self.state {
            ProgressState::Transfer(transfer) => transfer.index().max(self.match_index),
            ProgressState::Probe { .. } | ProgressState::Replicate => self.match_index,
        }
    }
}
