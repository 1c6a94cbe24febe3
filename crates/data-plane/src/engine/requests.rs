//! A request arrives, its client disconnects, its deadline passes, the process ends.

use load_balancing::interface::{Event, Request, RequestId, Span};
use tokio::sync::oneshot;

use super::pending_request::PendingRequest;
use super::{DEADLINE_MARGIN, Engine, EngineReply, IncomingRequest, Timer};
use crate::upstream_pool::ForwardedRequest;

/// What is rejected because this process ends may be sent again, to another balancer, after this (50 ms).
const SHUTDOWN_RETRY_AFTER: Span = Span(50_000);

/// A request that no upstream has, as the process ends.
struct QueuedRequest {
    id: RequestId,
    service: usize,
    reply: EngineReply,
}

impl Engine {
    /// A client's connection submitted a request.
    pub(super) fn on_request(
        &mut self,
        id: RequestId,
        service: usize,
        incoming: &IncomingRequest,
        forwarded: ForwardedRequest,
        reply: oneshot::Sender<EngineReply>,
    ) {
        let deadline = incoming.deadline - self.config.headroom;
        let pending = PendingRequest::new(service, incoming.shard, forwarded, reply, deadline);
        self.requests.insert(id, pending);
        self.timers
            .push(incoming.deadline - DEADLINE_MARGIN, Timer::Deadline(id));
        let request = Request {
            class: incoming.class,
            tenant: incoming.tenant,
            key: incoming.key,
            shard: incoming.shard,
            estimated_work: incoming.estimated_work,
            is_client_retry: incoming.is_client_retry,
            ..Request::new(id, incoming.class, self.clock.to_time(deadline))
        };
        self.dispatch(service, Event::Request(request));
    }

    /// The client of a request disconnected before its reply.
    pub(super) fn on_client_disconnect(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.disconnect() {
            let service = request.service;
            self.dispatch(service, Event::ClientDisconnected(id));
        }
        self.remove_request(id);
    }

    /// Replies to a request for which the module still owes the reply when the client is about to give up.
    pub(super) fn on_deadline(&mut self, id: RequestId) {
        if self.send_reply(id, EngineReply::Failed { timed_out: true }) {
            tracing::warn!(
                request = id.0,
                "the load balancing had not ended a request before its deadline: replied with a timeout"
            );
            if let Some(service) = self.requests.get(&id).map(|request| request.service) {
                self.dispatch(service, Event::ClientDisconnected(id));
            }
        }
        self.remove_request(id);
    }

    /// Ends all requests that are not at an upstream, since the process ends. Without this, what waited as the process
    /// ended lost its connection without a reply.
    pub(super) fn reject_queued_requests(&mut self) {
        let is_queued = |(_, request): &(&RequestId, &PendingRequest)| {
            request.awaits_reply() && request.unreported_attempts() == 0
        };
        let end = |(id, request): (&RequestId, &PendingRequest)| QueuedRequest {
            id: *id,
            service: request.service,
            reply: if request.may_have_run() {
                EngineReply::Failed { timed_out: false }
            } else {
                EngineReply::Rejected {
                    retry_after: SHUTDOWN_RETRY_AFTER,
                }
            },
        };
        let queued: Vec<_> = self.requests.iter().filter(is_queued).map(end).collect();
        for QueuedRequest { id, service, reply } in queued {
            self.fail_request(id, reply);
            self.dispatch(service, Event::ClientDisconnected(id));
        }
    }
}
