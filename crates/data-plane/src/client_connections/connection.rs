//! One client connection: its state between accept and close, and how long it may stay in that state.
//!
//! The state is changed by the task that serves the connection and by evictions. The stream counts the transferred
//! bytes ([`Traffic`]); the timeouts are based on these counts.

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use super::{ClientTimeouts, ShortageLevel};
use crate::client_stream::Traffic;
use crate::wake_signal::WakeSignal;

/// A connection that served a client within this time is not evicted.
pub(super) const EVICT_IDLE_AFTER: Duration = Duration::from_secs(2);
/// A client that has read nothing of its response for this long may be evicted for another one, or sooner if connections
/// are short for longer.
pub(super) const EVICT_UNREAD_AFTER: Duration = Duration::from_secs(5);
/// So may a client that has read less than this since it got its response, on average, after the same time.
pub(super) const MIN_SEND_BYTES_PER_SECOND: f64 = 256.0;
/// A connection on which no request has arrived for this long may be evicted: clients that have a request send it
/// immediately.
pub(super) const EVICT_UNUSED_AFTER: Duration = Duration::from_millis(250);

/// A client that has not read its whole response this long after it was passed on loses the rest if the memory of the
/// response is needed.
pub(super) const EVICT_SLOW_READER_AFTER: Duration = Duration::from_secs(1);
/// So does a client that has read nothing of it for this long.
pub(super) const EVICT_STOPPED_READER_AFTER: Duration = Duration::from_millis(250);

/// A client has to read a response completely within this many idle timeouts, and at least a part of it within each
/// one. A client that needs a minute for a megabyte is treated as gone rather than slow.
const MAX_RESPONSE_IDLE_TIMEOUTS: u32 = 4;

/// The groups of connections in the order in which they are evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionOrder {
    /// No request has arrived, or the connection is being closed.
    Unused,
    /// The client has stopped reading its response.
    UnreadResponse,
    /// The connection has served a client.
    Idle,
}

/// One client connection.
pub struct ClientConnection {
    timeouts: Rc<Cell<ClientTimeouts>>,
    traffic: Traffic,
    state: Cell<State>,
    evicted: WakeSignal,
}

#[derive(Clone, Copy)]
enum State {
    /// No complete request head has arrived yet.
    New { since: Instant },
    /// A request has arrived and has no response yet.
    RequestOpen,
    /// The last request has its response, and no further complete request head has arrived.
    KeepAlive(KeepAlive),
    /// The remaining input is read and discarded, so that a reset does not destroy the last response.
    Closing { since: Instant },
    /// Selected to be closed in favour of a new connection.
    Evicted,
}

/// The state of a connection between its last response and the next request.
#[derive(Clone, Copy)]
struct KeepAlive {
    /// When the response was passed to the HTTP library for writing.
    answered_at: Instant,
    /// When progress in writing the response was last observed.
    last_written: Instant,
    /// The number of bytes read when the response was passed on.
    bytes_read: u64,
    /// The number of bytes written when the response was passed on.
    bytes_written_before: u64,
    /// The number of bytes written at `last_written`.
    bytes_written: u64,
    /// When the first byte of the next request head was observed.
    next_head: Option<Instant>,
}

impl ClientConnection {
    pub(super) fn new(timeouts: Rc<Cell<ClientTimeouts>>, traffic: Traffic) -> Self {
        let since = Instant::now();
        Self {
            timeouts,
            traffic,
            state: Cell::new(State::New { since }),
            evicted: WakeSignal::default(),
        }
    }

    /// Records that a request has arrived.
    pub fn on_request(&self) {
        self.state.set(State::RequestOpen);
    }

    /// Records that the open request has its response, which has not been written yet.
    pub(super) fn on_response(&self) {
        let now = Instant::now();
        self.state.set(State::KeepAlive(KeepAlive {
            answered_at: now,
            last_written: now,
            bytes_read: self.traffic.bytes_read(),
            bytes_written_before: self.traffic.bytes_written(),
            bytes_written: self.traffic.bytes_written(),
            next_head: None,
        }));
    }

    /// Records that no further requests are served, and that the remaining input is discarded.
    pub fn on_closing(&self) {
        let since = Instant::now();
        self.state.set(State::Closing { since });
    }

    /// Returns whether a request is open on the connection.
    pub fn has_open_request(&self) -> bool {
        matches!(self.state.get(), State::RequestOpen)
    }

    /// Returns whether a request is open, or another one may follow the last response.
    pub(super) fn is_in_use(&self) -> bool {
        matches!(self.state.get(), State::RequestOpen | State::KeepAlive(_))
    }

    /// Returns whether no request is open, the last response has been written, and no byte of a next request has
    /// arrived.
    pub fn is_idle(&self) -> bool {
        match self.state.get() {
            State::New { .. } => self.traffic.bytes_read() == 0,
            State::KeepAlive(kept) => self.is_keep_alive_idle(&kept),
            State::RequestOpen | State::Closing { .. } | State::Evicted => false,
        }
    }

    fn is_keep_alive_idle(&self, kept: &KeepAlive) -> bool {
        self.traffic.bytes_read() == kept.bytes_read && !self.traffic.is_write_blocked()
    }

    /// Returns when the connection has to be closed according to its current state.
    fn deadline(&self) -> Option<Instant> {
        match self.state.get() {
            State::New { since } => Some(since + self.timeouts.get().header),
            State::RequestOpen | State::Closing { .. } | State::Evicted => None,
            State::KeepAlive(mut kept) => {
                let at = self.keep_alive_deadline(&mut kept);
                self.state.set(State::KeepAlive(kept));
                Some(at)
            }
        }
    }

