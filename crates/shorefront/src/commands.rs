//! The operator's commands. Each one calls the control balancers until one of them gives a definite response, and
//! reports the outcome by its exit status.
//!
//! The commands keep no state: when one is run again with the same file, the control plane recognizes it as the same
//! command and does not apply it twice.

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

// The doc comments on commands and arguments are the program's help text, which operators' scripts and documentation
// quote.

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
