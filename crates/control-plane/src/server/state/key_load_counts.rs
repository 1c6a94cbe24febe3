//! Request counts by key, collected from balancers on their way to the leader.

use std::collections::BTreeMap;

use protocol::key_load::{BucketLoad, KeyLoadReport};

/// Request counts by service and key bucket, summed until they are taken.
///
/// Invariant: no request is counted by two processes, because taking the counts clears them here. Sums saturate. Counts
/// held here are lost when the process fails; the leader then briefly plans with lower counts.
#[derive(Default)]
pub(crate) struct KeyLoadCounts {
    counts: BTreeMap<String, BTreeMap<u16, u16>>,
}

impl KeyLoadCounts {
    /// Adds the counts of a balancer, or counts that a peer forwards.
    pub(crate) fn record(&mut self, counts: KeyLoadReport) {
        for (service, buckets) in counts {
            let totals = self.counts.entry(service).or_default();
            for BucketLoad { bucket, units } in buckets {
                let total = totals.entry(bucket).or_default();
                *total = total.saturating_add(units);
            }
        }
    }

    /// Returns all counts and clears them.
    pub(crate) fn take(&mut self) -> KeyLoadReport {
        std::mem::take(&mut self.counts)
            .into_iter()
            .map(|(service, buckets)| {
                let load = |(bucket, units)| BucketLoad { bucket, units };
                (service, buckets.into_iter().map(load).collect())
            })
            .collect()
    }
}
