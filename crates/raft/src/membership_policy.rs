//! Which single change of the members comes next. The reasons for each rule are in
//! `docs/design/0003-log-membership.md`.
//!
//! The number of **tolerable losses** is that of the voters in contact less a majority.
//! **Promises:** no change lowers it. A voter is removed only after it has been silent, a learner
//! becomes a voter only while it is in contact and has what is committed, and one change at a time
//! keeps any two majorities in a row overlapping (Raft thesis, section 4.1). **Member silent:** it
//! is removed after a timeout, as long as enough voters are left. **Member wiped:** it comes back
//! under another id at the same address, and the old id is removed at once.

use std::collections::BTreeMap;

use crate::{Members, NodeId, Timing};

/// After so many election timeouts of silence a voter is removed, where that helps.
///
/// A replaced machine no longer counts as lost some four seconds after its successor has started:
/// an election takes up to two timeouts of one second, and two more leave time for the changes
/// themselves. A process that restarts in place is back sooner.
const VOTER_REMOVAL_ELECTION_TIMEOUTS: u64 = 2;
/// After so many election timeouts of silence a voter is removed in any case. Without a
/// replacement, removing one of an odd number of voters frees nothing, and one that comes back is
/// still useful: longer than a machine is usually without power or cut off (16 to 20 s).
const UNCONDITIONAL_REMOVAL_ELECTION_TIMEOUTS: u64 = 30;
/// After so many election timeouts of silence a learner is removed. It counts for no majority:
/// there is no hurry.
const LEARNER_REMOVAL_ELECTION_TIMEOUTS: u64 = 10;

/// When members are removed.
#[derive(Clone, Copy, Debug)]
pub struct MembershipPolicy {
    /// A member that has answered within this time is in contact.
    pub contact_timeout_ms: u64,
    /// A voter silent for so long is removed where that makes a majority smaller or a learner is
    /// ready to replace it.
    pub voter_removal_timeout_ms: u64,
    /// A voter silent for so long is removed in any case.
    pub unconditional_removal_timeout_ms: u64,
    /// A learner silent for so long is removed.
    pub learner_removal_timeout_ms: u64,
    /// No silent voter is removed below this number of voters, but for one whose replacement is
    /// ready or whose disk is known to be lost.
    pub min_voters: usize,
}

impl MembershipPolicy {
    /// The policy for a cluster that is to tolerate the loss of so many voters at once.
    pub fn new(timing: Timing, tolerated_losses: usize) -> Self {
        let timeout = timing.election_timeout_ms;
        Self {
            contact_timeout_ms: timeout,
            voter_removal_timeout_ms: VOTER_REMOVAL_ELECTION_TIMEOUTS * timeout,
            unconditional_removal_timeout_ms: UNCONDITIONAL_REMOVAL_ELECTION_TIMEOUTS * timeout,
            learner_removal_timeout_ms: LEARNER_REMOVAL_ELECTION_TIMEOUTS * timeout,
            min_voters: 2 * tolerated_losses + 1,
        }
    }
}

/// What the leader has observed of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Milliseconds since its last response; since this leader first sent it a message, where it
    /// has not answered yet.
    pub silence_ms: u64,
    /// Whether it has answered this leader.
    pub has_responded: bool,
    /// Whether its disk has what is committed.
    pub caught_up: bool,
}

impl Observation {
    /// Whether it has answered within [`MembershipPolicy::contact_timeout_ms`].
    pub fn in_contact(&self, policy: &MembershipPolicy) -> bool {
        self.has_responded && self.silence_ms <= policy.contact_timeout_ms
    }
}

/// The members as the leader sees them.
pub struct MembershipView<'a, F: Fn(NodeId) -> Observation> {
    /// When members are removed.
    pub policy: MembershipPolicy,
    /// The members as of the last entry.
    pub members: &'a Members,
    /// Machines that ask to become members, by id, with their addresses.
    pub applicants: &'a BTreeMap<NodeId, String>,
    /// What the leader has observed of each member.
    pub observe: F,
}

