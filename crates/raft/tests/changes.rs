//! Which single change of the members comes next, and how leadership is handed over.

mod world;

use std::collections::BTreeMap;

use raft::{Members, MembershipPolicy, MembershipView, NodeId, Observation, Role, Timing};
use world::{Network, World};

const TIMING: Timing = Timing {
    heartbeat_interval_ms: 300,
    election_timeout_ms: 1000,
};
const NETWORK: Network = Network {
    delay: 25,
    lost_in: None,
};

/// The leader's view: who is silent for how long, who is behind, who asks to take part.
#[derive(Default)]
struct Case {
    voters: u64,
    learners: Vec<NodeId>,
    silent: BTreeMap<NodeId, u64>,
    behind: Vec<NodeId>,
    unanswered: Vec<NodeId>,
    applicants: BTreeMap<NodeId, String>,
}

fn at(i: NodeId) -> String {
    format!("10.0.0.{i}:1")
}

impl Case {
    fn members(&self) -> Members {
        let named = |ids: &mut dyn Iterator<Item = NodeId>| ids.map(|id| (id, at(id))).collect();
        Members {
            voters: named(&mut (1..=self.voters)),
            learners: named(&mut self.learners.iter().copied()),
        }
    }

    fn next(&self, members: &Members, tolerated: usize) -> Option<Members> {
        let observe = |id| Observation {
            silence_ms: self.silent.get(&id).copied().unwrap_or(0),
            has_responded: !self.unanswered.contains(&id),
            caught_up: !self.behind.contains(&id),
        };
        let policy = MembershipPolicy::new(TIMING, tolerated);
        let view = MembershipView {
            policy,
            members,
            applicants: &self.applicants,
            observe,
        };
        view.next_change()
    }

    /// Voters and learners after all changes that are due now.
    fn settled(&self, tolerated: usize) -> (Vec<NodeId>, Vec<NodeId>) {
        let mut members = self.members();
        for _ in 0..20 {
            match self.next(&members, tolerated) {
                Some(next) => members = next,
                None => break,
            }
        }
        (
            members.voters.into_keys().collect(),
            members.learners.into_keys().collect(),
        )
    }
}

#[test]
fn a_wiped_machine_leaves_under_its_old_id_before_it_learns_and_then_votes() {
    let mut case = Case {
        voters: 3,
        behind: vec![9],
        ..Case::default()
    };
    case.applicants.insert(9, at(3));
    assert_eq!(
        case.next(&case.members(), 1),
        None,
        "somebody answers at that address"
    );
    case.silent.insert(3, 1001);
    let without = case.next(&case.members(), 1).expect("the old one leaves");
    assert!(!without.contains(3) && !without.contains(9));
    let learning = case.next(&without, 1).expect("the new one learns");
    assert!(learning.learners.contains_key(&9));
    assert_eq!(case.next(&learning, 1), None, "it is behind");
    case.behind.clear();
    let voting = case.next(&learning, 1).expect("it votes");
    assert!(voting.voters.contains_key(&9) && voting.learners.is_empty());
    assert_eq!(case.next(&voting, 1), None);
}

#[test]
fn silent_voters_go_only_where_that_helps_and_enough_are_left() {
    let settled = |voters, tolerated, silent: &[(NodeId, u64)], learners: &[NodeId]| {
        let silent = silent.iter().copied().collect();
        let case = Case {
            voters,
            silent,
            learners: learners.to_vec(),
            ..Case::default()
        };
        case.settled(tolerated).0
    };
    assert_eq!(
        settled(4, 1, &[(4, 1999)], &[]),
        [1, 2, 3, 4],
        "it may be starting again"
    );
    assert_eq!(
        settled(4, 1, &[(4, 2000)], &[]),
        [1, 2, 3],
        "a majority is two by then"
    );
    assert_eq!(
        settled(4, 1, &[(3, 2000), (4, 2000)], &[]),
        [1, 2, 3, 4],
        "a minority's word"
    );
    assert_eq!(
        settled(3, 1, &[(3, 29_999)], &[]),
        [1, 2, 3],
        "it may come back and help"
    );
    assert_eq!(
        settled(3, 1, &[(3, 99_999)], &[]),
        [1, 2, 3],
        "two bear no loss"
    );
    assert_eq!(
        settled(5, 1, &[(5, 29_999)], &[]),
        [1, 2, 3, 4, 5],
        "nothing is gained"
    );
    assert_eq!(
        settled(5, 1, &[(5, 30_000)], &[]),
        [1, 2, 3, 4],
        "it does not come back"
    );
    assert_eq!(
        settled(5, 1, &[(4, 2000), (5, 2000)], &[]),
        [1, 2, 3],
        "two at once do"
    );
    assert_eq!(settled(6, 2, &[(5, 2000), (6, 2500)], &[]), [1, 2, 3, 4, 5]);
    assert_eq!(settled(3, 1, &[(3, 2000)], &[7]), [1, 2, 7], "replaced");
    assert_eq!(
        settled(4, 1, &[(4, 1500)], &[7]),
        [1, 2, 3, 4, 7],
        "one more fills the majority"
    );
    assert_eq!(
        settled(3, 1, &[(3, 1500)], &[7]),
        [1, 2, 3],
        "not before 3 is given up"
    );
    assert_eq!(
        settled(3, 1, &[(7, 1500)], &[7]),
        [1, 2, 3],
        "it is not in contact itself"
    );
}

