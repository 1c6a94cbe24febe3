//! What the system's own processes say to each other, and what they are told.
//!
//! [`settings`] is the file that a process is started with, [`config_index`] the configuration that operators
//! send, [`wire`] the frames between processes: a length and a `ciborium` body, with the protocol's version
//! in the first. [`upstream_list`] is how a zone's upstreams are told: by difference where there is something to build
//! on; [`key_ranges`] is who holds which keys of a service whose upstreams divide them.
#![forbid(unsafe_code)]

pub mod compact_config;
pub mod config;
pub mod key_ranges;
pub mod settings;
pub mod upstream_list;
pub mod wire;
