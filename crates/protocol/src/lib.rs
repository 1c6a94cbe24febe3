//! The wire protocol between the system's processes, and the formats of their settings and configuration.
//!
//! | module | contents |
//! | --- | --- |
//! | [`settings`] | the settings file of a process |
//! | [`config`] | the configuration that operators submit |
//! | [`compact_config`] | the compact encoding of the configuration for data-plane balancers |
//! | [`wire`] | messages between processes and their framing |
//! | [`upstream_list`] | the versioned upstream list of a zone, sent as snapshots and deltas |
//! | [`key_ranges`] | ownership of the key ranges of sharded services |
//! | [`key_load`] | reported load of the keys of sharded services |
//!
//! The crate reads no clock. It does I/O only in [`wire::frame`], on streams that the caller opened, and in
//! [`settings::Settings::read`].

mod array_struct;
pub mod compact_config;
pub mod config;
pub mod key_load;
pub mod key_ranges;
pub mod settings;
pub mod upstream_list;
pub mod wire;
