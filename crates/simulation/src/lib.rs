//! Deterministic simulation of the control plane: one seeded clock, network and disks, faults from a schedule, and
//! invariants that are checked after every event.
//!
//! A [`schedule::Schedule`] is a seed and a list of faults; [`world::run`] plays it. The same schedule gives the same
//! run, event by event, so that a failure is replayed from its seed. [`shrink`] removes faults from a failing schedule
//! for as long as it still violates the same invariant, and prints the rest as a test.
//!
//! Real here: [`raft::RaftNode`], the replicated state ([`control_plane::configuration::ReplicatedState`]) and the
//! requests to the store ([`control_plane::store::DiskRequest`]). Modelled: the clock, the network, the disks with
//! their transactions, and the host that connects them. The test `control_plane` of this crate drives the real host,
//! `control_plane::server::ControlServer`, on paused time.
//!
//! | module | job |
//! | --- | --- |
//! | [`schedule`] | faults with their times, generated from a seed |
//! | [`world`] | the event loop and its handlers |
//! | `event_queue` | what happens next |
//! | `process` | a control process: the real parts and a model of their host |
//! | [`disk`], `network` | the models of disks and network |
//! | `operator` | clients that race to change the configuration |
//! | `history`, `invariant` | what was seen, and what must hold of it |
//! | [`shrink`] | smaller schedules that still fail |

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
