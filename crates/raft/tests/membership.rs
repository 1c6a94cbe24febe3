//! Machines of the core are lost, replaced at other addresses and lost again: while no more are lost at once than
//! is to be borne, there is a leader that commits, and nothing acknowledged is lost. A machine counts as lost while
//! it is away and for `SETTLED` after it, or its successor, has started.

mod world;

use std::collections::BTreeMap;

use raft::{NodeId, RaftNode, Role, Timing};
use world::{Network, World};

const TIMING: Timing = Timing {
    heartbeat_interval_ms: 300,
    election_timeout_ms: 1000,
};
const NETWORK: Network = Network {
    delay: 25,
    lost_in: None,
};
/// A step of the clock.
const STEP: u64 = 20;
/// A machine that has no place among the members asks for one this often.
const JOIN: u64 = 250;
/// A sync takes so long; on a slow disk, so long.
const SYNC: u64 = 2;
const SLOW_SYNC: u64 = 700;
/// The successor of a machine starts so long after its loss.
const SUCCESSOR: u64 = 1000;
const SETTLED: u64 = 4000;
/// A loss lasts for so long.
const LOSS: u64 = 16_000;
/// The longest time without a commit: an election takes up to two time-outs, split votes some more, and what the
/// lost machine had just begun is begun again.
const GAP: u64 = 5000;

/// How a machine is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// Without power for a while.
    Power,
    /// It comes back soon, without its disk.
    Wiped,
    Frozen,
    /// Its disk takes its time.
    SlowDisk,
    CutOff,
    /// For good: an empty machine comes at another address.
    Replaced,
    /// For good, in order: the empty machine comes first.
    Planned,
}

const LOSSES: [Loss; 7] = [
    Loss::Power,
    Loss::Wiped,
    Loss::Frozen,
    Loss::SlowDisk,
    Loss::CutOff,
    Loss::Replaced,
    Loss::Planned,
];

/// What is to happen to a machine later on.
#[derive(Clone, Copy, Debug)]
enum Event {
    Start(usize),
    Thaw(usize),
    Join,
    End(usize),
    Crash(usize),
}

struct Rehearsal {
    world: World,
    events: BTreeMap<(u64, usize), Event>,
    scheduled: usize,
    slow: Vec<usize>,
    /// Requests to join, on their way to all.
    requests: Vec<(u64, usize)>,
    /// When something was committed last that was proposed after the commit before it.
    progress: u64,
    proposed: Option<(u64, u64)>,
    longest_gap: u64,
}

impl Rehearsal {
    fn new(seed: u64, size: u64, tolerated: usize) -> Self {
        let mut world = World::new(seed, size, TIMING, NETWORK);
        world.tolerated = tolerated;
        for i in 0..world.machines.len() {
            world.start(i);
        }
        let mut rehearsal = Self {
            world,
            events: BTreeMap::new(),
            scheduled: 0,
            slow: Vec::new(),
            requests: Vec::new(),
            progress: 0,
            proposed: None,
            longest_gap: 0,
        };
        rehearsal.pass(5000);
        rehearsal.longest_gap = 0;
        rehearsal
    }

