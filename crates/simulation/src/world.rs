//! A simulated deployment: machines, network, operators and checks, driven by one event queue.
//!
//! The [`World`] owns all state of a run, and its submodules contain the event handlers. Every random choice is drawn
//! from one generator in the order of the events, so a schedule always gives the same run. A change in the number or
//! order of draws gives every seed a different run.

mod checks;
mod disks;
mod faults;
mod machines;
mod workload;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::panic::{AssertUnwindSafe, catch_unwind};

use oorandom::Rand64;
use raft::{Members, NodeId, PersistentState, Snapshot};
use rustc_hash::FxHasher;

use self::machines::Machine;
use crate::event_queue::EventQueue;
use crate::history::{Counts, History};
use crate::invariant::{Invariant, Violation};
use crate::network::Network;
use crate::operator::{Operator, Response};
use crate::process::{Caller, Input};
use crate::schedule::{Profile, QUIET_TIME_MS, Schedule};

/// The maximum number of events in a run. The longest run has about a tenth as many.
const MAX_EVENTS: u64 = 300_000;
/// The number of operators.
const OPERATORS: usize = 2;
/// Machines start at random times before this one.
const START_WINDOW_MS: u64 = 500;
/// The time at which the first operator begins.
const FIRST_REQUEST_MS: u64 = 1000;
/// The time at which the first read is sent.
const FIRST_READ_MS: u64 = 1500;
/// The initial members have ids up to this, and members that join later have higher ones.
const FOUNDER_ID_LIMIT: NodeId = 100;

/// The result of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The violated invariant, if any.
    pub violation: Option<Violation>,
    /// A digest of the sequence of events.
    pub trace: u64,
    /// The numbers of the observations that were checked.
    pub counts: Counts,
    /// The number of events handled.
    pub events: u64,
}

/// Runs a schedule until its end or until an invariant is violated.
pub fn run(schedule: &Schedule) -> Outcome {
    let mut world = World::new(schedule);
    let violation = catch_unwind(AssertUnwindSafe(|| world.run())).unwrap_or_else(|payload| {
        let text = payload.downcast_ref::<String>().cloned();
        let text = text.or_else(|| payload.downcast_ref::<&str>().map(ToString::to_string));
        Some(world.violation(Invariant::NoPanic, text.unwrap_or_default()))
    });
    Outcome {
        violation,
        trace: world.trace.finish(),
        counts: world.history.counts(),
        events: world.events,
    }
}

/// An event in the queue. Machines are identified by slot. `incarnation` counts the processes of a machine, and an
/// event for an earlier process is dropped.
enum Event {
    FaultBegins(usize),
    FaultEnds,
    AllFaultsEnd,
    Tick {
        machine: usize,
        incarnation: u64,
    },
    Start {
        machine: usize,
        incarnation: u64,
    },
    ShutdownEnds(Shutdown),
    Resume(usize),
    Deliver {
        to: usize,
        input: Box<Input>,
    },
    DiskCompletes {
        machine: usize,
        incarnation: u64,
    },
    OperatorActs(usize),
    ResponseTimeout(Caller),
    Response {
        caller: Caller,
        response: Box<Response>,
    },
    Read,
}

/// A graceful shutdown whose grace period has ended.
struct Shutdown {
    machine: usize,
    incarnation: u64,
    replaced_at_ms: u64,
}

/// An event in the digest of a run.
#[derive(Hash)]
enum TraceEvent {
    Started(usize),
    Advanced {
        machine: usize,
        term: u64,
        commit_index: u64,
        last_log_index: u64,
    },
    FaultBegan {
        ends_ms: u64,
    },
    Acknowledged {
        operator: usize,
        base: u64,
    },
}

/// The state of a run.
struct World<'a> {
    schedule: &'a Schedule,
    rng: Rand64,
    now_ms: u64,
    queue: EventQueue<Event>,
    events: u64,
    trace: FxHasher,
    machines: Vec<Machine>,
    network: Network,
    operators: Vec<Operator>,
    history: History,
    last_id: NodeId,
    /// Members whose disks are lost. For durability they count as having synced every entry.
    lost_members: BTreeSet<NodeId>,
    /// The last time at which a fault began or ended, or a process started or resumed.
    last_disturbance_ms: u64,
    /// The last time at which a command was acknowledged.
    last_acknowledged_ms: u64,
}

