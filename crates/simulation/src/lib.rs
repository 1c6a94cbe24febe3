//! Deterministic simulation of the control plane: a simulated clock, network and disks, faults from a schedule, and
//! invariants that are checked after every event.
//!
//! A [`schedule::Schedule`] is a seed and a list of faults, and [`world::run`] runs it. The same schedule always gives
//! the same sequence of events, so a failure can be reproduced from its seed. [`shrink`] removes faults from a failing
//! schedule as long as it still violates the same invariant, and prints the remaining schedule as a test.
//!
//! The simulation uses the real [`raft::RaftNode`], the real replicated state
//! ([`control_plane::configuration::ReplicatedState`]) and the real storage requests
//! ([`control_plane::store::DiskRequest`]). The clock, the network, the disks with their transactions, and the host
//! that connects them are models. The test `control_plane` of this crate runs the real host,
//! `control_plane::server::ControlServer`, on tokio's paused clock.
//!
//! | module | contents |
//! | --- | --- |
//! | [`schedule`] | faults and their times, generated from a seed |
//! | [`world`] | the event loop and its handlers |
//! | `event_queue` | pending events, ordered by time |
//! | `process` | a control process: the real Raft node and state, and a model of their host |
//! | [`disk`], `network` | models of the disks and the network |
//! | `operator` | clients that concurrently change the configuration |
//! | `history`, `invariant` | observations of a run, and the properties they must satisfy |
//! | [`shrink`] | reduction of a failing schedule to fewer faults |

pub mod disk;
mod event_queue;
mod history;
mod invariant;
mod network;
mod operator;
mod process;
pub mod schedule;
pub mod shrink;
pub mod world;

pub use history::Counts;
pub use invariant::{Invariant, Violation};