    fn at(&mut self, at: u64, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    /// Lets so much time pass.
    fn pass(&mut self, time: u64) {
        let until = self.world.now + time;
        while self.world.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.world.now += STEP;
        let now = self.world.now;
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= now) {
            let event = entry.remove();
            self.happen(event);
        }
        for i in 0..self.world.machines.len() {
            let delay = if self.slow.contains(&i) {
                SLOW_SYNC
            } else {
                SYNC
            };
            if !self.world.machines[i].frozen {
                self.world.sync_in_time(i, delay);
                self.world.compact(i, 40, 0);
                if let Some(core) = &mut self.world.machines[i].core {
                    core.tick(now);
                }
            }
        }
        self.ask_to_join();
        self.propose();
        self.world.deliver();
        for i in 0..self.world.machines.len() {
            self.world.carry_out(i);
        }
        self.world.check();
        self.note_progress();
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Start(i) => self.world.start(i),
            Event::Thaw(i) => {
                self.world.machines[i].frozen = false;
                self.slow.retain(|s| *s != i);
                self.world.cut.retain(|(from, to)| *from != i && *to != i);
            }
            Event::Join => drop(self.world.add_machine()),
            Event::End(i) => {
                if let Some(core) = &mut self.world.machines[i].core {
                    core.begin_shutdown();
                }
            }
            Event::Crash(i) => self.world.crash(i),
        }
    }

    fn ask_to_join(&mut self) {
        let now = self.world.now;
        let due = |i: usize| (now / STEP + i as u64).is_multiple_of(JOIN / STEP);
        let machines = &mut self.world.machines;
        let asks =
            |m: &world::Machine| !m.frozen && m.core.as_ref().is_some_and(RaftNode::wants_to_join);
        let asking = (0..machines.len()).filter(|i| due(*i) && asks(&machines[*i]));
        self.requests
            .extend(asking.map(|i| (now + NETWORK.delay, i)));
        let arrived: Vec<usize> = self
            .requests
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, i)| i)
            .collect();
        for from in arrived {
            let (id, address) = (machines[from].id, machines[from].address.clone());
            for (to, machine) in machines.iter_mut().enumerate() {
                let reaches = !self.world.cut.contains(&(from, to)) && !machine.frozen;
                if let Some(core) = machine.core.as_mut().filter(|_| reaches) {
                    core.handle_join_request(id, address.clone());
                }
            }
        }
    }

    /// Whoever believes that it leads gets an order twice a second.
    fn propose(&mut self) {
        if !self.world.now.is_multiple_of(500) {
            return;
        }
        let data = self.world.rng.rand_u64().to_be_bytes().to_vec();
        let (now, leader) = (self.world.now, self.world.leader());
        for (i, m) in self.world.machines.iter_mut().enumerate() {
            let Some(core) = m.core.as_mut().filter(|_| !m.frozen) else {
                continue;
            };
            let index = core.propose(data.clone());
            if let Some(index) = index.filter(|_| leader == Some(i)) {
                self.proposed = Some((index, now));
            }
        }
    }

    fn note_progress(&mut self) {
        if let Some((index, at)) = self
            .proposed
            .filter(|(index, _)| *index <= self.world.acknowledged)
            && at > self.progress
        {
            self.progress = self.world.now;
            let _ = index;
        }
        self.longest_gap = self
            .longest_gap
            .max(self.world.now.saturating_sub(self.progress));
    }

    /// Who leads, once somebody does.
    fn leader(&mut self) -> usize {
        for _ in 0..GAP / STEP {
            match self.world.leader() {
                Some(leader) => return leader,
                None => self.step(),
            }
        }
        panic!("no leader for {GAP} ms")
    }

    /// The leader, or another voter that is there.
    fn victim(&mut self, leader: bool) -> usize {
        let leads = self.leader();
        let core = self.world.machines[leads].core.as_ref().expect("it is up");
        let voters: Vec<NodeId> = core.members().voters.keys().copied().collect();
        let up = |m: &world::Machine| m.core.is_some() && !m.frozen && voters.contains(&m.id);
        let others: Vec<usize> = (0..self.world.machines.len())
            .filter(|i| *i != leads && up(&self.world.machines[*i]))
            .collect();
        if leader || others.is_empty() {
            return leads;
        }
        others[self.world.below(others.len())]
    }

    /// Loses a machine; the time until it counts no more as lost.
    fn lose(&mut self, i: usize, loss: Loss) -> u64 {
        let now = self.world.now;
        let back = match loss {
            Loss::Power => {
                self.world.crash(i);
                self.at(now + LOSS, Event::Start(i));
                LOSS
            }
            Loss::Wiped => {
                self.world.wipe(i);
                self.world.machines[i].core = None;
                self.at(now + SUCCESSOR, Event::Start(i));
                SUCCESSOR
            }
            Loss::Frozen | Loss::SlowDisk | Loss::CutOff => {
                match loss {
                    Loss::Frozen => self.world.machines[i].frozen = true,
                    Loss::SlowDisk => self.slow.push(i),
                    _ => {
                        let all = 0..self.world.machines.len();
                        self.world.cut.extend(all.flat_map(|j| [(i, j), (j, i)]));
                    }
                }
                self.at(now + LOSS, Event::Thaw(i));
                LOSS
            }
            Loss::Replaced => {
                self.world.crash(i);
                self.at(now + SUCCESSOR, Event::Join);
                SUCCESSOR
            }
            Loss::Planned => {
                self.at(now, Event::Join);
                self.at(now + SUCCESSOR, Event::End(i));
                self.at(now + SUCCESSOR + 500, Event::Crash(i));
                SUCCESSOR + 500
            }
        };
        back + SETTLED
    }

    /// Nothing counts as lost any more: as many losses can be borne as the system is built for.
    fn assert_whole(&mut self) {
        let leader = self.leader();
        let core = self.world.machines[leader].core.as_ref().expect("it is up");
        let report = core.membership_report().expect("it leads");
        let tolerated = self.world.tolerated;
        assert!(
            report.tolerable_losses >= tolerated,
            "{tolerated} losses can't be borne: {report:?}"
        );
    }

    /// Right after an acknowledgement so many disks are lost, the leader's among them, and all other machines lose
    /// power at the same time.
    fn close(&mut self, wiped: usize) {
        let acknowledged = self.world.acknowledged;
        for _ in 0..GAP / STEP {
            self.step();
            if self.world.acknowledged > acknowledged {
                break;
            }
        }
        assert!(
            self.world.acknowledged > acknowledged,
            "nothing is acknowledged"
        );
        let up = |m: &world::Machine| m.core.is_some();
        let running: Vec<usize> = (0..self.world.machines.len())
            .filter(|i| up(&self.world.machines[*i]))
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
                self.world.wipe(i);
            } else {
                self.world.crash(i);
                self.world.start(i);
            }
        }
        self.pass(2 * GAP);
        let leader = self.leader();
        let status = self.world.machines[leader]
            .core
            .as_ref()
            .expect("it is up")
            .status();
        assert_eq!(status.role, Role::Leader);
        assert!(
            status.commit_index >= self.world.acknowledged,
            "something acknowledged is lost"
        );
    }
}

