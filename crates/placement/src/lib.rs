//! Placement of the keys of a sharded service: which upstream is to own which range, and when it may be granted a
//! lease on it.
//!
//! The leader of the control plane hosts one [`Planner`] for each sharded service. The planner does no I/O and has no
//! clock: the host hands in the time, the replicated key ranges and the listed upstreams, proposes the changes that
//! come back to the log, and makes the calls to upstreams.
//!
//! | module | job |
//! | --- | --- |
//! | [`planner`](Planner) | owns all state; what becomes of each range, and the calls that it needs |
//! | `lease` | calls to an upstream, and what the leader knows of a lease |
//! | `rebalance` | moves ranges from upstreams with much load to those with little |
//! | `candidates` | upstreams that may own keys, with the load that each has |
//! | [`key_load`](KeyLoad) | load by bucket of keys |
//! | `timing` | all times and bounds, with their reasons |
//!
//! **State.** In memory only, for as long as one process leads. What has to survive is in the log: a range's owner
//! stands there before its first grant is sent.
//!
//! **Promises.** No two live upstreams hold a lease on one key at a time. A next owner is proposed only once the one
//! before has let go: it answered a release, it is gone for certain, or every lease that anyone may have granted it
//! has run out. A new leader knows from the log who may hold any lease, and counts what its predecessors may have
//! sent last from the moment at which it came to lead.
//!
//! **Neighbours.** An upstream that does not answer keeps its keys until its leases have run out; then others get
//! them, and it gets none for a while. Without a leader leases run out too, and until there is one nothing changes.
//! Time alone protects nothing from a process that stood still and goes on with what it had begun: each grant carries
//! the range's fencing token, and upstreams refuse lower ones.

mod candidates;
mod key_load;
mod lease;
mod planner;
mod rebalance;
mod timing;

pub use candidates::Candidate;
pub use key_load::KeyLoad;
pub use lease::{LeaseCall, LeaseCallOutcome, LeaseRequest};
pub use planner::{Plan, Planner};
pub use timing::Timing;
