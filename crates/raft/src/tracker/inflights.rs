//! Limits the bytes in flight to a member, based on response times, so that heartbeats are not
//! queued for long behind them.

use std::collections::VecDeque;

/// The initial and minimum window: a quarter of a second on a link of 1 Mbit/s, which is the
/// longest that a heartbeat waits behind it.
const MIN_WINDOW_BYTES: usize = 32 << 10;
/// The maximum window, which saturates a link of 100 Mbit/s at a round trip of 80 ms.
pub(crate) const MAX_WINDOW_BYTES: usize = 1 << 20;
/// The maximum number of messages in flight, regardless of their size.
const MAX_INFLIGHT_MESSAGES: usize = 128;
/// The response delay, relative to the fastest response, up to which messages are considered not
/// queued and the window grows.
const LOW_QUEUE_DELAY_MS: u64 = 100;
/// The response delay, relative to the fastest response, above which messages are considered to be
/// in a long queue and the window shrinks.
const HIGH_QUEUE_DELAY_MS: u64 = 250;

/// The unanswered messages to a member, and the window that limits them.
#[derive(Debug)]
pub(crate) struct Inflights {
    window_bytes: usize,
    inflight_bytes: usize,
    messages: VecDeque<InflightMessage>,
    /// The shortest time between a message and its response.
    min_delay_ms: Option<u64>,
}

#[derive(Debug)]
struct InflightMessage {
    /// The index of the message's last entry, or the end offset of its chunk.
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
    /// Returns whether another message may be sent.
    pub(crate) fn has_capacity(&self) -> bool {
        self.inflight_bytes < self.window_bytes && self.messages.len() < MAX_INFLIGHT_MESSAGES
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Records a message that ends at `end`.
    pub(crate) fn add(&mut self, end: u64, size_bytes: usize, now: u64) {
        self.inflight_bytes += size_bytes;
        self.messages.push_back(InflightMessage {
            end,
            size_bytes,
            sent_at: now,
        });
    }

    /// Removes the messages that end at or before `end`, which are answered now, and adapts the
    /// window to their response time.
    pub(crate) fn free_to(&mut self, end: u64, now: u64) {
        let half_full = self.inflight_bytes * 2 >= self.window_bytes;
        let (mut freed_bytes, mut delay) = (0, None);
        while let Some(message) = self.messages.pop_front_if(|message| message.end <= end) {
            freed_bytes += message.size_bytes;
            delay = Some(now.saturating_sub(message.sent_at));
        }
        self.inflight_bytes -= freed_bytes;
        let Some(delay) = delay else { return };
        let min_delay = self
            .min_delay_ms
            .map_or(delay, |previous| previous.min(delay));
        self.min_delay_ms = Some(min_delay);
        let queue_delay = delay - min_delay;
        if queue_delay > HIGH_QUEUE_DELAY_MS {
            self.shrink_window();
        } else if half_full && queue_delay <= LOW_QUEUE_DELAY_MS {
            self.window_bytes = (self.window_bytes + freed_bytes).min(MAX_WINDOW_BYTES);
        }
    }

    /// Halves the window after messages were lost or queued for too long.
    pub(crate) fn shrink_window(&mut self) {
        self.window_bytes = (self.window_bytes / 2).max(MIN_WINDOW_BYTES);
    }

    /// Removes all messages from the window.
    pub(crate) fn clear(&mut self) {
        self.messages.clear();
        self.inflight_bytes = 0;
    }
}