/// Runs schedules by number; a failure names its number. The longest time without a commit in each.
fn rehearse(numbers: std::ops::Range<u64>, schedule: impl Fn(u64) -> Rehearsal) -> Vec<u64> {
    let gap = |number| {
        let run = || {
            let rehearsal = schedule(number);
            assert!(
                rehearsal.longest_gap <= GAP,
                "{} ms without a commit",
                rehearsal.longest_gap
            );
            rehearsal.longest_gap
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
    gaps
}

#[test]
fn up_to_five_replacements_in_a_row_leave_as_many_losses_to_be_borne_as_before() {
    // Failure: each replaced machine stayed a voter for ever, and after two the next loss left no majority.
    rehearse(0..140, |number| {
        let (size, tolerated) = [(4, 1), (6, 2), (8, 2), (10, 2), (3, 1)][number as usize % 5];
        let mut rehearsal = Rehearsal::new(number, size, tolerated);
        for replacement in 0..1 + number % 5 {
            let planned = number / 5 % 3 == replacement % 3;
            let leader = (number / 7 + replacement).is_multiple_of(2);
            let loss = if planned {
                Loss::Planned
            } else {
                Loss::Replaced
            };
            let victim = rehearsal.victim(leader);
            let counts = rehearsal.lose(victim, loss);
            rehearsal.pass(counts);
            rehearsal.assert_whole();
        }
        let loss = LOSSES[number as usize % LOSSES.len()];
        let mut longest = 0;
        for n in 0..tolerated as u64 {
            let victim = rehearsal.victim((number / 35 + n).is_multiple_of(2));
            longest = rehearsal.lose(victim, loss).max(longest);
        }
        rehearsal.pass(longest);
        rehearsal.assert_whole();
        rehearsal.close(tolerated);
        rehearsal
    });
}

#[test]
fn a_second_loss_at_any_time_after_the_first_is_borne_where_two_are() {
    rehearse(0..196, |number| {
        let (first, second) = (number as usize % 7, number as usize / 7 % 7);
        let size = [6, 8, 10, 6][number as usize / 49];
        let mut rehearsal = Rehearsal::new(1000 + number, size, 2);
        let victim = rehearsal.victim(number.is_multiple_of(2));
        let counts = rehearsal.lose(victim, LOSSES[first]);
        rehearsal.pass((number * 97 % 80) * 100);
        let victim = rehearsal.victim(number % 3 != 0);
        let also = rehearsal.lose(victim, LOSSES[second]);
        rehearsal.pass(counts.max(also));
        rehearsal.assert_whole();
        rehearsal.close(2);
        rehearsal
    });
}

#[test]
fn a_second_loss_too_soon_stops_orders_only_until_that_machine_is_back() {
    // Four machines bear one loss: a second one within four seconds may stop everything, but loses nothing.
    for number in 0..64u64 {
        let mut rehearsal = Rehearsal::new(2000 + number, 3 + number % 2, 1);
        let first = [Loss::Wiped, Loss::Replaced, Loss::Planned, Loss::Power][number as usize % 4];
        let victim = rehearsal.victim(number % 3 == 0);
        rehearsal.lose(victim, first);
        rehearsal.pass((number * 37 % 60) * 100);
        let second =
            [Loss::Power, Loss::Frozen, Loss::CutOff, Loss::SlowDisk][number as usize / 16];
        let victim = rehearsal.victim(number % 5 != 0);
        let counts = rehearsal.lose(victim, second);
        rehearsal.pass(counts);
        rehearsal.longest_gap = 0;
        rehearsal.progress = rehearsal.world.now;
        rehearsal.pass(GAP);
        rehearsal.assert_whole();
        rehearsal.close(1);
        assert!(
            rehearsal.longest_gap <= GAP,
            "schedule {number}: {} ms",
            rehearsal.longest_gap
        );
    }
}
