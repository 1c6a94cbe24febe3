//! Model-based tests of upstream connections ([`connection`]), of requests over several attempts ([`attempts`]) and of
//! requests whose route changes while they are open ([`route_changes`]), against scripted upstreams on loopback sockets
//! ([`scripted_upstream`]) that record which requests they ran and what they responded. [`schedule`] generates the
//! scripts of connections.

mod attempts;
mod connection;
mod route_changes;
mod schedule;
mod scripted_upstream;
