//! Records the observations of a run and checks the invariants against them.
//!
//! The simulated world reports each observation to [`History`], which keeps the first check that fails as the run's
//! violation.
//! Nothing here draws random numbers or affects the simulation.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use control_plane::configuration::{Command, CommandOutcome, ReplicatedState};
use raft::{Entry, Members, NodeId, Payload};
use rustc_hash::FxHasher;

use crate::invariant::Invariant;

/// The number of characters of a configuration that the text of a violation includes.
const BODY_PREFIX_CHARACTERS: usize = 12;

/// Numbers of the observations that a run has checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Commands acknowledged to operators.
    pub acknowledged: u64,
    /// Commands that were definitely rejected.
    pub rejected: u64,
    /// Reads served.
    pub reads: u64,
    /// Membership changes committed.
    pub membership_changes: u64,
    /// Snapshots received from a leader and installed.
    pub installed_snapshots: u64,
}

/// Identifies a command. The text is a readable form for violations.
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
                let prefix: String = body.chars().take(BODY_PREFIX_CHARACTERS).collect();
                format!("{prefix} on {base}")
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

/// The leader of a term, and when it was first observed.
#[derive(Clone, Copy)]
struct Election {
    leader: NodeId,
    at_ms: u64,
}

/// The newest index observed by clients at the time of an acknowledgement.
struct Acknowledgement {
    at_ms: u64,
    index: u64,
}

/// Everything that was committed, acknowledged, rejected and read so far.
#[derive(Default)]
pub(crate) struct History {
    /// The election of each term.
    elections: BTreeMap<u64, Election>,
    /// Every entry that was written to any log, by index and term.
    written: BTreeMap<(u64, u64), Entry>,
    /// Committed entries, starting with index 1.
    committed: Vec<Entry>,
    /// The replicated state after each index, starting with index 0.
    states: Vec<Rc<ReplicatedState>>,
    /// The index at which each command was applied.
    applied: BTreeMap<CommandKey, u64>,
    /// The acknowledged command that builds on each revision.
    successors: BTreeMap<u64, CommandKey>,
    rejected: BTreeSet<CommandKey>,
    /// The newest index that any client has observed through an acknowledgement or a read.
    observed_index: u64,
    /// The acknowledgements, ordered by time.
    acknowledgements: Vec<Acknowledgement>,
    /// The members as of the last committed membership change.
    members: Members,
    counts: Counts,
    violation: Option<(Invariant, String)>,
}

impl History {
    /// Creates a history with the initial members.
    pub(crate) fn new(members: Members) -> Self {
        let states = vec![Rc::new(ReplicatedState::default())];
        Self {
            members,
            states,
            ..Self::default()
        }
    }

    /// Takes the first violation, if any.
    pub(crate) fn take_violation(&mut self) -> Option<(Invariant, String)> {
        self.violation.take()
    }

    /// Records a violation of the invariant unless `holds` is true or there is a violation already.
    fn check(&mut self, holds: bool, invariant: Invariant, detail: impl FnOnce() -> String) {
        if !holds && self.violation.is_none() {
            self.violation = Some((invariant, detail()));
        }
    }

    /// Returns the numbers of the observations that were checked so far.
    pub(crate) fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the last committed members.
    pub(crate) fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the newest index that any client has observed.
    pub(crate) fn observed_index(&self) -> u64 {
        self.observed_index
    }

    /// Returns the newest term in which a leader was elected, or 0 if there is none.
    pub(crate) fn newest_term(&self) -> u64 {
        self.elections.keys().next_back().copied().unwrap_or(0)
    }

    /// Returns the entry committed at an index.
    pub(crate) fn committed_entry(&self, index: u64) -> Option<&Entry> {
        self.committed.get(index.checked_sub(1)? as usize)
    }

    /// Returns whether an index is known to be committed.
    pub(crate) fn is_committed(&self, index: u64) -> bool {
        index <= self.committed.len() as u64
    }

    /// Returns whether an entry was written to any log.
    pub(crate) fn is_written(&self, entry: &Entry) -> bool {
        self.written.contains_key(&(entry.index, entry.term))
    }

    /// Returns the voters of `members` that are not voters of the last committed members.
    pub(crate) fn new_voters(&self, members: &Members) -> Vec<NodeId> {
        let voters = members.voters.keys().copied();
        voters
            .filter(|id| !self.members.voters.contains_key(id))
            .collect()
    }

    // ------------------------------------------------------------- the log

    /// Records that a member is the leader of a term. Checks [`Invariant::ElectionSafety`].
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

    /// Records the claim of a term's leader that it was the leader at `at_ms`. Checks
    /// [`Invariant::LeadershipConfirmation`].
    pub(crate) fn on_leadership_confirmed(&mut self, term: u64, at_ms: u64) {
        let next = self.elections.range(term + 1..).next();
        let next = next.map(|(term, election)| (*term, election.at_ms));
        let holds = next.is_none_or(|(_, elected_ms)| elected_ms >= at_ms);
        self.check(holds, Invariant::LeadershipConfirmation, || {
            format!("term {term} claims leadership at {at_ms}, but the next term and its election: {next:?}")
        });
    }

