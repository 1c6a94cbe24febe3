//! The leader's changes of the members, one at a time (Raft thesis, section 4.1). Which change
//! comes next is decided by [`MembershipView`].

use std::collections::BTreeMap;

use super::{RaftNode, Role};
use crate::{Members, MembershipPolicy, MembershipView, NodeId, Observation, Payload};

/// What the leader knows of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberReport {
    /// The member's id.
    pub id: NodeId,
    /// The member's address.
    pub address: String,
    /// Whether it is a voter; else it is a learner.
    pub voter: bool,
    /// Milliseconds since its last response.
    pub silence_ms: u64,
    /// Whether it has answered within an election timeout.
    pub in_contact: bool,
    /// The number of entries that are not known to be synced on its disk.
    pub entries_behind: u64,
}

/// What the leader knows of the members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipReport {
    /// Each member, voters first.
    pub members: Vec<MemberReport>,
    /// The number of voters that can still be lost with a majority left.
    pub tolerable_losses: usize,
}

impl RaftNode {
    /// Sets when silent members are removed.
    pub fn set_membership_policy(&mut self, policy: MembershipPolicy) {
        self.policy = policy;
    }

    /// Whether this member has to ask the others to let it take part: it has no vote, or hears no
    /// leader, maybe because it was removed while it was away.
    pub fn wants_to_join(&self) -> bool {
        !self.is_voter() || self.leader.is_none()
    }

    /// A machine asks to become a member. Only a leader takes it up; the machine repeats the
    /// request until it votes.
    pub fn handle_join_request(&mut self, id: NodeId, address: String) {
        if self.role != Role::Leader || self.members().voters.contains_key(&id) {
            return;
        }
        self.applicants.on_request(id, address, self.now);
        self.maybe_change_members();
    }

    /// Appends the next change that is due. One at a time, so that the majorities before and after
    /// it share a member, and only once an entry of this term is committed: else two leaders in a
    /// row could each add a member of their own, and their majorities need not overlap.
    pub(super) fn maybe_change_members(&mut self) {
        let has_pending = self.log.has_uncommitted_membership_change();
        let has_committed = self.log.has_committed_in(self.term);
        if self.role != Role::Leader || self.shutting_down || has_pending || !has_committed {
            return;
        }
        let timeout = self.policy.voter_removal_timeout_ms;
        let since = self.now.saturating_sub(timeout);
        self.applicants.retain(since, self.log.members());
        let applicants = self.applicants.addresses();
        let next_members = self.membership_view(&applicants).next_change();
        if let Some(members) = next_members {
            self.append(Payload::Members(members));
            self.broadcast_entries();
        }
    }

    /// What is known of the members; `None` where this member does not lead.
    pub fn membership_report(&self) -> Option<MembershipReport> {
        if self.role != Role::Leader {
            return None;
        }
        let applicants = BTreeMap::new();
        let view = self.membership_view(&applicants);
        let report = |(id, address): (NodeId, &str)| MemberReport {
            id,
            address: address.to_string(),
            voter: view.members.voters.contains_key(&id),
            silence_ms: (view.observe)(id).silence_ms,
            in_contact: view.in_contact(id),
            entries_behind: self.log.last_index() - self.match_index(id),
        };
        Some(MembershipReport {
            members: view.members.all().map(report).collect(),
            tolerable_losses: view.tolerable_losses(),
        })
    }

    fn membership_view<'a>(
        &'a self,
        applicants: &'a BTreeMap<NodeId, String>,
    ) -> MembershipView<'a, impl Fn(NodeId) -> Observation> {
        let members: &'a Members = self.members();
        MembershipView {
            policy: self.policy,
            members,
            applicants,
            observe: |id| self.observation(id),
        }
    }

    /// What this leader has observed of a member.
    pub(super) fn observation(&self, id: NodeId) -> Observation {
        let caught_up = self.match_index(id) >= self.log.commit_index();
        if id == self.id {
            return Observation {
                silence_ms: 0,
                has_responded: true,
                caught_up,
            };
        }
        let progress = self.tracker.get(id);
        Observation {
            silence_ms: progress.map_or(0, |p| self.now.saturating_sub(p.last_response_at)),
            has_responded: progress.is_some_and(|p| p.answered_sequence > 0),
            caught_up,
        }
    }
}
