//! The data plane: clients in front, upstreams behind, every decision in the decision module.
//!
//! Read it in the order in which a request meets it: [`listener`] accepts connections and reads requests,
//! a gate (`routes`, or a program's own) finds what a request is and asks the [`engine`], which feeds the
//! decision module and carries out its actions; [`upstream_pool`] makes the attempts, each an exchange on one
//! connection ([`upstream_connection`]). [`control_client`] brings news from
//! the control plane, [`metrics`] tells what was counted. Everything runs on one thread; only the engine touches the modules.
//!
//! **Promises.** Every request that was read whole gets one final answer; nothing is sent twice that may run
//! once; what is held for slow readers is bounded. **Neighbours down.** Without the control plane it goes on
//! with what it last knew, never with anything older.
#![forbid(unsafe_code)]

pub mod abort_on_drop;
pub mod body;
pub mod change_notifier;
pub mod client_connections;
pub mod control_client;
pub mod engine;
mod framing;
pub mod headers;
pub mod http_client;
pub mod listener;
pub mod metrics;
pub mod routes;
pub mod runtime;
pub mod stream;
mod tunnel;
pub mod upstream_connection;
pub mod upstream_pool;
