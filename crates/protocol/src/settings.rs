//! The settings file that the platform writes for a process and names in [`SETTINGS_ENV_VAR`].
//!
//! Names of fields and types here are those of the platform's page: error texts show them. A field that is not known
//! is ignored, so that a later platform can add some. The file is read at the start and again on SIGHUP, and never
//! written.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;

/// Environment variable that holds the path of the settings file.
pub const SETTINGS_ENV_VAR: &str = "SHOREFRONT_SETTINGS";

/// A settings file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Settings {
    /// Name of this machine, unique in the system.
    pub node: String,
    /// The platform's word for what this machine is for. Not used: the command line says which plane a process runs.
    #[serde(default)]
    pub role: String,
    /// The platform's words for what this machine serves. Not used.
    #[serde(default)]
    pub serves: Vec<String>,
    /// Address of this machine.
    pub ip: std::net::IpAddr,
    /// Zone that this machine is in; `zone_map` has to name it.
    pub zone: String,
    /// Region that the zone is in.
    pub region: String,
    /// The region of every zone.
    pub zone_map: BTreeMap<String, String>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// First and last port that are free for connections between the system's processes. The first is used, on all
    /// machines alike.
    pub port_range: (u16, u16),
    /// `ctl` addresses of control processes, to start from.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The system starts for the first time: control processes among the seeds begin a new log.
    #[serde(default)]
    pub bootstrap: bool,
    /// The platform's word on whether this machine is to vote. Not used: who has a `data_dir` may.
    #[serde(default)]
    pub quorum_member: bool,
    /// What this machine has.
    #[serde(default)]
    pub limits: MachineLimits,
    /// Directory for what has to survive a restart. Without one a control process never votes and keeps no log.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// The platform's heartbeat interval in milliseconds, more than 0. Not used beyond that check.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Bounds that the rules of the platform name.
    #[serde(default)]
    pub bounds: Bounds,
    /// Losses that have to be borne.
    #[serde(default)]
    pub tolerate: Tolerate,
    /// The platform's interface that lists upstreams.
    #[serde(default)]
    pub cloud_api: Option<PlatformApi>,
}

/// Addresses to listen on; what is missing is not served.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Listen {
    /// Requests of clients.
    pub http: Option<SocketAddr>,
    /// Readiness checks.
    pub readiness: Option<SocketAddr>,
    /// Operators' calls to the control plane.
    pub ctl: Option<SocketAddr>,
    /// The directory of balancers for clients.
    pub dir: Option<SocketAddr>,
}

/// What the machine has.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename = "Limits", default)]
pub struct MachineLimits {
    /// Memory in MiB.
    pub mem_mb: usize,
    /// File descriptors that a process may have open.
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

/// Losses at one time with which all rules still hold.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Tolerate {
    /// Voters of the replicated log.
    pub nodes: usize,
}

impl Default for Tolerate {
    fn default() -> Self {
        Self { nodes: 1 }
    }
}

/// Bounds that the rules of the platform name.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Milliseconds after an upstream drains in the platform's list after which no new request may go to it.
    pub drain_ms: u64,
    /// Seconds from SIGTERM to SIGKILL.
    pub grace_s: f64,
    /// Milliseconds within which an accepted configuration is applied by all balancers.
    pub apply_ms: u64,
    /// Milliseconds for which an operator's call is sent again until it has an answer.
    pub ack_ms: u64,
    /// Milliseconds within which an evacuation has to have its effect. Not used.
    pub evacuate_ms: u64,
    /// Longest time in seconds for which a client may keep an answer of the directory.
    pub ttl_max_s: f64,
    /// An upstream in slow start gets at most this multiple of its rate, over any second.
    pub warmup_excess: f64,
    /// And this many requests beyond that.
    pub warmup_slack: f64,
    /// Longest lease on keys, in milliseconds.
    pub max_hold_ms: u64,
    /// Window of the retry budget in seconds: in any such time all balancers together send at most `retry_ratio` of
    /// a service's requests, and `retry_slack` more, as further attempts. 0: no bound.
    pub retry_window_s: f64,
    /// Further attempts for each request.
    pub retry_ratio: f64,
    /// Further attempts beyond that share.
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

/// The platform's interface that lists upstreams.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename = "Platform")]
pub struct PlatformApi {
    /// Its address.
    pub addr: SocketAddr,
    /// Calls a second that it takes. Not used.
    #[serde(default)]
    pub rate_per_s: f64,
    /// Milliseconds by which its lists may be behind. Not used.
    #[serde(default)]
    pub max_lag_ms: u64,
}

fn default_heartbeat_ms() -> u64 {
    1500
}

/// Why settings can't be used. Operators see these texts: they name the file and the field.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The process was started without [`SETTINGS_ENV_VAR`].
    #[error("{SETTINGS_ENV_VAR} is not set: it names the settings file")]
    VariableNotSet,
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// The file is not JSON, or a field is missing or of another type.
    #[error("{path}: field `{field}`, line {}: {source}", source.line())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Path of the field in the file; `.` for the whole.
        field: String,
        /// What is wrong, with its line.
        source: serde_json::Error,
    },
    /// A field has a value that can't be used.
    #[error("{path}: field `{field}`: {reason}")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        reason: &'static str,
    },
}

impl Settings {
    /// Path of the settings file.
    ///
    /// # Errors
    /// [`SettingsError::VariableNotSet`].
    pub fn path() -> Result<PathBuf, SettingsError> {
        std::env::var_os(SETTINGS_ENV_VAR)
            .map(PathBuf::from)
            .ok_or(SettingsError::VariableNotSet)
    }

    /// Reads and checks the file.
    ///
    /// # Errors
    /// [`SettingsError::Unreadable`], and those of [`parse`](Self::parse).
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read(path).map_err(|source| SettingsError::Unreadable {
            path: path.into(),
            source,
        })?;
        Self::parse(path, &text)
    }

    /// Reads and checks the text of a file; `path` only stands in errors.
    ///
    /// # Errors
    /// [`SettingsError::Malformed`] and [`SettingsError::Invalid`].
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

    /// Address at which this machine's control process takes connections of peers and of data-plane balancers.
    pub fn internal_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port_range.0)
    }

    /// The same of the machine whose `ctl` address is given: ports are alike on all.
    pub fn internal_addr_of(&self, ctl: SocketAddr) -> SocketAddr {
        SocketAddr::new(ctl.ip(), self.port_range.0)
    }

    /// The same of the seeds.
    pub fn internal_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        self.seeds.iter().map(|ctl| self.internal_addr_of(*ctl))
    }

    /// Time from SIGTERM to SIGKILL; an hour at most.
    pub fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.grace_s.clamp(0.0, 3600.0))
    }
}

#[cfg(test)]
mod tests;
