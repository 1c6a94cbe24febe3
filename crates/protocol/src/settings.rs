//! The settings file of a process, written by the platform at the path in [`SETTINGS_ENV_VAR`].
//!
//! Field and type names are those of the platform's documentation, because error messages show them. Unknown fields
//! are ignored, so that later versions of the platform can add some. The file is read at startup and again on SIGHUP,
//! and never written.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;

/// Name of the environment variable that holds the path of the settings file.
pub const SETTINGS_ENV_VAR: &str = "SHOREFRONT_SETTINGS";

/// Contents of the settings file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Settings {
    /// Name of this machine, unique in the deployment.
    pub node: String,
    /// Role that the platform assigns to this machine. Unused: the command line selects the plane that a process runs.
    #[serde(default)]
    pub role: String,
    /// Roles that the platform lists for this machine. Unused.
    #[serde(default)]
    pub serves: Vec<String>,
    /// Address of this machine.
    pub ip: std::net::IpAddr,
    /// Zone of this machine; has to be in `zone_map`.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Region of each zone.
    pub zone_map: BTreeMap<String, String>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// First and last port available for connections between the system's processes. All machines use the first.
    pub port_range: (u16, u16),
    /// `ctl` addresses of the control processes to contact first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the deployment: control processes among the seeds then create a new log.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether the platform wants this machine to vote. Unused: every machine with a `data_dir` may vote.
    #[serde(default)]
    pub quorum_member: bool,
    /// Resource limits of this machine.
    #[serde(default)]
    pub limits: MachineLimits,
    /// Directory for persistent data. Without one, a control process never votes and stores no log.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// Heartbeat interval of the platform in milliseconds. Checked to be greater than 0, otherwise unused.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Time and rate bounds that the platform requires.
    #[serde(default)]
    pub bounds: Bounds,
    /// Failures that the system has to tolerate.
    #[serde(default)]
    pub tolerate: Tolerate,
    /// Platform API that lists upstreams.
    #[serde(default)]
    pub cloud_api: Option<PlatformApi>,
}

/// Addresses to listen on. An interface without an address is disabled.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Listen {
    /// Address for client requests.
    pub http: Option<SocketAddr>,
    /// Address for readiness checks.
    pub readiness: Option<SocketAddr>,
    /// Address of the operator API of the control plane.
    pub ctl: Option<SocketAddr>,
    /// Address of the directory through which clients find balancers.
    pub dir: Option<SocketAddr>,
}

/// Resource limits of the machine.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename = "Limits", default)]
pub struct MachineLimits {
    /// Memory in MiB.
    pub mem_mb: usize,
    /// Maximum number of open file descriptors of a process.
    pub max_fds: usize,
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self {
            mem_mb: 256,
            max_fds: 1024,
        }
    }
}

/// Simultaneous failures under which the system keeps all its guarantees.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Tolerate {
    /// Number of failed voters of the replicated log.
    pub nodes: usize,
}

impl Default for Tolerate {
    fn default() -> Self {
        Self { nodes: 1 }
    }
}

/// Time and rate bounds that the platform requires.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Time in milliseconds from the moment that the platform lists an upstream as draining, after which no new request
    /// may be sent to it.
    pub drain_ms: u64,
    /// Time in seconds from SIGTERM to SIGKILL.
    pub grace_s: f64,
    /// Time in milliseconds within which all balancers have to apply an accepted configuration.
    pub apply_ms: u64,
    /// Time in milliseconds for which an operator's call is retried until it is answered.
    pub ack_ms: u64,
    /// Time in milliseconds within which an evacuation has to take effect. Unused.
    pub evacuate_ms: u64,
    /// Maximum time in seconds for which a client may cache a directory response.
    pub ttl_max_s: f64,
    /// Multiple of its slow-start rate that an upstream may receive in any second during slow start.
    pub warmup_excess: f64,
    /// Number of requests that an upstream may receive in addition to `warmup_excess`.
    pub warmup_slack: f64,
    /// Maximum duration of a lease on keys in milliseconds.
    pub max_hold_ms: u64,
    /// Window of the retry budget in seconds. In any window, the retries of all balancers for a service are limited to
    /// `retry_ratio` times its requests plus `retry_slack`. 0 means no limit.
    pub retry_window_s: f64,
    /// Retries per request in the retry budget.
    pub retry_ratio: f64,
    /// Number of retries in the retry budget in addition to `retry_ratio`.
    pub retry_slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            drain_ms: 2500,
            grace_s: 6.0,
            apply_ms: 2500,
            ack_ms: 6000,
            evacuate_ms: 5000,
            ttl_max_s: 5.0,
            warmup_excess: 1.5,
            warmup_slack: 3.0,
            max_hold_ms: 10_000,
            retry_window_s: 0.0,
            retry_ratio: 0.0,
            retry_slack: 0.0,
        }
    }
}

