//! What the platform tells a balancer: four environment variables and a JSON file.

mod limits;

use std::net::SocketAddr;

use load_balancing::settings::{SiteSettings, key_hash};
use serde::Deserialize;

use crate::discovery::UpstreamList;

/// Where the platform states no limit.
const DEFAULT_SOCKETS: usize = 1024;
const DEFAULT_MEMORY_MB: usize = 192;

/// Why the configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigError {
    /// Nothing says where the file is.
    #[error("LB_CONFIG is not set")]
    NoFile,
    /// The file can't be read.
    #[error("{path}: {cause}")]
    Unreadable {
        path: String,
        #[source]
        cause: std::io::Error,
    },
    /// The file is not of the form that is expected.
    #[error("{path}: field `{field}`: {cause}")]
    Malformed {
        path: String,
        field: String,
        cause: String,
    },
    /// A variable or field holds no address.
    #[error("{name} is not an address: {value:?}")]
    BadAddress { name: &'static str, value: String },
    /// So few descriptors leave none for clients and upstreams.
    #[error("the limit of {0} sockets leaves no room to serve")]
    TooFewSockets(usize),
}

/// The file; what it holds beyond this is for others.
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
    /// Reads the file that the environment names.
    fn read() -> Result<Self, ConfigError> {
        let path = std::env::var("LB_CONFIG").map_err(|_| ConfigError::NoFile)?;
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
    /// Names this process in its log.
    pub(crate) name: String,
    /// Where clients connect.
    pub(crate) listen: SocketAddr,
    /// Where the list of upstreams comes from.
    pub(crate) discovery: SocketAddr,
    /// Seed of the balancer's random numbers.
    pub(crate) seed: u64,
    /// Descriptors that the process may have.
    pub(crate) max_sockets: usize,
    /// Memory that the process may have, in bytes.
    pub(crate) max_memory_bytes: usize,
    /// The list of upstreams as it was last known.
    pub(crate) known: UpstreamList,
    /// The settings of the site.
    pub(crate) site: SiteSettings,
}

impl Config {
    /// Reads what is stated now. The file may be replaced while the program runs and the environment can't be: where
    /// both name discovery, the file holds.
    ///
    /// # Errors
    /// Where the file can't be read or is malformed, an address is none, or the limits leave nothing to serve with.
    pub(crate) fn read() -> Result<Self, ConfigError> {
        let file = ConfigFile::read()?;
        let from_environment = |name: &str, file: String| std::env::var(name).unwrap_or(file);
        let discovery = if file.discovery.is_empty() {
            from_environment("LB_DISCOVERY", String::new())
        } else {
            file.discovery
        };
        let max_sockets = file.limits.sockets.unwrap_or(DEFAULT_SOCKETS);
        if max_sockets < limits::MIN_SOCKETS {
            return Err(ConfigError::TooFewSockets(max_sockets));
        }
        Ok(Self {
            name: from_environment("LB_NAME", file.name),
            listen: parse_address("LB_LISTEN", from_environment("LB_LISTEN", file.listen))?,
            discovery: parse_address("LB_DISCOVERY", discovery)?,
            seed: key_hash(&file.seed.unwrap_or_default()),
            max_sockets,
            max_memory_bytes: file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) << 20,
            known: file.known,
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
