//! The invariants: properties of the control plane that are checked after every event of a run.

use std::fmt;

/// A property that no schedule of faults may break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// At most one leader is elected in a term (Raft paper, figure 3: election safety).
    ElectionSafety,
    /// Entries of the same index and term are equal, and a committed index holds one entry for good (Raft paper,
    /// figure 3: log matching and leader completeness).
    LogMatching,
    /// An entry is committed only once a majority of the voters has it on synced disks. A loss of power of all
    /// machines loses nothing that was committed.
    Durability,
    /// A member becomes a voter only once its own disk has everything that anybody was shown by then. Else a majority
    /// could be counted in which nobody has it.
    NewVoterIsCaughtUp,
    /// A leader that claims to have led at some time did: no leader of a later term was elected before that time
    /// (Raft thesis, 6.4). Reads are served on the strength of this claim.
    LeadershipConfirmation,
    /// A member that claims quorum contact up to some time has applied everything that was acknowledged before that
    /// time. Sessions and leases rely on it.
    QuorumContact,
    /// What was acknowledged to an operator is part of the replicated state.
    AcknowledgedIsApplied,
    /// Of all configurations that build on the same revision, one is acknowledged.
    OneSuccessorPerRevision,
    /// A command that was rejected is never applied, and one that is applied is never rejected.
    RejectionIsFinal,
    /// All members have the same state at the same index (Raft paper, figure 3: state machine safety).
    StateMachineSafety,
    /// A read sees everything that was acknowledged, or shown by another read, before it began.
    LinearizableReads,
    /// Commands are acknowledged within bounded time while no more machines are lost than the deployment tolerates.
    Liveness,
    /// The number of messages stays in proportion to what happens: no message storm.
    BoundedMessages,
    /// No code of the control plane panics.
    NoPanic,
}

/// An invariant that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which one.
    pub invariant: Invariant,
    /// When, in milliseconds of simulated time.
    pub at_ms: u64,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            invariant,
            at_ms,
            detail,
        } = self;
        write!(f, "{invariant:?} violated at {at_ms} ms: {detail}")
    }
}
