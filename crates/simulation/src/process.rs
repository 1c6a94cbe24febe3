//! A control process: the real Raft node and the real replicated state, with a model of their host that serves commands
//! and reads as `control_plane::server` does.
//!
//! It owns all state that is lost with the process: the applied state, pending commands and pending reads. The disk
//! ([`Disk`]) belongs to the machine. The process does no I/O: [`Process::handle`] takes an input, [`Process::advance`]
//! carries out the resulting work of the Raft node, and everything that leaves the process is returned as [`Effect`]s.

use std::collections::BTreeMap;

use control_plane::configuration::{Command, CommandOutcome, InvalidCommand, ReplicatedState};
use control_plane::store::DiskRequest;
use raft::{
    Entry, Members, MembershipPolicy, Message, NodeId, Payload, RaftNode, ReadState, Ready, Role,
    Snapshot, Timing,
};

use crate::disk::Disk;
use crate::operator::Response;
use crate::schedule::Schedule;

/// The timing that the real control process uses.
const TIMING: Timing = Timing {
    heartbeat_interval_ms: 300,
    election_timeout_ms: 1000,
};
/// A command that is not processed within this time gets no response, in milliseconds.
const COMMAND_TIMEOUT_MS: u64 = 900;
/// The interval at which a follower requests quorum contact from the leader, in milliseconds.
const CONTACT_INTERVAL_MS: u64 = 600;
/// The interval at which a process that is not a member requests to join, in milliseconds.
const JOIN_INTERVAL_MS: u64 = 1000;

/// An input of a process.
#[derive(Clone, Debug)]
pub(crate) enum Input {
    /// A tick of the Raft clock.
    Tick,
    /// A message from another member.
    Message(Message),
    /// A request of another machine to become a member.
    Join {
        /// The id of the new member.
        id: NodeId,
        /// The address of the new member.
        address: String,
    },
    /// The disk has synced all requests up to this sequence number.
    Persisted(u64),
    /// A request to shut down gracefully.
    Shutdown,
    /// A command from an operator.
    Command {
        /// The attempt to respond to.
        caller: Caller,
        /// The command to apply.
        command: Command,
    },
    /// A read of a client.
    Read {
        /// The newest index that any client had observed when the read began.
        observed_index: u64,
    },
}

/// An operator's attempt to send a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Caller {
    /// Position among the operators.
    pub(crate) operator: usize,
    /// The number of the attempt.
    pub(crate) attempt: u64,
}

/// An action of a process that affects anything outside it.
pub(crate) enum Effect {
    /// Sends a message to another member.
    Send(Message),
    /// Sends a join request to all other machines.
    Join,
    /// Responds to an operator.
    Respond(Caller, Response),
    /// Serves a read.
    ServeRead {
        /// The newest index that any client had observed when the read began.
        observed_index: u64,
        /// The last applied index when the read was served.
        index: u64,
    },
    /// Reports that an entry was applied.
    Applied(Entry),
    /// Reports that a snapshot was installed.
    InstalledSnapshot,
    /// Reports the index of the last entry that its current state includes.
    StateAt(u64),
}

/// A request that waits for its read index. Commands wait as well, because they are checked only against a state that
/// is known to be current.
enum PendingRead {
    Command {
        caller: Caller,
        command: Command,
        deadline_ms: u64,
    },
    Read {
        observed_index: u64,
    },
}

/// A request whose read index is confirmed. It is served once that index is applied.
struct ConfirmedRead {
    index: u64,
    read: PendingRead,
}

/// A command in the log whose caller waits for a response.
struct ProposedCommand {
    term: u64,
    caller: Caller,
}

/// A running control process.
pub(crate) struct Process {
    /// The Raft node.
    pub(crate) raft: RaftNode,
    /// The replicated state as of the last applied entry.
    pub(crate) state: ReplicatedState,
    applied_index: u64,
    compaction_threshold: usize,
    /// The commands that this process has proposed, by log index.
    proposed_commands: BTreeMap<u64, ProposedCommand>,
    /// The requests that wait for their read index, by the token of the read request.
    pending_reads: BTreeMap<u64, PendingRead>,
    confirmed_reads: Vec<ConfirmedRead>,
    next_token: u64,
    join_requested_ms: u64,
    contact_requested_ms: u64,
}

