//! Configuration of the process: four environment variables and a JSON file, both provided by the platform.

mod limits;

use std::net::SocketAddr;

use load_balancing::settings::{SiteSettings, key_hash};
use serde::Deserialize;

use crate::discovery::UpstreamList;

/// Descriptor limit if the platform specifies none.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// Memory limit in MiB if the platform specifies none.
const DEFAULT_MEMORY_MB: usize = 192;

/// Error in the configuration.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigError {
    /// The environment does not specify the configuration file.
    #[error("LB_CONFIG is not set")]
    VariableNotSet,
    /// The file cannot be read.
    #[error("{path}: {cause}")]
    Unreadable {
        path: String,
        #[source]
        cause: std::io::Error,
    },
    /// The file is not valid JSON, or a field is missing or has the wrong type.
    #[error("{path}: field `{field}`: {cause}")]
    Malformed {
        path: String,
        field: String,
        cause: String,
    },
    /// A variable or field is not a valid socket address.
    #[error("{name} is not a socket address: {value:?}")]
    BadAddress { name: &'static str, value: String },
    /// The descriptor limit is too low for client and upstream connections.
    #[error("a limit of {0} sockets is too low to serve requests")]
    TooFewDescriptors(usize),
}

/// Contents of the configuration file. Other fields are ignored.
#[derive(Deserialize)]
struct ConfigFile {
    #[serde(default)]
    name: String,
    #[serde(default)]
    listen: String,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    seed: Option<String>,
    #[serde(default)]
    limits: FileLimits,
    #[serde(default)]
    known: UpstreamList,
    settings: SiteSettings,
}

#[derive(Deserialize, Default)]
struct FileLimits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

impl ConfigFile {
    /// Reads the file that `LB_CONFIG` specifies.
    fn read() -> Result<Self, ConfigError> {
        let path = std::env::var("LB_CONFIG").map_err(|_| ConfigError::VariableNotSet)?;
        let text = match std::fs::read(&path) {
            Ok(text) => text,
            Err(cause) => return Err(ConfigError::Unreadable { path, cause }),
        };
        let mut reader = serde_json::Deserializer::from_slice(&text);
        serde_path_to_error::deserialize(&mut reader).map_err(|error| ConfigError::Malformed {
            path,
            field: error.path().to_string(),
            cause: error.into_inner().to_string(),
        })
    }
}

/// The configuration of this process.
pub(crate) struct Config {
    /// Name of this process, for its log.
    pub(crate) name: String,
    /// Address on which clients connect.
    pub(crate) listen: SocketAddr,
    /// Address of the discovery service.
    pub(crate) discovery: SocketAddr,
    /// Seed of the random number generator.
    pub(crate) seed: u64,
    /// Maximum number of open descriptors.
    pub(crate) max_descriptors: usize,
    /// Memory limit in bytes.
    pub(crate) max_memory_bytes: usize,
    /// Last known list of upstreams, used until discovery responds.
    pub(crate) last_known_upstreams: UpstreamList,
    /// Load balancing settings of the site.
    pub(crate) site: SiteSettings,
}

impl Config {
    /// Reads the current configuration. If both the file and the environment specify discovery, the file takes
    /// precedence, because only the file can be changed while the process runs.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or is malformed, an address is invalid, or the descriptor limit is
    /// too low.
    pub(crate) fn read() -> Result<Self, ConfigError> {
        let file = ConfigFile::read()?;
        let from_environment = |name: &str, file: String| std::env::var(name).unwrap_or(file);
        let discovery = if file.discovery.is_empty() {
            from_environment("LB_DISCOVERY", String::new())
        } else {
            file.discovery
        };
        let max_descriptors = file.limits.sockets.unwrap_or(DEFAULT_DESCRIPTORS);
        if max_descriptors < limits::MIN_DESCRIPTORS {
            return Err(ConfigError::TooFewDescriptors(max_descriptors));
        }
        Ok(Self {
            name: from_environment("LB_NAME", file.name),
            listen: parse_address("LB_LISTEN", from_environment("LB_LISTEN", file.listen))?,
            discovery: parse_address("LB_DISCOVERY", discovery)?,
            seed: key_hash(&file.seed.unwrap_or_default()),
            max_descriptors,
            max_memory_bytes: file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) << 20,
            last_known_upstreams: file.known,
            site: file.settings,
        })
    }
}

fn parse_address(name: &'static str, value: String) -> Result<SocketAddr, ConfigError> {
    match value.parse() {
        Ok(address) => Ok(address),
        Err(_) => Err(ConfigError::BadAddress { name, value }),
    }
}
