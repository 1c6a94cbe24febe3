//! Bounds what is in flight to a member by the time that its responses take, so that heartbeats
//! never wait long behind it.

use std::collections::VecDeque;

/// The bytes that may be in flight to a member at first and at the least: a quarter of a second on
/// a link of 1 Mbit/s. Heartbeats wait no longer than that behind it.
const MIN_WINDOW_BYTES: usize = 32 << 10;
/// The bytes that may be in flight at the most: a link of 100 Mbit/s is full with it at a round
/// trip of 80 ms.
pub(crate) const MAX_WINDOW_BYTES: usize = 1 << 20;
/// Messages in flight at the most, however small.
const MAX_INFLIGHT_MESSAGES: usize = 128;
/// A response that is later than the fastest one by no more than this met no queue: the window
/// grows.
const NO_QUEUE_DELAY_MS: u64 = 100;
/// A response that is later than the fastest one by more than this met a long queue: the window
/// shrinks.
const LONG_QUEUE_DELAY_MS: u64 = 250;

/// What was sent to a member and is not answered yet, and how much may be.
#[derive(Debug)]
pub(crate) struct Inflights {
    window_bytes: usize,
    inflight_bytes: usize,
    messages: VecDeque<InflightMessage>,
    /// The shortest time from a message to its response.
    min_delay_ms: Option<u64>,
}

#[derive(Debug)]
struct InflightMessage {
    /// The index of its last entry, or the offset of the end of its chunk.
    end: u64,
    size_bytes: usize,
    sent_at: u64,
}

impl Default for Inflights {
    fn default() -> Self {
        Self {
            window_bytes: MIN_WINDOW_BYTES,
            inflight_bytes: 0,
            messages: VecDeque::new(),
            min_delay_ms: None,
        }
    }
}

impl Inflights {
    /// Whether another message may be sent.
    pub(crate) fn has_capacity(&self) -> bool {
        self.inflight_bytes < self.window_bytes && self.messages.len() < MAX_INFLIGHT_MESSAGES
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// A message is sent that ends at `end`.
    pub(crate) fn add(&mut self, end: u64, size_bytes: usize, now: u64) {
        self.inflight_bytes += size_bytes;
        self.messages.push_back(InflightMessage {
            end,
            size_bytes,
            sent_at: now,
        });
    }

    /// All messages that end at or before `end` are answered. Adapts the window to the time that
    /// this took.
    pub(crate) fn free_to(&mut self, end: u64, now: u64) {
        let half_full = self.inflight_bytes * 2 >= self.window_bytes;
        let (mut freed_bytes, mut delay) = (0, None);
        while let Some(message) = self.messages.pop_front_if(|message| message.end <= end) {
            freed_bytes += message.size_bytes;
            delay = Some(now.saturating_sub(message.sent_at));
        }
        self.inflight_bytes -= freed_bytes;
        let Some(delay) = delay else { return };
        let min_delay = self.min_delay_ms.map_or(delay, |known| known.min(delay));
        self.min_delay_ms = Some(min_delay);
        let queue_delay = delay - min_delay;
        if queue_delay > LONG_QUEUE_DELAY_MS {
            self.shrink_window();
        } else if half_full && queue_delay <= NO_QUEUE_DELAY_MS {
            self.window_bytes = (self.window_bytes + freed_bytes).min(MAX_WINDOW_BYTES);
        }
    }

    /// Halves the window, where messages seem lost or queued.
    pub(crate) fn shrink_window(&mut self) {
        self.window_bytes = (self.window_bytes / 2).max(MIN_WINDOW_BYTES);
    }

    /// Nothing counts as in flight any more.
    pub(crate) fn clear(&mut self) {
        self.messages.clear();
        self.inflight_bytes = 0;
    }
}
