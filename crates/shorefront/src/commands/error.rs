//! Errors of the operator's commands, and the exit statuses that they map to.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::TryFromFloatSecsError;

use control_plane::operator_client::OperatorError;
use protocol::settings::SettingsError;

use crate::EXIT_FAILURE;

/// Exit status of a command that was refused and changes nothing.
const EXIT_REFUSED: u8 = 3;
/// Exit status of a command without a definite response, which may or may not be applied.
const EXIT_INDETERMINATE: u8 = 4;

#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// No address of a control balancer is known.
    #[error("{0}; or name a balancer with --at")]
    NoTarget(#[from] SettingsError),
    #[error("--patience {seconds}: {source}")]
    InvalidPatience {
        seconds: f64,
        source: TryFromFloatSecsError,
    },
    #[error("{}: {source}", path.display())]
    UnreadableFile {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error("{}: not JSON: {source}", path.display())]
    NotJson {
        path: PathBuf,
        source: serde_json::Error,
    },
    #[error("{}: {reason}", path.display())]
    InvalidConfig {
        path: PathBuf,
        reason: Box<dyn std::error::Error>,
    },
    #[error("no configuration yet")]
    NoConfiguration,
    /// A response says that the command was not and will not be applied.
    #[error("refused ({status}): {reason}")]
    Refused { status: u16, reason: String },
    /// No definite response was received in time.
    #[error(transparent)]
    Unanswered(#[from] OperatorError),
    /// A response reports success, but its body is not JSON.
    #[error("{body}: {source}")]
    UnreadableResponse {
        body: String,
        source: serde_json::Error,
    },
    /// None of the control balancers has responded. Holds the error of each call.
    #[error("{0}")]
    AllUnanswered(String),
}

impl CommandError {
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::NoTarget(_)
            | Self::InvalidPatience { .. }
            | Self::UnreadableFile { .. }
            | Self::NotJson { .. }
            | Self::InvalidConfig { .. }
            | Self::NoConfiguration => EXIT_FAILURE,
            Self::Refused { .. } => EXIT_REFUSED,
            Self::Unanswered(_) | Self::UnreadableResponse { .. } | Self::AllUnanswered(_) => {
                EXIT_INDETERMINATE
            }
        })
    }
}
