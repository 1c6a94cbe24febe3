//! Errors that prevent the process from starting, or end it.

use std::io;
use std::net::SocketAddr;

use load_balancing::interface::SettingsError;

use crate::config::ConfigError;

/// Fatal error. The message is printed to standard error.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartError {
    /// The async runtime cannot be created.
    #[error("cannot create the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The SIGHUP handler cannot be installed.
    #[error("cannot handle SIGHUP: {0}")]
    Hangup(#[source] io::Error),
    /// The SIGTERM handler cannot be installed.
    #[error("cannot handle SIGTERM: {0}")]
    Terminate(#[source] io::Error),
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The listener for clients cannot be opened.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The I/O error.
        #[source]
        cause: io::Error,
    },
    /// The load balancer rejects the settings.
    #[error("invalid settings: {0}")]
    Settings(#[from] SettingsError),
    /// The engine has stopped, which is never expected.
    #[error("the engine stopped unexpectedly")]
    EngineStopped,
}