    /// Records the claim of a member that it had quorum contact up to `at_ms` and has applied the entries up to the
    /// index `applied`. Checks [`Invariant::QuorumContact`].
    pub(crate) fn on_quorum_contact(&mut self, id: NodeId, at_ms: u64, applied: u64) {
        let earlier = self.acknowledgements.partition_point(|a| a.at_ms < at_ms);
        let required = earlier
            .checked_sub(1)
            .map_or(0, |last| self.acknowledgements[last].index);
        self.check(applied >= required, Invariant::QuorumContact, || {
            format!(
                "{id} claims quorum contact up to {at_ms} with {applied} applied, but {required} was acknowledged"
            )
        });
    }

    /// Records that a member is about to become a voter. `is_caught_up` tells whether its disk has everything that was
    /// observed by now. Checks [`Invariant::NewVoterIsCaughtUp`].
    pub(crate) fn on_new_voter(&mut self, id: NodeId, is_caught_up: bool) {
        let observed = self.observed_index;
        self.check(is_caught_up, Invariant::NewVoterIsCaughtUp, || {
            format!("{id} becomes a voter, but its disk lacks entries up to {observed}")
        });
    }

    /// Records that an entry is written to a log. Checks [`Invariant::LogMatching`].
    pub(crate) fn on_written(&mut self, entry: &Entry) {
        let key = (entry.index, entry.term);
        let is_same = self.written.entry(key).or_insert_with(|| entry.clone()) == entry;
        self.check(is_same, Invariant::LogMatching, || {
            format!(
                "different entries at index {} of term {}",
                entry.index, entry.term
            )
        });
    }

    /// Records that a leader commits an index. `is_synced` tells whether a voter has it on its synced disk. Checks
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
            format!("{index} is committed, but synced only by {synced:?} of {voters:?}")
        });
    }

    /// Records that a member applies an entry, and updates the replicated state if no member has applied this index
    /// before. Checks [`Invariant::LogMatching`].
    pub(crate) fn on_applied(&mut self, entry: &Entry) {
        let position = entry.index as usize - 1;
        if let Some(known) = self.committed.get(position) {
            let is_same = known == entry;
            self.check(is_same, Invariant::LogMatching, || {
                format!("different entries committed at index {}", entry.index)
            });
            return;
        }
        let next = self.committed.len();
        self.check(position == next, Invariant::LogMatching, || {
            format!(
                "index {} committed, but {} was expected",
                entry.index,
                next + 1
            )
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

    /// Records that a command changed the replicated state. Checks [`Invariant::RejectionIsFinal`].
    fn on_command_applied(&mut self, command: &Command, index: u64) {
        let key = CommandKey::new(command);
        let is_rejected = self.rejected.contains(&key);
        self.check(!is_rejected, Invariant::RejectionIsFinal, || {
            format!("command applied at index {index} after its rejection: {key:?}")
        });
        self.applied.insert(key, index);
    }

    /// Records that a member installed a snapshot.
    pub(crate) fn on_snapshot_installed(&mut self) {
        self.counts.installed_snapshots += 1;
    }

    /// Records a member's state after an index. Checks [`Invariant::StateMachineSafety`].
    pub(crate) fn on_state(&mut self, id: NodeId, index: u64, state: &ReplicatedState) {
        let known = self.states.get(index as usize);
        let is_same = known.is_some_and(|known| **known == *state);
        self.check(is_same, Invariant::StateMachineSafety, || {
            let revision = state.revision;
            format!("the state of {id} at {index} differs from others: revision {revision}")
        });
    }

    // ------------------------------------------------------------- clients

    /// Records that a command based on revision `base` is acknowledged to an operator. Checks
    /// [`Invariant::AcknowledgedIsApplied`] and [`Invariant::OneSuccessorPerRevision`].
    pub(crate) fn on_acknowledged(&mut self, now_ms: u64, base: u64, command: &Command) {
        self.counts.acknowledged += 1;
        let key = CommandKey::new(command);
        let index = self.applied.get(&key).copied();
        self.check(index.is_some(), Invariant::AcknowledgedIsApplied, || {
            format!("command acknowledged but not applied: {key:?}")
        });
        self.observed_index = self.observed_index.max(index.unwrap_or(0));
        self.acknowledgements.push(Acknowledgement {
            at_ms: now_ms,
            index: self.observed_index,
        });
        let successor = self.successors.entry(base).or_insert_with(|| key.clone());
        let successor = successor.clone();
        let is_only = successor == key;
        self.check(is_only, Invariant::OneSuccessorPerRevision, || {
            format!("two acknowledged for base revision {base}: {successor:?} and {key:?}")
        });
    }

    /// Records that a command was definitely rejected. Checks [`Invariant::RejectionIsFinal`].
    pub(crate) fn on_rejected(&mut self, command: &Command) {
        self.counts.rejected += 1;
        let key = CommandKey::new(command);
        let is_applied = self.applied.contains_key(&key);
        self.check(!is_applied, Invariant::RejectionIsFinal, || {
            format!("command rejected but applied: {key:?}")
        });
        self.rejected.insert(key);
    }

    /// Records a read served at `index` that began when `observed_index` was the newest observed index. Checks
    /// [`Invariant::LinearizableReads`].
    pub(crate) fn on_read(&mut self, observed_index: u64, index: u64) {
        self.counts.reads += 1;
        self.check(
            index >= observed_index,
            Invariant::LinearizableReads,
            || {
                format!(
                    "a read returned {index}, but {observed_index} was observed before it began"
                )
            },
        );
        self.observed_index = self.observed_index.max(index);
    }

    /// Records that no command was acknowledged in time, which violates [`Invariant::Liveness`].
    pub(crate) fn on_stalled(&mut self, detail: String) {
        self.check(false, Invariant::Liveness, || detail);
    }
}
