//! The leader's changes of the members, and what it knows of each.

use std::collections::BTreeMap;

use super::{RaftNode, Role};
use crate::membership::{MembershipPolicy, MembershipView, Observation};
use crate::{Members, NodeId, Payload};

/// A machine that asks to take part.
#[derive(Debug)]
pub(super) struct Applicant {
    address: String,
    asked: u64,
}

/// What the leader knows of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberReport {
    /// Its id.
    pub id: NodeId,
    /// Its address.
    pub address: String,
    /// Whether it votes.
    pub voter: bool,
    /// The time since its last answer.
    pub silence_ms: u64,
    /// Whether it has answered within an election time-out.
    pub in_contact: bool,
    /// The number of entries that are not known to be on its disk.
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
    /// Sets when members are given up.
    pub fn set_membership_policy(&mut self, policy: MembershipPolicy) {
        self.policy = policy;
    }

    /// Whether this member has to ask the others to let it take part: it does not vote, or no leader talks to it,
    /// maybe because it was removed while it was away.
    pub fn wants_to_join(&self) -> bool {
        !self.members().voters.contains_key(&self.id) || self.leader.is_none()
    }

    /// A machine asks to take part. Heeded only by the leader, and asked again until it does.
    pub fn handle_join_request(&mut self, id: NodeId, address: String) {
        if self.role != Role::Leader || self.members().voters.contains_key(&id) {
            return;
        }
        // One address has one machine, and it has one life at a time.
        self.joining.retain(|_, known| known.address != address);
        self.joining.insert(
            id,
            Applicant {
                address,
                asked: self.now,
            },
        );
        self.change_members();
    }

    /// One change at a time, each upon a commit of this term: two majorities in a row always share a member.
    pub(super) fn change_members(&mut self) {
        let pending = self
            .log
            .iter()
            .any(|e| e.index > self.commit && matches!(e.payload, Payload::Members(_)));
        let current = self.term_at(self.commit) == Some(self.term);
        if self.role != Role::Leader || self.leaving || pending || !current {
            return;
        }
        let oldest = self
            .now
            .saturating_sub(self.policy.voter_removal_timeout_ms);
        let voters = self.members().voters.clone();
        self.joining
            .retain(|id, known| known.asked >= oldest && !voters.contains_key(id));
        let applicants = self.applicants();
        let next = self.view(self.members(), &applicants).next_change();
        if let Some(next) = next {
            self.append(Payload::Members(next));
            self.broadcast(false);
        }
    }

    /// What is known of the members; `None` where this one does not lead.
    pub fn membership_report(&self) -> Option<MembershipReport> {
        if self.role != Role::Leader {
            return None;
        }
        let applicants = BTreeMap::new();
        let view = self.view(self.members(), &applicants);
        let report = |(id, address): (NodeId, &str)| MemberReport {
            id,
            address: address.to_string(),
            voter: view.members.voters.contains_key(&id),
            silence_ms: (view.observe)(id).silence_ms,
            in_contact: view.in_contact(id),
            entries_behind: self.last() - self.matched(id),
        };
        Some(MembershipReport {
            members: view.members.all().map(report).collect(),
            tolerable_losses: view.margin(),
        })
    }

    fn applicants(&self) -> BTreeMap<NodeId, String> {
        self.joining
            .iter()
            .map(|(id, known)| (*id, known.address.clone()))
            .collect()
    }

    fn view<'a>(
        &'a self,
        members: &'a Members,
        applicants: &'a BTreeMap<NodeId, String>,
    ) -> MembershipView<'a, impl Fn(NodeId) -> Observation> {
        MembershipView {
            policy: self.policy,
            members,
            applicants,
            observe: |id| self.observation(id),
        }
    }

    pub(super) fn observation(&self, id: NodeId) -> Observation {
        let caught_up = self.matched(id) >= self.commit;
        if id == self.id {
            return Observation {
                silence_ms: 0,
                has_responded: true,
                caught_up,
            };
        }
        let progress = self.progress.get(&id);
        let silence = progress.map_or(0, |p| self.now.saturating_sub(p.heard));
        let answered = progress.is_some_and(|p| p.round > 0);
        Observation {
            silence_ms: silence,
            has_responded: answered,
            caught_up,
        }
    }

    /// The last entry known to be on a member's disk.
    pub(super) fn matched(&self, id: NodeId) -> u64 {
        if id == self.id {
            return self.synced.min(self.last());
        }
        self.progress.get(&id).map_or(0, |p| p.matched)
    }
}
