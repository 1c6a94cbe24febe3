//! What the system's own processes say to each other, and what they are told.
//!
//! [`settings`] is the file that a process is started with, [`config`] the configuration that operators
//! send, [`wire`] the frames between processes: a length and a `ciborium` body, with the protocol's version
//! in the first. [`zones`] is how a zone's upstreams are told: by difference where there is something to build
//! on; [`keys`] is who holds which keys of a service whose upstreams divide them.
#![forbid(unsafe_code)]

pub mod compact;
pub mod config;
pub mod keys;
pub mod settings;
pub mod wire;
pub mod zones;
