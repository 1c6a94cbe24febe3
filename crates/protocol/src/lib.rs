//! Messages between the system's own processes, and what they get from outside: settings and configuration.
//!
//! | module | what is in it |
//! | --- | --- |
//! | [`settings`] | the file that a process is started with |
//! | [`config`] | the configuration that operators send |
//! | [`compact_config`] | the same as it goes to data-plane balancers |
//! | [`wire`] | frames between processes, and their messages |
//! | [`upstream_list`] | a zone's upstreams, complete or by difference to a version |
//! | [`key_ranges`] | which upstream owns which keys of a sharded service |
//! | [`key_load`] | how much load which of these keys bring |
//!
//! No clock, and no I/O but that of [`wire::frame`] on a stream that the caller opened, and of
//! [`settings::Settings::read`].

mod array_struct;
pub mod compact_config;
pub mod config;
pub mod key_load;
pub mod key_ranges;
pub mod settings;
pub mod upstream_list;
pub mod wire;
