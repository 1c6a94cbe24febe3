//! `shorefront config`: reads, checks and changes the configuration.

use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use control_plane::configuration::validate;
use control_plane::operator_client::OperatorRequest;
use protocol::config::Config;
use serde_json::Value;

use super::config_diff::diff;
use super::error::CommandError;
use super::target::{OutputFormat, Target, call, read_current_config};

#[derive(Subcommand)]
pub(crate) enum ConfigCommand {
    /// Prints the newest configuration, as a majority of the control balancers confirms it.
    Get,
    /// Puts a whole configuration in the place of the current one.
    Replace(Change),
    /// Adds, replaces and removes named items: `rev`, `upsert`, `remove`.
    Amend(Change),
    /// Says what a whole configuration would change.
    Diff { file: PathBuf },
    /// Says whether a whole configuration makes sense, without asking anyone.
    Check { file: PathBuf },
}

#[derive(Args)]
pub(crate) struct Change {
    /// JSON.
    file: PathBuf,
    /// The version that it builds on; the current one if left out.
    #[arg(long)]
    base: Option<u64>,
}

/// Runs the command, and returns what it prints.
pub(crate) async fn run(command: &ConfigCommand, target: &Target) -> Result<String, CommandError> {
    match command {
        ConfigCommand::Get => {
            let current = read_current_config(&target.client()?).await?;
            let config = current.config.ok_or(CommandError::NoConfiguration)?;
            Ok(target.format(&config))
        }
        ConfigCommand::Replace(change) => submit(target, "/-/Config.Replace", change).await,
        ConfigCommand::Amend(change) => submit(target, "/-/Config.Amend", change).await,
        ConfigCommand::Diff { file } => {
            let next = ConfigFile::read(file)?.document;
            let current = read_current_config(&target.client()?).await?;
            let mut lines = vec![format!("rev {} -> {}", current.revision, next["rev"])];
            lines.extend(diff(&current.config.unwrap_or_default(), &next));
            Ok(lines.join("\n"))
        }
        ConfigCommand::Check { file } => {
            let config = ConfigFile::read(file)?.config;
            let (routes, services) = (config.routes.len(), config.services.len());
            let (file, rev) = (file.display(), config.revision);
            Ok(format!(
                "{file}: good (rev {rev}, {routes} routes, {services} services)"
            ))
        }
    }
}

/// Submits a change that is based on the given revision or else on the current one.
async fn submit(target: &Target, path: &str, change: &Change) -> Result<String, CommandError> {
    let client = target.client()?;
    // The file is sent byte for byte, because the control plane recognizes a repeated command by its bytes.
    let body = JsonFile::read(&change.file)?.bytes;
    let base = match change.base {
        Some(base) => base,
        None => read_current_config(&client).await?.revision,
    };
    let request = OperatorRequest::post(path, Some(base), body.into());
    let response = call(&client, &request).await?;
    Ok(match target.output {
        OutputFormat::Table => {
            format!("version {} is in force, on top of {base}", response["rev"])
        }
        OutputFormat::Json => response.to_string(),
    })
}

/// The bytes of a JSON file, and the document that they encode.
struct JsonFile {
    bytes: Vec<u8>,
    document: Value,
}

impl JsonFile {
    fn read(path: &Path) -> Result<Self, CommandError> {
        let bytes = std::fs::read(path).map_err(|source| CommandError::UnreadableFile {
            path: path.to_path_buf(),
            source,
        })?;
        let document = serde_json::from_slice(&bytes).map_err(|source| CommandError::NotJson {
            path: path.to_path_buf(),
            source,
        })?;
        Ok(Self { bytes, document })
    }
}

/// A complete and valid configuration, as the JSON document of the file and in parsed form.
struct ConfigFile {
    document: Value,
    config: Config,
}

impl ConfigFile {
    fn read(path: &Path) -> Result<Self, CommandError> {
        let document = JsonFile::read(path)?.document;
        let config = validate(&document).map_err(|reason| CommandError::InvalidConfig {
            path: path.to_path_buf(),
            reason: reason.into(),
        })?;
        Ok(Self { document, config })
    }
}
