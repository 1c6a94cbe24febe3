//! How much of the leader's log a member has, and how it is brought up to date.

use super::inflights::Inflights;
use super::outgoing_transfer::OutgoingTransfer;
use crate::{AppendConflict, AppendResponse};

/// How the leader brings a member up to date.
#[derive(Debug)]
pub(crate) enum ProgressState {
    /// The index at which the member's log matches the leader's is unknown. One append is sent at a
    /// time.
    Probe {
        /// Whether an append is sent and not answered yet.
        awaiting_response: bool,
    },
    /// Entries are pipelined within the flow-control window.
    Replicate,
    /// A snapshot or a large entry is sent in chunks.
    Transfer(OutgoingTransfer),
}

/// The progress of another member. `match_index < next_index` except during a transfer.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) state: ProgressState,
    /// The index of the next entry to send.
    pub(crate) next_index: u64,
    /// The index of the last entry known to be synced on the member's disk.
    pub(crate) match_index: u64,
    /// The latest broadcast whose response reported `match_index`.
    match_sequence: u64,
    /// Conflicts in response to this broadcast or an earlier one have already been handled.
    reset_sequence: u64,
    /// When the member last responded.
    pub(crate) last_response_at: u64,
    /// The latest broadcast that the member has answered.
    pub(crate) answered_sequence: u64,
    /// The commit index last sent to the member, limited to the entries sent to it by then.
    pub(crate) sent_commit_index: u64,
    pub(crate) inflights: Inflights,
}

impl Progress {
    /// Creates the progress of a member about which nothing is known. Its time of last response is
    /// set to `now`, which gives it an election timeout to respond.
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

    /// Records that the member has answered a broadcast.
    pub(crate) fn on_response(&mut self, sequence: u64, now: u64) {
        self.last_response_at = now;
        self.answered_sequence = self.answered_sequence.max(sequence);
    }

    /// Records that the member has synced the log up to an entry, which is at most the leader's
    /// last one.
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

    /// Starts a transfer.
    pub(crate) fn become_transfer(&mut self, transfer: OutgoingTransfer) {
        self.inflights.clear();
        self.state = ProgressState::Transfer(transfer);
    }

    /// Returns whether a conflict is outdated by later responses or was handled already.
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

    /// Restarts replication after `index`. If `matches`, the logs match up to there; otherwise they
    /// match at most up to there and have to be probed. `sequence` is the number of the last
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
        // `index` is below the acknowledged index only if the member's disk has lost synced
        // entries.
        self.match_index = self.match_index.min(index);
        self.reset_sequence = sequence;
        self.inflights.clear();
    }

    /// Returns the index of the last entry that the member has, or will have once a transfer in
    /// progress is complete.
    pub(super) fn replicated_index(&self) -> u64 {
        match &self.state {
            ProgressState::Transfer(transfer) => transfer.index().max(self.match_index),
            ProgressState::Probe { .. } | ProgressState::Replicate => self.match_index,
        }
    }
}
