//! Models of the life of a connection to an upstream ([`connection`]) and of a request over several attempts
//! ([`attempts`]), against scripted upstreams on loopback sockets ([`scripted_upstream`]) that record what they ran and
//! what they responded. [`schedule`] generates the scripts.

mod attempts;
mod connection;
mod schedule;
mod scripted_upstream;
