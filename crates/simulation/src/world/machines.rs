//! Machines: starts their processes, delivers inputs to them, and carries out the resulting effects.

use raft::{NodeId, PersistentState, Role};

use super::{Event, TraceEvent, World};
use crate::disk::Disk;
use crate::network::message_bytes;
use crate::process::{Effect, Input, Process};

/// The period of the Raft clock, in milliseconds.
const TICK_INTERVAL_MS: u64 = 50;
/// The size of a join request on the wire.
const JOIN_REQUEST_BYTES: u64 = 100;

/// A slot of the deployment and the machine in it.
pub(super) struct Machine {
    pub(super) id: NodeId,
    pub(super) address: String,
    /// Counts the processes of this slot. Events for an earlier process are dropped.
    pub(super) incarnation: u64,
    /// `None` while the machine is down.
    pub(super) process: Option<Process>,
    pub(super) disk: Disk,
    pub(super) paused_until_ms: u64,
    /// Inputs that arrived during a pause.
    pub(super) inbox: Vec<Input>,
    pub(super) disk_stalled_until_ms: u64,
    pub(super) writes_rejected_until_ms: u64,
    /// Whether a graceful shutdown has begun.
    pub(super) is_shutting_down: bool,
}

impl Machine {
    /// Creates a machine that is down, with this state on its disk.
    pub(super) fn new(id: NodeId, address: String, persisted: PersistentState) -> Self {
        Self {
            id,
            address,
            incarnation: 0,
            process: None,
            disk: Disk::with_state(persisted),
            paused_until_ms: 0,
            inbox: Vec::new(),
            disk_stalled_until_ms: 0,
            writes_rejected_until_ms: 0,
            is_shutting_down: false,
        }
    }
}

impl World<'_> {
    /// Starts a machine's process, unless it is already running or `incarnation` is outdated.
    pub(super) fn start(&mut self, machine: usize, incarnation: u64) {
        let seed = self.rng.rand_u64();
        let (now_ms, schedule) = (self.now_ms, self.schedule);
        let m = &mut self.machines[machine];
        if m.incarnation != incarnation || m.process.is_some() {
            return;
        }
        m.process = Some(Process::start(m.id, &m.disk, seed, now_ms, schedule));
        self.last_disturbance_ms = now_ms;
        self.record(&TraceEvent::Started(machine));
        self.advance(machine, Vec::new());
        self.schedule_tick(machine, incarnation);
    }

    fn schedule_tick(&mut self, machine: usize, incarnation: u64) {
        let tick = Event::Tick {
            machine,
            incarnation,
        };
        self.queue.schedule(self.now_ms + TICK_INTERVAL_MS, tick);
    }

    /// Handles a clock tick of a machine's process.
    pub(super) fn tick(&mut self, machine: usize, incarnation: u64) {
        if self.machines[machine].incarnation != incarnation {
            return;
        }
        self.schedule_tick(machine, incarnation);
        if self.machines[machine].paused_until_ms <= self.now_ms {
            self.handle_input(machine, Input::Tick);
        }
    }

    /// Delivers an input to a machine. While the machine is paused, the input is queued.
    pub(super) fn deliver(&mut self, to: usize, input: Input) {
        if self.machines[to].paused_until_ms > self.now_ms {
            self.machines[to].inbox.push(input);
        } else {
            self.handle_input(to, input);
        }
    }

    /// Lets a machine's process handle an input. A message to an earlier member in the slot is dropped.
    pub(super) fn handle_input(&mut self, machine: usize, input: Input) {
        let now_ms = self.now_ms;
        let m = &mut self.machines[machine];
        if let Input::Message(message) = &input
            && message.to != m.id
        {
            return;
        }
        let Some(process) = &mut m.process else {
            return;
        };
        let effects = process.handle(now_ms, input);
        self.advance(machine, effects);
    }

    /// Ends the pause of a machine, unless another pause has begun in the meantime.
    pub(super) fn resume(&mut self, machine: usize) {
        if self.machines[machine].paused_until_ms > self.now_ms {
            return;
        }
        self.last_disturbance_ms = self.now_ms;
        // The process may see the clock tick before or after the inputs that arrived during the pause.
        if self.rng.rand_range(0..2) == 0 {
            self.handle_input(machine, Input::Tick);
        }
        for input in std::mem::take(&mut self.machines[machine].inbox) {
            self.handle_input(machine, input);
        }
    }

    /// Carries out the effects of an input and checks the claims that the process makes afterwards.
    fn advance(&mut self, machine: usize, mut effects: Vec<Effect>) {
        let now_ms = self.now_ms;
        let m = &mut self.machines[machine];
        let Some(process) = &mut m.process else {
            return;
        };
        process.advance(now_ms, &mut m.disk, &mut effects);
        let status = process.raft.status();
        if status.role == Role::Leader {
            self.history.on_leader(status.term, status.id, now_ms);
        }
        if let Some(at_ms) = process.raft.leadership_confirmed_at() {
            self.history.on_leadership_confirmed(status.term, at_ms);
        }
        if let Some(at_ms) = process.raft.quorum_contact_at() {
            self.history
                .on_quorum_contact(status.id, at_ms, process.applied_index());
        }
        self.record(&TraceEvent::Advanced {
            machine,
            term: status.term,
            commit_index: status.commit_index,
            last_log_index: status.last_log_index,
        });
        for effect in effects {
            self.carry_out(machine, effect);
        }
        self.begin_transaction(machine);
    }

    fn carry_out(&mut self, machine: usize, effect: Effect) {
        match effect {
            Effect::Send(message) => {
                // A message to a member that has been replaced is dropped.
                if let Some(to) = self.machines.iter().position(|m| m.id == message.to) {
                    let bytes = message_bytes(&message);
                    self.send(machine, to, bytes, &Input::Message(message));
                }
            }
            Effect::Join => self.send_join_requests(machine),
            Effect::Respond(caller, response) => self.send_response(machine, caller, response),
            Effect::ServeRead {
                observed_index,
                index,
            } => self.history.on_read(observed_index, index),
            Effect::Applied(entry) => self.check_applied(machine, &entry),
            Effect::InstalledSnapshot => self.history.on_snapshot_installed(),
            Effect::StateAt(index) => {
                let m = &self.machines[machine];
                if let Some(process) = &m.process
                    && process.applied_index() == index
                {
                    self.history.on_state(m.id, index, &process.state);
                }
            }
        }
    }

    /// Sends an input over the network, which may lose, delay or duplicate it.
    fn send(&mut self, from: usize, to: usize, bytes: u64, input: &Input) {
        let arrivals = self
            .network
            .arrivals(&mut self.rng, from, to, bytes, self.now_ms);
        for at_ms in arrivals {
            let input = Box::new(input.clone());
            self.queue.schedule(at_ms, Event::Deliver { to, input });
        }
    }

    fn send_join_requests(&mut self, machine: usize) {
        let m = &self.machines[machine];
        let input = Input::Join {
            id: m.id,
            address: m.address.clone(),
        };
        for to in (0..self.machines.len()).filter(|to| *to != machine) {
            self.send(machine, to, JOIN_REQUEST_BYTES, &input);
        }
    }
}