/// Platform API that lists upstreams.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename = "Platform")]
pub struct PlatformApi {
    /// Address of the API.
    pub addr: SocketAddr,
    /// Calls per second that the API allows. Unused.
    #[serde(default)]
    pub rate_per_s: f64,
    /// Maximum age of the returned lists in milliseconds. Unused.
    #[serde(default)]
    pub max_lag_ms: u64,
}

fn default_heartbeat_ms() -> u64 {
    1500
}

/// Error in the settings. The messages are for operators and name the file and the field.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// [`SETTINGS_ENV_VAR`] is not set.
    #[error("{SETTINGS_ENV_VAR} is not set: it names the settings file")]
    VariableNotSet,
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// Path of the settings file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not valid JSON, or a field is missing or has the wrong type.
    #[error("{path}: field `{field}`, line {}: {source}", source.line())]
    Malformed {
        /// Path of the settings file.
        path: PathBuf,
        /// Path of the field in the file; `.` for the top level.
        field: String,
        /// The parse error, with its line number.
        source: serde_json::Error,
    },
    /// A field has an invalid value.
    #[error("{path}: field `{field}`: {reason}")]
    Invalid {
        /// Path of the settings file.
        path: PathBuf,
        /// Name of the field.
        field: &'static str,
        /// Why the value is invalid.
        reason: &'static str,
    },
}

impl Settings {
    /// Returns the path of the settings file from the environment.
    ///
    /// # Errors
    /// Returns [`SettingsError::VariableNotSet`] if the variable is not set.
    pub fn path() -> Result<PathBuf, SettingsError> {
        std::env::var_os(SETTINGS_ENV_VAR)
            .map(PathBuf::from)
            .ok_or(SettingsError::VariableNotSet)
    }

    /// Reads and validates the settings file.
    ///
    /// # Errors
    /// Returns [`SettingsError::Unreadable`] if the file cannot be read, and the errors of [`parse`](Self::parse).
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read(path).map_err(|source| SettingsError::Unreadable {
            path: path.into(),
            source,
        })?;
        Self::parse(path, &text)
    }

    /// Parses and validates the contents of a settings file. `path` is only used in error messages.
    ///
    /// # Errors
    /// Returns [`SettingsError::Malformed`] if the contents cannot be deserialized, and [`SettingsError::Invalid`] if a
    /// value is invalid.
    pub fn parse(path: &Path, text: &[u8]) -> Result<Self, SettingsError> {
        let mut reader = serde_json::Deserializer::from_slice(text);
        let settings: Self = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            SettingsError::Malformed {
                path: path.into(),
                field: e.path().to_string(),
                source: e.into_inner(),
            }
        })?;
        let invalid = |field, reason| {
            Err(SettingsError::Invalid {
                path: path.into(),
                field,
                reason,
            })
        };
        if settings.port_range.0 == 0 || settings.port_range.1 < settings.port_range.0 {
            return invalid("port_range", "expected two ports, the lower first");
        }
        if !settings.zone_map.contains_key(&settings.zone) {
            return invalid("zone_map", "does not name this machine's own zone");
        }
        if settings.heartbeat_ms == 0 {
            return invalid("heartbeat_ms", "expected more than 0");
        }
        Ok(settings)
    }

    /// Returns the address on which this machine's control process accepts connections from peers and data-plane
    /// balancers.
    pub fn internal_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port_range.0)
    }

    /// Returns the internal address of the machine with this `ctl` address. All machines use the same port.
    pub fn internal_addr_of(&self, ctl: SocketAddr) -> SocketAddr {
        SocketAddr::new(ctl.ip(), self.port_range.0)
    }

    /// Returns the internal addresses of the seeds.
    pub fn internal_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        self.seeds.iter().map(|ctl| self.internal_addr_of(*ctl))
    }

    /// Returns the time from SIGTERM to SIGKILL, at most one hour.
    pub fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.grace_s.clamp(0.0, 3600.0))
    }
}

#[cfg(test)]
mod tests;
