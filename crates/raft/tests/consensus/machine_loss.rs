//! Machines are lost, replaced at other addresses and lost again: while no more are lost at once
//! than is to be tolerated, there is a leader that commits, and nothing acknowledged is lost. A
//! machine counts as lost while it is away and for `SETTLE_TIME_MS` after it, or its successor, has
//! started.

use std::collections::BTreeMap;

use raft::{NodeId, RaftNode, Role};

use crate::cluster::{Cluster, Machine, Network};
use crate::support::TIMING;

const NETWORK: Network = Network {
    max_delay_ms: 25,
    loss_one_in: None,
};
/// A step of the clock.
const STEP_MS: u64 = 20;
/// A machine that has no place among the members asks for one this often.
const JOIN_INTERVAL_MS: u64 = 250;
/// A sync takes so long.
const SYNC_MS: u64 = 2;
/// A sync on a slow disk takes so long.
const SLOW_SYNC_MS: u64 = 700;
/// The successor of a machine starts so long after its loss.
const SUCCESSOR_DELAY_MS: u64 = 1000;
/// A machine counts as lost for so long after it, or its successor, has started.
const SETTLE_TIME_MS: u64 = 4000;
/// A loss lasts for so long.
const LOSS_DURATION_MS: u64 = 16_000;
/// The longest time without a commit: an election takes up to two timeouts, split votes some more,
/// and what the lost machine had just begun is begun again.
const MAX_COMMIT_GAP_MS: u64 = 5000;

/// How a machine is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// Without power for a while.
    Power,
    /// It comes back soon, without its disk.
    Wiped,
    /// Its process stands still for a while.
    Frozen,
    /// Its disk is slow for a while.
    SlowDisk,
    /// It reaches no other for a while.
    Partitioned,
    /// For good: an empty machine starts at another address.
    Replaced,
    /// For good, as planned: the empty machine starts first.
    Planned,
}

const LOSSES: [Loss; 7] = [
    Loss::Power,
    Loss::Wiped,
    Loss::Frozen,
    Loss::SlowDisk,
    Loss::Partitioned,
    Loss::Replaced,
    Loss::Planned,
];

/// What is to happen to a machine later on.
#[derive(Clone, Copy, Debug)]
enum Event {
    Start(usize),
    /// A frozen, slow or partitioned machine is as it was.
    Heal(usize),
    /// An empty machine starts.
    AddMachine,
    /// A process is told to end.
    BeginShutdown(usize),
    Crash(usize),
}

/// A cluster that loses machines.
struct Rehearsal {
    cluster: Cluster,
    /// What is to happen, by time and in the order in which it was scheduled.
    events: BTreeMap<(u64, usize), Event>,
    scheduled_events: usize,
    slow_disks: Vec<usize>,
    /// Requests to join, on their way to all: when they arrive, and from which machine.
    join_requests: Vec<(u64, usize)>,
    /// When something was committed last that was proposed after the commit before it.
    last_commit_at: u64,
    last_proposal: Option<Proposal>,
    max_commit_gap_ms: u64,
}

struct Proposal {
    index: u64,
    proposed_at: u64,
}

impl Rehearsal {
    fn new(seed: u64, size: u64, tolerated_losses: usize) -> Self {
        let mut cluster = Cluster::new(seed, size, TIMING, NETWORK);
        cluster.tolerated_losses = tolerated_losses;
        for i in 0..cluster.machines.len() {
            cluster.start(i);
        }
        let mut rehearsal = Self {
            cluster,
            events: BTreeMap::new(),
            scheduled_events: 0,
            slow_disks: Vec::new(),
            join_requests: Vec::new(),
            last_commit_at: 0,
            last_proposal: None,
            max_commit_gap_ms: 0,
        };
        rehearsal.run_for(5000);
        rehearsal.max_commit_gap_ms = 0;
        rehearsal
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.scheduled_events += 1;
        self.events.insert((at, self.scheduled_events), event);
    }

