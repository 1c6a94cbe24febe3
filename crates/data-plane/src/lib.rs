//! The data plane: clients in front, upstreams behind, every decision in the decision module.
//!
//! Read it in the order in which a request meets it: [`front`] accepts connections and reads requests,
//! a gate (`routes`, or a program's own) finds what a request is and asks the [`engine`], which feeds the
//! decision module and carries out its actions; [`upstreams`] makes the attempts, each an exchange on one
//! connection ([`link`]). [`watch`] brings news from
//! the control plane, [`metrics`] tells what was counted. Everything runs on one thread; only the engine touches the modules.
//!
//! **Promises.** Every request that was read whole gets one final answer; nothing is sent twice that may run
//! once; what is held for slow readers is bounded. **Neighbours down.** Without the control plane it goes on
//! with what it last knew, never with anything older.
#![forbid(unsafe_code)]

pub mod bodies;
pub mod changes;
pub mod connections;
pub mod engine;
pub mod fetch;
mod framing;
pub mod front;
pub mod heads;
pub mod link;
pub mod metrics;
pub mod node;
pub mod routes;
mod splice;
pub mod stream;
pub mod upstreams;
pub mod watch;
