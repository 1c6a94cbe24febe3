//! Runs random schedules of network, process and disk faults. The invariants of [`Cluster`] must
//! hold throughout, and no acknowledged entry may be lost.

use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};

use raft::{NodeId, RaftNode, Role, Timing};

use crate::cluster::{Cluster, Machine, Network};
use crate::support;

const TIMING: Timing = Timing {
    heartbeat_interval_ms: 50,
    election_timeout_ms: 200,
};
const NETWORK: Network = Network {
    max_delay_ms: 60,
    loss_one_in: Some(20),
};
/// The size of a snapshot, large enough to be sent in several chunks.
const STATE_BYTES: usize = 20 << 10;

impl Cluster {
    /// Advances time and applies a random event to a random machine.
    fn step(&mut self, with_wipes: bool) {
        self.now += self.rng.rand_range(0..20);
        let machines = self.machines.len();
        let i = self.random_below(machines);
        let is_frozen = self.machines[i].is_frozen(self.now);
        let event = self.random_below(if is_frozen { 20 } else { 1000 });
        self.apply_event(event, i, with_wipes);
        if self.random_below(20) == 0 && self.machines[i].node.is_none() {
            self.start(i);
        }
        self.sync(i);
        let joining = self.joining_machines();
        // A process that thaws may read queued messages before it reads its clock.
        let deliver_first = self.random_below(2) == 0;
        if deliver_first {
            self.deliver_messages();
        }
        self.tick_all(&joining);
        if !deliver_first {
            self.deliver_messages();
        }
        (0..machines).for_each(|i| self.handle_ready(i));
        self.check_invariants();
    }

    /// Applies the event with the given random number to machine `i`.
    fn apply_event(&mut self, event: usize, i: usize, with_wipes: bool) {
        match event {
            0..=3 => {
                let machines = self.machines.len();
                let j = self.random_below(machines);
                self.partitions.insert((i, j));
                if self.random_below(2) == 0 {
                    self.partitions.insert((j, i));
                }
            }
            4..=9 => self.partitions.clear(),
            10..=14 if self.machines[i].node.is_some() => self.crash(i),
            15..=19 if with_wipes && self.all_are_voters() => self.wipe(i),
            20..=120 => self.propose(i),
            130..=180 => {
                let token = self.rng.rand_u64();
                if let Some(node) = &mut self.machines[i].node {
                    self.reads.insert(token, self.acknowledged);
                    node.request_read(token);
                }
            }
            181..=185 => self.compact(i, 10, STATE_BYTES),
            186..=190 => self.shut_down(i),
            191..=235 => {
                let token = self.rng.rand_u64();
                if let Some(node) = &mut self.machines[i].node {
                    node.request_quorum_contact(token);
                }
            }
            236..=238 => {
                self.machines[i].frozen_until = self.now + self.rng.rand_range(0..600);
            }
            239..=240 => {
                // All machines lose power at once; acknowledged entries are on a majority of disks.
                (0..self.machines.len()).for_each(|i| self.crash(i));
            }
            _ => {}
        }
    }

    fn propose(&mut self, i: usize) {
        // Small entries are sent in an append, large ones in chunks.
        let is_large = self.random_below(20) == 0;
        let repeats = if is_large { STATE_BYTES / 8 } else { 1 };
        let data = self.rng.rand_u64().to_be_bytes().repeat(repeats);
        if let Some(node) = &mut self.machines[i].node {
            node.propose(data);
        }
    }

    /// Returns the machines that request to join.
    fn joining_machines(&self) -> Vec<(NodeId, String)> {
        let wants_to_join = |machine: &&Machine| {
            let node = machine.node.as_ref();
            node.is_some_and(RaftNode::wants_to_join)
        };
        let joining = self.machines.iter().filter(wants_to_join);
        joining.map(|m| (m.id, m.address.clone())).collect()
    }

    fn tick_all(&mut self, joining: &[(NodeId, String)]) {
        let now = self.now;
        for machine in self.machines.iter_mut().filter(|m| !m.is_frozen(now)) {
            let Some(node) = &mut machine.node else {
                continue;
            };
            if support::is_leader(node) {
                for (id, address) in joining {
                    node.handle_join_request(*id, address.clone());
                }
            }
            node.tick(now);
        }
    }

    /// Requests an orderly shutdown of a process and ends it right after.
    fn shut_down(&mut self, i: usize) {
        if let Some(node) = &mut self.machines[i].node {
            node.begin_shutdown();
            self.handle_ready(i);
            self.crash(i);
        }
    }

    /// Returns whether all machines are voters in a committed membership. Only then is the loss of
    /// one disk tolerated.
    fn all_are_voters(&self) -> bool {
        let mut nodes = self.machines.iter().filter_map(|m| m.node.as_ref());
        let Some(leader) = nodes.find(|node| support::is_leader(node)) else {
            return false;
        };
        let members = leader.members_at(leader.status().commit_index);
        let is_voter =
            |machine: &Machine| machine.node.is_some() && members.voters.contains_key(&machine.id);
        leader.members() == members
            && members.learners.is_empty()
            && self.machines.iter().all(is_voter)
    }

    /// Starts and connects all machines, and asserts that a leader commits what was acknowledged.
    fn assert_recovery(&mut self) {
        self.partitions.clear();
        for i in 0..self.machines.len() {
            self.machines[i].frozen_until = 0;
            if self.machines[i].node.is_none() {
                self.start(i);
            }
        }
        let wanted = self.acknowledged;
        for _ in 0..4000 {
            self.now += 5;
            for i in 0..self.machines.len() {
                self.sync(i);
                if let Some(node) = &mut self.machines[i].node {
                    node.tick(self.now);
                }
            }
            self.deliver_messages();
            (0..self.machines.len()).for_each(|i| self.handle_ready(i));
            self.check_invariants();
            let nodes = self.machines.iter().filter_map(|m| m.node.as_ref());
            let mut statuses = nodes.map(RaftNode::status);
            if let Some(status) = statuses.find(|status| status.role == Role::Leader)
                && status.commit_index >= wanted
                && status.commit_index == status.last_log_index
            {
                return;
            }
        }
        panic!("no leader committed the acknowledged entries up to {wanted}");
    }
}

/// Runs one schedule per seed. A failure prints its seed.
fn run(seeds: std::ops::Range<u64>, steps: usize, with_wipes: bool) {
    let (mut acknowledged, mut reads, mut contacts, mut transfers) = (0, 0, 0, 0);
    for seed in seeds {
        let mut cluster = Cluster::new(seed, 3 + seed % 3, TIMING, NETWORK);
        let result = catch_unwind(AssertUnwindSafe(|| {
            for _ in 0..steps {
                cluster.step(with_wipes);
            }
            cluster.assert_recovery();
        }));
        if let Err(cause) = result {
            eprintln!("seed {seed}");
            resume_unwind(cause);
        }
        acknowledged += cluster.acknowledged;
        reads += cluster.served_reads;
        contacts += cluster.contact_observations;
        transfers += cluster.transfers;
    }
    // Schedules without progress would prove nothing.
    assert!(
        acknowledged > 0 && reads > 0 && contacts > 0,
        "{acknowledged} entries acknowledged, {reads} reads served, {contacts} contacts observed"
    );
    assert!(transfers > 0, "no transfer in chunks was completed");
    println!(
        "{acknowledged} entries acknowledged, {reads} reads served, {contacts} contacts observed"
    );
}

#[test]
fn faults_lose_nothing_acknowledged() {
    run(0..300, 600, false);
}

#[test]
fn wiped_machines_lose_nothing_acknowledged() {
    run(1000..1200, 1000, true);
}
