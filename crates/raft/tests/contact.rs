//! What a member may take for known of what was acknowledged elsewhere while it, or its leader, stood still.

use std::collections::{BTreeMap, BTreeSet};

use oorandom::Rand64;
use raft::{
    AppendEntries, Members, Message, MessageBody, NodeId, PersistentState, RaftNode, ReadState,
    Role, Snapshot, Timing,
};

const TIMING: Timing = Timing {
    heartbeat_interval_ms: 300,
    election_timeout_ms: 1000,
};
const SIZE: usize = 5;
const STEP: u64 = 10;
const DELAY: u64 = 20;
const PROPOSE: u64 = 100;

struct Group {
    rng: Rand64,
    now: u64,
    cores: Vec<RaftNode>,
    mail: Vec<(u64, Message)>,
    frozen: BTreeSet<usize>,
    /// Pairs that do not reach each other.
    cut: BTreeSet<(usize, usize)>,
    /// Whether the leader is given an entry every now and then.
    proposes: bool,
    /// When the last acknowledged index moved on.
    acknowledged: Vec<(u64, u64)>,
    reads: BTreeMap<u64, u64>,
    /// How often contact moved on at a member.
    proven: usize,
    contacts: Vec<Option<u64>>,
}

impl Group {
    fn new(seed: u64) -> Self {
        let voters = (1..=SIZE as NodeId)
            .map(|id| (id, id.to_string()))
            .collect();
        let snapshot = Snapshot::initial(Members {
            voters,
            ..Members::default()
        });
        let stored = PersistentState {
            snapshot: Some(snapshot),
            ..PersistentState::default()
        };
        let core = |i: usize| {
            let (id, stored) = (i as NodeId + 1, stored.clone());
            RaftNode::new(id, TIMING, seed * 10 + id, stored, Members::default())
        };
        let mut group = Self {
            rng: Rand64::new(u128::from(seed)),
            now: 0,
            cores: (0..SIZE).map(core).collect(),
            mail: Vec::new(),
            frozen: BTreeSet::new(),
            cut: BTreeSet::new(),
            proposes: true,
            acknowledged: Vec::new(),
            reads: BTreeMap::new(),
            proven: 0,
            contacts: vec![None; SIZE],
        };
        while group.leader().is_none() {
            group.step();
        }
        (0..100).for_each(|_| group.step());
        group
    }

    fn leader(&self) -> Option<usize> {
        let leads = |i: &usize| self.cores[*i].status().role == Role::Leader;
        (0..SIZE).find(|i| leads(i) && !self.frozen.contains(i))
    }

    /// Asks at a member for contact and a read.
    fn ask(&mut self, i: usize) {
        let token = self.rng.rand_u64();
        self.cores[i].advance_clock(self.now);
        self.cores[i].request_quorum_contact(token);
        self.reads.insert(
            token,
            self.acknowledged.last().map_or(0, |(_, index)| *index),
        );
        self.cores[i].request_read(token);
        self.carry_out(i);
    }

    fn step(&mut self) {
        self.now += STEP;
        let (now, frozen) = (self.now, self.frozen.clone());
        let place = |id: NodeId| id as usize - 1;
        let (mut due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|(at, m)| *at <= now && !frozen.contains(&place(m.to)));
        self.mail = later;
        // What waited at one that stood is read in any order: it came on several connections.
        due.sort_by_cached_key(|_| self.rng.rand_u64());
        for (_, message) in due {
            let to = place(message.to);
            self.cores[to].advance_clock(now);
            self.cores[to].step(message);
            self.carry_out(to);
        }
        for i in (0..SIZE).filter(|i| !frozen.contains(i)) {
            self.cores[i].tick(now);
            if self.proposes && now.is_multiple_of(PROPOSE) {
                self.cores[i].propose(Vec::new());
            }
            self.carry_out(i);
        }
    }