impl Process {
    /// Starts a process from the synced state of its disk.
    pub(crate) fn start(
        id: NodeId,
        disk: &Disk,
        seed: u64,
        now_ms: u64,
        schedule: &Schedule,
    ) -> Self {
        let persisted = disk.persisted.clone();
        let mut raft = RaftNode::new(id, TIMING, seed, persisted, Members::default());
        raft.set_membership_policy(MembershipPolicy::new(TIMING, schedule.tolerable_losses));
        raft.tick(now_ms);
        Self {
            raft,
            state: ReplicatedState::default(),
            applied_index: 0,
            compaction_threshold: schedule.compaction_threshold,
            proposed_commands: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            confirmed_reads: Vec::new(),
            // Starts at a random token, so that responses to an earlier process are not mistaken for responses to this
            // one.
            next_token: seed,
            join_requested_ms: 0,
            contact_requested_ms: 0,
        }
    }

    /// Returns the index of the last entry that the state includes.
    pub(crate) fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Handles an input. [`Process::advance`] must be called afterwards.
    pub(crate) fn handle(&mut self, now_ms: u64, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        // The process may have been paused since the last tick.
        self.raft.advance_clock(now_ms);
        match input {
            Input::Tick => self.tick(now_ms, &mut effects),
            Input::Message(message) => self.raft.step(message),
            Input::Join { id, address } => self.raft.handle_join_request(id, address),
            Input::Persisted(sequence) => self.raft.on_persisted(sequence),
            Input::Shutdown => self.raft.begin_shutdown(),
            Input::Command { caller, command } => {
                self.handle_command(now_ms, caller, command, &mut effects);
            }
            Input::Read { observed_index } => self.begin_read(PendingRead::Read { observed_index }),
        }
        effects
    }

    fn tick(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        self.raft.tick(now_ms);
        let role = self.raft.status().role;
        if self.raft.wants_to_join() && now_ms >= self.join_requested_ms + JOIN_INTERVAL_MS {
            self.join_requested_ms = now_ms;
            effects.push(Effect::Join);
        }
        if role != Role::Leader && now_ms >= self.contact_requested_ms + CONTACT_INTERVAL_MS {
            self.contact_requested_ms = now_ms;
            let token = self.new_token();
            self.raft.request_quorum_contact(token);
        }
    }

    /// Returns a new token for a read request.
    fn new_token(&mut self) -> u64 {
        self.next_token = self.next_token.wrapping_add(1);
        self.next_token
    }

    /// Requests the read index for a request.
    fn begin_read(&mut self, read: PendingRead) {
        let token = self.new_token();
        self.pending_reads.insert(token, read);
        self.raft.request_read(token);
    }

    fn handle_command(
        &mut self,
        now_ms: u64,
        caller: Caller,
        command: Command,
        effects: &mut Vec<Effect>,
    ) {
        if self.raft.status().role != Role::Leader {
            // `World::send_response` fills in the leader's slot.
            effects.push(Effect::Respond(caller, Response::NotLeader(None)));
            return;
        }
        self.begin_read(PendingRead::Command {
            caller,
            command,
            deadline_ms: now_ms + COMMAND_TIMEOUT_MS,
        });
    }

    /// Carries out the pending work of the Raft node until there is none left.
    pub(crate) fn advance(&mut self, now_ms: u64, disk: &mut Disk, effects: &mut Vec<Effect>) {
        loop {
            let ready = self.raft.take_ready();
            let is_idle = ready.persist_requests.is_empty()
                && ready.messages.is_empty()
                && ready.restored_snapshot.is_none()
                && ready.committed_entries.is_empty()
                && ready.read_states.is_empty();
            self.handle_ready(ready, disk, effects);
            let has_served = self.serve_confirmed_reads(now_ms, effects);
            if is_idle && !has_served {
                return;
            }
        }
    }

