//! The operator's commands. Each is a call to whichever control balancer answers definitely, and its exit status
//! tells what became of it.
//!
//! Nothing is kept here: a command that is started again with the same file is recognized by the control plane as the
//! same, and is not applied twice.

mod config;
mod config_diff;
mod error;
mod evacuation;
mod status;
mod table;
mod target;

use std::process::ExitCode;

use clap::Subcommand;

use config::ConfigCommand;
use evacuation::EvacuationCommand;
use target::Target;

// The comments on commands and arguments are the program's help, which operators' scripts and pages quote.

#[derive(Subcommand)]
pub(crate) enum OperatorCommand {
    /// The configuration that all balancers follow.
    Config {
        #[command(subcommand)]
        command: ConfigCommand,
        #[command(flatten)]
        target: Target,
    },
    /// Evacuations of zones.
    Drain {
        #[command(subcommand)]
        command: EvacuationCommand,
        #[command(flatten)]
        target: Target,
    },
    /// How things stand: who leads, who is behind, balancers, evacuated zones, keys.
    Status {
        #[command(flatten)]
        target: Target,
    },
}

/// Runs a command, prints its result or error, and returns the exit status.
pub(crate) async fn run(command: &OperatorCommand) -> ExitCode {
    let result = match command {
        OperatorCommand::Config { command, target } => config::run(command, target).await,
        OperatorCommand::Drain { command, target } => evacuation::run(command, target).await,
        OperatorCommand::Status { target } => status::run(target).await,
    };
    match result {
        Ok(output) => {
            println!("{}", output.trim_end());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("shorefront: {error}");
            error.exit_code()
        }
    }
}