    fn carry_out(&mut self, i: usize) {
        loop {
            let out = self.cores[i].take_ready();
            for m in out.messages {
                if !self
                    .cut
                    .contains(&(i.min(m.to as usize - 1), i.max(m.to as usize - 1)))
                {
                    self.mail.push((self.now + DELAY, m));
                }
            }
            let leads = self.cores[i].status().role == Role::Leader;
            let known = self.acknowledged.last().map_or(0, |(_, index)| *index);
            if let Some(last) = out
                .committed_entries
                .last()
                .filter(|e| leads && e.index > known)
            {
                self.acknowledged.push((self.now, last.index));
            }
            for ReadState { token, index } in out.read_states {
                let before = self.reads.remove(&token).expect("asked once");
                assert!(
                    index.is_none_or(|index| index >= before),
                    "read {index:?} of {before}"
                );
            }
            if out.persist_requests.is_empty() {
                break;
            }
            out.persist_requests
                .iter()
                .for_each(|s| self.cores[i].on_persisted(s.sequence));
        }
        let contact = self.cores[i].quorum_contact_at();
        let before = self
            .acknowledged
            .partition_point(|(at, _)| Some(*at) < contact);
        let covered = before
            .checked_sub(1)
            .map_or(0, |last| self.acknowledged[last].1);
        let commit = self.cores[i].status().commit_index;
        assert!(
            commit >= covered,
            "{commit} passes for {covered}, up to {contact:?}"
        );
        self.proven += usize::from(contact > self.contacts[i]);
        self.contacts[i] = contact;
    }
}

/// The leader stands still while the others elect another one; a follower that is cut off from them goes on
/// asking it. What it answers when it wakes must not pass for what is acknowledged by then.
#[test]
fn a_leader_that_wakes_vouches_for_nothing_that_came_after_it_stood() {
    let mut proven = 0;
    for seed in 0..60 {
        let mut group = Group::new(seed);
        let old = group.leader().expect("one leads");
        let follower = (old + 1) % SIZE;
        let cut_off = |group: &mut Group, i: usize| {
            let others = (0..SIZE).filter(|other| *other != old && *other != follower);
            group
                .cut
                .extend(others.map(|other| (other.min(i), other.max(i))));
        };
        cut_off(&mut group, follower);
        let stands = 1200 + group.rng.rand_range(0..1200);
        let until = group.now + stands;
        group.frozen.insert(old);
        // What answers its last round arrives; nobody tells it of the new leader.
        (0..2 * DELAY / STEP).for_each(|_| group.step());
        cut_off(&mut group, old);
        while group.now < until {
            group.step();
            if group.rng.rand_range(0..8) == 0 {
                group.ask(follower);
            }
        }
        let before = group.proven;
        group.frozen.clear();
        (0..300).for_each(|_| group.step());
        proven += group.proven - before;
    }
    assert!(proven > 0, "nobody was in contact again");
}

/// A follower stands still with the leader's answers in its queue, while more is acknowledged.
#[test]
fn a_follower_that_wakes_takes_no_answer_for_newer_than_its_question() {
    let mut proven = 0;
    for seed in 0..20 {
        let mut group = Group::new(seed);
        let follower = (group.leader().expect("one leads") + 1) % SIZE;
        for _ in 0..4 {
            group.ask(follower);
            // The leader's answer is on its way, or comes while it stands.
            (0..group.rng.rand_range(0..4)).for_each(|_| group.step());
            group.frozen.insert(follower);
            (0..300).for_each(|_| group.step());
            let before = group.contacts[follower];
            group.frozen.clear();
            (0..10).for_each(|_| group.step());
            proven += usize::from(group.contacts[follower] > before);
        }
    }
    assert!(proven > 0, "no answer was taken");
}

/// However many ask at once, at however many members: a round or two serves them all.
#[test]
fn a_crowd_of_reads_costs_two_rounds() {
    let mut group = Group::new(7);
    let leader = group.leader().expect("one leads");
    group.proposes = false;
    (0..20).for_each(|_| group.step());
    let before = group.mail.len();
    (0..40).for_each(|n| group.ask(n % SIZE));
    let asked = group.mail.len() - before;
    // One read of each follower is under way, eight questions for contact; the leader begins one round.
    assert!(
        asked <= (SIZE - 1) * 10 + 2 * SIZE,
        "{asked} messages for 40 reads"
    );
    let mut rounds = BTreeSet::new();
    while !group.reads.is_empty() {
        group.step();
        let of_leader = group
            .mail
            .iter()
            .filter(|(_, m)| m.from == leader as NodeId + 1);
        rounds.extend(of_leader.filter_map(|(_, m)| match m.body {
            MessageBody::AppendEntries(AppendEntries {
                sequence: round, ..
            }) => Some(round),
            _ => None,
        }));
        assert!(group.now < 10_000, "not all were served");
    }
    // One may be under way already, and a heartbeat may fall due.
    assert!(rounds.len() <= 4, "{rounds:?}");
}
