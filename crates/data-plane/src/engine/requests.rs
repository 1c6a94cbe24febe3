//! A request as the engine holds it, and its attempts.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use hyper::Response;
use load_balancing::interface::{AttemptOutcome, ServerId};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::EngineReply;
use crate::upstream_pool::{AbortOnDrop, ForwardedRequest};

/// A request that is owed an answer, or has attempts out.
pub(super) struct Held {
    pub(super) service: usize,
    pub(super) shard: Option<u16>,
    pub(super) forward: Rc<ForwardedRequest>,
    /// Taken by the final answer.
    pub(super) reply: Option<oneshot::Sender<EngineReply>>,
    /// Read by attempts right before they go on the wire.
    pub(super) live: Rc<Cell<bool>>,
    /// When its client left without an answer.
    pub(super) left: Option<Instant>,
    pub(super) until: Instant,
    pub(super) attempts: Vec<Try>,
    pub(super) last: Option<AttemptOutcome>,
    /// An upstream's own error, the answer if there is no better one.
    pub(super) error: Option<Response<Bytes>>,
}

/// One attempt at an upstream.
pub(super) struct Try {
    pub(super) server: ServerId,
    pub(super) sent: Instant,
    /// Whether it has gone on the wire, or is about to.
    pub(super) on_wire: Rc<Cell<bool>>,
    pub(super) state: TryState,
}

/// Where an attempt stands. Its end is told to the module once, whatever crosses.
pub(super) enum TryState {
    /// Its task works on it; dropped, the task closes the attempt's connection.
    Running(AbortOnDrop),
    /// It has no task, and its end is among the events that are yet to be told.
    Ending,
    /// Its end was told.
    Ended,
}

impl Held {
    /// Attempts whose end the module has not been told.
    pub(super) fn out(&self) -> usize {
        self.attempts
            .iter()
            .filter(|a| !matches!(a.state, TryState::Ended))
            .count()
    }

    /// Whether an upstream may have run it, as far as its last attempt tells. What may run once is not held after
    /// one that may have.
    pub(super) fn may_have_run(&self) -> bool {
        self.last.is_some_and(|last| !last.has_not_run())
    }

    /// The attempt that a cancel breaks off, if it does. One whose task is done has its end on the way, which
    /// is what counts. One that is still to get its connection ends by itself before anything leaves, and the
    /// connection is kept.
    pub(super) fn broken_off(&mut self, attempt: usize) -> Option<&mut Try> {
        let live = self.live.get();
        let tried = self.attempts.get_mut(attempt)?;
        let TryState::Running(task) = &tried.state else {
            return None;
        };
        let at_work = !task.0.is_finished() && (live || tried.on_wire.get());
        at_work.then_some(tried)
    }
}