    /// Returns when a keep-alive connection has to be closed. The idle timeout starts at the last byte written. Had it
    /// started when the response was passed on, slow readers would lose the end of the response, or the connection
    /// earlier than announced.
    fn keep_alive_deadline(&self, kept: &mut KeepAlive) -> Instant {
        let ClientTimeouts { header, idle } = self.timeouts.get();
        let bytes_written = self.traffic.bytes_written();
        if kept.bytes_written != bytes_written {
            (kept.bytes_written, kept.last_written) = (bytes_written, Instant::now());
        }
        if self.traffic.is_write_blocked() {
            return (kept.last_written + idle)
                .min(kept.answered_at + idle * MAX_RESPONSE_IDLE_TIMEOUTS);
        }
        if self.traffic.bytes_read() == kept.bytes_read {
            return kept.last_written + idle;
        }
        *kept.next_head.get_or_insert_with(Instant::now) + header
    }

    /// Returns since when a keep-alive connection has been idle, or `None` if it is not. Closing an idle connection
    /// loses no request: the client sends a request that was in transit again.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        match self.state.get() {
            State::KeepAlive(kept) => self.is_keep_alive_idle(&kept).then_some(kept.last_written),
            _ => None,
        }
    }

    /// Returns since when the client has read nothing of its response, if it may be disconnected because the memory of the
    /// response is needed.
    pub(super) fn slow_reader_since(&self, now: Instant) -> Option<Instant> {
        let State::KeepAlive(kept) = self.state.get() else {
            return None;
        };
        let last_written = self.last_written(&kept);
        let is_slow = now >= last_written + EVICT_STOPPED_READER_AFTER
            || now >= kept.answered_at + EVICT_SLOW_READER_AFTER;
        (self.traffic.is_write_blocked() && is_slow).then_some(last_written)
    }

    /// Returns whether the connection was evicted while a response was unread, and is not closed yet.
    pub(super) fn is_evicted_slow_reader(&self) -> bool {
        matches!(self.state.get(), State::Evicted) && self.traffic.is_write_blocked()
    }

    /// Returns the eviction order of the connection, or `None` if it must not be evicted now. The least rank is evicted
    /// first; within each group, that is the one that has waited longest.
    pub(super) fn eviction_rank(
        &self,
        now: Instant,
        shortage: ShortageLevel,
    ) -> Option<(EvictionOrder, Instant)> {
        let (order, since, after) = match self.state.get() {
            State::New { since } | State::Closing { since } => {
                (EvictionOrder::Unused, since, EVICT_UNUSED_AFTER)
            }
            State::KeepAlive(KeepAlive {
                next_head: Some(began),
                ..
            }) => (EvictionOrder::Unused, began, EVICT_UNUSED_AFTER),
            State::KeepAlive(kept) if self.traffic.is_write_blocked() => {
                let stall_timeout = shortage.stall_timeout(EVICT_UNREAD_AFTER);
                let min_rate = shortage.min_rate(MIN_SEND_BYTES_PER_SECOND);
                let since = if self.sending_rate(&kept, now) < min_rate {
                    kept.answered_at
                } else {
                    self.last_written(&kept)
                };
                (EvictionOrder::UnreadResponse, since, stall_timeout)
            }
            State::KeepAlive(_) => (EvictionOrder::Idle, self.idle_since()?, EVICT_IDLE_AFTER),
            State::RequestOpen | State::Evicted => return None,
        };
        (now >= since + after).then_some((order, since))
    }

    /// Returns how many bytes per second the client has taken since it got its response.
    fn sending_rate(&self, kept: &KeepAlive, now: Instant) -> f64 {
        let bytes = self.traffic.bytes_written() - kept.bytes_written_before;
        bytes as f64 / (now - kept.answered_at).as_secs_f64()
    }

    /// Returns when a part of the response was last seen to be written.
    fn last_written(&self, kept: &KeepAlive) -> Instant {
        if kept.bytes_written == self.traffic.bytes_written() {
            kept.last_written
        } else {
            Instant::now()
        }
    }

    /// Selects the connection for eviction: [`Self::wait_for_eviction`] ends unless a request arrives first.
    pub(super) fn evict(&self) {
        self.state.set(State::Evicted);
        self.evicted.set();
    }

    /// Waits until the connection is evicted. Checks the state again after the wake-up: a request that arrived in
    /// between cancels the eviction, and would be dropped while it runs if the connection were closed.
    pub async fn wait_for_eviction(&self) {
        loop {
            poll_fn(|cx| self.evicted.poll_set(cx)).await;
            if matches!(self.state.get(), State::Evicted | State::Closing { .. }) {
                return;
            }
        }
    }

    /// Waits until the connection has to be closed because of a timeout or an eviction. Has to be polled by the
    /// connection's own task each time that bytes were transferred.
    pub async fn wait_for_end(&self) {
        let mut timer = pin!(sleep_until(Instant::now()));
        let overdue = poll_fn(|cx| {
            while let Some(at) = self.deadline() {
                if timer.deadline() != at {
                    timer.as_mut().reset(at);
                }
                if timer.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                if self.deadline().is_some_and(|at| at <= Instant::now()) {
                    return Poll::Ready(());
                }
            }
            Poll::Pending
        });
        tokio::select! {
            () = overdue => {}
            () = self.wait_for_eviction() => {}
        }
    }
}
