//! Sends the one final reply to a request and removes the request from the table.

use load_balancing::interface::{AttemptOutcome, RequestId};

use super::{Engine, EngineReply};

impl Engine {
    /// Sends the final reply; returns false if the request no longer awaits one.
    pub(super) fn send_reply(&mut self, id: RequestId, reply: EngineReply) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        let Some(sender) = request.take_reply_sender() else {
            return false;
        };
        // Fails only if the client has disconnected; the event about that is already queued.
        let _ = sender.send(reply);
        true
    }

    /// Ends a request that no upstream served: with an upstream's own error response if there is one, else with
    /// `reply`.
    pub(super) fn fail_request(&mut self, id: RequestId, reply: EngineReply) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        // A rejection guarantees that the request never runs, which can't be said while an attempt is in progress.
        let may_run = request.unreported_attempts() > 0;
        let reply = match reply {
            EngineReply::Rejected { .. } if may_run => EngineReply::Failed { timed_out: false },
            reply => reply,
        };
        let reply = request
            .upstream_error
            .take()
            .map_or(reply, EngineReply::Served);
        self.send_reply(id, reply);
        self.remove_request(id);
    }

    /// Ends a request that has failed and may have run. The reply depends on the outcome of its last attempt.
    pub(super) fn fail_by_last_attempt(&mut self, id: RequestId) {
        let request = self.requests.get(&id);
        let last_outcome = request.and_then(|request| request.last_outcome);
        let timed_out = last_outcome == Some(AttemptOutcome::Timeout);
        self.fail_request(id, EngineReply::Failed { timed_out });
    }

    /// Removes a request that no longer awaits a reply and of whose attempts the balancer has been notified.
    pub(super) fn remove_request(&mut self, id: RequestId) {
        let is_done = self
            .requests
            .get(&id)
            .is_some_and(|request| !request.awaits_reply() && request.unreported_attempts() == 0);
        if is_done {
            self.requests.remove(&id);
        }
    }
}
