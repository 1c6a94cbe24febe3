//! Load of the keys of sharded services, as balancers report it: how long upstreams were at requests for which keys.
//!
//! A report is a sample: one that is lost makes an estimate worse and breaks nothing. `placement::KeyLoad` makes an
//! estimate of the reports, by which the leader rebalances key ranges.

use std::collections::{BTreeMap, btree_map};

use serde::{Deserialize, Serialize};

use crate::array_struct::array_struct;

/// Keys in a bucket. Load is counted by buckets: busy keys lie close together.
pub const KEYS_PER_BUCKET: u16 = 16;
/// Milliseconds of an upstream's time in one unit of [`BucketLoad::units`].
pub const LOAD_UNIT_MS: u64 = 10;

array_struct! {
    /// Load of one bucket of keys. An array of two on the wire.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub struct BucketLoad {
        /// The bucket: its keys are those from `bucket * KEYS_PER_BUCKET` on.
        pub bucket: u16,
        /// Time that upstreams were at requests for its keys, in units of [`LOAD_UNIT_MS`].
        pub units: u16,
    }
}

/// Load of keys by service, since the report before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyLoadReport {
    by_service: BTreeMap<String, Vec<BucketLoad>>,
}

impl KeyLoadReport {
    /// A report of no load.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether no service is in it.
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }

    /// Appends the load of a bucket of a service's keys. Loads of the same bucket are not added up.
    pub fn push(&mut self, service: &str, load: BucketLoad) {
        if let Some(loads) = self.by_service.get_mut(service) {
            loads.push(load);
        } else {
            self.by_service.insert(service.to_string(), vec![load]);
        }
    }

    /// The loads of a service's keys; empty if it is not in the report.
    pub fn loads(&self, service: &str) -> &[BucketLoad] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }
}

impl FromIterator<(String, Vec<BucketLoad>)> for KeyLoadReport {
    fn from_iter<I: IntoIterator<Item = (String, Vec<BucketLoad>)>>(services: I) -> Self {
        Self {
            by_service: services.into_iter().collect(),
        }
    }
}

impl IntoIterator for KeyLoadReport {
    type Item = (String, Vec<BucketLoad>);
    type IntoIter = btree_map::IntoIter<String, Vec<BucketLoad>>;

    fn into_iter(self) -> Self::IntoIter {
        self.by_service.into_iter()
    }
}
