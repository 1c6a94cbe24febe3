//! The control plane: processes that replicate the configuration, the zone evacuations and the ownership of key ranges
//! through a Raft log, maintain the lists of upstreams, and send changes to the data plane.
//!
//! Modules, in the order in which a command passes through them:
//!
//! - [`operator_client`]: the operator's side. Retries a call until it gets a definite answer.
//! - [`http_api`]: the operators' HTTP calls and their status codes, and the directory in which clients look up
//!   balancers.
//! - [`server`]: [`ControlServer`](server::ControlServer): this process's Raft node, sessions, peers and zones.
//! - [`command`]: the commands, as they are stored in the log, and their outcomes.
//! - [`replicated_state`]: the replicated state and the effect of each command on it. Detects resent commands. No I/O.
//! - [`configuration`]: validation of configurations, and amendments. No I/O.
//! - [`evacuations`]: evacuations and returns of zones within the replicated state. No I/O.
//! - [`store`]: persistent storage, in one `redb` file that a dedicated thread writes.
//! - [`snapshot`]: the formats of the replicated state in a snapshot of the log.
//! - [`connections`]: connections between control processes, and the sessions of the data plane.
//! - [`peer_writer`]: the order and rate in which messages are sent to a peer.
//! - [`discovery`]: polls the platform's list of upstreams; one process does so for each zone.
//! - [`key_leases`]: the leader assigns ranges of keys to upstreams, according to the plan of `placement`.
//! - [`metrics`]: the state of a process in the Prometheus format.
//! - [`runtime`]: assembles the process, from reading the settings to shutting down.
//!
//! **Guarantees.** A command that was acknowledged is synced to disk on a majority of the members. Replicated state is
//! read and served only in quorum contact.
//!
//! **Failures.** Without a majority, commands get status 503, sessions are told that the process is out of contact, and
//! the data plane continues with the state it has. The zone of a control process that is unreachable is managed by
//! another one. A process whose disk was wiped or whose file is damaged rejoins as a new member ([`store`]).
#![forbid(unsafe_code)]

pub mod command;
pub mod configuration;
pub mod connections;
pub mod discovery;
pub mod evacuations;
pub mod http_api;
pub mod key_leases;
pub mod metrics;
pub mod operator_client;
pub mod peer_writer;
pub mod replicated_state;
pub mod runtime;
pub mod server;
pub mod snapshot;
pub mod store;
