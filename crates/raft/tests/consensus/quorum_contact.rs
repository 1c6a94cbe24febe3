//! Tests that quorum contact and reads stay correct while a member or its leader is frozen: a
//! member must not claim to know entries that were acknowledged elsewhere in the meantime.

use std::collections::{BTreeMap, BTreeSet};

use oorandom::Rand64;
use raft::{AppendEntries, Message, MessageBody, NodeId, RaftNode, ReadState};

use crate::support;

const CLUSTER_SIZE: usize = 5;
const STEP_MS: u64 = 10;
const MESSAGE_DELAY_MS: u64 = 20;
const PROPOSE_INTERVAL_MS: u64 = 100;

/// A cluster whose disks sync at once and whose processes can be frozen.
struct Cluster {
    rng: Rand64,
    now: u64,
    nodes: Vec<RaftNode>,
    /// Messages with their arrival times.
    in_flight: Vec<(u64, Message)>,
    frozen: BTreeSet<usize>,
    /// Pairs of members that cannot reach each other, the smaller index first.
    partitions: BTreeSet<(usize, usize)>,
    /// Whether an entry is proposed every `PROPOSE_INTERVAL_MS`.
    has_proposals: bool,
    /// The time and the new value of each rise of the acknowledged index.
    acknowledged_history: Vec<(u64, u64)>,
    /// The acknowledged index when each pending read was requested, by token.
    reads: BTreeMap<u64, u64>,
    /// The time as of which each member was last in quorum contact.
    contacts: Vec<Option<u64>>,
    /// The number of times that a member's contact time advanced.
    contact_advances: usize,
}

fn index_of(id: NodeId) -> usize {
    id as usize - 1
}

impl Cluster {
    fn new(seed: u64) -> Self {
        let stored = support::initial_state(support::voters(1..=CLUSTER_SIZE as NodeId));
        let node = |id: NodeId| support::start_node(id, seed * 10 + id, stored.clone());
        let mut cluster = Self {
            rng: Rand64::new(u128::from(seed)),
            now: 0,
            nodes: (1..=CLUSTER_SIZE as NodeId).map(node).collect(),
            in_flight: Vec::new(),
            frozen: BTreeSet::new(),
            partitions: BTreeSet::new(),
            has_proposals: true,
            acknowledged_history: Vec::new(),
            reads: BTreeMap::new(),
            contacts: vec![None; CLUSTER_SIZE],
            contact_advances: 0,
        };
        while cluster.leader().is_none() {
            cluster.step();
        }
        cluster.steps(100);
        cluster
    }

    fn leader(&self) -> Option<usize> {
        let is_leader = |i: &usize| support::is_leader(&self.nodes[*i]);
        (0..CLUSTER_SIZE).find(|i| is_leader(i) && !self.frozen.contains(i))
    }

    fn acknowledged(&self) -> u64 {
        let last = self.acknowledged_history.last();
        last.map_or(0, |(_, index)| *index)
    }

    /// Cuts the links between `i` and all members other than `kept`.
    fn partition(&mut self, i: usize, kept: [usize; 2]) {
        let others = (0..CLUSTER_SIZE).filter(|other| !kept.contains(other));
        let pairs = others.map(|other| (other.min(i), other.max(i)));
        self.partitions.extend(pairs);
    }

    /// Requests quorum contact and a read at a member.
    fn request_contact_and_read(&mut self, i: usize) {
        let token = self.rng.rand_u64();
        let acknowledged = self.acknowledged();
        self.nodes[i].advance_clock(self.now);
        self.nodes[i].request_quorum_contact(token);
        self.reads.insert(token, acknowledged);
        self.nodes[i].request_read(token);
        self.handle_ready(i);
    }

