//! The proxy as a process on loopback sockets, by subject. Each test guards against a failure that the code it covers
//! names.

mod harness;
mod malformed_clients;
mod malformed_responses;
mod reload;
mod serving;
