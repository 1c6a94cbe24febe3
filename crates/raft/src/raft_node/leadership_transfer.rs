//! Transfer of leadership by a member that is about to end (Raft thesis, section 3.10).

use super::election::CampaignType;
use super::{RaftNode, Role};
use crate::{MessageBody, NodeId};

impl RaftNode {
    /// The process is about to end. The member campaigns no more, and if it leads, it transfers
    /// leadership once a majority of the voters has all entries without counting its own disk.
    pub fn begin_shutdown(&mut self) {
        self.shutting_down = true;
        self.maybe_transfer_leadership();
    }

    /// Whether another member leads, as far as this one knows.
    pub fn has_other_leader(&self) -> bool {
        self.leader.is_some_and(|leader| leader != self.id)
    }

    /// Tells the best successor to campaign at once, and steps down: from then on this member
    /// confirms no read, so that an election before its timeout meets no leader that relies on the
    /// timeout.
    pub(super) fn maybe_transfer_leadership(&mut self) {
        let has_uncommitted = self.log.commit_index() < self.log.last_index();
        if !self.shutting_down || self.role != Role::Leader || has_uncommitted {
            return;
        }
        let candidates = self.up_to_date_voters();
        let quorum = self.members().quorum();
        let needed = quorum.min(self.voters_in_contact().count());
        if candidates.len() < needed {
            return;
        }
        let Some(successor) = candidates.first().copied() else {
            return;
        };
        self.send(successor, MessageBody::TimeoutNow);
        self.become_follower(self.term, None);
    }

    /// The other voters in contact.
    fn voters_in_contact(&self) -> impl Iterator<Item = NodeId> {
        self.other_voters()
            .filter(|id| self.observation(*id).in_contact(&self.policy))
    }

    /// Those of them whose disks have all entries, the one that answered last first.
    fn up_to_date_voters(&self) -> Vec<NodeId> {
        let has_all = |id: &NodeId| self.match_index(*id) == self.log.last_index();
        let mut voters: Vec<NodeId> = self.voters_in_contact().filter(has_all).collect();
        voters.sort_by_key(|id| self.observation(*id).silence_ms);
        voters
    }

    /// The leader transfers leadership to this member.
    pub(super) fn handle_timeout_now(&mut self, from: NodeId) {
        if self.leader == Some(from) && !self.shutting_down {
            self.campaign(CampaignType::Transfer);
        }
    }
}
