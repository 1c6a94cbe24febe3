//! Values derived from the settings alone.

use crate::interface::{RequestClass, Settings, Span};
use crate::policy::state::capacity::{CapacityPool, CapacityPools};

/// Sweep interval as a share of the shortest latency target, short enough that queued requests are rejected close to
/// their limit.
const SWEEP_SHARE_OF_TARGET: f64 = 1.0 / 32.0;

impl Settings {
    /// Returns the capacity pools: one for all upstreams, and one for each set of upstreams that some class is bound
    /// to.
    pub(in crate::policy) fn capacity_pools(&self) -> CapacityPools {
        let mut pools = vec![CapacityPool::default()];
        let mut by_class = Vec::new();
        for (i, class) in self.classes.iter().enumerate() {
            let has_same_binding = |pool: &CapacityPool| match pool.class {
                Some(other) => {
                    let other = &self.classes[other];
                    other.zones == class.zones && other.kinds == class.kinds
                }
                None => class.zones.is_none() && class.kinds.is_none(),
            };
            let pool = pools.iter().position(has_same_binding).unwrap_or_else(|| {
                pools.push(CapacityPool {
                    class: Some(i),
                    ..CapacityPool::default()
                });
                pools.len() - 1
            });
            by_class.push(pool);
        }
        CapacityPools { pools, by_class }
    }

    /// Returns the classes that new requests may have. Without this filter, a route that had been moved or removed kept
    /// constraining the remaining routes of its former service by its latency target.
    pub(in crate::policy) fn active_classes(&self) -> impl Iterator<Item = &RequestClass> {
        self.classes.iter().filter(|class| !class.retired)
    }

    /// Returns the mean latency target of the active classes in microseconds.
    pub(in crate::policy) fn mean_latency_target(&self) -> f64 {
        let (count, sum) = self.active_classes().fold((0.0, 0.0), |(count, sum), c| {
            (count + 1.0, sum + c.latency_target.as_micros())
        });
        if count > 0.0 {
            sum / count
        } else {
            self.classes[0].latency_target.as_micros()
        }
    }

    /// Returns the interval between sweeps, which do the periodic housekeeping.
    pub(in crate::policy) fn sweep_interval(&self) -> Span {
        let targets = self.classes.iter().map(|class| class.latency_target.0);
        let shortest = targets.min().unwrap_or(0);
        let interval = (shortest as f64 * SWEEP_SHARE_OF_TARGET) as i64;
        Span(interval.max(self.tick.0))
    }
}
