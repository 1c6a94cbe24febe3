//! Tests repeated losses and replacements of machines. As long as no more machines are lost at once
//! than the cluster tolerates, a leader keeps committing, and no acknowledged entry is lost. A
//! machine counts as lost until `SETTLE_TIME_MS` after it, or its replacement, has started.

use std::collections::BTreeMap;

use raft::{NodeId, RaftNode, Role};

use crate::cluster::{Cluster, Machine, Network};
use crate::support::TIMING;

const NETWORK: Network = Network {
    max_delay_ms: 25,
    loss_one_in: None,
};
/// The simulation's time step.
const STEP_MS: u64 = 20;
/// How often a machine that is not a voter requests to join.
const JOIN_INTERVAL_MS: u64 = 250;
/// The duration of a sync.
const SYNC_MS: u64 = 2;
/// The duration of a sync on a slow disk.
const SLOW_SYNC_MS: u64 = 700;
/// How long after the loss of a machine its replacement starts.
const REPLACEMENT_DELAY_MS: u64 = 1000;
/// How long a machine still counts as lost after it, or its replacement, has started.
const SETTLE_TIME_MS: u64 = 4000;
/// The duration of a temporary loss.
const LOSS_DURATION_MS: u64 = 16_000;
/// The maximum time without a commit. It covers an election of up to two timeouts, split votes, and
/// the repetition of what the lost machine had just begun.
const MAX_COMMIT_GAP_MS: u64 = 5000;

/// How a machine is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// The machine loses power for a while.
    Power,
    /// The machine restarts soon with an empty disk.
    Wiped,
    /// The process is frozen for a while.
    Frozen,
    /// The disk is slow for a while.
    SlowDisk,
    /// The machine is disconnected from all others for a while.
    Partitioned,
    /// The machine is lost permanently; then an empty machine starts at another address.
    Replaced,
    /// The machine is retired as planned: the empty machine starts before it shuts down.
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

/// A scheduled event.
#[derive(Clone, Copy, Debug)]
enum Event {
    Start(usize),
    /// Ends the freeze, slow disk or partition of a machine.
    Heal(usize),
    /// Starts an empty machine at a new address.
    AddMachine,
    /// Requests an orderly shutdown of a process.
    BeginShutdown(usize),
    Crash(usize),
}

/// A cluster with scheduled machine losses.
struct Scenario {
    cluster: Cluster,
    /// Scheduled events, by time and then by the order of scheduling.
    events: BTreeMap<(u64, usize), Event>,
    scheduled_events: usize,
    slow_disks: Vec<usize>,
    /// Join requests in flight to all machines: the arrival time and the requesting machine.
    join_requests: Vec<(u64, usize)>,
    /// The time of the last commit of an entry that was proposed after the previous such commit.
    last_commit_at: u64,
    last_proposal: Option<Proposal>,
    max_commit_gap_ms: u64,
}

struct Proposal {
    index: u64,
    proposed_at: u64,
}

impl Scenario {
    fn new(seed: u64, size: u64, tolerated_losses: usize) -> Self {
        let mut cluster = Cluster::new(seed, size, TIMING, NETWORK);
        cluster.tolerated_losses = tolerated_losses;
        for i in 0..cluster.machines.len() {
            cluster.start(i);
        }
        let mut scenario = Self {
            cluster,
            events: BTreeMap::new(),
            scheduled_events: 0,
            slow_disks: Vec::new(),
            join_requests: Vec::new(),
            last_commit_at: 0,
            last_proposal: None,
            max_commit_gap_ms: 0,
        };
        scenario.run_for(5000);
        scenario.max_commit_gap_ms = 0;
        scenario
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.scheduled_events += 1;
        self.events.insert((at, self.scheduled_events), event);
    }

    /// Advances time by `duration_ms`.
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

    /// Sends periodic join requests from machines that are not voters, and delivers due requests.
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

    /// Proposes a command to every node twice a second. Only leaders accept it, even stale ones.
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

    /// Waits for a leader and returns it.
    fn leader(&mut self) -> usize {
        for _ in 0..MAX_COMMIT_GAP_MS / STEP_MS {
            match self.cluster.leader() {
                Some(leader) => return leader,
                None => self.step(),
            }
        }
        panic!("no leader for {MAX_COMMIT_GAP_MS} ms")
    }

