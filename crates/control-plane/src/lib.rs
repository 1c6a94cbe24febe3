//! The control plane: a control balancer in each zone. It keeps its zone's upstreams and sessions (its cell),
//! agrees with the others on the configuration and the evacuations, and tells the data plane what is new.
//!
//! - [`configuration`]: the rules of what is taken, applied in the order of the log; no I/O.
//! - [`evacuations`]: which order of a zone is another one, and which is sent again; no I/O.
//! - [`snapshot`]: the replicated state in the forms that this build reads, and the one that it writes.
//! - [`store`]: what is on disk, in one `redb` file, written by a thread of its own.
//! - [`server`]: what a control balancer knows: the log, sessions, zones; it tells whoever waits for news.
//! - [`connections`]: connections between control balancers, and the sessions of the data plane.
//! - [`peer_writer`]: the order in which a peer is told, and at what pace.
//! - [`discovery`]: the list of upstreams, asked for by the one cell that keeps a zone.
//! - [`key_leases`]: where upstreams divide a service's keys, the leader grants them what `placement` plans.
//! - [`http_api`]: what operators and clients ask: configurations, drains, the directory.
//! - [`metrics`]: how things stand, for whoever watches.
//! - [`operator_client`]: the other side of it: an order is sent until its answer is clear.
//!
//! **Promises.** What was acknowledged is on the disks of a majority; what is agreed on is told and read only in
//! contact with one. **Neighbours down.** Without a majority orders get 503, sessions hear that it is out of
//! contact, and the data plane goes on with what it has; a silent cell's zone is kept by another.
#![forbid(unsafe_code)]

pub mod configuration;
pub mod connections;
pub mod discovery;
pub mod evacuations;
pub mod http_api;
pub mod key_leases;
pub mod metrics;
pub mod operator_client;
pub mod peer_writer;
pub mod runtime;
pub mod server;
pub mod snapshot;
pub mod store;
