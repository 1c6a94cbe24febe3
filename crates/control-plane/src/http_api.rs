//! The HTTP interface of a control process: the operators' calls on the address `ctl`, and the clients' directory on
//! `dir`.
//!
//! It owns no replicated state: calls that change something are passed to the
//! [`ControlServer`](crate::server::ControlServer), and responses are built from its state. The test
//! `crates/shorefront/tests/outside_view.rs` pins the JSON field names, status codes and texts.

mod directory_api;
mod operator_api;
mod responses;

pub use directory_api::DirectoryApi;
pub use operator_api::{BASE_VERSION_HEADER, OperatorApi};
