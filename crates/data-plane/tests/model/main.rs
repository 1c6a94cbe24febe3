//! Model-based tests of upstream connections ([`connection`]) and of requests over several attempts ([`attempts`]),
//! against scripted upstreams on loopback sockets ([`scripted_upstream`]) that record which requests they ran and what
//! they responded. [`schedule`] generates the scripts.

mod attempts;
mod connection;
mod schedule;
mod scripted_upstream;
