//! Quorum contact: how fresh the applied state of this member is known to be. See
//! [`crate::contact_tracker`].

use super::{RaftNode, Role};
use crate::{MessageBody, NodeId, QuorumContact, QuorumContactResponse};

impl RaftNode {
    /// When this member is known to have led, by the clock of [`RaftNode::tick`]: a majority has
    /// answered what it sent then, so whoever is elected after it was elected later. `None` where
    /// it does not lead.
    pub fn leadership_confirmed_at(&self) -> Option<u64> {
        self.broadcasts
            .confirmed_at()
            .filter(|_| self.role == Role::Leader)
    }

    /// The moment, by the clock of [`RaftNode::tick`], up to which the applied state covers all
    /// that was acknowledged anywhere. `None` where that is not known.
    pub fn quorum_contact_at(&self) -> Option<u64> {
        let as_leader = self
            .broadcasts
            .confirmed_at()
            .filter(|_| self.knows_commit_index());
        self.contact.confirmed_at().max(as_leader)
    }

    /// Whether this member leads and knows how far the log is committed: not before its own first
    /// entry is (Raft thesis, section 6.4).
    fn knows_commit_index(&self) -> bool {
        self.role == Role::Leader && self.log.has_committed_in(self.term)
    }

    /// Asks the leader for its contact, so that [`RaftNode::quorum_contact_at`] moves on. The
    /// leader responds at once, by the last broadcast that was answered: asking costs no broadcast.
    /// For tokens see [`RaftNode::request_read`].
    pub fn request_quorum_contact(&mut self, token: u64) {
        let Some(leader) = self.leader.filter(|leader| *leader != self.id) else {
            return;
        };
        self.contact.on_request_sent(token, self.now);
        self.send(leader, MessageBody::QuorumContact(QuorumContact { token }));
    }

    /// Only a leader that knows its commit index responds.
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
