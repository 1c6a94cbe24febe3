//! The form of a list of upstreams, and what the engine is told of it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use data_plane::engine::ListedUpstream;
use load_balancing::interface::Status;
use serde::Deserialize;

/// A start that lies further ahead is no time of this upstream's clock.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(86_400);
/// The largest time that is read, in milliseconds since 1970.
const MAX_UNIX_MS: f64 = 1e15;

/// One message of discovery: the complete list, or the entries that changed.
#[derive(Clone, Debug, Default, Deserialize)]
pub(crate) struct UpstreamList {
    /// Rises with each change of the list.
    #[serde(default)]
    pub(crate) revision: u64,
    /// Upstreams that are not in it are gone.
    #[serde(default)]
    pub(crate) complete: bool,
    #[serde(default, deserialize_with = "deserialize_readable")]
    pub(crate) members: Vec<UpstreamEntry>,
}

/// Reads the entries that can be read: one that can't must not cost the update of all others.
fn deserialize_readable<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<UpstreamEntry>, D::Error> {
    let entries = Vec::<serde_json::Value>::deserialize(deserializer)?;
    let read = |entry| {
        serde_json::from_value(entry)
            .inspect_err(|error| {
                tracing::warn!(%error, "upstream entry of the list can't be read, skipping it");
            })
            .ok()
    };
    Ok(entries.into_iter().filter_map(read).collect())
}

/// An upstream as discovery states it.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct UpstreamEntry {
    /// Who it is.
    id: String,
    /// May differ between balancers and change over time. What is deleted may have none.
    #[serde(default, rename = "host_port")]
    address: String,
    #[serde(default, rename = "locality")]
    zone: String,
    #[serde(default, rename = "flavor")]
    kind: String,
    #[serde(default)]
    cell: u32,
    phase: Phase,
    #[serde(default = "one", rename = "size")]
    weight: f64,
    /// When it last started, in milliseconds since 1970; 0 where nobody tells.
    #[serde(default, rename = "up_since_ms")]
    started_unix_ms: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Phase {
    Serving,
    Draining,
    Deleted,
    /// One that this build does not know: nothing says that it takes requests.
    #[serde(other)]
    Unknown,
}

/// What zones and kinds are called; a name that the settings don't have is none of those that they do.
pub(crate) struct Names {
    pub(crate) zones: Vec<String>,
    pub(crate) kinds: Vec<String>,
}

impl Names {
    /// A list as the engine is told of it.
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
            kind: index_of(&self.kinds, &entry.kind),
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
    fn started(&self) -> Option<SystemTime> {
        if self.started_unix_ms <= 0.0 || self.started_unix_ms.is_nan() {
            return None;
        }
        let since = Duration::from_secs_f64(self.started_unix_ms.min(MAX_UNIX_MS) / 1000.0);
        Some(UNIX_EPOCH + since).filter(|at| *at < SystemTime::now() + MAX_CLOCK_SKEW)
    }
}

fn index_of(names: &[String], name: &str) -> u32 {
    let index = names.iter().position(|known| known == name);
    index.unwrap_or(names.len()) as u32
}
