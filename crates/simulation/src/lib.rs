//! The control plane's real parts on one seeded clock, network and disk, with faults from a schedule and
//! oracles after every step.
//!
//! A [`schedule::Schedule`] is a seed and a list of faults; [`world::run`] plays it. The same schedule gives
//! the same run, event by event, so a failure replays from its seed, and [`shrink`] drops faults from it for
//! as long as it still fails and prints what is left as a test.
//!
//! What is real: [`raft::RaftNode`], the replicated state of orders
//! ([`control_plane::configuration::ReplicatedState`]) and the orders of the store
//! ([`control_plane::store::OperatorRequest`]). What is modelled: the clock, the network, the disk with its
//! transactions, and the host between them. The test `cells` drives the real host on paused time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod disk;
mod machine;
mod network;
mod operators;
mod oracles;
pub mod schedule;
pub mod shrink;
pub mod world;

pub use oracles::{Oracle, Violation};
