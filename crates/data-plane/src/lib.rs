//! The data plane: accepts client requests and obtains a response to each from an upstream of its service.
//!
//! Modules, in the order in which a request passes through them:
//!
//! 1. [`listener`] accepts connections ([`client_connections`], [`client_stream`]) and reads requests.
//! 2. [`routes`] classifies a request and determines which parts of it are forwarded ([`headers`]); [`request_memory`]
//!    receives its body ([`request_body`]).
//! 3. [`engine`] passes events to the balancers of the `load-balancing` crate, one per service, and carries out their
//!    decisions.
//! 4. [`upstream_pool`] makes the attempts, each of which is an exchange on an [`upstream_connection`] and yields a
//!    response ([`body`]).
//!
//! In addition, [`control_client`] receives updates from the control plane, [`metrics`] collects metrics, and
//! [`runtime`] assembles the process. Everything runs on one thread; only the engine accesses the balancers.
//!
//! **Terms.** In [`engine`] and [`upstream_pool`], "the balancer" is the [`load_balancing::policy::Balancer`] of a
//! service, which decides where requests are sent, and the process is called the proxy. In all other modules, "this
//! balancer" is the process, one of a fleet of data-plane balancers.
//!
//! **Guarantees.** Every request that was read completely gets one final response. A request that may run only once is
//! not sent again after it may have run. Memory for the bodies of requests and of responses is bounded.
//!
//! **Failures.** Requests that are still open at the end of the shutdown period are lost with the process. Nothing is
//! stored. Without the control plane, the last received configuration stays in use; it is never replaced by an older
//! one. Attempts at an upstream that is unresponsive or gone fail; the balancer decides whether the request is sent to
//! another one.
#![forbid(unsafe_code)]

pub mod abort_on_drop;
pub mod body;
mod byte_rate;
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
pub mod request_body;
pub mod request_budget;
pub mod request_memory;
mod response_desync;
pub mod routes;
pub mod runtime;
pub mod upstream_connection;
pub mod upstream_pool;
mod wake_signal;
