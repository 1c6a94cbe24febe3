//! A request in the engine's table, and its attempts.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use load_balancing::interface::{AttemptOutcome, ServerId};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::EngineReply;
use crate::abort_on_drop::AbortOnDrop;
use crate::upstream_pool::ForwardedRequest;

/// A request that is owed a reply, or has attempts whose end the module has not been told.
pub(super) struct PendingRequest {
    pub(super) service: usize,
    /// Its key, where upstreams divide the keys of the service.
    pub(super) shard: Option<u16>,
    pub(super) forwarded: Rc<ForwardedRequest>,
    /// Taken by the final reply, or when the client disconnects.
    reply: Option<oneshot::Sender<EngineReply>>,
    /// Whether a response is still awaited. Attempts read it right before they send.
    pub(super) is_awaited: Rc<Cell<bool>>,
    /// When its client disconnected without a reply.
    pub(super) disconnected_at: Option<Instant>,
    /// When attempts end at the latest; earlier than the client's deadline.
    pub(super) deadline: Instant,
    pub(super) attempts: Vec<Attempt>,
    /// How the attempt ended that ended last.
    pub(super) last_outcome: Option<AttemptOutcome>,
    /// An upstream's own error, the reply if there is nothing better.
    pub(super) upstream_error: Option<Response<Bytes>>,
}

/// One attempt at an upstream.
pub(super) struct Attempt {
    server: ServerId,
    started_at: Instant,
    /// Whether it has gone on the wire, or is about to.
    pub(super) on_wire: Rc<Cell<bool>>,
    pub(super) state: AttemptState,
}

/// Where an attempt stands. The module is told of its end once, whatever crosses.
pub(super) enum AttemptState {
    /// Its task works on it; when that is dropped, the connection of the attempt is closed.
    Running(AbortOnDrop),
    /// It has no task, and its end is among those that are yet to be told.
    Ending,
    /// The module was told of its end.
    Reported,
}

impl Attempt {
    /// An attempt that has no task.
    pub(super) fn new(server: ServerId, started_at: Instant) -> Self {
        Self {
            server,
            started_at,
            on_wire: Rc::new(Cell::new(false)),
            state: AttemptState::Ending,
        }
    }
}

impl PendingRequest {
    /// A request without attempts.
    pub(super) fn new(
        service: usize,
        shard: Option<u16>,
        forwarded: ForwardedRequest,
        reply: oneshot::Sender<EngineReply>,
        deadline: Instant,
    ) -> Self {
        Self {
            service,
            shard,
            forwarded: Rc::new(forwarded),
            reply: Some(reply),
            is_awaited: Rc::new(Cell::new(true)),
            disconnected_at: None,
            deadline,
            attempts: Vec::new(),
            last_outcome: None,
            upstream_error: None,
        }
    }

    /// Whether it has had no final reply, and its client is there.
    pub(super) fn awaits_reply(&self) -> bool {
        self.reply.is_some()
    }

    /// What its final reply goes to, once. Attempts that have not sent it will not.
    pub(super) fn take_reply_sender(&mut self) -> Option<oneshot::Sender<EngineReply>> {
        let sender = self.reply.take()?;
        self.is_awaited.set(false);
        Some(sender)
    }

    /// Its client has left; false if it had its reply before.
    pub(super) fn disconnect(&mut self) -> bool {
        let was_awaiting = self.take_reply_sender().is_some();
        if was_awaiting {
            self.disconnected_at = Some(Instant::now());
        }
        was_awaiting
    }

    /// The number of attempts of whose end the module has not been told.
    pub(super) fn unreported_attempts(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| !matches!(attempt.state, AttemptState::Reported))
            .count()
    }

    /// Whether an upstream may have run it, as far as its last attempt tells. What may run only once is not retried
    /// after an attempt that may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.last_outcome.is_some_and(|last| !last.has_not_run())
    }

    /// Marks an attempt as reported, and returns its upstream and how long it took; `None` if it is unknown or was
    /// reported before.
    pub(super) fn end_attempt(&mut self, attempt: usize) -> Option<(ServerId, Duration)> {
        let attempt = self.attempts.get_mut(attempt)?;
        let before = std::mem::replace(&mut attempt.state, AttemptState::Reported);
        if matches!(before, AttemptState::Reported) {
            return None;
        }
        Some((attempt.server, attempt.started_at.elapsed()))
    }

    /// The attempt that a cancel aborts, if it does. If its task is done, its end is on the way, and that end counts.
    /// If it is yet to get its connection and nobody awaits its response, it ends by itself before anything leaves,
    /// and the connection is kept.
    pub(super) fn abortable_attempt(&mut self, attempt: usize) -> Option<&mut Attempt> {
        let is_awaited = self.is_awaited.get();
        let attempt = self.attempts.get_mut(attempt)?;
        let AttemptState::Running(task) = &attempt.state else {
            return None;
        };
        let is_abortable = !task.0.is_finished() && (is_awaited || attempt.on_wire.get());
        is_abortable.then_some(attempt)
    }
}
