//! The HTTP interface of a control process: operators' calls on the address `ctl`, clients' directory on `dir`.
//!
//! It owns no replicated state: calls that change something go to the [`ControlServer`](crate::server::ControlServer),
//! and answers are made of what that has. JSON field names, statuses and texts are held by
//! `crates/shorefront/tests/outside_view.rs`.

mod directory_api;
mod operator_api;
mod responses;

pub use directory_api::DirectoryApi;
pub use operator_api::{BASE_VERSION_HEADER, OperatorApi};
