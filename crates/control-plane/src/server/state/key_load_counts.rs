//! Requests that balancers counted by key, on their way to the leader.

use std::collections::BTreeMap;

use protocol::key_load::{BucketLoad, KeyLoadReport};

/// Counts of requests by service and bucket of keys, summed up until they are taken.
///
/// Invariant: a count is in one place only; taking them leaves none. Counts saturate. What is here when the process
/// dies is lost: the leader plans by fewer counts for a moment.
#[derive(Default)]
pub(crate) struct KeyLoadCounts {
    counts: BTreeMap<String, BTreeMap<u16, u16>>,
}

impl KeyLoadCounts {
    /// Adds counts of a balancer, or those that a peer passes on.
    pub(crate) fn record(&mut self, counts: KeyLoadReport) {
        for (service, buckets) in counts {
            let totals = self.counts.entry(service).or_default();
            for BucketLoad { bucket, units } in buckets {
                let total = totals.entry(bucket).or_default();
                *total = total.saturating_add(units);
            }
        }
    }

    /// Hands out all counts and forgets them.
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
