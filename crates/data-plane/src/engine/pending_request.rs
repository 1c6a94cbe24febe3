//! The state of a request in the engine's table, and of its attempts.

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

/// A request that awaits its reply, or has attempts of whose end the balancer has not been notified.
pub(super) struct PendingRequest {
    pub(super) service: usize,
    /// The shard key, if the service is sharded.
    pub(super) shard: Option<u16>,
    pub(super) forwarded: Rc<ForwardedRequest>,
    /// `None` once the final reply was sent or the client has disconnected.
    reply: Option<oneshot::Sender<EngineReply>>,
    /// Whether a response is still awaited. Attempts check it right before they send the request.
    pub(super) is_awaited: Rc<Cell<bool>>,
    /// When the client disconnected, if it did before the reply.
    pub(super) disconnected_at: Option<Instant>,
    /// When the attempts end at the latest; earlier than the client's deadline.
    pub(super) deadline: Instant,
    /// Maximum number of attempts, as of when the request arrived.
    pub(super) max_attempts: usize,
    pub(super) attempts: Vec<Attempt>,
    /// Outcome of the attempt that ended most recently.
    pub(super) last_outcome: Option<AttemptOutcome>,
    /// Whether any attempt has ended without proof that the request has not run.
    pub(super) may_have_run: bool,
    /// An upstream's own error response, which is the reply if no attempt succeeds.
    pub(super) upstream_error: Option<Response<Bytes>>,
}

/// One attempt at an upstream.
pub(super) struct Attempt {
    server: ServerId,
    started_at: Instant,
    /// Whether sending has started or is about to start.
    pub(super) on_wire: Rc<Cell<bool>>,
    pub(super) state: AttemptState,
}

/// The state of an attempt. Ensures that the balancer is notified of the end only once, also if the attempt ends by
/// itself while it is being cancelled.
pub(super) enum AttemptState {
    /// The task of the attempt is running; dropping the task closes the connection.
    Running(AbortOnDrop),
    /// The attempt has no task, and the balancer is yet to be notified of the end.
    Ending,
    /// The balancer was notified of the end.
    Reported,
}

impl Attempt {
    /// Creates an attempt without a task.
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
    /// Creates a request without attempts.
    pub(super) fn new(
        service: usize,
        shard: Option<u16>,
        forwarded: ForwardedRequest,
        reply: oneshot::Sender<EngineReply>,
        deadline: Instant,
        max_attempts: usize,
    ) -> Self {
        Self {
            service,
            shard,
            forwarded: Rc::new(forwarded),
            reply: Some(reply),
            is_awaited: Rc::new(Cell::new(true)),
            disconnected_at: None,
            deadline,
            max_attempts,
            attempts: Vec::new(),
            last_outcome: None,
            may_have_run: false,
            upstream_error: None,
        }
    }

    /// Returns whether the request has had no final reply and its client is still connected.
    pub(super) fn awaits_reply(&self) -> bool {
        self.reply.is_some()
    }

    /// Returns the sender of the final reply, once. Attempts that have not sent the request yet will not do so any
    /// more.
    pub(super) fn take_reply_sender(&mut self) -> Option<oneshot::Sender<EngineReply>> {
        let sender = self.reply.take()?;
        self.is_awaited.set(false);
        Some(sender)
    }

    /// Records that the client has disconnected; returns false if the request had its reply before.
    pub(super) fn disconnect(&mut self) -> bool {
        let was_awaiting = self.take_reply_sender().is_some();
        if was_awaiting {
            self.disconnected_at = Some(Instant::now());
        }
        was_awaiting
    }

    /// Returns the number of attempts of whose end the balancer has not been notified.
    pub(super) fn unreported_attempts(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| !matches!(attempt.state, AttemptState::Reported))
            .count()
    }

    /// Records how an attempt has ended.
    pub(super) fn record_outcome(&mut self, outcome: AttemptOutcome) {
        self.last_outcome = Some(outcome);
        self.may_have_run |= !outcome.has_not_run();
    }

    /// Marks an attempt as reported, and returns its upstream and its duration; `None` if it is unknown or was reported
    /// before.
    pub(super) fn end_attempt(&mut self, attempt: usize) -> Option<(ServerId, Duration)> {
        let attempt = self.attempts.get_mut(attempt)?;
        let previous = std::mem::replace(&mut attempt.state, AttemptState::Reported);
        if matches!(previous, AttemptState::Reported) {
            return None;
        }
        Some((attempt.server, attempt.started_at.elapsed()))
    }

    /// Returns the attempt if a cancellation should abort it. If its task has finished, the event with its result is
    /// already queued, and that result counts. If it is still waiting for a connection and the response is no longer
    /// awaited, it ends by itself before anything is sent, and the connection is kept for reuse.
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
