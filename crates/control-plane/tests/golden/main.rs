//! Tests that stored and sent bytes stay compatible: fixtures of an earlier build must decode, and encode to the same
//! bytes again.

mod commands;
mod fixture;
mod log;
mod messages;
mod process;
mod store;
