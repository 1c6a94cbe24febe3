//! Errors that terminate the adapter.

use load_balancing::interface::SettingsError;

/// A fatal error. The text is one line, and names the batch, the message and the field.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// Reading from the simulator failed.
    #[error("standard input: {0}")]
    Input(#[source] std::io::Error),
    /// Writing to the simulator failed.
    #[error("standard output: {0}")]
    Output(#[source] std::io::Error),
    /// A line is not a valid batch. `batch` describes its place, since its number may be unreadable.
    #[error("{batch}: {cause}")]
    MalformedBatch { batch: String, cause: String },
    /// A message of a batch is invalid.
    #[error("batch {batch}: message {index}: {source}")]
    Message {
        batch: u64,
        index: usize,
        source: MessageError,
    },
}

/// Reason for which a message is invalid.
#[derive(Debug, thiserror::Error)]
pub(crate) enum MessageError {
    /// The settings of a balancer are invalid.
    #[error("field `Facts`: {0}")]
    Settings(#[from] SettingsError),
    /// A request has a class that the settings don't contain.
    #[error("field `TierClass`: the settings contain no class {0}")]
    UnknownClass(usize),
    /// An attempt ended with an unknown status.
    #[error("field `Rc`: unknown status {0}")]
    UnknownStatus(u16),
}