#[test]
fn a_new_leader_counts_on_nobody_who_has_not_answered_it() {
    // Failure: beside seven voters, three of them just lost, two learners were made voters in the first second.
    let unanswered = vec![3];
    let mut case = Case {
        voters: 3,
        learners: vec![7],
        unanswered,
        ..Case::default()
    };
    assert_eq!(case.next(&case.members(), 1), None, "3 may be lost as well");
    case.unanswered.clear();
    assert_eq!(case.settled(1).0, [1, 2, 3, 7]);
}

#[test]
fn learners_that_do_not_come_back_are_dropped() {
    let silent = BTreeMap::from([(7, 9_999), (8, 10_000)]);
    let case = Case {
        voters: 3,
        silent,
        learners: vec![7, 8],
        ..Case::default()
    };
    assert_eq!(case.settled(1), (vec![1, 2, 3], vec![7]));
}

/// Five milliseconds in which whoever leads gets an order now and then.
fn step(world: &mut World) {
    world.now += 5;
    for i in 0..world.machines.len() {
        world.sync_in_time(i, 2);
        world.compact(i, 40, 0);
        if let Some(core) = &mut world.machines[i].core {
            core.tick(world.now);
            if world.now.is_multiple_of(20) {
                let _ = core.propose(vec![7]);
            }
        }
    }
    world.deliver();
    (0..world.machines.len()).for_each(|i| world.carry_out(i));
    world.check();
}

#[test]
fn two_that_would_both_be_elected_do_not_split_the_votes_again_and_again() {
    // Failure: in a rehearsal with two left of three, six elections in a row had no winner, for over three seconds.
    let terms = |seed| {
        let mut world = World::new(seed, 3, TIMING, NETWORK);
        (0..300).for_each(|_| step(&mut world));
        let first = world.leader().expect("a leader");
        let term = |world: &World, i: usize| {
            world.machines[i]
                .core
                .as_ref()
                .expect("it is up")
                .status()
                .term
        };
        let before = term(&world, first);
        world.crash(first);
        while world.leader().is_none() && world.now < 60_000 {
            step(&mut world);
        }
        term(&world, world.leader().expect("another leader")) - before
    };
    let most = (0..300).map(terms).max().expect("some");
    assert!(most <= 2, "{most} elections");
}

#[test]
fn a_leader_that_ends_hands_over_within_round_trips_and_loses_nothing() {
    let mut waits = Vec::new();
    for seed in 0..50 {
        let mut world = World::new(seed, 3 + seed % 4, TIMING, NETWORK);
        (0..300).for_each(|_| step(&mut world));
        let first = world.leader().expect("a leader");
        let since = world.now;
        world.machines[first]
            .core
            .as_mut()
            .expect("it is up")
            .begin_shutdown();
        while world.leader().is_none_or(|i| i == first) && world.now < since + 10_000 {
            step(&mut world);
        }
        waits.push(world.now - since);
        let next = world.leader().expect("another leader");
        let status = world.machines[next]
            .core
            .as_ref()
            .expect("it is up")
            .status();
        assert_eq!(
            (status.role, status.last_log_index >= world.acknowledged),
            (Role::Leader, true)
        );
        // The one that left does not lead again.
        (0..600).for_each(|_| step(&mut world));
        assert_ne!(world.leader(), Some(first), "seed {seed}");
    }
    waits.sort_unstable();
    println!("median {} ms, longest {} ms", waits[25], waits[49]);
    assert!(
        waits[49] < TIMING.election_timeout_ms,
        "longest {} ms: sooner than by a time-out",
        waits[49]
    );
}