    /// Lets so much time pass.
    fn run_for(&mut self, duration_ms: u64) {
        let until = self.cluster.now + duration_ms;
        while self.cluster.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.cluster.now += STEP_MS;
        let now = self.cluster.now;
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= now) {
            let event = entry.remove();
            self.apply_event(event);
        }
        for i in 0..self.cluster.machines.len() {
            let delay = if self.slow_disks.contains(&i) {
                SLOW_SYNC_MS
            } else {
                SYNC_MS
            };
            if !self.cluster.machines[i].frozen {
                self.cluster.advance_sync(i, delay);
                self.cluster.compact(i, 40, 0);
                if let Some(node) = &mut self.cluster.machines[i].node {
                    node.tick(now);
                }
            }
        }
        self.deliver_join_requests();
        self.propose();
        self.cluster.deliver_messages();
        for i in 0..self.cluster.machines.len() {
            self.cluster.handle_ready(i);
        }
        self.cluster.check_invariants();
        self.record_progress();
    }

    fn apply_event(&mut self, event: Event) {
        match event {
            Event::Start(i) => self.cluster.start(i),
            Event::Heal(i) => {
                self.cluster.machines[i].frozen = false;
                self.slow_disks.retain(|s| *s != i);
                self.cluster
                    .partitions
                    .retain(|(from, to)| *from != i && *to != i);
            }
            Event::AddMachine => drop(self.cluster.add_machine()),
            Event::BeginShutdown(i) => {
                if let Some(node) = &mut self.cluster.machines[i].node {
                    node.begin_shutdown();
                }
            }
            Event::Crash(i) => self.cluster.crash(i),
        }
    }

    /// Machines that are no voters ask all others, now and then.
    fn deliver_join_requests(&mut self) {
        let now = self.cluster.now;
        let is_due =
            |i: usize| (now / STEP_MS + i as u64).is_multiple_of(JOIN_INTERVAL_MS / STEP_MS);
        let machines = &mut self.cluster.machines;
        let wants_to_join =
            |m: &Machine| !m.frozen && m.node.as_ref().is_some_and(RaftNode::wants_to_join);
        let asking = (0..machines.len()).filter(|i| is_due(*i) && wants_to_join(&machines[*i]));
        self.join_requests
            .extend(asking.map(|i| (now + NETWORK.max_delay_ms, i)));
        let arrived: Vec<usize> = self
            .join_requests
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, i)| i)
            .collect();
        for from in arrived {
            let (id, address) = (machines[from].id, machines[from].address.clone());
            for (to, machine) in machines.iter_mut().enumerate() {
                let reaches = !self.cluster.partitions.contains(&(from, to)) && !machine.frozen;
                if let Some(node) = machine.node.as_mut().filter(|_| reaches) {
                    node.handle_join_request(id, address.clone());
                }
            }
        }
    }

    /// Each member that takes itself for the leader is given a command twice a second.
    fn propose(&mut self) {
        if !self.cluster.now.is_multiple_of(500) {
            return;
        }
        let data = self.cluster.rng.rand_u64().to_be_bytes().to_vec();
        let (now, leader) = (self.cluster.now, self.cluster.leader());
        for (i, m) in self.cluster.machines.iter_mut().enumerate() {
            let Some(node) = m.node.as_mut().filter(|_| !m.frozen) else {
                continue;
            };
            let index = node.propose(data.clone());
            if let Some(index) = index.filter(|_| leader == Some(i)) {
                self.last_proposal = Some(Proposal {
                    index,
                    proposed_at: now,
                });
            }
        }
    }

    fn record_progress(&mut self) {
        if let Some(Proposal { index, proposed_at }) = self.last_proposal
            && index <= self.cluster.acknowledged
            && proposed_at > self.last_commit_at
        {
            self.last_commit_at = self.cluster.now;
        }
        let gap_ms = self.cluster.now.saturating_sub(self.last_commit_at);
        self.max_commit_gap_ms = self.max_commit_gap_ms.max(gap_ms);
    }

    /// The leader, once there is one.
    fn leader(&mut self) -> usize {
        for _ in 0..MAX_COMMIT_GAP_MS / STEP_MS {
            match self.cluster.leader() {
                Some(leader) => return leader,
                None => self.step(),
            }
        }
        panic!("no leader for {MAX_COMMIT_GAP_MS} ms")
    }

    /// The machine to lose: the leader, or another voter that is up.
    fn victim(&mut self, leader: bool) -> usize {
        let leading = self.leader();
        let node = self.cluster.node(leading);
        let voters: Vec<NodeId> = node.members().voters.keys().copied().collect();
        let is_up = |m: &Machine| m.node.is_some() && !m.frozen && voters.contains(&m.id);
        let others: Vec<usize> = (0..self.cluster.machines.len())
            .filter(|i| *i != leading && is_up(&self.cluster.machines[*i]))
            .collect();
        if leader || others.is_empty() {
            return leading;
        }
        others[self.cluster.random_below(others.len())]
    }

    /// Loses a machine. The time in milliseconds until it no longer counts as lost.
    fn lose(&mut self, i: usize, loss: Loss) -> u64 {
        let now = self.cluster.now;
        let away_ms = match loss {
            Loss::Power => {
                self.cluster.crash(i);
                self.schedule(now + LOSS_DURATION_MS, Event::Start(i));
                LOSS_DURATION_MS
            }
            Loss::Wiped => {
                self.cluster.wipe(i);
                self.cluster.machines[i].node = None;
                self.schedule(now + SUCCESSOR_DELAY_MS, Event::Start(i));
                SUCCESSOR_DELAY_MS
            }
            Loss::Frozen | Loss::SlowDisk | Loss::Partitioned => {
                match loss {
                    Loss::Frozen => self.cluster.machines[i].frozen = true,
                    Loss::SlowDisk => self.slow_disks.push(i),
                    _ => {
                        let all = 0..self.cluster.machines.len();
                        self.cluster
                            .partitions
                            .extend(all.flat_map(|j| [(i, j), (j, i)]));
                    }
                }
                self.schedule(now + LOSS_DURATION_MS, Event::Heal(i));
                LOSS_DURATION_MS
            }
            Loss::Replaced => {
                self.cluster.crash(i);
                self.schedule(now + SUCCESSOR_DELAY_MS, Event::AddMachine);
                SUCCESSOR_DELAY_MS
            }
            Loss::Planned => {
                self.schedule(now, Event::AddMachine);
                self.schedule(now + SUCCESSOR_DELAY_MS, Event::BeginShutdown(i));
                self.schedule(now + SUCCESSOR_DELAY_MS + 500, Event::Crash(i));
                SUCCESSOR_DELAY_MS + 500
            }
        };
        away_ms + SETTLE_TIME_MS
    }

    /// Nothing counts as lost any more: as many losses can be tolerated as the system is built for.
    fn assert_loss_tolerance(&mut self) {
        let leader = self.leader();
        let node = self.cluster.node(leader);
        let report = node.membership_report().expect("it leads");
        let tolerated_losses = self.cluster.tolerated_losses;
        assert!(
            report.tolerable_losses >= tolerated_losses,
            "{tolerated_losses} losses can't be tolerated: {report:?}"
        );
    }

    /// Right after an acknowledgement so many disks are lost, the leader's among them, and all
    /// other machines lose power at the same time.
    fn assert_survives_disk_losses(&mut self, wiped: usize) {
        let acknowledged = self.cluster.acknowledged;
        for _ in 0..MAX_COMMIT_GAP_MS / STEP_MS {
            self.step();
            if self.cluster.acknowledged > acknowledged {
                break;
            }
        }
        assert!(
            self.cluster.acknowledged > acknowledged,
            "nothing is acknowledged"
        );
        let is_up = |m: &Machine| m.node.is_some();
        let running: Vec<usize> = (0..self.cluster.machines.len())
            .filter(|i| is_up(&self.cluster.machines[*i]))
            .collect();
        let mut lost = vec![self.victim(true)];
        while lost.len() < wiped {
            let next = self.victim(false);
            if !lost.contains(&next) {
                lost.push(next);
            }
        }
        for i in running {
            if lost.contains(&i) {
                self.cluster.wipe(i);
            } else {
                self.cluster.crash(i);
                self.cluster.start(i);
            }
        }
        self.run_for(2 * MAX_COMMIT_GAP_MS);
        let leader = self.leader();
        let status = self.cluster.node(leader).status();
        assert_eq!(status.role, Role::Leader);
        assert!(
            status.commit_index >= self.cluster.acknowledged,
            "something acknowledged is lost"
        );
    }
}

