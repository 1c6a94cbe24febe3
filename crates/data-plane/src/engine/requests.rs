//! Handles the arrival of requests, client disconnects, deadlines and shutdown.

use load_balancing::interface::{Event, Request, RequestId, Span};
use tokio::sync::oneshot;

use super::pending_request::PendingRequest;
use super::{DEADLINE_MARGIN, Engine, EngineReply, IncomingRequest, Timer};
use crate::upstream_pool::ForwardedRequest;

/// After which time a client may repeat a request that was rejected because of the shutdown, through another proxy
/// (50 ms).
const SHUTDOWN_RETRY_AFTER: Span = Span(50_000);

/// A request without attempts in progress at shutdown, and the reply that ends it.
struct QueuedRequest {
    id: RequestId,
    service: usize,
    reply: EngineReply,
}

impl Engine {
    /// Adds a request that a client connection submitted, and passes it to the balancer.
    pub(super) fn on_request(
        &mut self,
        id: RequestId,
        service: usize,
        incoming: IncomingRequest,
        forwarded: ForwardedRequest,
        reply: oneshot::Sender<EngineReply>,
    ) {
        let deadline = incoming.deadline - self.config.headroom;
        let max_attempts = self.max_attempts(service, &incoming);
        let pending = PendingRequest::new(
            service,
            incoming.shard,
            forwarded,
            reply,
            deadline,
            max_attempts,
        );
        self.requests.insert(id, pending);
        self.timers
            .push(incoming.deadline - DEADLINE_MARGIN, Timer::Deadline(id));
        let request = Request {
            accepted_class: incoming.accepted_class,
            tenant: incoming.tenant,
            key: incoming.key,
            shard: incoming.shard,
            estimated_work: incoming.estimated_work,
            is_client_retry: incoming.is_client_retry,
            ..Request::new(id, incoming.class, self.clock.to_time(deadline))
        };
        self.dispatch(service, Event::Request(request));
    }

    /// Returns the maximum number of attempts of a request, which later settings don't change.
    fn max_attempts(&self, service: usize, incoming: &IncomingRequest) -> usize {
        let site_limit = self.services.get(service).map_or(0, |s| s.max_attempts);
        let class = incoming.accepted_class.as_ref();
        class.map_or(site_limit, |class| class.max_attempts_within(site_limit))
    }

    /// Handles the disconnect of a client that awaits a reply.
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

    /// Replies with a timeout, shortly before the client's deadline, to a request that the balancer has not ended.
    pub(super) fn on_deadline(&mut self, id: RequestId) {
        if self.send_reply(id, EngineReply::Failed { timed_out: true }) {
            tracing::warn!(
                request = id.0,
                "replied with a timeout: the balancer did not end the request before its deadline"
            );
            if let Some(service) = self.requests.get(&id).map(|request| request.service) {
                self.dispatch(service, Event::ClientDisconnected(id));
            }
        }
        self.remove_request(id);
    }

    /// Replies at shutdown to all requests that have no attempt in progress. Without this, the clients of queued
    /// requests lost their connections without a reply.
    pub(super) fn reject_queued_requests(&mut self) {
        let is_queued = |(_, request): &(&RequestId, &PendingRequest)| {
            request.awaits_reply() && request.unreported_attempts() == 0
        };
        let with_reply = |(id, request): (&RequestId, &PendingRequest)| QueuedRequest {
            id: *id,
            service: request.service,
            reply: if request.may_have_run {
                EngineReply::Failed { timed_out: false }
            } else {
                EngineReply::Rejected {
                    retry_after: SHUTDOWN_RETRY_AFTER,
                }
            },
        };
        let queued: Vec<_> = self
            .requests
            .iter()
            .filter(is_queued)
            .map(with_reply)
            .collect();
        for QueuedRequest { id, service, reply } in queued {
            self.fail_request(id, reply);
            self.dispatch(service, Event::ClientDisconnected(id));
        }
    }
}
