//! Counts request bodies that were refused or evicted, by reason.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Why a body was not received. The variant names are exported as label values.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
pub(super) enum EvictionReason {
    /// There was no memory for it, and no other body could be evicted.
    NoMemory,
    /// It was evicted because another body needed its memory.
    Preempted,
    /// Its client had stalled, and its connection was needed.
    Stalled,
}

/// All reasons.
const REASONS: [EvictionReason; 3] = [
    EvictionReason::NoMemory,
    EvictionReason::Preempted,
    EvictionReason::Stalled,
];

/// The labels of the counter. The field names are exported as label names.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Labels {
    reason: EvictionReason,
}

/// Counts evicted bodies. Clones share the counters.
#[derive(Clone, Debug, Default)]
pub(super) struct Evictions(Family<Labels, Counter>);

impl Evictions {
    pub(super) fn count(&self, reason: EvictionReason) {
        self.0.get_or_create(&Labels { reason }).inc();
    }

    /// Registers the counter for export.
    pub(super) fn register(&self, registry: &mut Registry) {
        for reason in REASONS {
            // Shown before it has happened.
            drop(self.0.get_or_create(&Labels { reason }));
        }
        let help = "Request bodies that were refused or evicted for lack of memory or connections";
        registry.register("evicted_request_bodies", help, self.0.clone());
    }

    #[cfg(test)]
    pub(super) fn get(&self, reason: EvictionReason) -> u64 {
        self.0.get_or_create(&Labels { reason }).get()
    }
}
