//! A global load balancer: one program, a role for each plane.
#![forbid(unsafe_code)]

mod operate;
mod reload;

use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use protocol::settings::{Settings, SettingsError};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// A global load balancer.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
    /// How log lines are written; their levels by SHOREFRONT_LOG (`info`, `warn,control_plane=debug`).
    #[arg(long, global = true, value_enum, default_value_t = LogForm::Text)]
    log: LogForm,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum LogForm {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    #[command(flatten)]
    Role(Role),
    /// Checks a settings file and says what is wrong with it.
    Check {
        /// The file; the one named by SHOREFRONT_SETTINGS if left out.
        file: Option<std::path::PathBuf>,
    },
    #[command(flatten)]
    Operation(operate::Operation),
}

#[derive(Subcommand)]
enum Role {
    /// Serves clients: takes requests and passes them to upstreams.
    DataPlane,
    /// Keeps a zone's upstreams and sessions, and agrees with the other zones on the configuration.
    Control,
}

/// Exit statuses beside 0: the program failed; its settings can't be used.
const FAILED: u8 = 1;
const UNUSABLE: u8 = 78;

/// Names the levels of log lines, as `target=level` or a level for all; `info` if it is not set.
const LEVELS: &str = "SHOREFRONT_LOG";

/// Log lines go to standard error.
fn log(form: LogForm) -> Result<(), String> {
    let levels = std::env::var(LEVELS).unwrap_or_else(|_| "info".into());
    let levels: Targets = levels
        .parse()
        .map_err(|e| format!("{LEVELS}={levels}: {e}"))?;
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false);
    let all = tracing_subscriber::registry().with(levels);
    match form {
        LogForm::Text => all.with(lines).init(),
        LogForm::Json => all.with(lines.json().flatten_event(true)).init(),
    }
    Ok(())
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let fail = |status: u8, message: &dyn std::fmt::Display| {
        eprintln!("shorefront: {message}");
        ExitCode::from(status)
    };
    if let Err(cause) = log(cli.log) {
        return fail(UNUSABLE, &cause);
    }
    let role = match &cli.command {
        Command::Role(role) => role,
        Command::Check { file } => {
            let checked = file.clone().map_or_else(Settings::path, Ok);
            return match checked.and_then(|path| Settings::read(&path)) {
                Ok(settings) => {
                    println!("{}: good", settings.node);
                    ExitCode::SUCCESS
                }
                Err(cause) => fail(UNUSABLE, &cause),
            };
        }
        Command::Operation(operation) => {
            return match on_this_thread(operate::run(operation)) {
                Ok(status) => status,
                Err(cause) => fail(FAILED, &cause),
            };
        }
    };
    let settings = match Settings::path().and_then(|path| Settings::read(&path)) {
        Ok(settings) => settings,
        Err(cause) => return fail(UNUSABLE, &cause),
    };
    match on_this_thread(run(role, settings)).and_then(|ended| ended) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => fail(FAILED, &message),
    }
}

fn on_this_thread<T>(work: impl Future<Output = T>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    Ok(LocalSet::new().block_on(&runtime, work))
}

async fn run(role: &Role, settings: Settings) -> Result<(), String> {
    // Before all else: until there is a handler, the signal ends the process.
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let (reload, reloads) = mpsc::unbounded_channel();
    let path = Settings::path().map_err(|e: SettingsError| e.to_string())?;
    tokio::task::spawn_local(reload::follow(path, settings.clone(), hangup, reload));
    let stop = async move {
        term.recv().await;
    };
    match role {
        Role::DataPlane => data_plane::runtime::run(settings, reloads, stop)
            .await
            .map_err(|error| error.to_string()),
        Role::Control => control_plane::runtime::run(settings, reloads, stop)
            .await
            .map_err(|error| error.to_string()),
    }
}
