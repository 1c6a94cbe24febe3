//! Membership changes by the leader, one at a time (Raft thesis, section 4.1). [`MembershipView`]
//! decides which change comes next.

use std::collections::BTreeMap;

use super::{RaftNode, Role};
use crate::{Members, MembershipPolicy, MembershipView, NodeId, Observation, Payload};

/// The leader's view of one member, for status reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberReport {
    /// The member's id.
    pub id: NodeId,
    /// The member's address.
    pub address: String,
    /// Whether the member is a voter; otherwise it is a learner.
    pub voter: bool,
    /// Milliseconds since the member's last response.
    pub silence_ms: u64,
    /// Whether the member has responded within an election timeout.
    pub in_contact: bool,
    /// The number of entries not known to be synced on the member's disk.
    pub entries_behind: u64,
}

/// The leader's view of the membership, for status reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipReport {
    /// All members, voters first.
    pub members: Vec<MemberReport>,
    /// The number of voters that can still be lost without losing the majority.
    pub tolerable_losses: usize,
}

impl RaftNode {
    /// Sets the policy that decides when unresponsive members are removed.
    pub fn set_membership_policy(&mut self, policy: MembershipPolicy) {
        self.policy = policy;
    }

    /// Returns whether this member has to send join requests to the others: it is not a voter, or
    /// knows no leader, possibly because it was removed while it was unreachable.
    pub fn wants_to_join(&self) -> bool {
        !self.is_voter() || self.leader.is_none()
    }

    /// Handles a node's request to become a member. Only a leader acts on it; the node repeats the
    /// request until it is a voter.
    pub fn handle_join_request(&mut self, id: NodeId, address: String) {
        if self.role != Role::Leader || self.members().voters.contains_key(&id) {
            return;
        }
        self.applicants.on_request(id, address, self.now);
        self.maybe_change_members();
    }

    /// Appends the next membership change, if one is due.
    ///
    /// Only one change is in progress at a time, so that the majorities before and after it
    /// overlap. The leader also waits until an entry of its own term is committed: otherwise two
    /// successive leaders could each add a member, and their majorities might not overlap.
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

    /// Returns the leader's view of the membership, or `None` if this member does not lead.
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

    /// Returns what this leader has observed of a member.
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
