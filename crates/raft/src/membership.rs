//! Which single change of the members comes next. The reasons for each rule are in `docs/design/0003-voters.md`.
//!
//! The **margin** is the number of voters in contact less a majority: the losses that can still be borne. No
//! change made here lowers it: a voter is removed only after it has been silent, a learner votes only while it is
//! in contact and has what is committed, and one change at a time keeps any two majorities in a row overlapping.

use std::collections::BTreeMap;

use crate::{Members, NodeId, Timing};

/// The time-outs after which a silent member is given up, in election time-outs.
///
/// A replaced machine no longer counts as lost some four seconds after its successor has started: an election
/// takes up to two time-outs of one second, and two more leave time for the changes themselves. A process that
/// restarts in place is back sooner.
const ABSENCE: u64 = 2;
/// Without a replacement, removing one of an odd number of voters frees nothing, and one that comes back is still
/// useful: longer than a machine is usually without power or cut off (16 to 20 s).
const LONG_ABSENCE: u64 = 30;
/// A learner weighs on no majority: there is no hurry.
const LEARNER_ABSENCE: u64 = 10;

/// When members are given up.
#[derive(Clone, Copy, Debug)]
pub struct MembershipPolicy {
    /// A member that has answered within this time is in contact.
    pub contact_timeout_ms: u64,
    /// A voter silent for so long is removed where that makes a majority smaller or a learner is ready to
    /// replace it.
    pub voter_removal_timeout_ms: u64,
    /// A voter silent for so long is removed in any case.
    pub unconditional_removal_timeout_ms: u64,
    /// A learner silent for so long is removed.
    pub learner_removal_timeout_ms: u64,
    /// No silent voter is removed below this number of voters, but for one whose replacement is ready or whose
    /// disk is known to be lost.
    pub min_voters: usize,
}

impl MembershipPolicy {
    /// The policy for a cluster that is to bear the loss of `tolerated` voters.
    pub fn new(timing: Timing, tolerated: usize) -> Self {
        Self {
            contact_timeout_ms: timing.election_timeout_ms,
            voter_removal_timeout_ms: ABSENCE * timing.election_timeout_ms,
            unconditional_removal_timeout_ms: LONG_ABSENCE * timing.election_timeout_ms,
            learner_removal_timeout_ms: LEARNER_ABSENCE * timing.election_timeout_ms,
            min_voters: 2 * tolerated + 1,
        }
    }
}

/// What the leader has observed of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The time since its last answer; since this leader first wrote to it, where it has not answered yet.
    pub silence_ms: u64,
    /// It has answered this leader.
    pub has_responded: bool,
    /// Its disk has what is committed.
    pub caught_up: bool,
}

impl Observation {
    /// Whether it has answered within an election time-out.
    pub fn in_contact(&self, policy: &MembershipPolicy) -> bool {
        self.has_responded && self.silence_ms <= policy.contact_timeout_ms
    }
}

/// The members as the leader sees them.
pub struct MembershipView<'a, F: Fn(NodeId) -> Observation> {
    /// When members are given up.
    pub policy: MembershipPolicy,
    /// The members as of the last entry.
    pub members: &'a Members,
    /// Machines that ask to take part, by id, with their addresses.
    pub applicants: &'a BTreeMap<NodeId, String>,
    /// What the leader has observed of each.
    pub observe: F,
}

impl<F: Fn(NodeId) -> Observation> MembershipView<'_, F> {
    /// The next single change, if any is due. None on the word of a minority.
    pub fn next_change(&self) -> Option<Members> {
        if !self.members.is_majority(|id| self.in_contact(id)) {
            return None;
        }
        let absent = || self.superseded().or_else(|| self.absent_voter());
        let removed = absent().map(|id| self.members.without(id));
        let promoted = || self.promotable().map(|id| self.members.with_promoted(id));
        let admitted = || {
            self.admissible()
                .map(|(id, at)| self.members.with_learner(id, at))
        };
        let dropped = || self.absent_learner().map(|id| self.members.without(id));
        removed.or_else(promoted).or_else(admitted).or_else(dropped)
    }

    /// Voters in contact beyond a majority.
    pub fn margin(&self) -> usize {
        let in_contact = self
            .members
            .voters
            .keys()
            .filter(|id| self.in_contact(**id))
            .count();
        in_contact.saturating_sub(self.members.quorum())
    }

    /// Whether a member has answered within an election time-out.
    pub fn in_contact(&self, id: NodeId) -> bool {
        (self.observe)(id).in_contact(&self.policy)
    }

    /// A member at whose address another one has come up: its disk is lost, and it never comes back.
    fn superseded(&self) -> Option<NodeId> {
        let replaced = |(id, at): &(NodeId, &str)| {
            self.applicants
                .iter()
                .any(|(other, address)| other != id && address == at)
        };
        let silent = |id| (self.observe)(id).silence_ms > self.policy.contact_timeout_ms;
        self.members
            .all()
            .find(|member| replaced(member) && silent(member.0))
            .map(|m| m.0)
    }

    /// The voter to remove for its silence: the one that has been silent for longest.
    fn absent_voter(&self) -> Option<NodeId> {
        let silence = |id: &NodeId| (self.observe)(*id).silence_ms;
        let absent = |id: &&NodeId| silence(id) >= self.policy.voter_removal_timeout_ms;
        let voters = &self.members.voters;
        let absentees = voters.keys().filter(absent).count();
        let longest = voters.keys().copied().max_by_key(silence)?;
        let may_lose = |n: usize| voters.len() >= self.policy.min_voters + n;
        let removable = if self.even() {
            // A majority of those left is one less.
            absentees >= 1 && may_lose(1)
        } else {
            let replaced = absentees >= 1 && self.ready_learners().next().is_some();
            // Two removed one after the other make a majority one less.
            let two = absentees >= 2 && may_lose(2);
            let for_good =
                silence(&longest) >= self.policy.unconditional_removal_timeout_ms && may_lose(1);
            replaced || two || for_good
        };
        removable.then_some(longest)
    }

    /// The learner to make a voter. Beside an even number of voters it leaves the size of a majority as it is.
    /// Beside an odd number it makes it larger: not while a voter is silent, which may be removed soon.
    fn promotable(&self) -> Option<NodeId> {
        let all_in_contact = || self.members.voters.keys().all(|id| self.in_contact(*id));
        if self.even() || all_in_contact() {
            self.ready_learners().next()
        } else {
            None
        }
    }

    fn ready_learners(&self) -> impl Iterator<Item = NodeId> {
        let ready = |id: &NodeId| self.in_contact(*id) && (self.observe)(*id).caught_up;
        self.members.learners.keys().copied().filter(ready)
    }

    /// The machine to admit as a learner.
    fn admissible(&self) -> Option<(NodeId, &str)> {
        let new = |(id, at): &(&NodeId, &String)| {
            !self.members.contains(**id)
                && self.members.all().all(|(_, known)| known != at.as_str())
        };
        self.applicants
            .iter()
            .find(new)
            .map(|(id, at)| (*id, at.as_str()))
    }

    fn absent_learner(&self) -> Option<NodeId> {
        let absent =
            |id: &NodeId| (self.observe)(*id).silence_ms >= self.policy.learner_removal_timeout_ms;
        self.members.learners.keys().copied().find(absent)
    }

    fn even(&self) -> bool {
        self.members.voters.len().is_multiple_of(2)
    }
}
