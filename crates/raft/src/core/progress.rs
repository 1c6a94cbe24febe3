//! What a leader knows of another member, and how much it may send it.

use std::collections::VecDeque;

use super::pieces::Transfer;

/// What may be in flight to a member at first, and at the least: a quarter of a second of a link of 1 Mbit/s.
/// Heartbeats wait no longer than that behind it.
const LEAST_WINDOW: usize = 32 << 10;
/// And at the most: a link of 100 Mbit/s is full with it at a round trip of 80 ms.
pub(super) const MOST_WINDOW: usize = 1 << 20;
/// Messages in flight at the most, however small.
const MOST_MESSAGES: usize = 128;
/// An answer that is later than the fastest one by less than this, in milliseconds, met no queue: the window
/// grows. By more than the other: it shrinks.
const NO_QUEUE: u64 = 100;
const LONG_QUEUE: u64 = 250;

/// How a leader brings a member up to date.
#[derive(Debug)]
pub(super) enum Mode {
    /// It is not known where the member's log meets the leader's.
    Probe {
        /// One append is on its way and not answered.
        outstanding: bool,
    },
    /// Entries follow each other without waiting for answers.
    Replicate,
    /// A snapshot or a large entry goes over in pieces.
    Transfer(Transfer),
}

/// What a leader knows of another member.
#[derive(Debug)]
pub(super) struct Progress {
    pub(super) mode: Mode,
    /// The next entry to send.
    pub(super) next: u64,
    /// The last entry that the member has synced, and the round in which it said so.
    pub(super) matched: u64,
    pub(super) matched_round: u64,
    /// Conflicts of this round and before are known already.
    pub(super) reset_round: u64,
    /// When it last answered.
    pub(super) heard: u64,
    /// The last round it answered.
    pub(super) round: u64,
    /// How far it was told that the log is committed.
    pub(super) commit_told: u64,
    pub(super) window: Window,
}

impl Progress {
    /// Nothing is known of it but when it may last have been there.
    pub(super) fn new(next: u64, now: u64) -> Self {
        Self {
            mode: Mode::Probe { outstanding: false },
            next,
            matched: 0,
            matched_round: 0,
            reset_round: 0,
            heard: now,
            round: 0,
            commit_told: 0,
            window: Window::default(),
        }
    }

    /// It has synced the log up to `index`.
    pub(super) fn accepted(&mut self, index: u64, round: u64, now: u64) {
        if index >= self.matched {
            self.matched = index;
            self.matched_round = self.matched_round.max(round);
        }
        match &self.mode {
            Mode::Probe { .. } => {
                self.mode = Mode::Replicate;
                self.next = self.matched + 1;
                self.window.clear();
            }
            Mode::Replicate => {
                self.next = self.next.max(self.matched + 1);
                self.window.acknowledged(self.matched, now);
            }
            Mode::Transfer(transfer) if self.matched >= transfer.index() => {
                self.mode = Mode::Replicate;
                self.next = self.matched + 1;
                self.window.clear();
            }
            Mode::Transfer(_) => {}
        }
    }

    /// Whether a conflict over the entry `rejected` is older than what is known.
    pub(super) fn stale_conflict(&self, rejected: u64, round: u64) -> bool {
        let known = rejected <= self.matched && round <= self.matched_round;
        let repeated = match self.mode {
            Mode::Probe { .. } => rejected + 1 != self.next,
            Mode::Replicate | Mode::Transfer(_) => round <= self.reset_round,
        };
        known || repeated
    }

    /// The logs meet at `index` (`known`) or not beyond it.
    pub(super) fn reset(&mut self, index: u64, known: bool, round: u64) {
        self.mode = if known {
            Mode::Replicate
        } else {
            Mode::Probe { outstanding: false }
        };
        self.next = index + 1;
        // Only a disk that lost what it had synced brings it below what was acknowledged.
        self.matched = self.matched.min(index);
        self.reset_round = round;
        self.window.clear();
    }
}

/// What was sent to a member and not answered yet.
#[derive(Debug)]
struct Flight {
    /// The last entry of it, or the end of the piece.
    upto: u64,
    bytes: usize,
    sent: u64,
}

/// Bounds what is in flight to a member by the time that its answers take.
#[derive(Debug)]
pub(super) struct Window {
    size: usize,
    bytes: usize,
    in_flight: VecDeque<Flight>,
    /// The shortest time from a message to its answer.
    fastest: Option<u64>,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            size: LEAST_WINDOW,
            bytes: 0,
            in_flight: VecDeque::new(),
            fastest: None,
        }
    }
}

impl Window {
    pub(super) fn has_room(&self) -> bool {
        self.bytes < self.size && self.in_flight.len() < MOST_MESSAGES
    }

    pub(super) fn is_empty(&self) -> bool {
        self.in_flight.is_empty()
    }

    pub(super) fn sent(&mut self, upto: u64, bytes: usize, now: u64) {
        self.bytes += bytes;
        self.in_flight.push_back(Flight {
            upto,
            bytes,
            sent: now,
        });
    }

    /// All up to there is answered.
    pub(super) fn acknowledged(&mut self, upto: u64, now: u64) {
        let full = self.bytes * 2 >= self.size;
        let (mut answered, mut delay) = (0, None);
        while let Some(flight) = self.in_flight.pop_front_if(|flight| flight.upto <= upto) {
            answered += flight.bytes;
            delay = Some(now.saturating_sub(flight.sent));
        }
        self.bytes -= answered;
        let Some(delay) = delay else { return };
        let fastest = self.fastest.map_or(delay, |fastest| fastest.min(delay));
        self.fastest = Some(fastest);
        let queued = delay - fastest;
        if queued > LONG_QUEUE {
            self.shrink();
        } else if full && queued <= NO_QUEUE {
            self.size = (self.size + answered).min(MOST_WINDOW);
        }
    }

    pub(super) fn shrink(&mut self) {
        self.size = (self.size / 2).max(LEAST_WINDOW);
    }

    /// Nothing is in flight any more.
    pub(super) fn clear(&mut self) {
        self.in_flight.clear();
        self.bytes = 0;
    }
}
