//! Decides which single membership change comes next. The reasons for each rule are in
//! `docs/design/0003-log-membership.md`.
//!
//! The number of **tolerable losses** is the number of voters in contact minus a majority. No
//! change lowers it. A voter is removed only after it has been unresponsive for a while, and a
//! learner is promoted only while it is in contact and has all committed entries. Changing one
//! member at a time keeps consecutive majorities overlapping (Raft thesis, section 4.1).
//!
//! An unresponsive member is removed after a timeout as long as enough voters remain. A machine
//! that loses its disk returns under a new id at the same address, and its old id is then removed
//! at once.

use std::collections::BTreeMap;

use crate::{Members, NodeId, Timing};

/// The number of election timeouts without a response after which a voter is removed if that makes
/// the majority smaller or if a learner is ready to replace it.
///
/// With this value, a replaced machine no longer counts as lost about four seconds after its
/// replacement has started: an election takes up to two timeouts of one second, and two more leave
/// time for the membership changes themselves. A process that restarts in place is back sooner.
const VOTER_REMOVAL_ELECTION_TIMEOUTS: u64 = 2;
/// The number of election timeouts without a response after which a voter is removed even if the
/// majority stays the same size and no learner is ready to replace it.
///
/// Without a replacement, removing one of an odd number of voters does not make the majority
/// smaller, and a voter that comes back is still useful. The timeout is therefore longer than
/// machines are usually without power or network (16 to 20 s).
const UNCONDITIONAL_REMOVAL_ELECTION_TIMEOUTS: u64 = 30;
/// The number of election timeouts without a response after which a learner is removed. Learners
/// count toward no majority, so this is not urgent.
const LEARNER_REMOVAL_ELECTION_TIMEOUTS: u64 = 10;

/// The timeouts and limits for removing members.
#[derive(Clone, Copy, Debug)]
pub struct MembershipPolicy {
    /// A member that has responded within this time is in contact.
    pub contact_timeout_ms: u64,
    /// A voter that is unresponsive for this long is removed if that makes the majority smaller or
    /// if a learner is ready to replace it.
    pub voter_removal_timeout_ms: u64,
    /// A voter that is unresponsive for this long is removed even if the majority stays the same
    /// size, as long as [`min_voters`](Self::min_voters) remain.
    pub unconditional_removal_timeout_ms: u64,
    /// A learner that is unresponsive for this long is removed.
    pub learner_removal_timeout_ms: u64,
    /// The minimum number of voters that removals leave. A voter whose disk is known to be lost, or
    /// whose replacement is ready, is removed even below it.
    pub min_voters: usize,
}

impl MembershipPolicy {
    /// Returns the policy for a cluster that has to tolerate the simultaneous loss of
    /// `tolerated_losses` voters.
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
    /// Milliseconds since the member's last response, or since this leader first sent it a message
    /// if it has not responded yet.
    pub silence_ms: u64,
    /// Whether the member has responded to this leader.
    pub has_responded: bool,
    /// Whether the member's disk has all committed entries.
    pub caught_up: bool,
}

impl Observation {
    /// Returns whether the member has responded within [`MembershipPolicy::contact_timeout_ms`].
    pub fn in_contact(&self, policy: &MembershipPolicy) -> bool {
        self.has_responded && self.silence_ms <= policy.contact_timeout_ms
    }
}

/// The leader's view of the membership, on which it decides changes.
pub struct MembershipView<'a, F: Fn(NodeId) -> Observation> {
    /// The timeouts and limits for removing members.
    pub policy: MembershipPolicy,
    /// The membership as of the last log entry.
    pub members: &'a Members,
    /// Nodes that have requested membership, by id, with their addresses.
    pub applicants: &'a BTreeMap<NodeId, String>,
    /// Returns what the leader has observed of a member.
    pub observe: F,
}

