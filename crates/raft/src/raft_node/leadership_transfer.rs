//! Transfer of leadership by a member that is shutting down (Raft thesis, section 3.10).

use super::election::CampaignType;
use super::{RaftNode, Role};
use crate::{MessageBody, NodeId};

impl RaftNode {
    /// Prepares for the end of the process. The member no longer campaigns. If it leads, it
    /// transfers leadership once a majority of the voters, not counting its own disk, has all
    /// entries.
    pub fn begin_shutdown(&mut self) {
        self.shutting_down = true;
        self.maybe_transfer_leadership();
    }

    /// Returns whether another member is known to lead.
    pub fn has_other_leader(&self) -> bool {
        self.leader.is_some_and(|leader| leader != self.id)
    }

    /// Tells the best successor to campaign immediately, and steps down. From then on this member
    /// confirms no reads, so the early election can't conflict with a leader that relies on the
    /// election timeout.
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

    /// Returns the other voters that are in contact.
    fn voters_in_contact(&self) -> impl Iterator<Item = NodeId> {
        self.other_voters()
            .filter(|id| self.observation(*id).in_contact(&self.policy))
    }

    /// Returns the other voters that are in contact and whose disks have all entries, the most
    /// recently heard from first.
    fn up_to_date_voters(&self) -> Vec<NodeId> {
        let has_all = |id: &NodeId| self.match_index(*id) == self.log.last_index();
        let mut voters: Vec<NodeId> = self.voters_in_contact().filter(has_all).collect();
        voters.sort_by_key(|id| self.observation(*id).silence_ms);
        voters
    }

    /// Handles a transfer of leadership to this member.
    pub(super) fn handle_timeout_now(&mut self, from: NodeId) {
        if self.leader == Some(from) && !self.shutting_down {
            self.campaign(CampaignType::Transfer);
        }
    }
}
