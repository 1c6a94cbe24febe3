//! Leadership handed over by a member that is about to end.

use super::{RaftNode, Role};
use crate::{Message, MessageBody, NodeId};

impl RaftNode {
    /// This member is about to end: it campaigns no more, and if it leads, it hands leadership over once a
    /// majority of the voters has all entries without counting its own disk.
    pub fn begin_shutdown(&mut self) {
        self.leaving = true;
        self.hand_over();
    }

    /// Whether another member leads, as far as this one knows.
    pub fn has_other_leader(&self) -> bool {
        self.leader.is_some_and(|leader| leader != self.id)
    }

    /// Tells the best successor to campaign at once, and gives up leadership: from then on it confirms no read,
    /// so an election that comes sooner than a time-out meets no leader that relies on the time-out.
    pub(super) fn hand_over(&mut self) {
        if !self.leaving || self.role != Role::Leader || self.commit < self.last() {
            return;
        }
        let complete = self.complete_voters();
        let needed = self
            .members()
            .quorum()
            .min(self.voters_in_contact().count());
        let Some(successor) = complete
            .first()
            .copied()
            .filter(|_| complete.len() >= needed)
        else {
            return;
        };
        let message = Message {
            from: self.id,
            to: successor,
            term: self.term,
            body: MessageBody::TimeoutNow,
        };
        self.out.messages.push(message);
        self.follow(self.term, None);
    }

    /// Other voters in contact.
    fn voters_in_contact(&self) -> impl Iterator<Item = NodeId> {
        let others = self
            .members()
            .voters
            .keys()
            .copied()
            .filter(|id| *id != self.id);
        others.filter(|id| self.observation(*id).in_contact(&self.policy))
    }

    /// Those of them whose disks have all entries, the one that answered last first.
    fn complete_voters(&self) -> Vec<NodeId> {
        let has_all = |id: &NodeId| self.matched(*id) == self.last();
        let mut complete: Vec<NodeId> = self.voters_in_contact().filter(has_all).collect();
        complete.sort_by_key(|id| self.observation(*id).silence_ms);
        complete
    }

    /// The leader hands over to this member.
    pub(super) fn timeout_now(&mut self, from: NodeId) {
        if self.leader == Some(from) && !self.leaving {
            self.start_election(super::Election::Transfer);
        }
    }
}
