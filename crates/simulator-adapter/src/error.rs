//! What ends the adapter.

use load_balancing::interface::SettingsError;

/// Why the adapter can't go on. The text is one line, and names the batch, the message and the field.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// The simulator can't be read from.
    #[error("standard input: {0}")]
    Input(#[source] std::io::Error),
    /// The simulator can't be written to.
    #[error("standard output: {0}")]
    Output(#[source] std::io::Error),
    /// A line that is no batch. `batch` says which one in words: its own number may be unreadable.
    #[error("{batch}: {cause}")]
    MalformedBatch { batch: String, cause: String },
    /// A message of a batch that can't be followed.
    #[error("batch {batch}: message {index}: {source}")]
    Message {
        batch: u64,
        index: usize,
        source: MessageError,
    },
}

/// Why a message can't be followed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum MessageError {
    /// A balancer can't start with these settings.
    #[error("field `Facts`: {0}")]
    Settings(#[from] SettingsError),
    /// A request of a class that the settings don't have.
    #[error("field `TierClass`: no class {0}")]
    UnknownClass(usize),
    /// A status that stands for no outcome.
    #[error("field `Rc`: no outcome {0}")]
    UnknownStatus(u16),
}
