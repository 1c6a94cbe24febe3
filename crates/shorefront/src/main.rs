//! A global load balancer: one program, a role for each plane.
#![forbid(unsafe_code)]

mod reload;

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use messages::settings::{Settings, SettingsError};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// A global load balancer.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    role: Role,
}

#[derive(Subcommand)]
enum Role {
    /// Serves clients: takes requests and passes them to upstreams.
    DataPlane,
    /// Keeps a zone's upstreams and sessions, and agrees with the other zones on the configuration.
    Control,
    /// Checks a settings file and says what is wrong with it.
    Check {
        /// The file; the one named by SHOREFRONT_SETTINGS if left out.
        file: Option<std::path::PathBuf>,
    },
}

/// Exit statuses beside 0: the program failed; its settings can't be used.
const FAILED: u8 = 1;
const UNUSABLE: u8 = 78;

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).init();
    let cli = Cli::parse();
    let fail = |status: u8, message: &dyn std::fmt::Display| {
        eprintln!("shorefront: {message}");
        ExitCode::from(status)
    };
    if let Role::Check { file } = &cli.role {
        let checked = file.clone().map_or_else(Settings::path, Ok);
        return match checked.and_then(|path| Settings::read(&path)) {
            Ok(settings) => {
                println!("{}: good", settings.node);
                ExitCode::SUCCESS
            }
            Err(cause) => fail(UNUSABLE, &cause),
        };
    }
    let settings = match Settings::path().and_then(|path| Settings::read(&path)) {
        Ok(settings) => settings,
        Err(cause) => return fail(UNUSABLE, &cause),
    };
    match start(&cli.role, settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => fail(FAILED, &message),
    }
}

fn start(role: &Role, settings: Settings) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, run(role, settings))
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
        Role::DataPlane => data_plane::node::run(settings, reloads, stop).await,
        Role::Control => control_plane::run::run(settings, reloads, stop).await,
        Role::Check { .. } => Ok(()),
    }
}