impl<'a> World<'a> {
    fn new(schedule: &'a Schedule) -> Self {
        let address = |slot: usize| format!("10.0.0.{}:1", slot + 1);
        let voters: BTreeMap<NodeId, String> = (0..schedule.machines)
            .map(|slot| (slot as NodeId + 1, address(slot)))
            .collect();
        let founders = Members {
            voters,
            ..Members::default()
        };
        let persisted = PersistentState {
            snapshot: Some(Snapshot::initial(founders.clone())),
            ..PersistentState::default()
        };
        let machines = (0..schedule.machines)
            .map(|slot| Machine::new(slot as NodeId + 1, address(slot), persisted.clone()));
        let mut world = Self {
            schedule,
            rng: Rand64::new(u128::from(schedule.seed)),
            now_ms: 0,
            queue: EventQueue::new(),
            events: 0,
            trace: FxHasher::default(),
            machines: machines.collect(),
            network: Network::default(),
            operators: (0..OPERATORS)
                .map(|index| Operator::new(index, schedule.padding_bytes))
                .collect(),
            history: History::new(founders),
            last_id: FOUNDER_ID_LIMIT,
            lost_members: BTreeSet::new(),
            last_disturbance_ms: 0,
            last_acknowledged_ms: 0,
        };
        world.schedule_first_events();
        world
    }

    fn schedule_first_events(&mut self) {
        for machine in 0..self.machines.len() {
            let at_ms = self.rng.rand_range(0..START_WINDOW_MS);
            let incarnation = 0;
            let start = Event::Start {
                machine,
                incarnation,
            };
            self.queue.schedule(at_ms, start);
        }
        for (i, scheduled) in self.schedule.faults.iter().enumerate() {
            self.queue.schedule(scheduled.at_ms, Event::FaultBegins(i));
        }
        for operator in 0..OPERATORS {
            let at_ms = FIRST_REQUEST_MS + operator as u64;
            self.queue.schedule(at_ms, Event::OperatorActs(operator));
        }
        self.queue.schedule(FIRST_READ_MS, Event::Read);
        if self.schedule.profile == Profile::Chaos {
            let quiet_from_ms = self.quiet_from_ms();
            self.queue.schedule(quiet_from_ms, Event::AllFaultsEnd);
        }
    }

    /// Returns when the time without faults at the end of the schedule begins.
    fn quiet_from_ms(&self) -> u64 {
        self.schedule.end_ms.saturating_sub(QUIET_TIME_MS)
    }

    fn run(&mut self) -> Option<Violation> {
        while let Some((at_ms, event)) = self.queue.pop() {
            if at_ms > self.schedule.end_ms {
                return None;
            }
            self.now_ms = at_ms;
            self.events += 1;
            if self.events > MAX_EVENTS {
                let detail = format!(
                    "more than {MAX_EVENTS} events; {} are still pending",
                    self.queue.len()
                );
                return Some(self.violation(Invariant::BoundedMessages, detail));
            }
            self.handle(event);
            self.check_liveness();
            if let Some((invariant, detail)) = self.history.take_violation() {
                return Some(self.violation(invariant, detail));
            }
        }
        None
    }

    fn violation(&self, invariant: Invariant, detail: String) -> Violation {
        Violation {
            invariant,
            at_ms: self.now_ms,
            detail,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::FaultBegins(i) => self.begin_fault(&self.schedule.faults[i].fault),
            Event::FaultEnds => self.last_disturbance_ms = self.now_ms,
            Event::AllFaultsEnd => self.end_all_faults(),
            Event::Tick {
                machine,
                incarnation,
            } => self.tick(machine, incarnation),
            Event::Start {
                machine,
                incarnation,
            } => self.start(machine, incarnation),
            Event::ShutdownEnds(shutdown) => self.end_shutdown(&shutdown),
            Event::Resume(machine) => self.resume(machine),
            Event::Deliver { to, input } => self.deliver(to, *input),
            Event::DiskCompletes {
                machine,
                incarnation,
            } => self.complete_transaction(machine, incarnation),
            Event::OperatorActs(operator) => self.send_command(operator),
            Event::ResponseTimeout(caller) => self.on_response_timeout(caller),
            Event::Response { caller, response } => self.on_response(caller, &response),
            Event::Read => self.send_read(),
        }
    }

    /// Adds an event to the digest of the run.
    fn record(&mut self, event: &TraceEvent) {
        (self.now_ms, event).hash(&mut self.trace);
    }
}
