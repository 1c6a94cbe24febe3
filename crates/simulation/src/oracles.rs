//! What must hold after every step, and the history that it is judged by.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use control_plane::configuration::{Command, CommandOutcome, ReplicatedState};
use raft::{Entry, Members, NodeId, Payload};
use rustc_hash::FxHasher;

/// Of an order, so many characters are shown.
const SHOWN: usize = 12;

/// What is judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Oracle {
    /// A term has one leader.
    OneLeader,
    /// The same index and term hold the same entry, and a committed index holds one entry for good.
    LogsMatch,
    /// An entry is committed only once a majority of the voters has it on synced disks.
    Durable,
    /// A member is made a voter only once its own disk has all that was shown to anybody by then.
    Newcomer,
    /// Whoever knows that it led at some time did: nobody was elected later by then.
    Lease,
    /// Who takes itself to be in contact up to some moment has applied all that was acknowledged before it.
    Contact,
    /// What was acknowledged stands in the agreed history.
    Acknowledged,
    /// Of the orders on top of one version one is acknowledged.
    OneWinner,
    /// What was refused never comes into force, and what is in force is never refused.
    Refused,
    /// All members come to the same state at the same index.
    SameState,
    /// Reads see all that was acknowledged before they began.
    Linearizable,
    /// Orders are acknowledged within bounded time while losses stay within what is to be borne.
    Progress,
    /// What is said stays in proportion to what happens: no storm of messages.
    Storm,
    /// No code of the control plane panics.
    Panic,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which rule.
    pub oracle: Oracle,
    /// When, in milliseconds of the simulation.
    pub at: u64,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {} ms: {}", self.oracle, self.at, self.detail)
    }
}

/// All that was agreed, acknowledged and refused so far.
#[derive(Default)]
pub struct History {
    /// Who leads each term, and since when.
    leaders: BTreeMap<u64, (NodeId, u64)>,
    /// Every entry that was ever written, by index and term.
    written: BTreeMap<(u64, u64), Entry>,
    /// Committed entries, and the state after each.
    committed: Vec<Entry>,
    states: Vec<Rc<ReplicatedState>>,
    /// Where each order was taken.
    taken: BTreeMap<Key, u64>,
    acknowledged: BTreeSet<Key>,
    winners: BTreeMap<u64, Key>,
    refused: BTreeSet<Key>,
    /// The newest index that an acknowledgement or a read has shown.
    floor: u64,
    /// Every newest index that was acknowledged, and when.
    shown: Vec<(u64, u64)>,
    /// The members as of the last committed entry that names them.
    members: Members,
    /// How many acknowledgements, reads and changes of members were judged.
    pub counts: Counts,
    broken: Option<(Oracle, String)>,
}

/// How much was judged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Orders acknowledged.
    pub acknowledged: u64,
    /// Orders refused.
    pub refused: u64,
    /// Reads answered.
    pub reads: u64,
    /// Changes of members committed.
    pub members: u64,
    /// Snapshots that were taken over from a leader.
    pub installed: u64,
}

/// An order, told from all others; its first bytes are for who reads a violation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key(String, u64);

fn key(command: &Command) -> Key {
    let mut hasher = FxHasher::default();
    let text = match command {
        Command::Replace { base, body } => {
            (base, body).hash(&mut hasher);
            format!("{} on {base}", body.chars().take(SHOWN).collect::<String>())
        }
        other => {
            let text = format!("{other:?}");
            text.hash(&mut hasher);
            text
        }
    };
    Key(text, hasher.finish())
}

impl History {
    /// A history that begins with these members.
    pub fn new(members: Members) -> Self {
        let states = vec![Rc::new(ReplicatedState::default())];
        Self {
            members,
            states,
            ..Self::default()
        }
    }

    /// The rule broken first, if any.
    pub fn broken(&mut self) -> Option<(Oracle, String)> {
        self.broken.take()
    }

    fn require(&mut self, holds: bool, oracle: Oracle, detail: impl FnOnce() -> String) {
        if !holds && self.broken.is_none() {
            self.broken = Some((oracle, detail()));
        }
    }

    /// The members as last committed.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The newest index that anybody has been shown.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Whether an index is committed somewhere.
    pub fn knows(&self, index: u64) -> bool {
        index <= self.committed.len() as u64
    }

    /// Somebody leads a term.
    pub fn leads(&mut self, term: u64, id: NodeId, now: u64) {
        let (known, _) = *self.leaders.entry(term).or_insert((id, now));
        self.require(known == id, Oracle::OneLeader, || {
            format!("{known} and {id} both lead term {term}")
        });
    }

    /// The newest term that anybody has led.
    pub fn newest_term(&self) -> u64 {
        self.leaders.keys().next_back().copied().unwrap_or(0)
    }

    /// The leader of a term knows that it led at this time.
    pub fn led(&mut self, term: u64, at: u64) {
        let later = self
            .leaders
            .range(term + 1..)
            .map(|(t, (_, since))| (*t, *since))
            .next();
        let holds = later.is_none_or(|(_, since)| since >= at);
        self.require(holds, Oracle::Lease, || {
            format!("the leader of term {term} led at {at}, and another since {later:?}")
        });
    }

    /// An entry of the log names members for the first time: those among them that become voters.
    pub fn new_voters(&self, members: &Members) -> Vec<NodeId> {
        let voters = members.voters.keys().copied();
        voters
            .filter(|id| !self.members.voters.contains_key(id))
            .collect()
    }