/// Runs schedules by number; a failure names its number. Prints the longest time without a commit.
fn rehearse(numbers: std::ops::Range<u64>, schedule: impl Fn(u64) -> Rehearsal) {
    let gap = |number| {
        let run = || {
            let rehearsal = schedule(number);
            assert!(
                rehearsal.max_commit_gap_ms <= MAX_COMMIT_GAP_MS,
                "{} ms without a commit",
                rehearsal.max_commit_gap_ms
            );
            rehearsal.max_commit_gap_ms
        };
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(run)).unwrap_or_else(|cause| {
            eprintln!("schedule {number}");
            std::panic::resume_unwind(cause)
        })
    };
    let mut gaps: Vec<u64> = numbers.map(gap).collect();
    gaps.sort_unstable();
    println!(
        "median {} ms, longest {} ms",
        gaps[gaps.len() / 2],
        gaps[gaps.len() - 1]
    );
}

#[test]
fn repeated_replacements_keep_tolerable_losses() {
    // Each replaced machine once stayed a voter for ever, and after two the next loss left no
    // majority.
    rehearse(0..140, |number| {
        let (size, tolerated_losses) =
            [(4, 1), (6, 2), (8, 2), (10, 2), (3, 1)][number as usize % 5];
        let mut rehearsal = Rehearsal::new(number, size, tolerated_losses);
        for replacement in 0..1 + number % 5 {
            let planned = number / 5 % 3 == replacement % 3;
            let leader = (number / 7 + replacement).is_multiple_of(2);
            let loss = if planned {
                Loss::Planned
            } else {
                Loss::Replaced
            };
            let victim = rehearsal.victim(leader);
            let lost_ms = rehearsal.lose(victim, loss);
            rehearsal.run_for(lost_ms);
            rehearsal.assert_loss_tolerance();
        }
        let loss = LOSSES[number as usize % LOSSES.len()];
        let mut lost_ms = 0;
        for n in 0..tolerated_losses as u64 {
            let victim = rehearsal.victim((number / 35 + n).is_multiple_of(2));
            lost_ms = rehearsal.lose(victim, loss).max(lost_ms);
        }
        rehearsal.run_for(lost_ms);
        rehearsal.assert_loss_tolerance();
        rehearsal.assert_survives_disk_losses(tolerated_losses);
        rehearsal
    });
}

