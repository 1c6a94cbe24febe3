//! Log lines: to standard error, as text or JSON, with levels by target.

use clap::ValueEnum;
use tracing_subscriber::filter::{ParseError, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Names the variable with the levels of log lines, as `target=level` or a level for all.
const LOG_LEVELS_ENV_VAR: &str = "SHOREFRONT_LOG";
/// Levels where the variable is not set.
const DEFAULT_LOG_LEVELS: &str = "info";

// No doc comments here: the help of `--log` has none for its values.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum LogFormat {
    Text,
    Json,
}

/// The levels in the environment can't be understood.
#[derive(Debug, thiserror::Error)]
#[error("{LOG_LEVELS_ENV_VAR}={levels}: {source}")]
pub(crate) struct InvalidLogLevels {
    levels: String,
    source: ParseError,
}

/// Sets up the log for the whole process. To be called once.
///
/// # Errors
///
/// The levels named by `SHOREFRONT_LOG` can't be understood.
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
