//! What was seen in a run, and the checks of the invariants against it.
//!
//! The world reports each observation to [`History`]. A check that fails is kept as the run's violation, the first one
//! only. Nothing here draws from the seed or changes what is simulated.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use control_plane::configuration::{Command, CommandOutcome, ReplicatedState};
use raft::{Entry, Members, NodeId, Payload};
use rustc_hash::FxHasher;

use crate::invariant::Invariant;

/// A violation shows so many characters of a configuration.
const SHOWN_CHARACTERS: usize = 12;

/// How much a run gave to the checks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Commands acknowledged to operators.
    pub acknowledged: u64,
    /// Commands rejected for good.
    pub rejected: u64,
    /// Reads served.
    pub reads: u64,
    /// Changes of the members committed.
    pub membership_changes: u64,
    /// Snapshots received from a leader and installed.
    pub installed_snapshots: u64,
}

/// Identifies a command; its text is for readers of a violation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CommandKey {
    text: String,
    digest: u64,
}

impl CommandKey {
    fn new(command: &Command) -> Self {
        let mut hasher = FxHasher::default();
        let text = match command {
            Command::Replace { base, body } => {
                (base, body).hash(&mut hasher);
                let shown: String = body.chars().take(SHOWN_CHARACTERS).collect();
                format!("{shown} on {base}")
            }
            other => {
                let text = format!("{other:?}");
                text.hash(&mut hasher);
                text
            }
        };
        Self {
            text,
            digest: hasher.finish(),
        }
    }
}

/// Who was elected in a term.
#[derive(Clone, Copy)]
struct Election {
    leader: NodeId,
    at_ms: u64,
}

/// Up to which index acknowledgements had been given at a time.
struct Acknowledgement {
    at_ms: u64,
    index: u64,
}

/// All that was committed, acknowledged, rejected and read so far.
#[derive(Default)]
pub(crate) struct History {
    elections: BTreeMap<u64, Election>,
    /// Every entry that was ever written to a log, by index and term.
    written: BTreeMap<(u64, u64), Entry>,
    /// Committed entries: that of index 1 comes first.
    committed: Vec<Entry>,
    /// The replicated state after each index, from index 0.
    states: Vec<Rc<ReplicatedState>>,
    /// The index at which each command was applied.
    applied: BTreeMap<CommandKey, u64>,
    /// The acknowledged command on top of each revision.
    successors: BTreeMap<u64, CommandKey>,
    rejected: BTreeSet<CommandKey>,
    /// The newest index that an acknowledgement or a read has shown to anybody.
    shown_index: u64,
    /// In the order of their times.
    acknowledgements: Vec<Acknowledgement>,
    /// The members as of the last committed entry that names them.
    members: Members,
    counts: Counts,
    violation: Option<(Invariant, String)>,
}

impl History {
    /// A history that begins with these members.
    pub(crate) fn new(members: Members) -> Self {
        let states = vec![Rc::new(ReplicatedState::default())];
        Self {
            members,
            states,
            ..Self::default()
        }
    }

    /// Takes the first violation, if there is one.
    pub(crate) fn take_violation(&mut self) -> Option<(Invariant, String)> {
        self.violation.take()
    }

    fn check(&mut self, holds: bool, invariant: Invariant, detail: impl FnOnce() -> String) {
        if !holds && self.violation.is_none() {
            self.violation = Some((invariant, detail()));
        }
    }

    /// How much was checked so far.
    pub(crate) fn counts(&self) -> Counts {
        self.counts
    }

    /// The members as last committed.
    pub(crate) fn members(&self) -> &Members {
        &self.members
    }

    /// The newest index that anybody has been shown.
    pub(crate) fn shown_index(&self) -> u64 {
        self.shown_index
    }

    /// The newest term in which a leader was elected; 0 if there is none.
    pub(crate) fn newest_term(&self) -> u64 {
        self.elections.keys().next_back().copied().unwrap_or(0)
    }

    /// The entry committed at an index.
    pub(crate) fn committed_entry(&self, index: u64) -> Option<&Entry> {
        self.committed.get(index.checked_sub(1)? as usize)
    }