impl<F: Fn(NodeId) -> Observation> MembershipView<'_, F> {
    /// Returns the membership after the next single change, if one is due. Returns `None` unless a
    /// majority is in contact: a leader in a minority partition must not remove the other members.
    pub fn next_change(&self) -> Option<Members> {
        if !self.members.is_majority(|id| self.in_contact(id)) {
            return None;
        }
        let removable = self.replaced_member().or_else(|| self.removable_voter());
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

    /// Returns the number of voters that can still be lost without losing the majority.
    pub fn tolerable_losses(&self) -> usize {
        let voters = self.members.voters.keys();
        let in_contact = voters.filter(|id| self.in_contact(**id)).count();
        in_contact.saturating_sub(self.members.quorum())
    }

    /// Returns whether a member has responded within [`MembershipPolicy::contact_timeout_ms`].
    pub fn in_contact(&self, id: NodeId) -> bool {
        (self.observe)(id).in_contact(&self.policy)
    }

    fn silence_ms(&self, id: NodeId) -> u64 {
        (self.observe)(id).silence_ms
    }

    /// Returns an unresponsive member whose address is used by another node now: its disk is lost,
    /// and it never comes back.
    fn replaced_member(&self) -> Option<NodeId> {
        let is_silent = |id| self.silence_ms(id) > self.policy.contact_timeout_ms;
        let is_replaced = |id: NodeId, address: &str| {
            let mut applicants = self.applicants.iter();
            applicants.any(|(other, other_address)| *other != id && other_address == address)
        };
        let mut members = self.members.all();
        let replaced = members.find(|(id, address)| is_replaced(*id, address) && is_silent(*id));
        replaced.map(|(id, _)| id)
    }

    /// Returns the voter to remove, if any: the one that has been unresponsive for longest.
    fn removable_voter(&self) -> Option<NodeId> {
        let voters = &self.members.voters;
        let is_timed_out = |id: NodeId| self.silence_ms(id) >= self.policy.voter_removal_timeout_ms;
        let timed_out_voters = voters.keys().filter(|id| is_timed_out(**id)).count();
        let longest_silent = voters
            .keys()
            .copied()
            .max_by_key(|id| self.silence_ms(*id))?;
        let can_remove = |count: usize| voters.len() >= self.policy.min_voters + count;
        let is_removable = if self.has_even_voters() {
            // Removing one of an even number of voters makes the majority smaller by one.
            timed_out_voters >= 1 && can_remove(1)
        } else {
            let has_replacement = timed_out_voters >= 1 && self.ready_learners().next().is_some();
            // Removing two voters in succession makes the majority smaller by one.
            let two_timed_out = timed_out_voters >= 2 && can_remove(2);
            let silence_ms = self.silence_ms(longest_silent);
            let past_unconditional_timeout =
                silence_ms >= self.policy.unconditional_removal_timeout_ms && can_remove(1);
            has_replacement || two_timed_out || past_unconditional_timeout
        };
        is_removable.then_some(longest_silent)
    }

    /// Returns the learner to promote to voter, if any. If the number of voters is even, the
    /// promotion leaves the size of a majority unchanged. If it is odd, the promotion increases
    /// that size, so it has to wait while any voter is unresponsive and may soon be removed.
    fn promotable_learner(&self) -> Option<NodeId> {
        let all_in_contact = || self.members.voters.keys().all(|id| self.in_contact(*id));
        if self.has_even_voters() || all_in_contact() {
            self.ready_learners().next()
        } else {
            None
        }
    }

    /// Returns the learners that are ready to vote: in contact, and with all committed entries on
    /// their disks.
    fn ready_learners(&self) -> impl Iterator<Item = NodeId> {
        let is_ready = |id: &NodeId| self.in_contact(*id) && (self.observe)(*id).caught_up;
        self.members.learners.keys().copied().filter(is_ready)
    }

    /// Returns the applicant to add as a learner, if any: one whose address no member has.
    fn admissible_applicant(&self) -> Option<(NodeId, &str)> {
        let is_new = |id: NodeId, address: &str| {
            let is_address_used = self
                .members
                .all()
                .any(|(_, known_address)| known_address == address);
            !self.members.contains(id) && !is_address_used
        };
        let mut applicants = self.applicants.iter();
        let admissible = applicants.find(|(id, address)| is_new(**id, address));
        admissible.map(|(id, address)| (*id, address.as_str()))
    }

    fn removable_learner(&self) -> Option<NodeId> {
        let is_timed_out =
            |id: &NodeId| self.silence_ms(*id) >= self.policy.learner_removal_timeout_ms;
        self.members.learners.keys().copied().find(is_timed_out)
    }

    fn has_even_voters(&self) -> bool {
        self.members.voters.len().is_multiple_of(2)
    }
}