    fn steps(&mut self, count: u64) {
        (0..count).for_each(|_| self.step());
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let (now, frozen) = (self.now, self.frozen.clone());
        let (mut due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, m)| *at <= now && !frozen.contains(&index_of(m.to)));
        self.in_flight = later;
        // Messages that waited at a frozen process are read in any order, since they arrived on
        // several connections.
        due.sort_by_cached_key(|_| self.rng.rand_u64());
        for (_, message) in due {
            let to = index_of(message.to);
            self.nodes[to].advance_clock(now);
            self.nodes[to].step(message);
            self.handle_ready(to);
        }
        for i in (0..CLUSTER_SIZE).filter(|i| !frozen.contains(i)) {
            self.nodes[i].tick(now);
            if self.has_proposals && now.is_multiple_of(PROPOSE_INTERVAL_MS) {
                self.nodes[i].propose(Vec::new());
            }
            self.handle_ready(i);
        }
    }

    fn handle_ready(&mut self, i: usize) {
        loop {
            let ready = self.nodes[i].take_ready();
            support::sync(&mut self.nodes[i], &ready);
            for message in ready.messages {
                let to = index_of(message.to);
                if !self.partitions.contains(&(i.min(to), i.max(to))) {
                    let arrives_at = self.now + MESSAGE_DELAY_MS;
                    self.in_flight.push((arrives_at, message));
                }
            }
            let is_leader = support::is_leader(&self.nodes[i]);
            let last = ready.committed_entries.last().map_or(0, |e| e.index);
            if is_leader && last > self.acknowledged() {
                self.acknowledged_history.push((self.now, last));
            }
            for ReadState { token, index } in ready.read_states {
                let before = self.reads.remove(&token).expect("requested once");
                assert!(
                    index.is_none_or(|index| index >= before),
                    "a read returned index {index:?}, but {before} was acknowledged before the request"
                );
            }
            if ready.persist_requests.is_empty() {
                break;
            }
        }
        self.check_contact(i);
    }

    /// Checks that a member has committed all entries acknowledged before its contact time.
    fn check_contact(&mut self, i: usize) {
        let contact = self.nodes[i].quorum_contact_at();
        let history = &self.acknowledged_history;
        let before = history.partition_point(|(at, _)| Some(*at) < contact);
        let covered = before.checked_sub(1).map_or(0, |last| history[last].1);
        let commit_index = self.nodes[i].status().commit_index;
        assert!(
            commit_index >= covered,
            "in quorum contact as of {contact:?} with commit index {commit_index}, but {covered} was \
             acknowledged before"
        );
        self.contact_advances += usize::from(contact > self.contacts[i]);
        self.contacts[i] = contact;
    }
}

/// The leader is frozen while the other members elect another one, and a follower that is cut off
/// from them keeps sending requests to the old leader. The responses that the old leader sends once
/// it thaws must not count as contact as of then, since others have acknowledged more entries.
#[test]
fn frozen_leader_proves_no_later_contact() {
    let mut advances = 0;
    for seed in 0..60 {
        let mut cluster = Cluster::new(seed);
        let old_leader = cluster.leader().expect("a leader");
        let follower = (old_leader + 1) % CLUSTER_SIZE;
        let kept = [old_leader, follower];
        cluster.partition(follower, kept);
        let thaws_at = cluster.now + 1200 + cluster.rng.rand_range(0..1200);
        cluster.frozen.insert(old_leader);
        // Responses to its last broadcast still arrive, but no message about the new leader.
        cluster.steps(2 * MESSAGE_DELAY_MS / STEP_MS);
        cluster.partition(old_leader, kept);
        while cluster.now < thaws_at {
            cluster.step();
            if cluster.rng.rand_range(0..8) == 0 {
                cluster.request_contact_and_read(follower);
            }
        }
        let before = cluster.contact_advances;
        cluster.frozen.clear();
        cluster.steps(300);
        advances += cluster.contact_advances - before;
    }
    assert!(advances > 0, "no member regained quorum contact");
}

/// A follower is frozen with the leader's responses in its queue while more entries are
/// acknowledged. Its contact must be dated by its request, not by the time it reads the response.
#[test]
fn frozen_follower_dates_contact_by_its_request() {
    let mut advances = 0;
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed);
        let follower = (cluster.leader().expect("a leader") + 1) % CLUSTER_SIZE;
        for _ in 0..4 {
            cluster.request_contact_and_read(follower);
            // The leader's response is in flight or arrives while the follower is frozen.
            let steps = cluster.rng.rand_range(0..4);
            cluster.steps(steps);
            cluster.frozen.insert(follower);
            cluster.steps(300);
            let before = cluster.contacts[follower];
            cluster.frozen.clear();
            cluster.steps(10);
            advances += usize::from(cluster.contacts[follower] > before);
        }
    }
    assert!(advances > 0, "no response advanced the contact time");
}

/// One or two broadcasts confirm all reads that are requested at once, regardless of their number
/// and of the members that request them.
#[test]
fn many_reads_share_two_broadcasts() {
    let mut cluster = Cluster::new(7);
    let leader = cluster.leader().expect("a leader");
    cluster.has_proposals = false;
    cluster.steps(20);
    let before = cluster.in_flight.len();
    (0..40).for_each(|n| cluster.request_contact_and_read(n % CLUSTER_SIZE));
    let sent = cluster.in_flight.len() - before;
    // Each follower sends one read request and eight contact requests, and the leader starts one
    // broadcast.
    assert!(
        sent <= (CLUSTER_SIZE - 1) * 10 + 2 * CLUSTER_SIZE,
        "{sent} messages for 40 reads"
    );
    let mut sequences = BTreeSet::new();
    while !cluster.reads.is_empty() {
        cluster.step();
        let messages = cluster.in_flight.iter().map(|(_, message)| message);
        let from_leader = messages.filter(|message| index_of(message.from) == leader);
        sequences.extend(from_leader.filter_map(|message| match message.body {
            MessageBody::AppendEntries(AppendEntries { sequence, .. }) => Some(sequence),
            _ => None,
        }));
        assert!(cluster.now < 10_000, "not all reads were served");
    }
    // One broadcast may already be in progress, and a heartbeat may fall due.
    assert!(sequences.len() <= 4, "broadcasts {sequences:?}");
}