    /// Picks a machine to lose: the leader, or another voter that is up.
    fn pick_machine(&mut self, leader: bool) -> usize {
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

    /// Makes a machine fail. Returns the time in milliseconds until it no longer counts as lost.
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
                self.schedule(now + REPLACEMENT_DELAY_MS, Event::Start(i));
                REPLACEMENT_DELAY_MS
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
                self.schedule(now + REPLACEMENT_DELAY_MS, Event::AddMachine);
                REPLACEMENT_DELAY_MS
            }
            Loss::Planned => {
                self.schedule(now, Event::AddMachine);
                self.schedule(now + REPLACEMENT_DELAY_MS, Event::BeginShutdown(i));
                self.schedule(now + REPLACEMENT_DELAY_MS + 500, Event::Crash(i));
                REPLACEMENT_DELAY_MS + 500
            }
        };
        away_ms + SETTLE_TIME_MS
    }

    /// Asserts that the cluster tolerates the configured number of losses again. Called when no
    /// machine counts as lost any more.
    fn assert_loss_tolerance(&mut self) {
        let leader = self.leader();
        let node = self.cluster.node(leader);
        let report = node.membership_report().expect("it is the leader");
        let tolerated_losses = self.cluster.tolerated_losses;
        assert!(
            report.tolerable_losses >= tolerated_losses,
            "cannot tolerate {tolerated_losses} losses: {report:?}"
        );
    }

    /// Asserts that acknowledged entries survive the loss of `wiped` disks, including the leader's,
    /// right after an acknowledgement, while all other machines lose power.
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
            "no new entry was acknowledged"
        );
        let is_up = |m: &Machine| m.node.is_some();
        let running: Vec<usize> = (0..self.cluster.machines.len())
            .filter(|i| is_up(&self.cluster.machines[*i]))
            .collect();
        let mut lost = vec![self.pick_machine(true)];
        while lost.len() < wiped {
            let next = self.pick_machine(false);
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
            "an acknowledged entry is lost"
        );
    }
}

/// Runs the schedules with the given numbers and prints the median and longest time without a
/// commit. A failure prints the number of its schedule.
fn run_schedules(numbers: std::ops::Range<u64>, schedule: impl Fn(u64) -> Scenario) {
    let gap = |number| {
        let run = || {
            let scenario = schedule(number);
            assert!(
                scenario.max_commit_gap_ms <= MAX_COMMIT_GAP_MS,
                "{} ms without a commit",
                scenario.max_commit_gap_ms
            );
            scenario.max_commit_gap_ms
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
    // Replaced machines used to remain voters, so that after two replacements the next loss left no
    // majority.
    run_schedules(0..140, |number| {
        let (size, tolerated_losses) =
            [(4, 1), (6, 2), (8, 2), (10, 2), (3, 1)][number as usize % 5];
        let mut scenario = Scenario::new(number, size, tolerated_losses);
        for replacement in 0..1 + number % 5 {
            let planned = number / 5 % 3 == replacement % 3;
            let leader = (number / 7 + replacement).is_multiple_of(2);
            let loss = if planned {
                Loss::Planned
            } else {
                Loss::Replaced
            };
            let machine = scenario.pick_machine(leader);
            let lost_ms = scenario.lose(machine, loss);
            scenario.run_for(lost_ms);
            scenario.assert_loss_tolerance();
        }
        let loss = LOSSES[number as usize % LOSSES.len()];
        let mut lost_ms = 0;
        for n in 0..tolerated_losses as u64 {
            let machine = scenario.pick_machine((number / 35 + n).is_multiple_of(2));
            lost_ms = scenario.lose(machine, loss).max(lost_ms);
        }
        scenario.run_for(lost_ms);
        scenario.assert_loss_tolerance();
        scenario.assert_survives_disk_losses(tolerated_losses);
        scenario
    });
}

#[test]
fn two_losses_are_tolerated_at_any_interval() {
    run_schedules(0..196, |number| {
        let (first, second) = (number as usize % 7, number as usize / 7 % 7);
        let size = [6, 8, 10, 6][number as usize / 49];
        let mut scenario = Scenario::new(1000 + number, size, 2);
        let machine = scenario.pick_machine(number.is_multiple_of(2));
        let lost_ms = scenario.lose(machine, LOSSES[first]);
        scenario.run_for((number * 97 % 80) * 100);
        let machine = scenario.pick_machine(number % 3 != 0);
        let second_lost_ms = scenario.lose(machine, LOSSES[second]);
        scenario.run_for(lost_ms.max(second_lost_ms));
        scenario.assert_loss_tolerance();
        scenario.assert_survives_disk_losses(2);
        scenario
    });
}

#[test]
fn early_second_loss_stops_commits_until_return() {
    // Three or four machines tolerate one loss. A second loss within four seconds may stop commits
    // for a while but must not lose anything.
    for number in 0..64u64 {
        let mut scenario = Scenario::new(2000 + number, 3 + number % 2, 1);
        let first = [Loss::Wiped, Loss::Replaced, Loss::Planned, Loss::Power][number as usize % 4];
        let machine = scenario.pick_machine(number % 3 == 0);
        scenario.lose(machine, first);
        scenario.run_for((number * 37 % 60) * 100);
        let second =
            [Loss::Power, Loss::Frozen, Loss::Partitioned, Loss::SlowDisk][number as usize / 16];
        let machine = scenario.pick_machine(number % 5 != 0);
        let lost_ms = scenario.lose(machine, second);
        scenario.run_for(lost_ms);
        scenario.max_commit_gap_ms = 0;
        scenario.last_commit_at = scenario.cluster.now;
        scenario.run_for(MAX_COMMIT_GAP_MS);
        scenario.assert_loss_tolerance();
        scenario.assert_survives_disk_losses(1);
        assert!(
            scenario.max_commit_gap_ms <= MAX_COMMIT_GAP_MS,
            "schedule {number}: {} ms",
            scenario.max_commit_gap_ms
        );
    }
}
