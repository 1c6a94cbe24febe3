//! Discovery's list of upstreams, and its conversion for the engine.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use data_plane::engine::ListedUpstream;
use load_balancing::interface::Status;
use serde::Deserialize;

/// Start times further in the future than this are ignored as invalid.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(86_400);
/// Maximum timestamp in milliseconds since the Unix epoch; larger ones are reduced to it.
const MAX_UNIX_MS: f64 = 1e15;

/// A message from discovery: the complete list, or the changed entries.
#[derive(Clone, Debug, Default, Deserialize)]
pub(crate) struct UpstreamList {
    /// Revision of the list, incremented by each change.
    #[serde(default)]
    pub(crate) revision: u64,
    /// Whether this is the complete list, so that upstreams that are not in it have been removed.
    #[serde(default)]
    pub(crate) complete: bool,
    /// The upstreams in the list, or the changed ones.
    #[serde(default, deserialize_with = "deserialize_valid_entries")]
    pub(crate) members: Vec<UpstreamEntry>,
}

/// Deserializes the valid entries and skips the others, so that an invalid entry does not prevent updates of the rest.
fn deserialize_valid_entries<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<UpstreamEntry>, D::Error> {
    let entries = Vec::<serde_json::Value>::deserialize(deserializer)?;
    let parse = |entry| {
        serde_json::from_value(entry)
            .inspect_err(|error| {
                tracing::warn!(%error, "skipping an invalid upstream entry");
            })
            .ok()
    };
    Ok(entries.into_iter().filter_map(parse).collect())
}

/// An upstream as listed by discovery.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct UpstreamEntry {
    /// Unique id.
    id: String,
    /// Address, which may differ between balancers and change over time. Deleted entries may have none.
    #[serde(default, rename = "host_port")]
    address: String,
    #[serde(default, rename = "locality")]
    zone: String,
    #[serde(default, rename = "flavor")]
    machine_type: String,
    #[serde(default)]
    cell: u32,
    phase: Phase,
    #[serde(default = "default_weight", rename = "size")]
    weight: f64,
    /// Time of its last start in milliseconds since the Unix epoch; 0 if unknown.
    #[serde(default, rename = "up_since_ms")]
    started_unix_ms: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// Life cycle phase of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Phase {
    Serving,
    Draining,
    Deleted,
    /// A phase that this build does not know. Such an upstream is not assumed to accept requests.
    #[serde(other)]
    Unknown,
}

/// Names of the configured zones and machine types, which map to their indices. All other names map to the index after
/// the last.
pub(crate) struct SiteNames {
    pub(crate) zones: Vec<String>,
    pub(crate) machine_types: Vec<String>,
}

impl SiteNames {
    /// Converts a list for the engine.
    pub(crate) fn listed_upstreams(&self, list: &UpstreamList) -> Vec<ListedUpstream> {
        list.members
            .iter()
            .map(|entry| self.listed_upstream(entry))
            .collect()
    }

    fn listed_upstream(&self, entry: &UpstreamEntry) -> ListedUpstream {
        ListedUpstream {
            id: entry.id.clone(),
            address: entry.address.parse().ok(),
            zone: index_of(&self.zones, &entry.zone),
            kind: index_of(&self.machine_types, &entry.machine_type),
            cell: entry.cell,
            status: match entry.phase {
                Phase::Serving => Status::Live,
                Phase::Draining | Phase::Unknown => Status::Draining,
                Phase::Deleted => Status::Gone,
            },
            weight: entry.weight,
            slots: 0,
            started: entry.started(),
        }
    }
}

impl UpstreamEntry {
    /// Returns the start time, or `None` if it is unknown or invalid.
    fn started(&self) -> Option<SystemTime> {
        if self.started_unix_ms <= 0.0 || self.started_unix_ms.is_nan() {
            return None;
        }
        let since_epoch = Duration::from_secs_f64(self.started_unix_ms.min(MAX_UNIX_MS) / 1000.0);
        Some(UNIX_EPOCH + since_epoch).filter(|at| *at < SystemTime::now() + MAX_CLOCK_SKEW)
    }
}

fn index_of(names: &[String], name: &str) -> u32 {
    let index = names.iter().position(|known| known == name);
    index.unwrap_or(names.len()) as u32
}