    fn handle_ready(&mut self, ready: Ready, disk: &mut Disk, effects: &mut Vec<Effect>) {
        for request in ready.persist_requests {
            disk.enqueue(DiskRequest::Persist(request));
        }
        effects.extend(ready.messages.into_iter().map(Effect::Send));
        if let Some(snapshot) = ready.restored_snapshot {
            self.install_snapshot(&snapshot, effects);
        }
        for entry in ready.committed_entries {
            effects.push(Effect::Applied(entry.clone()));
            self.apply(&entry, effects);
        }
        for ReadState { token, index } in ready.read_states {
            match (self.pending_reads.remove(&token), index) {
                (Some(read), Some(index)) => {
                    self.confirmed_reads.push(ConfirmedRead { index, read });
                }
                (Some(PendingRead::Command { caller, .. }), None) => {
                    effects.push(Effect::Respond(caller, Response::Indeterminate));
                }
                _ => {}
            }
        }
        if self.raft.log_len() > self.compaction_threshold {
            self.compact_log(disk);
        }
    }

    fn install_snapshot(&mut self, snapshot: &Snapshot, effects: &mut Vec<Effect>) {
        if !snapshot.data.is_empty() {
            self.state = ciborium::from_reader(&snapshot.data[..]).unwrap_or_default();
        }
        self.applied_index = snapshot.index;
        effects.push(Effect::InstalledSnapshot);
        effects.push(Effect::StateAt(self.applied_index));
    }

    fn apply(&mut self, entry: &Entry, effects: &mut Vec<Effect>) {
        self.applied_index = entry.index;
        let proposed = self.proposed_commands.remove(&entry.index);
        if let Payload::Data(data) = &entry.payload {
            let outcome = match ciborium::from_reader::<Command, _>(&data[..]) {
                Ok(command) => self.state.apply(entry.index, &command),
                Err(error) => CommandOutcome::Invalid(InvalidCommand::NotJson {
                    reason: error.to_string(),
                }),
            };
            // An entry of another term at this index was proposed by another leader and does not decide this command.
            if let Some(ProposedCommand { term, caller }) = proposed
                && term == entry.term
            {
                effects.push(Effect::Respond(caller, Response::Outcome(outcome)));
            }
        }
        effects.push(Effect::StateAt(self.applied_index));
    }

    fn compact_log(&mut self, disk: &mut Disk) {
        let mut data = Vec::new();
        if ciborium::into_writer(&self.state, &mut data).is_ok()
            && let Some(snapshot) = self.raft.compact(self.applied_index, data)
        {
            disk.enqueue(DiskRequest::Compact(snapshot));
        }
    }

    /// Serves confirmed reads whose index is applied. Returns whether any were served.
    fn serve_confirmed_reads(&mut self, now_ms: u64, effects: &mut Vec<Effect>) -> bool {
        if self.confirmed_reads.is_empty() {
            return false;
        }
        let applied_index = self.applied_index;
        let (servable, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.confirmed_reads)
            .into_iter()
            .partition(|confirmed| confirmed.index <= applied_index);
        self.confirmed_reads = waiting;
        let has_served = !servable.is_empty();
        for ConfirmedRead { read, .. } in servable {
            match read {
                PendingRead::Read { observed_index } => effects.push(Effect::ServeRead {
                    observed_index,
                    index: applied_index,
                }),
                PendingRead::Command { deadline_ms, .. } if now_ms > deadline_ms => {}
                PendingRead::Command {
                    caller, command, ..
                } => self.respond_or_propose(caller, &command, effects),
            }
        }
        has_served
    }

    /// Responds to a command if the current state determines its final outcome, and proposes it otherwise.
    fn respond_or_propose(&mut self, caller: Caller, command: &Command, effects: &mut Vec<Effect>) {
        let outcome = self.state.check(command);
        if self.state.is_final(command, &outcome) {
            effects.push(Effect::Respond(caller, Response::Outcome(outcome)));
            return;
        }
        let mut data = Vec::new();
        let is_encoded = ciborium::into_writer(command, &mut data).is_ok();
        match self.raft.propose(data).filter(|_| is_encoded) {
            Some(index) => {
                let term = self.raft.status().term;
                self.proposed_commands
                    .insert(index, ProposedCommand { term, caller });
            }
            None => effects.push(Effect::Respond(caller, Response::NotLeader(None))),
        }
    }
}