impl<F: Fn(NodeId) -> Observation> MembershipView<'_, F> {
    /// The members after the next single change, if one is due. None unless a majority is in
    /// contact: the leader of a minority must not remove the others.
    pub fn next_change(&self) -> Option<Members> {
        if !self.members.is_majority(|id| self.in_contact(id)) {
            return None;
        }
        let removable = self.superseded_member().or_else(|| self.removable_voter());
        if let Some(id) = removable {
            return Some(self.members.without(id));
        }
        if let Some(id) = self.promotable_learner() {
            return Some(self.members.with_promoted(id));
        }
        if let Some((id, address)) = self.admissible_applicant() {
            return Some(self.members.with_learner(id, address));
        }
        let learner = self.removable_learner()?;
        Some(self.members.without(learner))
    }

    /// The number of voters that can still be lost with a majority left.
    pub fn tolerable_losses(&self) -> usize {
        let voters = self.members.voters.keys();
        let in_contact = voters.filter(|id| self.in_contact(**id)).count();
        in_contact.saturating_sub(self.members.quorum())
    }

    /// Whether a member has answered within [`MembershipPolicy::contact_timeout_ms`].
    pub fn in_contact(&self, id: NodeId) -> bool {
        (self.observe)(id).in_contact(&self.policy)
    }

    fn silence_ms(&self, id: NodeId) -> u64 {
        (self.observe)(id).silence_ms
    }

    /// A silent member at whose address another machine has started: its disk is lost, and it never
    /// comes back.
    fn superseded_member(&self) -> Option<NodeId> {
        let is_silent = |id| self.silence_ms(id) > self.policy.contact_timeout_ms;
        let is_replaced = |id: NodeId, address: &str| {
            let mut applicants = self.applicants.iter();
            applicants.any(|(other, other_address)| *other != id && other_address == address)
        };
        let mut members = self.members.all();
        let superseded = members.find(|(id, address)| is_replaced(*id, address) && is_silent(*id));
        superseded.map(|(id, _)| id)
    }

    /// The voter to remove for its silence: the one that has been silent for longest.
    fn removable_voter(&self) -> Option<NodeId> {
        let voters = &self.members.voters;
        let is_absent = |id: NodeId| self.silence_ms(id) >= self.policy.voter_removal_timeout_ms;
        let absent_voters = voters.keys().filter(|id| is_absent(**id)).count();
        let longest_silent = voters
            .keys()
            .copied()
            .max_by_key(|id| self.silence_ms(*id))?;
        let may_lose = |count: usize| voters.len() >= self.policy.min_voters + count;
        let is_removable = if self.has_even_voters() {
            // The majority of those left is smaller by one.
            absent_voters >= 1 && may_lose(1)
        } else {
            let has_replacement = absent_voters >= 1 && self.ready_learners().next().is_some();
            // Two removed one after the other make the majority smaller by one.
            let two_absent = absent_voters >= 2 && may_lose(2);
            let silence_ms = self.silence_ms(longest_silent);
            let is_gone = silence_ms >= self.policy.unconditional_removal_timeout_ms && may_lose(1);
            has_replacement || two_absent || is_gone
        };
        is_removable.then_some(longest_silent)
    }

    /// The learner to make a voter. Beside an even number of voters it leaves the size of a
    /// majority as it is. Beside an odd number it makes it larger: not while a voter is silent,
    /// which may be removed soon.
    fn promotable_learner(&self) -> Option<NodeId> {
        let all_in_contact = || self.members.voters.keys().all(|id| self.in_contact(*id));
        if self.has_even_voters() || all_in_contact() {
            self.ready_learners().next()
        } else {
            None
        }
    }

    /// The learners that could vote: in contact, with all that is committed on their disks.
    fn ready_learners(&self) -> impl Iterator<Item = NodeId> {
        let is_ready = |id: &NodeId| self.in_contact(*id) && (self.observe)(*id).caught_up;
        self.members.learners.keys().copied().filter(is_ready)
    }

    /// The applicant to make a learner: one at an address that no member has.
    fn admissible_applicant(&self) -> Option<(NodeId, &str)> {
        let is_new = |id: NodeId, address: &str| {
            let is_taken = self.members.all().any(|(_, known)| known == address);
            !self.members.contains(id) && !is_taken
        };
        let mut applicants = self.applicants.iter();
        let admissible = applicants.find(|(id, address)| is_new(**id, address));
        admissible.map(|(id, address)| (*id, address.as_str()))
    }

    fn removable_learner(&self) -> Option<NodeId> {
        let is_absent =
            |id: &NodeId| self.silence_ms(*id) >= self.policy.learner_removal_timeout_ms;
        self.members.learners.keys().copied().find(is_absent)
    }

    fn has_even_voters(&self) -> bool {
        self.members.voters.len().is_multiple_of(2)
    }
}
