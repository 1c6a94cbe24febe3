//! The one final reply to a request, and its removal from the table.

use load_balancing::interface::{AttemptOutcome, RequestId};

use super::{Engine, EngineReply};

impl Engine {
    /// Sends the final reply, and returns false if there was one before.
    pub(super) fn send_reply(&mut self, id: RequestId, reply: EngineReply) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        let Some(sender) = request.take_reply_sender() else {
            return false;
        };
        // Without a receiver the client has disconnected, and its event is on the way.
        let _ = sender.send(reply);
        true
    }

    /// Ends a request that no upstream served: by an upstream's own error if there was one, else by `reply`.
    pub(super) fn fail_request(&mut self, id: RequestId, reply: EngineReply) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        // A rejection promises that the request never runs: one that is at an upstream may.
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

    /// Ends a request for which the module makes no promise.
    pub(super) fn fail_by_last_attempt(&mut self, id: RequestId) {
        let request = self.requests.get(&id);
        let last_outcome = request.and_then(|request| request.last_outcome);
        let timed_out = last_outcome == Some(AttemptOutcome::Timeout);
        self.fail_request(id, EngineReply::Failed { timed_out });
    }

    /// Removes a request that has its reply and no attempt whose end the module has not been told.
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