    /// Whether an index is known to be committed.
    pub(crate) fn is_committed(&self, index: u64) -> bool {
        index <= self.committed.len() as u64
    }

    /// Whether an entry was written to a log.
    pub(crate) fn is_written(&self, entry: &Entry) -> bool {
        self.written.contains_key(&(entry.index, entry.term))
    }

    /// Those of `members` that vote, and do not vote as of the last commit.
    pub(crate) fn new_voters(&self, members: &Members) -> Vec<NodeId> {
        let voters = members.voters.keys().copied();
        voters
            .filter(|id| !self.members.voters.contains_key(id))
            .collect()
    }

    // ------------------------------------------------------------- the log

    /// A member is leader of a term. Checks [`Invariant::ElectionSafety`].
    pub(crate) fn on_leader(&mut self, term: u64, id: NodeId, now_ms: u64) {
        let election = *self.elections.entry(term).or_insert(Election {
            leader: id,
            at_ms: now_ms,
        });
        let known = election.leader;
        self.check(known == id, Invariant::ElectionSafety, || {
            format!("{known} and {id} both lead term {term}")
        });
    }

    /// The leader of a term claims that it led at a time. Checks [`Invariant::LeadershipConfirmation`].
    pub(crate) fn on_leadership_confirmed(&mut self, term: u64, at_ms: u64) {
        let next = self.elections.range(term + 1..).next();
        let next = next.map(|(term, election)| (*term, election.at_ms));
        let holds = next.is_none_or(|(_, elected_ms)| elected_ms >= at_ms);
        self.check(holds, Invariant::LeadershipConfirmation, || {
            format!("the leader of term {term} led at {at_ms}, and another since {next:?}")
        });
    }

    /// A member claims quorum contact up to a time, with this much applied. Checks [`Invariant::QuorumContact`].
    pub(crate) fn on_quorum_contact(&mut self, id: NodeId, at_ms: u64, applied: u64) {
        let earlier = self.acknowledgements.partition_point(|a| a.at_ms < at_ms);
        let required = earlier
            .checked_sub(1)
            .map_or(0, |last| self.acknowledgements[last].index);
        self.check(applied >= required, Invariant::QuorumContact, || {
            format!(
                "{id} is in contact up to {at_ms} with {applied}, and {required} was acknowledged"
            )
        });
    }

    /// A member is about to become a voter; `is_caught_up`: its disk has everything that was shown by now. Checks
    /// [`Invariant::NewVoterIsCaughtUp`].
    pub(crate) fn on_new_voter(&mut self, id: NodeId, is_caught_up: bool) {
        let shown = self.shown_index;
        self.check(is_caught_up, Invariant::NewVoterIsCaughtUp, || {
            format!("{id} becomes a voter, and its disk lacks some of what was shown up to {shown}")
        });
    }

    /// An entry is written to a log. Checks [`Invariant::LogMatching`].
    pub(crate) fn on_written(&mut self, entry: &Entry) {
        let key = (entry.index, entry.term);
        let is_same = self.written.entry(key).or_insert_with(|| entry.clone()) == entry;
        self.check(is_same, Invariant::LogMatching, || {
            format!("two entries at {} of term {}", entry.index, entry.term)
        });
    }

    /// A leader commits an index; `is_synced` tells which voters have it on synced disks. Checks
    /// [`Invariant::Durability`].
    pub(crate) fn on_leader_commit(
        &mut self,
        index: u64,
        members: &Members,
        is_synced: impl Fn(NodeId) -> bool,
    ) {
        let holds = members.is_majority(&is_synced);
        self.check(holds, Invariant::Durability, || {
            let voters: Vec<NodeId> = members.voters.keys().copied().collect();
            let synced = voters.iter().copied().filter(|id| is_synced(*id));
            let synced: Vec<NodeId> = synced.collect();
            format!("{index} is committed and synced at {synced:?} of {voters:?}")
        });
    }

