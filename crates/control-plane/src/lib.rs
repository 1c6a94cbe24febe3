//! The control plane: processes that agree on the configuration, the evacuations of zones and the owners of keys, keep
//! the lists of upstreams, and tell the data plane what has changed.
//!
//! In the order in which a command meets them:
//!
//! - [`operator_client`]: an operator's side. Sends a call until its answer is definite.
//! - [`http_api`]: operators' calls and their statuses; the directory that clients ask for balancers.
//! - [`server`]: [`ControlServer`](server::ControlServer): this process's member of the log, sessions, peers and zones.
//! - [`command`]: commands, as they stand in the log, and their outcomes.
//! - [`replicated_state`]: what is agreed on, and what a command does to it. Here commands that are sent again are
//!   recognized. No I/O.
//! - [`configuration`]: which configurations are valid, and what an amendment leads to. No I/O.
//! - [`evacuations`]: evacuations and returns of zones within the replicated state. No I/O.
//! - [`store`]: what is on disk, in one `redb` file that a thread of its own writes.
//! - [`snapshot`]: the forms of the replicated state in a snapshot of the log.
//! - [`connections`]: connections between control processes, and the sessions of the data plane.
//! - [`peer_writer`]: in which order messages go to a peer, and at what pace.
//! - [`discovery`]: the platform's list of upstreams, asked for by the one process that keeps a zone.
//! - [`key_leases`]: the leader grants ranges of keys to upstreams, as `placement` plans.
//! - [`metrics`]: the state of a process in the format of Prometheus.
//! - [`runtime`]: puts all this together, from the settings to the end of the process.
//!
//! **Promises.** A command that was acknowledged is synced on a majority of the members; replicated state is told and
//! read only in contact with one.
//!
//! **When a neighbour is gone.** Without a majority, commands get 503, sessions hear that the process is out of contact,
//! and the data plane goes on with what it has. The zone of a silent control process is kept by another. A process whose
//! disk was wiped, or whose file is damaged, comes back as a new member ([`store`]).
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
