//! End-to-end tests with processes on loopback: a control balancer, a data-plane balancer, and mock servers for the
//! platform and an upstream. The tests wait for events, with a time limit that is long enough for a busy machine.

#[path = "../common/mod.rs"]
mod common;
mod configuration;
mod hostile_requests;
mod key_owners;
mod operator_commands;
mod settings_file;
mod system;
