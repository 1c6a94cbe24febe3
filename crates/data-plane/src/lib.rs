//! The data plane: accepts clients' requests, and gets a response for each from an upstream of its service.
//!
//! Modules in the order in which a request meets them:
//!
//! 1. [`listener`] accepts connections ([`client_connections`], [`client_stream`]) and reads requests.
//! 2. [`routes`] finds what a request is and what goes on of it ([`headers`], [`body`]).
//! 3. [`engine`] feeds the decision modules of `load-balancing`, one for each service, and carries out what they
//!    decide.
//! 4. [`upstream_pool`] makes the attempts, each an exchange on an [`upstream_connection`].
//!
//! Beside that, [`control_client`] brings updates from the control plane, [`metrics`] counts, and [`runtime`] composes
//! all of it to a process. Everything runs on one thread; only the engine touches the decision modules.
//!
//! **Promises.** Every request that was read whole gets one final response; nothing is sent twice that may run only
//! once; memory that is held for slow readers is bounded.
//!
//! **May lose.** A process that ends takes its open requests along, after the time to finish that a stop gives them.
//! Nothing is stored.
//!
//! **Neighbours down.** Without the control plane it goes on with what it last received, never with anything older. An
//! upstream that is silent or gone costs its attempts; whether the request is sent elsewhere is the decision module's
//! choice.
#![forbid(unsafe_code)]

pub mod abort_on_drop;
pub mod body;
pub mod change_notifier;
pub mod client_connections;
pub mod client_stream;
pub mod control_client;
pub mod engine;
mod framing;
pub mod headers;
pub mod http_client;
pub mod listener;
pub mod metrics;
mod response_desync;
pub mod routes;
pub mod runtime;
pub mod upstream_connection;
pub mod upstream_pool;
