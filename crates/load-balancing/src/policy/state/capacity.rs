//! Current load and capacity of sets of upstreams.

/// Load and capacity of the upstreams that a set of classes may be sent to. The first pool is that of all upstreams;
/// classes bound to zones or machine types have a pool of their own. When requests of a bound class were admitted by
/// the sums of all upstreams, they queued for slots that they could never use.
#[derive(Debug, Default)]
pub(in crate::policy) struct CapacityPool {
    /// A class with this pool's binding; `None` for all upstreams.
    pub(in crate::policy) class: Option<usize>,
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
    /// Returns whether this balancer uses all its slots.
    pub(in crate::policy) fn is_full(&self) -> bool {
        self.in_flight as f64 >= self.slots.max(1.0)
    }
}

/// All pools, and which of them each class uses.
#[derive(Debug)]
pub(in crate::policy) struct CapacityPools {
    /// The first is that of all upstreams.
    pub(in crate::policy) pools: Vec<CapacityPool>,
    /// By class, the index of its pool.
    pub(in crate::policy) by_class: Vec<usize>,
}

impl CapacityPools {
    /// Returns the pool of all upstreams.
    pub(in crate::policy) fn all_upstreams(&self) -> &CapacityPool {
        &self.pools[0]
    }

    pub(in crate::policy) fn of_class(&self, class: usize) -> &CapacityPool {
        &self.pools[self.by_class[class]]
    }

    /// Changes the number of queued requests of a class, in the pool of all upstreams and in its own.
    pub(in crate::policy) fn count_queued(&mut self, class: usize, change: isize) {
        let own = self.by_class[class];
        for (i, pool) in self.pools.iter_mut().enumerate() {
            if i == 0 || i == own {
                pool.queued = pool.queued.saturating_add_signed(change);
            }
        }
    }
}
