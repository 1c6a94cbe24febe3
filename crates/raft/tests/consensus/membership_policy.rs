//! Tests which membership change the policy chooses next from the leader's observations.

use std::collections::BTreeMap;

use raft::{Members, MembershipPolicy, MembershipView, NodeId, Observation};

use crate::support::TIMING;

/// A leader's observations: how long each member has been silent, which members are behind or have
/// not responded yet, and which machines request to join.
#[derive(Default)]
struct Case {
    voters: u64,
    learners: Vec<NodeId>,
    silence_ms: BTreeMap<NodeId, u64>,
    behind: Vec<NodeId>,
    unanswered: Vec<NodeId>,
    applicants: BTreeMap<NodeId, String>,
}

fn address(id: NodeId) -> String {
    format!("10.0.0.{id}:1")
}

fn ids(members: &BTreeMap<NodeId, String>) -> Vec<NodeId> {
    members.keys().copied().collect()
}

impl Case {
    fn members(&self) -> Members {
        let named =
            |ids: &mut dyn Iterator<Item = NodeId>| ids.map(|id| (id, address(id))).collect();
        Members {
            voters: named(&mut (1..=self.voters)),
            learners: named(&mut self.learners.iter().copied()),
        }
    }

    /// Returns the members after the next change, or `None` if no change is due.
    fn next_members(&self, members: &Members, tolerated_losses: usize) -> Option<Members> {
        let observe = |id| Observation {
            silence_ms: self.silence_ms.get(&id).copied().unwrap_or(0),
            has_responded: !self.unanswered.contains(&id),
            caught_up: !self.behind.contains(&id),
        };
        let policy = MembershipPolicy::new(TIMING, tolerated_losses);
        let view = MembershipView {
            policy,
            members,
            applicants: &self.applicants,
            observe,
        };
        view.next_change()
    }

    /// Returns the members after all changes that are due now.
    fn settled_members(&self, tolerated_losses: usize) -> Members {
        let mut members = self.members();
        for _ in 0..20 {
            match self.next_members(&members, tolerated_losses) {
                Some(next) => members = next,
                None => break,
            }
        }
        members
    }
}

#[test]
fn wiped_machine_is_replaced_step_by_step() {
    let mut case = Case {
        voters: 3,
        behind: vec![9],
        ..Case::default()
    };
    case.applicants.insert(9, address(3));
    assert_eq!(
        case.next_members(&case.members(), 1),
        None,
        "the old machine still responds"
    );
    case.silence_ms.insert(3, 1001);
    let without = case
        .next_members(&case.members(), 1)
        .expect("the old machine is removed");
    assert!(!without.contains(3) && !without.contains(9));
    let learning = case
        .next_members(&without, 1)
        .expect("the new machine becomes a learner");
    assert!(learning.learners.contains_key(&9));
    assert_eq!(
        case.next_members(&learning, 1),
        None,
        "the learner is still behind"
    );
    case.behind.clear();
    let voting = case
        .next_members(&learning, 1)
        .expect("the learner becomes a voter");
    assert!(voting.voters.contains_key(&9) && voting.learners.is_empty());
    assert_eq!(case.next_members(&voting, 1), None);
}

/// Returns the voters after all changes that are due, given each member's silence in milliseconds.
fn settled_voters(
    voters: u64,
    tolerated_losses: usize,
    silence_ms: &[(NodeId, u64)],
    learners: &[NodeId],
) -> Vec<NodeId> {
    let case = Case {
        voters,
        silence_ms: silence_ms.iter().copied().collect(),
        learners: learners.to_vec(),
        ..Case::default()
    };
    ids(&case.settled_members(tolerated_losses).voters)
}

#[test]
fn silent_voters_are_removed_only_if_that_helps() {
    assert_eq!(
        settled_voters(4, 1, &[(4, 1999)], &[]),
        [1, 2, 3, 4],
        "the silent voter may be restarting"
    );
    assert_eq!(
        settled_voters(4, 1, &[(4, 2000)], &[]),
        [1, 2, 3],
        "removal lowers the majority to two"
    );
    assert_eq!(
        settled_voters(4, 1, &[(3, 2000), (4, 2000)], &[]),
        [1, 2, 3, 4],
        "the responding voters are not a majority"
    );
    assert_eq!(
        settled_voters(3, 1, &[(3, 29_999)], &[]),
        [1, 2, 3],
        "the voter may return and restore the tolerance"
    );
    assert_eq!(
        settled_voters(3, 1, &[(3, 99_999)], &[]),
        [1, 2, 3],
        "two voters tolerate no loss"
    );
    assert_eq!(
        settled_voters(5, 1, &[(5, 29_999)], &[]),
        [1, 2, 3, 4, 5],
        "removal does not lower the majority"
    );
    assert_eq!(
        settled_voters(5, 1, &[(5, 30_000)], &[]),
        [1, 2, 3, 4],
        "the voter counts as lost for good"
    );
    assert_eq!(
        settled_voters(5, 1, &[(4, 2000), (5, 2000)], &[]),
        [1, 2, 3],
        "removing both lowers the majority"
    );
    assert_eq!(
        settled_voters(6, 2, &[(5, 2000), (6, 2500)], &[]),
        [1, 2, 3, 4, 5]
    );
}

#[test]
fn silent_voters_are_replaced_by_ready_learners() {
    assert_eq!(
        settled_voters(3, 1, &[(3, 2000)], &[7]),
        [1, 2, 7],
        "the learner replaces the silent voter"
    );
    assert_eq!(
        settled_voters(4, 1, &[(4, 1500)], &[7]),
        [1, 2, 3, 4, 7],
        "a fifth voter does not raise the majority"
    );
    assert_eq!(
        settled_voters(3, 1, &[(3, 1500)], &[7]),
        [1, 2, 3],
        "no promotion before voter 3 is removed"
    );
    assert_eq!(
        settled_voters(3, 1, &[(7, 1500)], &[7]),
        [1, 2, 3],
        "the learner itself is silent"
    );
}

#[test]
fn unanswered_members_are_not_in_contact() {
    // With seven voters, three of which had just been lost, two learners were once promoted within
    // the first second.
    let mut case = Case {
        voters: 3,
        learners: vec![7],
        unanswered: vec![3],
        ..Case::default()
    };
    assert_eq!(
        case.next_members(&case.members(), 1),
        None,
        "voter 3 may be lost as well"
    );
    case.unanswered.clear();
    assert_eq!(ids(&case.settled_members(1).voters), [1, 2, 3, 7]);
}

#[test]
fn silent_learners_are_removed() {
    let case = Case {
        voters: 3,
        silence_ms: BTreeMap::from([(7, 9_999), (8, 10_000)]),
        learners: vec![7, 8],
        ..Case::default()
    };
    let members = case.settled_members(1);
    assert_eq!(
        (ids(&members.voters), ids(&members.learners)),
        (vec![1, 2, 3], vec![7])
    );
}
