//! `shorefront drain`: begins and ends the evacuation of a zone.

use clap::Subcommand;
use control_plane::operator_client::{Bytes, OperatorRequest};

use super::error::CommandError;
use super::target::{OutputFormat, Target, call};

#[derive(Subcommand)]
pub(crate) enum EvacuationCommand {
    /// Nothing more is sent to the upstreams of the zone.
    Begin { zone: String },
    /// Takes that back.
    Finish { zone: String },
}

/// Runs the command, and returns what it prints.
pub(crate) async fn run(
    command: &EvacuationCommand,
    target: &Target,
) -> Result<String, CommandError> {
    let (call_name, zone) = match command {
        EvacuationCommand::Begin { zone } => ("Begin", zone),
        EvacuationCommand::Finish { zone } => ("Finish", zone),
    };
    let path = format!("/-/Drain.{call_name}/{zone}");
    let request = OperatorRequest::post(&path, None, Bytes::new());
    let response = call(&target.client()?, &request).await?;
    Ok(match target.output {
        OutputFormat::Table => match response["evacuations"].as_u64() {
            Some(0) => format!("zone {zone} is not evacuated"),
            evacuations => {
                let count = evacuations.unwrap_or_default();
                format!("zone {zone} is evacuated ({count} times)")
            }
        },
        OutputFormat::Json => response.to_string(),
    })
}
