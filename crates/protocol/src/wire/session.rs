//! A data-plane balancer's session with a control process: the balancer says what it has, the control process
//! sends what it lacks.
//!
//! **Promises.** A [`WatchUpdate`] carries only what is newer than its [`WatchRequest`] names, so that repeating a
//! request is harmless. An index never falls at a balancer within a process's life.
//!
//! **Neighbours.** A balancer that hears nothing keeps what it has. A control process without quorum contact sends
//! nothing that has to be agreed on and says so ([`WatchUpdate::out_of_contact`]).

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::ControlNode;
use crate::compact_config::CompactConfig;
use crate::key_load::KeyLoadReport;
use crate::key_ranges::KeyRangeRow;
use crate::upstream_list::UpstreamUpdate;

/// A data-plane balancer to its control process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SessionMessage {
    /// What it has and how it is; asks for what it lacks.
    #[serde(rename = "a")]
    Watch(WatchRequest),
    /// Nothing differs from its last [`Watch`](Self::Watch); it is alive.
    #[serde(rename = "s")]
    KeepAlive,
    /// Load of the keys of sharded services, since its last report.
    #[serde(rename = "w")]
    KeyLoad(KeyLoadReport),
}

/// What a data-plane balancer has. It is answered with what it lacks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Index in the replicated log of the configuration that it applies; 0 for none.
    #[serde(rename = "c")]
    pub config_index: u64,
    /// Index of the last change of evacuated zones that it has; 0 for none.
    #[serde(rename = "e")]
    pub evacuations_index: u64,
    /// Index of the last change of key ranges that it has; 0 for none.
    #[serde(rename = "h", skip_serializing_if = "is_zero")]
    pub key_ranges_index: u64,
    /// The version that it has of each zone's upstreams; 0 where it wants a complete list.
    #[serde(rename = "z", skip_serializing_if = "BTreeMap::is_empty")]
    pub zone_versions: BTreeMap<String, u64>,
    /// The fleet size and its own position that it last heard.
    #[serde(rename = "b", skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetView>,
    /// [`digest`](super::digest) of the control processes that it knows; 0 for none.
    #[serde(rename = "k")]
    pub control_nodes_digest: u32,
    /// It can serve requests.
    #[serde(rename = "r")]
    pub ready: bool,
    /// It is shutting down: it ends the requests that it has and wants no new clients.
    #[serde(rename = "l")]
    pub draining: bool,
    /// Another session brings it updates; the control process waits a moment before it sends them here too.
    #[serde(rename = "s")]
    pub is_secondary: bool,
}

impl WatchRequest {
    /// Whether `next` has to be sent at once instead of with the next heartbeat: others wait for it where clients
    /// may be sent, which session brings updates, or which zone's complete list is wanted differs. The rest only
    /// spares an update that would be sent twice.
    pub fn is_urgent_change(&self, next: &Self) -> bool {
        let wanted_lists =
            |request: &Self| request.zone_versions.values().filter(|v| **v == 0).count();
        (self.ready, self.draining, self.is_secondary)
            != (next.ready, next.draining, next.is_secondary)
            || wanted_lists(next) > wanted_lists(self)
    }
}

/// What a data-plane balancer lacks, from its control process; empty as a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchUpdate {
    /// The sender has no quorum contact: more may have been agreed on than it knows. It then sends nothing that
    /// has to be agreed on.
    #[serde(rename = "o", skip_serializing_if = "std::ops::Not::not")]
    pub out_of_contact: bool,
    /// The configuration.
    #[serde(rename = "c", skip_serializing_if = "Option::is_none")]
    pub config: Option<Indexed<Arc<CompactConfig>>>,
    /// All zones that get no requests.
    #[serde(rename = "e", skip_serializing_if = "Option::is_none")]
    pub evacuated_zones: Option<Indexed<Vec<String>>>,
    /// Key ranges that changed, by service.
    #[serde(rename = "h", skip_serializing_if = "Option::is_none")]
    pub key_ranges: Option<Indexed<BTreeMap<String, Vec<KeyRangeRow>>>>,
    /// Upstreams by zone.
    #[serde(rename = "z", skip_serializing_if = "BTreeMap::is_empty")]
    pub zone_updates: BTreeMap<String, UpstreamUpdate>,
    /// The fleet, if it is other than the balancer has it.
    #[serde(rename = "b", skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetView>,
    /// All live control processes, if their digest is other than the balancer's.
    #[serde(rename = "k", skip_serializing_if = "Option::is_none")]
    pub control_nodes: Option<Vec<ControlNode>>,
}

/// A part of the replicated state, with the index of the log entry that changed it last. An array of two on the
/// wire.
#[derive(Clone, Debug, PartialEq)]
pub struct Indexed<T> {
    /// Index of the entry in the replicated log.
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

/// The fleet of data-plane balancers, as one of them sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetView {
    /// Number of balancers.
    #[serde(rename = "n")]
    pub balancers: u32,
    /// Position of the receiver among them, from 0.
    #[serde(rename = "p")]
    pub position: u32,
}

fn is_zero(index: &u64) -> bool {
    *index == 0
}
