//! The `shorefront` program: a role for each plane, and the operator's commands.
//!
//! `shorefront data-plane` and `shorefront control` run until they receive SIGTERM or fail; they are described in
//! `data_plane::runtime` and `control_plane::runtime`. Each runs on one thread. All other commands end by themselves.
//! Results go to standard output, log lines and errors to standard error. The exit status is 0 for success, 1 for a
//! failure, 2 for an invalid command line, 78 for unusable settings, and 3 or 4 for an operator's command that was
//! refused or has no definite outcome.

mod commands;
mod logging;
mod settings_watcher;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use protocol::settings::{Settings, SettingsError};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use logging::LogFormat;

/// A global load balancer.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
    /// How log lines are written; their levels by SHOREFRONT_LOG (`info`, `warn,control_plane=debug`).
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log: LogFormat,
}

#[derive(Subcommand)]
enum Command {
    #[command(flatten)]
    Role(Role),
    /// Checks a settings file and says what is wrong with it.
    Check {
        /// The file; the one named by SHOREFRONT_SETTINGS if left out.
        file: Option<PathBuf>,
    },
    #[command(flatten)]
    Operator(commands::OperatorCommand),
}

#[derive(Subcommand)]
enum Role {
    /// Serves clients: takes requests and passes them to upstreams.
    DataPlane,
    /// Keeps a zone's upstreams and sessions, and agrees with the other zones on the configuration.
    Control,
}

/// Exit status of a program that failed.
const EXIT_FAILURE: u8 = 1;
/// Exit status for unusable settings or log levels: `EX_CONFIG` of sysexits.h.
const EXIT_UNUSABLE_SETTINGS: u8 = 78;

/// An error that ends the program.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    LogLevels(#[from] logging::InvalidLogLevels),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("runtime: {0}")]
    Runtime(std::io::Error),
    #[error("{name}: {source}")]
    SignalHandler {
        name: &'static str,
        source: std::io::Error,
    },
    #[error(transparent)]
    DataPlane(#[from] data_plane::runtime::RuntimeError),
    #[error(transparent)]
    Control(#[from] control_plane::runtime::RuntimeError),
}

impl Error {
    fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::LogLevels(_) | Self::Settings(_) => EXIT_UNUSABLE_SETTINGS,
            Self::Runtime(_)
            | Self::SignalHandler { .. }
            | Self::DataPlane(_)
            | Self::Control(_) => EXIT_FAILURE,
        })
    }
}

fn main() -> ExitCode {
    run(&Cli::parse()).unwrap_or_else(|error| {
        eprintln!("shorefront: {error}");
        error.exit_code()
    })
}

fn run(cli: &Cli) -> Result<ExitCode, Error> {
    logging::init(cli.log)?;
    match &cli.command {
        Command::Role(role) => {
            let path = Settings::path()?;
            let settings = Settings::read(&path)?;
            block_on(run_role(role, path, settings))??;
            Ok(ExitCode::SUCCESS)
        }
        Command::Check { file } => {
            let path = file.clone().map_or_else(Settings::path, Ok)?;
            let settings = Settings::read(&path)?;
            println!("{}: good", settings.node);
            Ok(ExitCode::SUCCESS)
        }
        Command::Operator(command) => block_on(commands::run(command)),
    }
}

/// Runs a task, and the tasks that it spawns, on this thread. The spawned tasks end with it.
fn block_on<T>(task: impl Future<Output = T>) -> Result<T, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    Ok(LocalSet::new().block_on(&runtime, task))
}

async fn run_role(role: &Role, path: PathBuf, settings: Settings) -> Result<(), Error> {
    // The handlers are installed first: without one, SIGHUP ends the process.
    let hangup = signal(SignalKind::hangup()).map_err(|source| Error::SignalHandler {
        name: "SIGHUP",
        source,
    })?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|source| Error::SignalHandler {
        name: "SIGTERM",
        source,
    })?;
    let (reloads_sender, reloads) = mpsc::unbounded_channel();
    tokio::task::spawn_local(settings_watcher::run(
        path,
        settings.clone(),
        hangup,
        reloads_sender,
    ));
    let stop = async move {
        terminate.recv().await;
    };
    match role {
        Role::DataPlane => data_plane::runtime::run(settings, reloads, stop).await?,
        Role::Control => control_plane::runtime::run(settings, reloads, stop).await?,
    }
    Ok(())
}