#[test]
fn two_losses_are_tolerated_at_any_distance() {
    rehearse(0..196, |number| {
        let (first, second) = (number as usize % 7, number as usize / 7 % 7);
        let size = [6, 8, 10, 6][number as usize / 49];
        let mut rehearsal = Rehearsal::new(1000 + number, size, 2);
        let victim = rehearsal.victim(number.is_multiple_of(2));
        let lost_ms = rehearsal.lose(victim, LOSSES[first]);
        rehearsal.run_for((number * 97 % 80) * 100);
        let victim = rehearsal.victim(number % 3 != 0);
        let second_lost_ms = rehearsal.lose(victim, LOSSES[second]);
        rehearsal.run_for(lost_ms.max(second_lost_ms));
        rehearsal.assert_loss_tolerance();
        rehearsal.assert_survives_disk_losses(2);
        rehearsal
    });
}

#[test]
fn early_second_loss_stops_commits_until_return() {
    // Four machines tolerate one loss: a second one within four seconds may stop everything, but
    // loses nothing.
    for number in 0..64u64 {
        let mut rehearsal = Rehearsal::new(2000 + number, 3 + number % 2, 1);
        let first = [Loss::Wiped, Loss::Replaced, Loss::Planned, Loss::Power][number as usize % 4];
        let victim = rehearsal.victim(number % 3 == 0);
        rehearsal.lose(victim, first);
        rehearsal.run_for((number * 37 % 60) * 100);
        let second =
            [Loss::Power, Loss::Frozen, Loss::Partitioned, Loss::SlowDisk][number as usize / 16];
        let victim = rehearsal.victim(number % 5 != 0);
        let lost_ms = rehearsal.lose(victim, second);
        rehearsal.run_for(lost_ms);
        rehearsal.max_commit_gap_ms = 0;
        rehearsal.last_commit_at = rehearsal.cluster.now;
        rehearsal.run_for(MAX_COMMIT_GAP_MS);
        rehearsal.assert_loss_tolerance();
        rehearsal.assert_survives_disk_losses(1);
        assert!(
            rehearsal.max_commit_gap_ms <= MAX_COMMIT_GAP_MS,
            "schedule {number}: {} ms",
            rehearsal.max_commit_gap_ms
        );
    }
}