    /// A member is about to vote; whether it has all that was shown by now.
    pub fn newcomer(&mut self, id: NodeId, holds: bool) {
        let floor = self.floor;
        self.require(holds, Oracle::Newcomer, || {
            format!("{id} becomes a voter, and its disk lacks some of what was shown up to {floor}")
        });
    }

    /// The entry committed at an index.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.committed.get(index.checked_sub(1)? as usize)
    }

    /// Whether an entry is in somebody's log.
    pub fn is_written(&self, entry: &Entry) -> bool {
        self.written.contains_key(&(entry.index, entry.term))
    }

    /// An entry is written to somebody's log.
    pub fn wrote(&mut self, entry: &Entry) {
        let key = (entry.index, entry.term);
        let same = self.written.entry(key).or_insert_with(|| entry.clone()) == entry;
        self.require(same, Oracle::LogsMatch, || {
            format!("two entries at {} of term {}", entry.index, entry.term)
        });
    }

    /// An entry is applied by somebody; what becomes of it.
    pub fn committed(&mut self, entry: &Entry) -> Option<CommandOutcome> {
        let place = entry.index as usize - 1;
        if let Some(known) = self.committed.get(place) {
            let same = known == entry;
            self.require(same, Oracle::LogsMatch, || {
                format!("two entries committed at {}", entry.index)
            });
            return None;
        }
        let next = self.committed.len();
        self.require(place == next, Oracle::LogsMatch, || {
            format!("{} committed where {} was next", entry.index, next + 1)
        });
        self.committed.push(entry.clone());
        let mut state = self.states.last().cloned().unwrap_or_default();
        let mut verdict = None;
        match &entry.payload {
            Payload::Data(data) => {
                if let Ok(command) = ciborium::from_reader::<Command, _>(&data[..]) {
                    let after = Rc::make_mut(&mut state).apply(entry.index, &command);
                    if after == CommandOutcome::Applied {
                        self.in_force(&command, entry.index);
                    }
                    verdict = Some(after);
                }
            }
            Payload::Members(members) => {
                self.members = members.clone();
                self.counts.members += 1;
            }
            Payload::Empty => {}
        }
        self.states.push(state);
        verdict
    }

    fn in_force(&mut self, command: &Command, index: u64) {
        let key = key(command);
        let refused = self.refused.contains(&key);
        self.require(!refused, Oracle::Refused, || {
            format!("refused, and in force from {index}: {key:?}")
        });
        self.taken.insert(key, index);
    }

    /// A member's state after an index.
    pub fn state(&mut self, id: NodeId, index: u64, state: &ReplicatedState) {
        let same = self
            .states
            .get(index as usize)
            .is_some_and(|known| **known == *state);
        self.require(same, Oracle::SameState, || {
            format!(
                "{id} has another state at {index}: version {}",
                state.revision
            )
        });
    }

    /// An order is acknowledged.
    pub fn acknowledged(&mut self, now: u64, base: u64, command: &Command) {
        self.counts.acknowledged += 1;
        let key = key(command);
        let index = self.taken.get(&key).copied();
        self.require(index.is_some(), Oracle::Acknowledged, || {
            format!("acknowledged, and not in force: {key:?}")
        });
        self.floor = self.floor.max(index.unwrap_or(0));
        self.shown.push((now, self.floor));
        let winner = self
            .winners
            .entry(base)
            .or_insert_with(|| key.clone())
            .clone();
        self.require(winner == key, Oracle::OneWinner, || {
            format!("two acknowledged on top of {base}: {winner:?} and {key:?}")
        });
        self.acknowledged.insert(key);
    }

    /// A member takes itself to be in contact up to this moment, with this applied.
    pub fn contact(&mut self, id: NodeId, at: u64, applied: u64) {
        let before = self.shown.partition_point(|(when, _)| *when < at);
        let owed = before.checked_sub(1).map_or(0, |last| self.shown[last].1);
        self.require(applied >= owed, Oracle::Contact, || {
            format!("{id} is in contact up to {at} with {applied}, and {owed} was acknowledged")
        });
    }

    /// An order is refused for good.
    pub fn refused(&mut self, command: &Command) {
        self.counts.refused += 1;
        let key = key(command);
        let taken = self.taken.contains_key(&key);
        self.require(!taken, Oracle::Refused, || {
            format!("in force, and refused: {key:?}")
        });
        self.refused.insert(key);
    }

    /// A read that began when `floor` was known is answered at an index.
    pub fn read(&mut self, floor: u64, index: u64) {
        self.counts.reads += 1;
        self.require(index >= floor, Oracle::Linearizable, || {
            format!("a read saw {index}, and {floor} was shown before it began")
        });
        self.floor = self.floor.max(index);
    }

    /// An entry is committed by a leader while these voters have it on synced disks.
    pub fn durable(&mut self, index: u64, members: &Members, has: impl Fn(NodeId) -> bool) {
        let holds = members.is_majority(&has);
        self.require(holds, Oracle::Durable, || {
            let on: Vec<NodeId> = members
                .voters
                .keys()
                .copied()
                .filter(|id| has(*id))
                .collect();
            let voters: Vec<NodeId> = members.voters.keys().copied().collect();
            format!("{index} is committed and synced at {on:?} of {voters:?}")
        });
    }

    /// The oracle of progress has something to say.
    pub fn stuck(&mut self, detail: String) {
        self.require(false, Oracle::Progress, || detail);
    }
}
