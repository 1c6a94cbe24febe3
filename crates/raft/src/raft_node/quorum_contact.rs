//! Requests and responses for quorum contact, which tells how recent the applied state of this
//! member is known to be. See [`crate::contact_tracker`].

use super::{RaftNode, Role};
use crate::{MessageBody, NodeId, QuorumContact, QuorumContactResponse};

impl RaftNode {
    /// Returns the latest time, by the clock of [`RaftNode::tick`], at which this member is known
    /// to have led, or `None` if it does not lead. A majority has answered the broadcast that it
    /// sent then, so any later leader was elected after that time.
    pub fn leadership_confirmed_at(&self) -> Option<u64> {
        self.broadcasts
            .confirmed_at()
            .filter(|_| self.role == Role::Leader)
    }

    /// Returns the latest time, by the clock of [`RaftNode::tick`], for which the applied state is
    /// known to include everything that had been acknowledged anywhere by then. Returns `None` if
    /// there is no such time.
    pub fn quorum_contact_at(&self) -> Option<u64> {
        let as_leader = self
            .broadcasts
            .confirmed_at()
            .filter(|_| self.knows_commit_index());
        self.contact.confirmed_at().max(as_leader)
    }

    /// Returns whether this member leads and knows the commit index, which requires that an entry
    /// of its own term is committed (Raft thesis, section 6.4).
    fn knows_commit_index(&self) -> bool {
        self.role == Role::Leader && self.log.has_committed_in(self.term)
    }

    /// Asks the leader for its quorum contact, to advance [`RaftNode::quorum_contact_at`].
    ///
    /// The leader responds immediately, based on the last answered broadcast, so a request causes
    /// no broadcast. For the requirements on tokens see [`RaftNode::request_read`].
    pub fn request_quorum_contact(&mut self, token: u64) {
        let Some(leader) = self.leader.filter(|leader| *leader != self.id) else {
            return;
        };
        self.contact.on_request_sent(token, self.now);
        self.send(leader, MessageBody::QuorumContact(QuorumContact { token }));
    }

    /// Responds if this member is a leader that knows its commit index.
    pub(super) fn handle_quorum_contact(&mut self, from: NodeId, request: &QuorumContact) {
        if !self.knows_commit_index() {
            return;
        }
        let Some(confirmed_at) = self.quorum_contact_at() else {
            return;
        };
        let response = QuorumContactResponse {
            token: request.token,
            age_ms: self.now.saturating_sub(confirmed_at),
            index: self.log.commit_index(),
        };
        self.send(from, MessageBody::QuorumContactResponse(response));
    }

    pub(super) fn handle_quorum_contact_response(&mut self, response: &QuorumContactResponse) {
        let applied_index = self.log.applied_index();
        self.contact.on_response(response, applied_index);
    }
}
