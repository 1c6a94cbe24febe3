//! What keeps the program from starting, or ends it.

use std::io;
use std::net::SocketAddr;

use load_balancing::interface::SettingsError;

use crate::config::ConfigError;

/// Why the program ends. The text goes to standard error.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartError {
    /// The runtime could not be made.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// SIGHUP can't be handled.
    #[error("SIGHUP: {0}")]
    Hangup(#[source] io::Error),
    /// SIGTERM can't be handled.
    #[error("SIGTERM: {0}")]
    Terminate(#[source] io::Error),
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The address for clients can't be listened on.
    #[error("listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        #[source]
        cause: io::Error,
    },
    /// No balancer can work by these settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The engine has ended, which it never should.
    #[error("the engine ended")]
    EngineEnded,
}
