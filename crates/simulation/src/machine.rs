//! One machine of the control plane: the log's member, the replicated state, and the host between them, which
//! answers operators and readers as the control process does.

use std::collections::BTreeMap;

use control_plane::configuration::{Command, CommandOutcome, InvalidCommand, ReplicatedState};
use control_plane::store::DiskRequest as DiskOrder;
use raft::{
    Entry, Members, MembershipPolicy, Message, NodeId, Payload, RaftNode, ReadState, Ready, Role,
    Snapshot, Timing,
};

use crate::disk::Disk;
use crate::operators::Answer;
use crate::schedule::Schedule;

/// As the control process sets them.
const TIMING: Timing = Timing {
    heartbeat_interval_ms: 300,
    election_timeout_ms: 1000,
};
/// An order without a verdict for so long gets none.
const ORDER: u64 = 900;
/// A follower asks the leader for contact this often.
const CONTACT_ASK: u64 = 600;

/// Something that reaches a process.
#[derive(Clone, Debug)]
pub enum Input {
    /// Its clock.
    Tick,
    /// Another member.
    Message(Message),
    /// A machine asks to take part.
    Join {
        /// Who.
        id: NodeId,
        /// Where.
        address: String,
    },
    /// Its disk.
    Synced(u64),
    /// It is to end in order.
    Leave,
    /// An operator.
    Order {
        /// Who asks, to be answered.
        caller: Caller,
        /// What.
        command: Command,
    },
    /// Somebody reads; what had been shown to anybody by then.
    Read {
        /// The newest index that had been shown.
        floor: u64,
    },
}

/// An operator's attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Which operator.
    pub operator: usize,
    /// Which attempt.
    pub attempt: u64,
}

/// Something that a process does beyond its own state.
pub enum Effect {
    /// Says something to another member.
    Send(Message),
    /// Asks all others to let it take part.
    Join,
    /// Answers an operator.
    Answer(Caller, Answer),
    /// Answers a read.
    Read {
        /// What had been shown when it began.
        floor: u64,
        /// What is applied.
        index: u64,
    },
    /// Applied an entry.
    Applied(Entry),
    /// Took a snapshot over.
    Restored,
    /// Has this state at this index.
    State(u64),
}

/// What waits for a confirmed read.
enum Waiting {
    Order {
        caller: Caller,
        command: Command,
        until: u64,
    },
    Read {
        floor: u64,
    },
}

/// A process that runs.
pub struct Process {
    /// The log's member.
    pub core: RaftNode,
    /// The replicated state.
    pub agreed: ReplicatedState,
    applied: u64,
    compact: usize,
    /// Orders in the log, by their place, with their term.
    orders: BTreeMap<u64, (u64, Caller)>,
    reads: BTreeMap<u64, Waiting>,
    confirmed: Vec<(u64, Waiting)>,
    next_token: u64,
    joined: u64,
    contact_asked: u64,
}

impl Process {
    /// Starts from what the disk holds.
    pub fn start(id: NodeId, disk: &Disk, seed: u64, now: u64, schedule: &Schedule) -> Self {
        let mut core = RaftNode::new(id, TIMING, seed, disk.stored.clone(), Members::default());
        core.set_membership_policy(MembershipPolicy::new(TIMING, schedule.tolerate));
        core.tick(now);
        Self {
            core,
            agreed: ReplicatedState::default(),
            applied: 0,
            compact: schedule.compact,
            orders: BTreeMap::new(),
            reads: BTreeMap::new(),
            confirmed: Vec::new(),
            // Begins anywhere: an answer to an earlier life must not pass for one to this.
            next_token: seed,
            joined: 0,
            contact_asked: 0,
        }
    }

    /// The last entry in its state.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Takes something in.
    pub fn take(&mut self, now: u64, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        // It may have stood still since the last tick.
        self.core.advance_clock(now);
        match input {
            Input::Tick => self.tick(now, &mut effects),
            Input::Message(message) => self.core.step(message),
            Input::Join { id, address } => self.core.handle_join_request(id, address),
            Input::Synced(seq) => self.core.on_persisted(seq),
            Input::Leave => self.core.begin_shutdown(),
            Input::Order { caller, command } => self.asked(now, caller, command, &mut effects),
            Input::Read { floor } => self.read(Waiting::Read { floor }),
        }
        effects
    }

    fn tick(&mut self, now: u64, effects: &mut Vec<Effect>) {
        self.core.tick(now);
        let status = self.core.status();
        if self.core.wants_to_join() && now >= self.joined + 1000 {
            self.joined = now;
            effects.push(Effect::Join);
        }
        if status.role != Role::Leader && now >= self.contact_asked + CONTACT_ASK {
            self.contact_asked = now;
            let token = self.token();
            self.core.request_quorum_contact(token);
        }
    }

    fn token(&mut self) -> u64 {
        self.next_token = self.next_token.wrapping_add(1);
        self.next_token
    }

