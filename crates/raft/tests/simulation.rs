//! Random schedules: whatever the network, the processes and the disks do, nothing that was acknowledged is lost,
//! one leader leads a term, no read is older than what was acknowledged before it, and who is in contact has applied
//! what was acknowledged by then.

mod world;

use raft::{NodeId, RaftNode, Role, Timing};
use world::{Network, World};

const TIMING: Timing = Timing {
    heartbeat_interval_ms: 50,
    election_timeout_ms: 200,
};
/// What a snapshot holds: it is sent in several pieces.
const STATE: usize = 20 << 10;
const NETWORK: Network = Network {
    delay: 60,
    lost_in: Some(20),
};

impl World {
    fn step(&mut self, wipes: bool) {
        self.now += self.rng.rand_range(0..20);
        let n = self.machines.len();
        let i = self.below(n);
        let frozen = self.machines[i].is_frozen(self.now);
        match self.below(if frozen { 20 } else { 1000 }) {
            0..=3 => {
                let j = self.below(n);
                self.cut.insert((i, j));
                if self.below(2) == 0 {
                    self.cut.insert((j, i));
                }
            }
            4..=9 => self.cut.clear(),
            10..=14 if self.machines[i].core.is_some() => self.crash(i),
            239..=240 => {
                // All lose power at once: what is acknowledged is on the disks of a majority.
                for i in 0..n {
                    self.crash(i);
                }
            }
            15..=19 if wipes && self.whole() => self.wipe(i),
            20..=120 => {
                // Some go in an append, some in pieces.
                let repeats = if self.below(20) == 0 { STATE / 8 } else { 1 };
                let data = self.rng.rand_u64().to_be_bytes().repeat(repeats);
                if let Some(core) = &mut self.machines[i].core {
                    core.propose(data);
                }
            }
            130..=180 => {
                let token = self.rng.rand_u64();
                if let Some(core) = &mut self.machines[i].core {
                    self.reads.insert(token, self.acknowledged);
                    core.request_read(token);
                }
            }
            181..=185 => self.compact(i, 10, STATE),
            186..=190 => self.end_in_order(i),
            191..=235 => {
                let token = self.rng.rand_u64();
                if let Some(core) = &mut self.machines[i].core {
                    core.request_quorum_contact(token);
                }
            }
            236..=238 => {
                self.machines[i].frozen_until = self.now + self.rng.rand_range(0..600);
            }
            _ => {}
        }
        if self.below(20) == 0 && self.machines[i].core.is_none() {
            self.start(i);
        }
        self.sync(i);
        let wants = |m: &&world::Machine| m.core.as_ref().is_some_and(RaftNode::wants_to_join);
        let joiners: Vec<(NodeId, String)> = self
            .machines
            .iter()
            .filter(wants)
            .map(|m| (m.id, m.address.clone()))
            .collect();
        // A machine that wakes may read what waits before it looks at its own state.
        let first = self.below(2) == 0;
        if first {
            self.deliver();
        }
        let now = self.now;
        for m in self.machines.iter_mut().filter(|m| !m.is_frozen(now)) {
            let Some(core) = &mut m.core else { continue };
            if core.status().role == Role::Leader {
                for (id, address) in &joiners {
                    core.handle_join_request(*id, address.clone());
                }
            }
            core.tick(self.now);
        }
        if !first {
            self.deliver();
        }
        for i in 0..n {
            self.carry_out(i);
        }
        self.check();
    }

    /// A process is told to end, and ends at once.
    fn end_in_order(&mut self, i: usize) {
        if let Some(core) = &mut self.machines[i].core {
            core.begin_shutdown();
            self.carry_out(i);
            self.crash(i);
        }
    }

    /// Whether all machines are voters, as the leader has committed it: then the loss of one disk is borne.
    fn whole(&self) -> bool {
        let cores = || self.machines.iter().filter_map(|m| m.core.as_ref());
        let leader = cores().find(|c| c.status().role == Role::Leader);
        leader.is_some_and(|c| {
            let members = c.members_at(c.status().commit_index);
            c.members() == members
                && members.learners.is_empty()
                && self
                    .machines
                    .iter()
                    .all(|m| m.core.is_some() && members.voters.contains_key(&m.id))
        })
    }

    /// With all machines up and joined, a new entry commits, and nothing acknowledged is missing.
    fn settle(&mut self) {
        self.cut.clear();
        for i in 0..self.machines.len() {
            self.machines[i].frozen_until = 0;
            if self.machines[i].core.is_none() {
                self.start(i);
            }
        }
        let wanted = self.acknowledged;
        for _ in 0..4000 {
            self.now += 5;
            for i in 0..self.machines.len() {
                self.sync(i);
                if let Some(core) = &mut self.machines[i].core {
                    core.tick(self.now);
                }
            }
            self.deliver();
            for i in 0..self.machines.len() {
                self.carry_out(i);
            }
            self.check();
            let leader = self.machines.iter_mut().filter_map(|m| m.core.as_mut());
            if let Some(core) = leader.into_iter().find(|c| c.status().role == Role::Leader) {
                let s = core.status();
                if s.commit_index >= wanted && s.commit_index == s.last_log_index {
                    return;
                }
            }
        }
        panic!("no leader has what was acknowledged up to {wanted}");
    }
}

fn run(seeds: std::ops::Range<u64>, steps: usize, wipes: bool) {
    let (mut acknowledged, mut reads, mut contacts, mut transfers) = (0, 0, 0, 0);
    for seed in seeds {
        let mut world = World::new(seed, 3 + seed % 3, TIMING, NETWORK);
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            for _ in 0..steps {
                world.step(wipes);
            }
            world.settle();
        }));
        if let Err(cause) = result {
            eprintln!("seed {seed}");
            std::panic::resume_unwind(cause);
        }
        acknowledged += world.acknowledged;
        reads += world.served_reads;
        contacts += world.contacts;
        transfers += world.transfers;
    }
    // The worlds do make progress: else they would show nothing.
    assert!(
        acknowledged > 0 && reads > 0 && contacts > 0,
        "{acknowledged} acknowledged, {reads} reads, {contacts} in contact"
    );
    assert!(transfers > 0, "nothing went in pieces");
    println!("{acknowledged} acknowledged, {reads} reads, {contacts} in contact");
}

#[test]
fn nothing_acknowledged_is_lost_whatever_the_network_and_the_processes_do() {
    run(0..300, 600, false);
}

#[test]
fn a_wiped_machine_comes_back_as_a_new_member_and_nothing_is_lost() {
    run(1000..1200, 1000, true);
}
