//! Sets up logging to standard error, as text or JSON, with levels per target.

use clap::ValueEnum;
use tracing_subscriber::filter::{ParseError, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Environment variable with the log levels, as `target=level` or one level for all targets.
const LOG_LEVELS_ENV_VAR: &str = "SHOREFRONT_LOG";
/// Log levels if the variable is not set.
const DEFAULT_LOG_LEVELS: &str = "info";

// The variants have no doc comments, because these would appear in the help of `--log`.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum LogFormat {
    Text,
    Json,
}

/// The log levels in the environment can't be parsed.
#[derive(Debug, thiserror::Error)]
#[error("{LOG_LEVELS_ENV_VAR}={levels}: {source}")]
pub(crate) struct InvalidLogLevels {
    levels: String,
    source: ParseError,
}

/// Sets up logging for the whole process. Must be called only once.
///
/// # Errors
///
/// Returns an error if the levels in `SHOREFRONT_LOG` can't be parsed.
pub(crate) fn init(format: LogFormat) -> Result<(), InvalidLogLevels> {
    let levels = std::env::var(LOG_LEVELS_ENV_VAR).unwrap_or_else(|_| DEFAULT_LOG_LEVELS.into());
    let filter: Targets = match levels.parse() {
        Ok(filter) => filter,
        Err(source) => return Err(InvalidLogLevels { levels, source }),
    };
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false);
    let registry = tracing_subscriber::registry().with(filter);
    match format {
        LogFormat::Text => registry.with(lines).init(),
        LogFormat::Json => registry.with(lines.json().flatten_event(true)).init(),
    }
    Ok(())
}