    fn read(&mut self, waiting: Waiting) {
        let token = self.token();
        self.reads.insert(token, waiting);
        self.core.request_read(token);
    }

    fn asked(&mut self, now: u64, caller: Caller, command: Command, effects: &mut Vec<Effect>) {
        if self.core.status().role != Role::Leader {
            // The world knows where the leader stands.
            effects.push(Effect::Answer(caller, Answer::NotLeader(None)));
            return;
        }
        self.read(Waiting::Order {
            caller,
            command,
            until: now + ORDER,
        });
    }

    /// Carries out what the core wants, for as long as it wants something.
    pub fn carry_out(&mut self, now: u64, disk: &mut Disk, effects: &mut Vec<Effect>) {
        loop {
            let out = self.core.take_ready();
            let idle = out.persist_requests.is_empty()
                && out.messages.is_empty()
                && out.restored_snapshot.is_none()
                && out.committed_entries.is_empty()
                && out.read_states.is_empty();
            self.output(out, disk, effects);
            let went_on = self.go_on(now, effects);
            if idle && !went_on {
                return;
            }
        }
    }

    fn output(&mut self, out: Ready, disk: &mut Disk, effects: &mut Vec<Effect>) {
        out.persist_requests
            .into_iter()
            .for_each(|save| disk.order(DiskOrder::Persist(save)));
        effects.extend(out.messages.into_iter().map(Effect::Send));
        if let Some(snapshot) = out.restored_snapshot {
            self.restore(&snapshot, effects);
        }
        for entry in out.committed_entries {
            effects.push(Effect::Applied(entry.clone()));
            self.apply(entry, effects);
        }
        for ReadState { token, index } in out.read_states {
            match (self.reads.remove(&token), index) {
                (Some(waiting), Some(index)) => self.confirmed.push((index, waiting)),
                (Some(Waiting::Order { caller, .. }), None) => {
                    effects.push(Effect::Answer(caller, Answer::Unclear));
                }
                _ => {}
            }
        }
        if self.core.log_len() > self.compact {
            self.cut_log(disk);
        }
    }

    fn restore(&mut self, snapshot: &Snapshot, effects: &mut Vec<Effect>) {
        if !snapshot.data.is_empty() {
            self.agreed = ciborium::from_reader(&snapshot.data[..]).unwrap_or_default();
        }
        self.applied = snapshot.index;
        effects.push(Effect::Restored);
        effects.push(Effect::State(self.applied));
    }

    fn apply(&mut self, entry: Entry, effects: &mut Vec<Effect>) {
        self.applied = entry.index;
        let waiting = self.orders.remove(&entry.index);
        if let Payload::Data(data) = &entry.payload {
            let verdict = match ciborium::from_reader::<Command, _>(&data[..]) {
                Ok(command) => self.agreed.apply(entry.index, &command),
                Err(e) => CommandOutcome::Invalid(InvalidCommand::NotJson {
                    reason: e.to_string(),
                }),
            };
            if let Some((term, caller)) = waiting
                && term == entry.term
            {
                effects.push(Effect::Answer(caller, Answer::Verdict(verdict)));
            }
        }
        effects.push(Effect::State(self.applied));
    }

    fn cut_log(&mut self, disk: &mut Disk) {
        let mut data = Vec::new();
        if ciborium::into_writer(&self.agreed, &mut data).is_ok()
            && let Some(snapshot) = self.core.compact(self.applied, data)
        {
            disk.order(DiskOrder::Compact(snapshot));
        }
    }

    /// Goes on with what waited for this state; whether anything did.
    fn go_on(&mut self, now: u64, effects: &mut Vec<Effect>) -> bool {
        if self.confirmed.is_empty() {
            return false;
        }
        let applied = self.applied;
        let (ready, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.confirmed)
            .into_iter()
            .partition(|(i, _)| *i <= applied);
        self.confirmed = rest;
        let any = !ready.is_empty();
        for (_, waiting) in ready {
            match waiting {
                Waiting::Read { floor } => effects.push(Effect::Read {
                    floor,
                    index: applied,
                }),
                Waiting::Order { until, .. } if now > until => {}
                Waiting::Order {
                    caller, command, ..
                } => self.decide(caller, &command, effects),
            }
        }
        any
    }

    fn decide(&mut self, caller: Caller, command: &Command, effects: &mut Vec<Effect>) {
        let verdict = self.agreed.check(command);
        if self.agreed.is_final(command, &verdict) {
            effects.push(Effect::Answer(caller, Answer::Verdict(verdict)));
            return;
        }
        let mut data = Vec::new();
        let written = ciborium::into_writer(command, &mut data).is_ok();
        match self.core.propose(data).filter(|_| written) {
            Some(index) => {
                let term = self.core.status().term;
                self.orders.insert(index, (term, caller));
            }
            None => effects.push(Effect::Answer(caller, Answer::NotLeader(None))),
        }
    }
}
