//! A control process: the real member of the log and the real replicated state, and a model of their host, which
//! serves operators and readers as `control_plane::server` does.
//!
//! It owns everything that ends with the process: what it has applied, pending commands and reads. Its disk belongs
//! to the machine ([`Disk`]). It does no I/O: [`Process::handle`] takes an input, [`Process::advance`] carries out
//! what follows, and what goes beyond the process comes back as [`Effect`]s.

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

/// As the control process sets it.
const TIMING: Timing = Timing {
    heartbeat_interval_ms: 300,
    election_timeout_ms: 1000,
};
/// A command that is not decided on for so long gets no response.
const COMMAND_TIMEOUT_MS: u64 = 900;
/// How often a follower asks the leader to confirm quorum contact.
const CONTACT_INTERVAL_MS: u64 = 600;
/// How often a process that is not a member asks to become one.
const JOIN_INTERVAL_MS: u64 = 1000;

/// Something that reaches a process.
#[derive(Clone, Debug)]
pub(crate) enum Input {
    /// The clock of the log.
    Tick,
    /// A message of another member.
    Message(Message),
    /// A machine asks to become a member.
    Join {
        /// Its new member's id.
        id: NodeId,
        /// Where that is reached.
        address: String,
    },
    /// The disk has synced all requests up to this sequence number.
    Persisted(u64),
    /// The process is to shut down in order.
    Shutdown,
    /// A command of an operator.
    Command {
        /// Where the response goes.
        caller: Caller,
        /// What is to be applied.
        command: Command,
    },
    /// Somebody reads.
    Read {
        /// The newest index that anybody had been shown when the read began.
        shown_index: u64,
    },
}

/// An attempt of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Caller {
    /// Position among the operators.
    pub(crate) operator: usize,
    /// The operator's count of attempts.
    pub(crate) attempt: u64,
}

/// Something that a process does beyond its own state.
pub(crate) enum Effect {
    /// Sends a message to another member.
    Send(Message),
    /// Asks all other machines to become a member.
    Join,
    /// Responds to an operator.
    Respond(Caller, Response),
    /// Serves a read.
    ServeRead {
        /// The newest index that anybody had been shown when the read began.
        shown_index: u64,
        /// What was applied when the read was served.
        index: u64,
    },
    /// Applied an entry.
    Applied(Entry),
    /// Installed a snapshot.
    InstalledSnapshot,
    /// Has its present state since this index.
    StateAt(u64),
}

/// What waits for a confirmed read: commands are decided on only with a state that is known to be current.
enum PendingRead {
    Command {
        caller: Caller,
        command: Command,
        deadline_ms: u64,
    },
    Read {
        shown_index: u64,
    },
}

/// A read whose index is confirmed; it is served once that index is applied.
struct ConfirmedRead {
    index: u64,
    read: PendingRead,
}

/// A command in the log whose caller waits.
struct ProposedCommand {
    term: u64,
    caller: Caller,
}

/// A running process.
pub(crate) struct Process {
    /// The member of the log.
    pub(crate) raft: RaftNode,
    /// The replicated state as of the last applied entry.
    pub(crate) state: ReplicatedState,
    applied_index: u64,
    compaction_threshold: usize,
    /// By index.
    proposed_commands: BTreeMap<u64, ProposedCommand>,
    /// By token.
    pending_reads: BTreeMap<u64, PendingRead>,
    confirmed_reads: Vec<ConfirmedRead>,
    next_token: u64,
    join_requested_ms: u64,
    contact_requested_ms: u64,
}

impl Process {
    /// Starts a process from what the disk holds.
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
            // Begins anywhere: a response to an earlier process must not pass for one to this.
            next_token: seed,
            join_requested_ms: 0,
            contact_requested_ms: 0,
        }
    }

    /// The index of the last entry that is part of its state.
    pub(crate) fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Takes an input. [`Process::advance`] has to be called afterwards.
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
            Input::Read { shown_index } => self.begin_read(PendingRead::Read { shown_index }),
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

    fn new_token(&mut self) -> u64 {
        self.next_token = self.next_token.wrapping_add(1);
        self.next_token
    }

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
            // The world adds the leader's slot.
            effects.push(Effect::Respond(caller, Response::NotLeader(None)));
            return;
        }
        self.begin_read(PendingRead::Command {
            caller,
            command,
            deadline_ms: now_ms + COMMAND_TIMEOUT_MS,
        });
    }

    /// Carries out what the member of the log asks for, until it asks for nothing.
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
            // An entry of another term at this index is another leader's: the command is not decided by it.
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

    /// Serves confirmed reads whose index is applied. Returns whether there were any.
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
                PendingRead::Read { shown_index } => effects.push(Effect::ServeRead {
                    shown_index,
                    index: applied_index,
                }),
                PendingRead::Command { deadline_ms, .. } if now_ms > deadline_ms => {}
                PendingRead::Command {
                    caller, command, ..
                } => self.decide(caller, &command, effects),
            }
        }
        has_served
    }

    /// Responds to a command whose outcome is certain by the current state; else proposes it.
    fn decide(&mut self, caller: Caller, command: &Command, effects: &mut Vec<Effect>) {
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
