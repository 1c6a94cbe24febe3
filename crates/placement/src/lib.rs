//! Placement of the keys of a sharded service: which upstream owns which key range, and when it may be granted a
//! lease on it.
//!
//! The leader of the control plane hosts one [`Planner`] for each sharded service. The planner does no I/O and reads
//! no clock: the host passes in the time, the replicated key ranges and the listed upstreams, proposes the resulting
//! changes to the log, and makes the calls to upstreams.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`planner`](Planner) | owns all state; decides on ownership changes and lease calls |
//! | `lease` | lease calls to upstreams, and the leader's state of each lease |
//! | `rebalance` | moves ranges from heavily to lightly loaded upstreams |
//! | `candidates` | upstreams that may own keys, with their loads |
//! | [`key_load`](KeyLoad) | load by bucket of keys |
//! | `timing` | times and limits, with their reasons |
//!
//! **State.** In memory only, for as long as one process leads. Whatever must survive is in the log: the owner of a
//! range is committed there before the first grant is sent to it.
//!
//! **Guarantees.** No two live upstreams hold a lease on the same key at the same time. A new owner is proposed only
//! once the previous one has released the range, is certainly gone, or cannot hold a lease any more because every one
//! that any leader may have granted it has expired. A new leader learns from the log which upstreams may hold leases,
//! and assumes that its predecessors may have sent grants until it became leader and for
//! [`Timing::leader_staleness_ms`] after that.
//!
//! **Failures.** An upstream that does not answer keeps its keys until its leases have expired; then others get them,
//! and it gets none for a while. Without a leader, leases expire too, and no range changes its owner until there is a
//! new one. Expiry does not protect against a process that was paused and then completes an operation that it had
//! begun. Therefore each grant carries the range's fencing token, and upstreams reject lower ones.

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
