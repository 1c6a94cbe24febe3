//! Load of the keys of sharded services, as reported by balancers: the time that upstreams spent on requests for them.
//!
//! Reports are samples: losing one only makes the estimate less accurate. `placement::KeyLoad` computes the estimate
//! that the leader uses to rebalance key ranges.

use std::collections::{BTreeMap, btree_map};

use serde::{Deserialize, Serialize};

use crate::array_struct::array_struct;

/// Number of keys in a bucket. Load is counted per bucket rather than per key because busy keys are close together.
pub const KEYS_PER_BUCKET: u16 = 16;
/// Milliseconds of upstream time in one unit of [`BucketLoad::units`].
pub const LOAD_UNIT_MS: u64 = 10;

array_struct! {
    /// Load of one bucket of keys. Encoded as an array of two elements.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub struct BucketLoad {
        /// Index of the bucket, whose first key is `bucket * KEYS_PER_BUCKET`.
        pub bucket: u16,
        /// Time that upstreams spent on requests for these keys, in units of [`LOAD_UNIT_MS`].
        pub units: u16,
    }
}

/// Load of keys by service since the previous report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyLoadReport {
    by_service: BTreeMap<String, Vec<BucketLoad>>,
}

impl KeyLoadReport {
    /// Creates an empty report.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the report contains no service.
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }

    /// Appends the load of one bucket. Repeated entries for a bucket are not merged.
    pub fn push(&mut self, service: &str, load: BucketLoad) {
        if let Some(loads) = self.by_service.get_mut(service) {
            loads.push(load);
        } else {
            self.by_service.insert(service.to_string(), vec![load]);
        }
    }

    /// Returns the bucket loads of a service; empty if the service is not in the report.
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
