//! One client's connection: its state between accept and close, and until when it may stay in that state.
//!
//! The state is changed by the task that serves the connection, and by an eviction. How many bytes passed is counted
//! by the stream itself ([`Traffic`]); limits are judged by that.

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use super::ClientTimeouts;
use crate::client_stream::Traffic;

/// A connection that served a client within this time is not evicted.
pub(super) const EVICT_IDLE_AFTER: Duration = Duration::from_secs(2);
/// A connection that has sent nothing for this long may be evicted: clients that have a request send it right away.
pub(super) const EVICT_UNUSED_AFTER: Duration = Duration::from_millis(250);

/// A response has to be read to its end within this many idle time-outs, and a part of it within each one. At a minute
/// for a megabyte a reader is not slow but absent.
const MAX_READ_IDLE_TIMES: u32 = 4;

/// One client's connection.
pub struct ClientConnection {
    timeouts: Rc<Cell<ClientTimeouts>>,
    traffic: Traffic,
    state: Cell<State>,
    evicted: Notify,
}

#[derive(Clone, Copy)]
enum State {
    /// No request has come on it yet.
    New { since: Instant },
    /// A request is open.
    RequestOpen,
    /// Its last request was answered, and the next one has not come whole.
    KeepAlive(KeepAlive),
    /// Only read to its end, so that the last response is not lost to a reset.
    Closing { since: Instant },
    /// Chosen to make room.
    Evicted,
}

/// A connection between its last response and the next request.
#[derive(Clone, Copy)]
struct KeepAlive {
    /// When the response was handed over to be written.
    answered_at: Instant,
    /// When a part of it was last seen written.
    last_written: Instant,
    /// Bytes that had been read when the response was given.
    bytes_read: u64,
    /// Bytes that had been written at `last_written`.
    bytes_written: u64,
    /// When the next head began.
    next_head: Option<Instant>,
}

impl ClientConnection {
    pub(super) fn new(timeouts: Rc<Cell<ClientTimeouts>>, traffic: Traffic) -> Self {
        let since = Instant::now();
        Self {
            timeouts,
            traffic,
            state: Cell::new(State::New { since }),
            evicted: Notify::new(),
        }
    }

    /// A request has come.
    pub fn on_request(&self) {
        self.state.set(State::RequestOpen);
    }

    /// The open request has its response, which is yet to be written.
    pub(super) fn on_response(&self) {
        let now = Instant::now();
        self.state.set(State::KeepAlive(KeepAlive {
            answered_at: now,
            last_written: now,
            bytes_read: self.traffic.bytes_read(),
            bytes_written: self.traffic.bytes_written(),
            next_head: None,
        }));
    }

    /// Nothing more is answered on it; it is read to its end.
    pub fn on_closing(&self) {
        let since = Instant::now();
        self.state.set(State::Closing { since });
    }

    /// Whether a request is open on it.
    pub fn has_open_request(&self) -> bool {
        matches!(self.state.get(), State::RequestOpen)
    }

    /// Whether a request is open on it, or was answered and may be followed by another.
    pub(super) fn is_in_use(&self) -> bool {
        matches!(self.state.get(), State::RequestOpen | State::KeepAlive(_))
    }

    /// Whether no request is open on it, the last response is written, and nothing of a next request has come.
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

    /// When it has to be closed, as things stand.
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

    /// When a kept connection has to be closed. The time counts from the last byte written: counted from the response,
    /// whoever read slowly lost its end, and whoever had read slowly lost the connection sooner than announced.
    fn keep_alive_deadline(&self, kept: &mut KeepAlive) -> Instant {
        let ClientTimeouts { header, idle } = self.timeouts.get();
        let bytes_written = self.traffic.bytes_written();
        if kept.bytes_written != bytes_written {
            (kept.bytes_written, kept.last_written) = (bytes_written, Instant::now());
        }
        if self.traffic.is_write_blocked() {
            return (kept.last_written + idle).min(kept.answered_at + idle * MAX_READ_IDLE_TIMES);
        }
        if self.traffic.bytes_read() == kept.bytes_read {
            return kept.last_written + idle;
        }
        *kept.next_head.get_or_insert_with(Instant::now) + header
    }

    /// Since when a kept connection idles, if it does. Closed then, it costs its client no request: one that crosses
    /// with the close is sent once more.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        match self.state.get() {
            State::KeepAlive(kept) => self.is_keep_alive_idle(&kept).then_some(kept.last_written),
            _ => None,
        }
    }

    /// How soon it is to make room for another, if it may by now: the least goes first. Those that have served a
    /// client come last, and within each group the one that has waited longest comes first.
    pub(super) fn eviction_rank(&self, now: Instant) -> Option<(bool, Instant)> {
        let (served, since, after) = match self.state.get() {
            State::New { since } | State::Closing { since } => (false, since, EVICT_UNUSED_AFTER),
            State::KeepAlive(KeepAlive {
                next_head: Some(began),
                ..
            }) => (false, began, EVICT_UNUSED_AFTER),
            State::KeepAlive(_) => (true, self.idle_since()?, EVICT_IDLE_AFTER),
            State::RequestOpen | State::Evicted => return None,
        };
        (now >= since + after).then_some((served, since))
    }

    /// Chooses it to make room: [`Self::wait_for_eviction`] ends unless a request has come by then.
    pub(super) fn evict(&self) {
        self.state.set(State::Evicted);
        self.evicted.notify_one();
    }

    /// Waits until it is chosen to make room. The state is looked at again after the wake-up: a request that came in
    /// between takes the choice back, and would otherwise be dropped half done.
    pub async fn wait_for_eviction(&self) {
        loop {
            self.evicted.notified().await;
            if matches!(self.state.get(), State::Evicted | State::Closing { .. }) {
                return;
            }
        }
    }

    /// Waits until it has to be closed: its time is up, or it is to make room. To be polled by the connection's own
    /// task, whenever something has passed on it.
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
