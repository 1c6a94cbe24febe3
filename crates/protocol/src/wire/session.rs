//! A data-plane balancer's session with a control process: the balancer reports the versions that it has, and the
//! control process sends what is newer.
//!
//! **Guarantees.** A [`WatchUpdate`] contains only state that is newer than the [`WatchRequest`] states, so repeating a
//! request is harmless. At a balancer, an index never decreases during the lifetime of the process.
//!
//! **Failures.** A balancer that receives no updates keeps its state. A control process that cannot reach a quorum
//! sends no replicated state, and reports that ([`WatchUpdate::out_of_contact`]).

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::ControlNode;
use crate::compact_config::CompactConfig;
use crate::key_load::KeyLoadReport;
use crate::key_ranges::KeyRangeRow;
use crate::upstream_list::UpstreamUpdate;

/// A message from a data-plane balancer to its control process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SessionMessage {
    /// Reports the balancer's state and versions, and requests newer ones.
    #[serde(rename = "a")]
    Watch(WatchRequest),
    /// Heartbeat: nothing changed since the last [`Watch`](Self::Watch).
    #[serde(rename = "s")]
    KeepAlive,
    /// Load of the keys of sharded services since the last report.
    #[serde(rename = "w")]
    KeyLoad(KeyLoadReport),
}

/// State and versions of a data-plane balancer. The response contains what is newer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Index in the replicated log of the applied configuration; 0 for none.
    #[serde(rename = "c")]
    pub config_index: u64,
    /// Index of the last known change of evacuated zones; 0 for none.
    #[serde(rename = "e")]
    pub evacuations_index: u64,
    /// Index of the last known change of key ranges; 0 for none.
    #[serde(rename = "h", skip_serializing_if = "is_zero")]
    pub key_ranges_index: u64,
    /// Version of each zone's upstream list; 0 to request a snapshot.
    #[serde(rename = "z", skip_serializing_if = "BTreeMap::is_empty")]
    pub zone_versions: BTreeMap<String, u64>,
    /// Last known fleet size and position of the balancer.
    #[serde(rename = "b", skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetView>,
    /// [`digest`](super::digest) of the known control processes; 0 for none.
    #[serde(rename = "k")]
    pub control_nodes_digest: u32,
    /// Whether the balancer can serve requests.
    #[serde(rename = "r")]
    pub ready: bool,
    /// Whether the balancer is shutting down: it completes the requests in progress and should get no new clients.
    #[serde(rename = "l")]
    pub draining: bool,
    /// Whether the balancer gets its updates from another session. The control process then delays updates on this one.
    #[serde(rename = "s")]
    pub is_secondary: bool,
}

impl WatchRequest {
    /// Returns whether `next` has to be sent immediately rather than with the next heartbeat. Other processes depend on
    /// readiness, on which session delivers the updates, and on requested snapshots. All other changes only tell the
    /// control process which updates it need not send again.
    pub fn is_urgent_change(&self, next: &Self) -> bool {
        let wanted_lists =
            |request: &Self| request.zone_versions.values().filter(|v| **v == 0).count();
        (self.ready, self.draining, self.is_secondary)
            != (next.ready, next.draining, next.is_secondary)
            || wanted_lists(next) > wanted_lists(self)
    }
}

/// State that is newer than the balancer's, sent by its control process. Empty if sent as a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchUpdate {
    /// Whether the sender cannot reach a quorum. Its replicated state may then be outdated, and it sends none of it.
    #[serde(rename = "o", skip_serializing_if = "std::ops::Not::not")]
    pub out_of_contact: bool,
    /// The configuration.
    #[serde(rename = "c", skip_serializing_if = "Option::is_none")]
    pub config: Option<Indexed<Arc<CompactConfig>>>,
    /// All evacuated zones, which get no requests.
    #[serde(rename = "e", skip_serializing_if = "Option::is_none")]
    pub evacuated_zones: Option<Indexed<Vec<String>>>,
    /// Changed key ranges by service.
    #[serde(rename = "h", skip_serializing_if = "Option::is_none")]
    pub key_ranges: Option<Indexed<BTreeMap<String, Vec<KeyRangeRow>>>>,
    /// Updates of upstream lists by zone.
    #[serde(rename = "z", skip_serializing_if = "BTreeMap::is_empty")]
    pub zone_updates: BTreeMap<String, UpstreamUpdate>,
    /// Fleet size and position of the balancer, if changed.
    #[serde(rename = "b", skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetView>,
    /// All live control processes, if their digest differs from the balancer's.
    #[serde(rename = "k", skip_serializing_if = "Option::is_none")]
    pub control_nodes: Option<Vec<ControlNode>>,
}

/// A part of the replicated state, with the index of the log entry that last changed it. Encoded as an array of two
/// elements.
#[derive(Clone, Debug, PartialEq)]
pub struct Indexed<T> {
    /// Index of the log entry.
    pub index: u64,
    /// The state as of that entry.
    pub value: T,
}

impl<T: Serialize> Serialize for Indexed<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.index, &self.value).serialize(serializer)
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Indexed<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (index, value) = Deserialize::deserialize(deserializer)?;
        Ok(Self { index, value })
    }
}

/// Size of the fleet of data-plane balancers, and the position of one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetView {
    /// Number of balancers.
    #[serde(rename = "n")]
    pub balancers: u32,
    /// Zero-based position of the receiver in the fleet.
    #[serde(rename = "p")]
    pub position: u32,
}

fn is_zero(index: &u64) -> bool {
    *index == 0
}
