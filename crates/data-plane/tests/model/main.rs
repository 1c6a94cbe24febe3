//! Models of the life of a connection to an upstream ([`upstream_connection`]) and of a request over several attempts
//! ([`max_attempts`]), against a scripted upstream on loopback sockets ([`stand_in`]) that keeps account of what it ran
//! and what it answered.

mod link;
mod schedule;
mod stand_in;
mod tries;