    /// A member applies an entry. Checks [`Invariant::LogMatching`], and follows the replicated state where it is the
    /// first one to apply this index.
    pub(crate) fn on_applied(&mut self, entry: &Entry) {
        let position = entry.index as usize - 1;
        if let Some(known) = self.committed.get(position) {
            let is_same = known == entry;
            self.check(is_same, Invariant::LogMatching, || {
                format!("two entries committed at {}", entry.index)
            });
            return;
        }
        let next = self.committed.len();
        self.check(position == next, Invariant::LogMatching, || {
            format!("{} committed where {} was next", entry.index, next + 1)
        });
        self.committed.push(entry.clone());
        let mut state = self.states.last().cloned().unwrap_or_default();
        match &entry.payload {
            Payload::Data(data) => {
                if let Ok(command) = ciborium::from_reader::<Command, _>(&data[..])
                    && Rc::make_mut(&mut state).apply(entry.index, &command)
                        == CommandOutcome::Applied
                {
                    self.on_command_applied(&command, entry.index);
                }
            }
            Payload::Members(members) => {
                self.members = members.clone();
                self.counts.membership_changes += 1;
            }
            Payload::Empty => {}
        }
        self.states.push(state);
    }

    fn on_command_applied(&mut self, command: &Command, index: u64) {
        let key = CommandKey::new(command);
        let is_rejected = self.rejected.contains(&key);
        self.check(!is_rejected, Invariant::RejectionIsFinal, || {
            format!("rejected, and applied at {index}: {key:?}")
        });
        self.applied.insert(key, index);
    }

    /// A member has installed a snapshot.
    pub(crate) fn on_snapshot_installed(&mut self) {
        self.counts.installed_snapshots += 1;
    }

    /// A member has this state after an index. Checks [`Invariant::StateMachineSafety`].
    pub(crate) fn on_state(&mut self, id: NodeId, index: u64, state: &ReplicatedState) {
        let known = self.states.get(index as usize);
        let is_same = known.is_some_and(|known| **known == *state);
        self.check(is_same, Invariant::StateMachineSafety, || {
            let revision = state.revision;
            format!("{id} has another state at {index}: revision {revision}")
        });
    }

    // ------------------------------------------------------------- clients

    /// A command on top of revision `base` is acknowledged to an operator. Checks
    /// [`Invariant::AcknowledgedIsApplied`] and [`Invariant::OneSuccessorPerRevision`].
    pub(crate) fn on_acknowledged(&mut self, now_ms: u64, base: u64, command: &Command) {
        self.counts.acknowledged += 1;
        let key = CommandKey::new(command);
        let index = self.applied.get(&key).copied();
        self.check(index.is_some(), Invariant::AcknowledgedIsApplied, || {
            format!("acknowledged, and not applied: {key:?}")
        });
        self.shown_index = self.shown_index.max(index.unwrap_or(0));
        self.acknowledgements.push(Acknowledgement {
            at_ms: now_ms,
            index: self.shown_index,
        });
        let successor = self.successors.entry(base).or_insert_with(|| key.clone());
        let successor = successor.clone();
        let is_only = successor == key;
        self.check(is_only, Invariant::OneSuccessorPerRevision, || {
            format!("two acknowledged on top of {base}: {successor:?} and {key:?}")
        });
    }

    /// A command is rejected for good. Checks [`Invariant::RejectionIsFinal`].
    pub(crate) fn on_rejected(&mut self, command: &Command) {
        self.counts.rejected += 1;
        let key = CommandKey::new(command);
        let is_applied = self.applied.contains_key(&key);
        self.check(!is_applied, Invariant::RejectionIsFinal, || {
            format!("applied, and rejected: {key:?}")
        });
        self.rejected.insert(key);
    }

    /// A read is served at `index`; it began when `shown_index` was the newest index shown. Checks
    /// [`Invariant::LinearizableReads`].
    pub(crate) fn on_read(&mut self, shown_index: u64, index: u64) {
        self.counts.reads += 1;
        self.check(index >= shown_index, Invariant::LinearizableReads, || {
            format!("a read saw {index}, and {shown_index} was shown before it began")
        });
        self.shown_index = self.shown_index.max(index);
    }

    /// No command was acknowledged in time: breaks [`Invariant::Liveness`].
    pub(crate) fn on_stalled(&mut self, detail: String) {
        self.check(false, Invariant::Liveness, || detail);
    }
}
