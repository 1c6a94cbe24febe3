//! The settings file of a process. It comes from the platform: what is not known in it is ignored.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;

/// Names the file.
pub const SETTINGS_ENV_VAR: &str = "SHOREFRONT_SETTINGS";

/// What a process is told.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Settings {
    pub node: String,
    #[serde(default)]
    pub role: String,
    #[serde(default)]
    pub serves: Vec<String>,
    pub ip: std::net::IpAddr,
    pub zone: String,
    pub region: String,
    /// The region of every zone.
    pub zone_map: BTreeMap<String, String>,
    pub listen: Listen,
    /// The first and the last port that are free for what balancers say to each other.
    pub port_range: (u16, u16),
    /// `ctl` addresses of machines that serve control.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The whole system starts for the first time.
    #[serde(default)]
    pub bootstrap: bool,
    #[serde(default)]
    pub quorum_member: bool,
    #[serde(default)]
    pub limits: MachineLimits,
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    #[serde(default = "heartbeat")]
    pub heartbeat_ms: u64,
    #[serde(default)]
    pub bounds: Bounds,
    #[serde(default)]
    pub tolerate: Tolerate,
    #[serde(default)]
    pub cloud_api: Option<PlatformApi>,
}

/// Where it serves.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Listen {
    pub http: Option<SocketAddr>,
    pub readiness: Option<SocketAddr>,
    pub ctl: Option<SocketAddr>,
    pub dir: Option<SocketAddr>,
}

/// The machine's figures.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename = "Limits", default)]
pub struct MachineLimits {
    pub mem_mb: usize,
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

/// What may be lost at once with all rules kept.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Tolerate {
    /// Machines that vote in the log.
    pub nodes: usize,
}

impl Default for Tolerate {
    fn default() -> Self {
        Self { nodes: 1 }
    }
}

/// Figures of the rules.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Bounds {
    pub drain_ms: u64,
    pub grace_s: f64,
    pub apply_ms: u64,
    pub ack_ms: u64,
    pub evacuate_ms: u64,
    pub ttl_max_s: f64,
    pub warmup_excess: f64,
    pub warmup_slack: f64,
    /// Keys are granted for no longer.
    pub max_hold_ms: u64,
    /// Of the requests for a service within such a time, this share may be sent a further time, and so many
    /// more, by all balancers together; no bound where the time is 0.
    pub retry_window_s: f64,
    pub retry_ratio: f64,
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

/// Who lists the upstreams.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename = "Platform")]
pub struct PlatformApi {
    pub addr: SocketAddr,
    #[serde(default)]
    pub rate_per_s: f64,
    #[serde(default)]
    pub max_lag_ms: u64,
}

fn heartbeat() -> u64 {
    1500
}

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{SETTINGS_ENV_VAR} is not set: it names the settings file")]
    VariableNotSet,
    #[error("{path}: {cause}")]
    Unreadable {
        path: PathBuf,
        cause: std::io::Error,
    },
    #[error("{path}: field `{field}`, line {line}: {cause}")]
    Malformed {
        path: PathBuf,
        field: String,
        line: usize,
        cause: String,
    },
    #[error("{path}: field `{field}`: {cause}")]
    Invalid {
        path: PathBuf,
        field: &'static str,
        cause: String,
    },
}

impl Settings {
    /// Where the file is.
    pub fn path() -> Result<PathBuf, SettingsError> {
        std::env::var_os(SETTINGS_ENV_VAR)
            .map(PathBuf::from)
            .ok_or(SettingsError::VariableNotSet)
    }

    /// Reads and checks the file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read(path);
        let text = text.map_err(|cause| SettingsError::Unreadable {
            path: path.into(),
            cause,
        })?;
        Self::parse(path, &text)
    }

    /// The same of a text; `path` is only named in errors.
    pub fn parse(path: &Path, text: &[u8]) -> Result<Self, SettingsError> {
        let mut reader = serde_json::Deserializer::from_slice(text);
        let settings: Self = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            let field = e.path().to_string();
            let cause = e.into_inner();
            let line = cause.line();
            SettingsError::Malformed {
                path: path.into(),
                field,
                line,
                cause: cause.to_string(),
            }
        })?;
        let unusable = |field, cause: &str| {
            Err(SettingsError::Invalid {
                path: path.into(),
                field,
                cause: cause.to_string(),
            })
        };
        if settings.port_range.0 == 0 || settings.port_range.1 < settings.port_range.0 {
            return unusable("port_range", "expected two ports, the lower first");
        }
        if !settings.zone_map.contains_key(&settings.zone) {
            return unusable("zone_map", "does not name this machine's own zone");
        }
        if settings.heartbeat_ms == 0 {
            return unusable("heartbeat_ms", "expected more than 0");
        }
        Ok(settings)
    }

    /// Where control balancers talk to each other and to the data plane.
    pub fn internal_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port_range.0)
    }

    /// The same of the machine whose `ctl` address is known: ports are alike on all.
    pub fn internal_addr_of(&self, ctl: SocketAddr) -> SocketAddr {
        SocketAddr::new(ctl.ip(), self.port_range.0)
    }

    /// The same of the seeds.
    pub fn internal_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        self.seeds.iter().map(|ctl| self.internal_addr_of(*ctl))
    }

    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// How long a process has from SIGTERM to its end.
    pub fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.grace_s.clamp(0.0, 3600.0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"{"node": "edge-1", "ip": "127.0.0.1", "zone": "a", "region": "r",
        "zone_map": {"a": "r"}, "listen": {}, "port_range": [7000, 7010], "of_later": 1}"#;

    fn parse(text: &str) -> Result<Settings, String> {
        Settings::parse(Path::new("boot.json"), text.as_bytes()).map_err(|e| e.to_string())
    }

    #[test]
    fn what_is_not_known_is_ignored_and_what_is_missing_has_a_default() {
        let settings = parse(GOOD).expect("good");
        assert_eq!(
            settings.internal_addr(),
            SocketAddr::from(([127, 0, 0, 1], 7000))
        );
        assert_eq!(settings.bounds.drain_ms, 2500);
    }

    #[test]
    fn an_error_names_the_file_the_field_and_the_line() {
        let wrong =
            parse(&GOOD.replace("[7000, 7010]", "\n[7000, \"x\"]")).expect_err("a wrong type");
        assert!(
            wrong.contains("boot.json") && wrong.contains("port_range"),
            "{wrong}"
        );
        assert!(wrong.contains("line 3"), "{wrong}");
        let cut = parse(&GOOD[..60]).expect_err("cut short");
        assert!(cut.contains("boot.json") && cut.contains("EOF"), "{cut}");
        let zone = parse(&GOOD.replace("{\"a\"", "{\"b\"")).expect_err("an unknown zone");
        assert!(zone.contains("zone_map"), "{zone}");
    }
}
