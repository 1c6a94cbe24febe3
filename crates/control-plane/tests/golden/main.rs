//! Compatibility of stored and sent bytes: fixtures of an earlier build are read, and written again alike.

mod commands;
mod fixture;
mod log;
mod messages;
mod process;
mod store;
