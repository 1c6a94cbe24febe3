//! Current load and capacity of sets of upstreams.

use std::sync::Arc;

use crate::interface::RequestClass;
use crate::policy::state::upstream::Upstream;

/// Load and capacity of the upstreams that a set of classes may be sent to. The first pool is that of all upstreams;
/// classes bound to zones or machine types have a pool of their own. When requests of a bound class were admitted by
/// the sums of all upstreams, they queued for slots that they could never use.
#[derive(Debug, Default)]
pub(in crate::policy) struct CapacityPool {
    /// A class with this pool's binding; `None` for all upstreams.
    pub(in crate::policy) class: Option<Arc<RequestClass>>,
    /// Queued requests of the classes that use this pool.
    pub(in crate::policy) queued: usize,
    /// Attempts in flight at the pool's upstreams.
    pub(in crate::policy) in_flight: usize,
    /// Whether all upstreams of the pool are unresponsive; in that case none is excluded from the sums.
    pub(in crate::policy) all_unresponsive: bool,
    /// This balancer's share of the sum of K_i over live upstreams, in attempts in flight.
    pub(in crate::policy) slots: f64,
    /// This balancer's share of the sum of N_i over live upstreams, per microsecond of the time that a request may
    /// take: `1 / (2*TP_i + TS_i)`.
    pub(in crate::policy) admission_limit_per_us: f64,
    /// The share of `slots` and `admission_limit_per_us`, 0 to 1, that is not headroom for bursts.
    pub(in crate::policy) even_share: f64,
}

impl CapacityPool {
    /// Returns whether a class may be sent to exactly the upstreams of this pool.
    fn has_binding_of(&self, class: &RequestClass) -> bool {
        match &self.class {
            Some(other) => other.zones == class.zones && other.kinds == class.kinds,
            None => class.zones.is_none() && class.kinds.is_none(),
        }
    }

    /// Returns whether an upstream is one of this pool's.
    pub(in crate::policy) fn contains(&self, upstream: &Upstream) -> bool {
        let class = self.class.as_ref();
        class.is_none_or(|class| upstream.is_allowed_for(class))
    }

    /// Returns whether this balancer uses all its slots.
    pub(in crate::policy) fn is_full(&self) -> bool {
        self.in_flight as f64 >= self.slots.max(1.0)
    }
}

/// All pools.
#[derive(Debug)]
pub(in crate::policy) struct CapacityPools {
    /// The first is that of all upstreams.
    pub(in crate::policy) pools: Vec<CapacityPool>,
}

impl CapacityPools {
    /// Creates the pool of all upstreams, and one for each set of upstreams that some of these classes is bound to.
    pub(in crate::policy) fn new(classes: &[Arc<RequestClass>]) -> Self {
        let mut pools = Self {
            pools: vec![CapacityPool::default()],
        };
        for class in classes {
            pools.index_or_insert(class);
        }
        pools
    }

    /// Returns the pool of all upstreams.
    pub(in crate::policy) fn all_upstreams(&self) -> &CapacityPool {
        &self.pools[0]
    }

    /// Returns the index of the pool of the upstreams that a class may be sent to.
    pub(in crate::policy) fn index_of(&self, class: &RequestClass) -> Option<usize> {
        let mut pools = self.pools.iter();
        pools.position(|pool| pool.has_binding_of(class))
    }

    /// Returns the same, after adding the pool if there is none. The capacity of a new pool is yet to be computed.
    pub(in crate::policy) fn index_or_insert(&mut self, class: &Arc<RequestClass>) -> usize {
        self.index_of(class).unwrap_or_else(|| {
            self.pools.push(CapacityPool {
                class: Some(Arc::clone(class)),
                ..CapacityPool::default()
            });
            self.pools.len() - 1
        })
    }

    /// Changes the number of queued requests in a pool, and in that of all upstreams.
    pub(in crate::policy) fn count_queued(&mut self, own: usize, change: isize) {
        for (i, pool) in self.pools.iter_mut().enumerate() {
            if i == 0 || i == own {
                pool.queued = pool.queued.saturating_add_signed(change);
            }
        }
    }
}
