//! Tests of the proxy as a process on loopback sockets, grouped by subject. The failures that they guard against are
//! described at the code under test.

mod harness;
mod malformed_clients;
mod malformed_responses;
mod reload;
mod serving;
