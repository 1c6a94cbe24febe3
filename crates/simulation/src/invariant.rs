//! The invariants: properties of the control plane that are checked after every event of a run.

use std::fmt;

/// A property that must hold under every schedule of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// At most one leader is elected in a term (Raft paper, figure 3: election safety).
    ElectionSafety,
    /// Entries of the same index and term are equal, and the entry at a committed index never changes (Raft paper,
    /// figure 3: log matching and leader completeness).
    LogMatching,
    /// An entry is committed only after a majority of the voters has synced it to disk, so a power failure of all
    /// machines loses no committed entry.
    Durability,
    /// A member becomes a voter only after its own disk has everything that any client has observed by then. Otherwise
    /// there could be a majority in which no member has it.
    NewVoterIsCaughtUp,
    /// If a leader claims that it was the leader at some time, no leader of a later term was elected before that time
    /// (Raft thesis, 6.4). Reads rely on this claim.
    LeadershipConfirmation,
    /// A member that claims quorum contact up to some time has applied everything that was acknowledged before that
    /// time. Sessions and leases rely on this claim.
    QuorumContact,
    /// A command that was acknowledged to an operator is applied to the replicated state.
    AcknowledgedIsApplied,
    /// Of all configurations that are based on the same revision, at most one is acknowledged.
    OneSuccessorPerRevision,
    /// A rejected command is never applied, and an applied command is never rejected.
    RejectionIsFinal,
    /// All members have the same state at the same index (Raft paper, figure 3: state machine safety).
    StateMachineSafety,
    /// A read returns everything that was acknowledged, or returned by another read, before it began.
    LinearizableReads,
    /// Commands are acknowledged within bounded time as long as no more machines are lost than the deployment
    /// tolerates.
    Liveness,
    /// The number of messages stays in proportion to the activity: there is no message storm.
    BoundedMessages,
    /// The code of the control plane does not panic.
    NoPanic,
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// The simulated time of the violation, in milliseconds.
    pub at_ms: u64,
    /// What was observed.
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
