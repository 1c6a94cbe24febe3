//! Starts, cancels and ends attempts at upstreams.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use load_balancing::interface::{self, AttemptOutcome, Event, RequestId, ServerId, Span};
use protocol::key_load::KEYS_PER_BUCKET;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::pending_request::{Attempt, AttemptState};
use super::{Engine, EngineEvent, EngineReply, KeyBucket};
use crate::abort_on_drop::AbortOnDrop;
use crate::upstream_pool::{AttemptObserver, AttemptResult};

/// The end of an attempt that the balancer has not been notified of yet.
pub(super) struct EndedAttempt {
    pub(super) request: RequestId,
    /// Index of the attempt within the request, from 0.
    pub(super) attempt: usize,
    pub(super) result: AttemptResult,
}

/// Reports to the engine on one attempt in progress.
struct Observer {
    id: RequestId,
    attempt: usize,
    is_awaited: Rc<Cell<bool>>,
    on_wire: Rc<Cell<bool>>,
    events: mpsc::UnboundedSender<EngineEvent>,
}

impl AttemptObserver for Observer {
    fn may_send(&self) -> bool {
        self.on_wire.set(self.is_awaited.get());
        self.is_awaited.get()
    }

    fn on_memory_wait(&self) {
        // Fails only if the engine, and with it the request, has ended.
        let _ = self.events.send(EngineEvent::ResponseDelayed {
            id: self.id,
            attempt: self.attempt,
        });
    }
}

impl Engine {
    /// Starts an attempt, or ends it at once if the request may not be sent any more. The attempt ends after `timeout`
    /// at the latest, or at the deadline of the request if `timeout` is 0.
    pub(super) fn start_attempt(&mut self, id: RequestId, server: ServerId, timeout: Span) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let (now, index) = (Instant::now(), request.attempts.len());
        let mut deadline = request.deadline;
        if timeout.0 > 0 {
            deadline = deadline.min(now + Duration::from_micros(timeout.0 as u64));
        }
        let Some(service) = self.services.get(request.service) else {
            return;
        };
        let is_over = !request.awaits_reply() || index >= request.max_attempts || now >= deadline;
        let is_disallowed_hedge = request.unreported_attempts() > 0 && !service.hedging;
        let mut attempt = Attempt::new(server, now);
        let target = service.upstreams.target(server);
        let (Some(target), false) = (target, is_over || is_disallowed_hedge) else {
            request.attempts.push(attempt);
            self.ended_attempts.push_back(EndedAttempt {
                request: id,
                attempt: index,
                result: AttemptResult::from_outcome(AttemptOutcome::NotIssued),
            });
            return;
        };
        let (pool, events) = (self.pool.clone(), self.event_sender.clone());
        let forwarded = request.forwarded.clone();
        let observer = Observer {
            id,
            attempt: index,
            is_awaited: request.is_awaited.clone(),
            on_wire: Rc::clone(&attempt.on_wire),
            events: events.clone(),
        };
        let task = tokio::task::spawn_local(async move {
            let result = pool
                .attempt(server, &target, &forwarded, deadline, observer)
                .await;
            // Fails only if the engine, and with it the request, has ended.
            let _ = events.send(EngineEvent::AttemptEnded {
                id,
                attempt: index,
                result,
            });
        });
        attempt.state = AttemptState::Running(AbortOnDrop(task));
        request.attempts.push(attempt);
    }

    /// Notifies the balancer that an upstream has responded to an attempt, whose response has to wait for memory.
    pub(super) fn on_response_delayed(&mut self, id: RequestId, attempt: usize) {
        if let Some(request) = self.requests.get(&id) {
            let service = request.service;
            let event = Event::ResponseDelayed {
                request: id,
                attempt,
            };
            self.dispatch(service, event);
        }
    }

    /// Aborts an attempt if it can still be aborted.
    pub(super) fn cancel_attempt(&mut self, id: RequestId, attempt: usize) {
        let request = self.requests.get_mut(&id);
        if let Some(running) = request.and_then(|request| request.abortable_attempt(attempt)) {
            running.state = AttemptState::Ending;
            self.ended_attempts.push_back(EndedAttempt {
                request: id,
                attempt,
                result: AttemptResult::from_outcome(AttemptOutcome::Cancelled),
            });
        }
    }

    /// Handles the end of an attempt: replies to the client if the request was served, and notifies the balancer.
    pub(super) fn on_attempt_ended(
        &mut self,
        id: RequestId,
        attempt: usize,
        mut result: AttemptResult,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if result.outcome == AttemptOutcome::NotOwner && request.shard.is_none() {
            // Without a shard key there is no owner, so the request reached another upstream than the intended one.
            result.outcome = AttemptOutcome::Rejected;
        }
        let Some((server, duration)) = request.end_attempt(attempt) else {
            return;
        };
        let latency = duration.saturating_sub(result.memory_wait);
        request.record_outcome(result.outcome);
        if let Some(disconnected_at) = request.disconnected_at {
            self.abandoned
                .record(result.outcome, disconnected_at.elapsed());
        }
        let service = request.service;
        let executed_key = request
            .shard
            .filter(|_| result.outcome != AttemptOutcome::NotOwner);
        if let Some(key) = executed_key {
            let bucket = KeyBucket {
                service,
                bucket: key / KEYS_PER_BUCKET,
            };
            *self.key_load.borrow_mut().entry(bucket).or_default() += latency;
        }
        // The client gets the first complete response; later ones are dropped.
        match result.response {
            Some(response) if result.outcome == AttemptOutcome::Ok => {
                self.send_reply(id, EngineReply::Served(response));
            }
            error => request.upstream_error = error,
        }
        let request = self.requests.get(&id);
        let is_over = request.is_none_or(|request| !request.awaits_reply());
        let ended = interface::AttemptResult {
            report: result.report,
            ..interface::AttemptResult::new(
                id,
                attempt,
                server,
                result.outcome,
                Span(latency.as_micros() as i64),
                is_over,
            )
        };
        self.feed_balancer(service, Event::AttemptEnded(ended));
        self.remove_request(id);
    }
}
