//! What a set of upstreams holds and can hold.

/// What the upstreams that one set of classes may be sent to hold and can hold. The first pool is the whole fleet;
/// classes bound to zones or kinds have a pool of their own. Admitted by the sums of the whole fleet, requests of
/// a bound class queued behind slots that they could never have.
#[derive(Debug, Default)]
pub(in crate::policy) struct CapacityPool {
    /// A class that is bound so; `None` for the whole fleet.
    pub(in crate::policy) class: Option<usize>,
    /// Requests queued for it.
    pub(in crate::policy) queued: usize,
    /// Attempts in flight at its upstreams.
    pub(in crate::policy) in_flight: usize,
    /// Whether all its upstreams are unresponsive: then none is left out of the sums.
    pub(in crate::policy) all_unresponsive: bool,
    /// This balancer's share of the sum of K_i over live upstreams: attempts in flight.
    pub(in crate::policy) slots: f64,
    /// This balancer's share of the sum of N_i over live upstreams, per microsecond of the time that a request may
    /// take: `1 / (2*TP_i + TS_i)`.
    pub(in crate::policy) queue_limit_per_us: f64,
    /// The share of both that is not there for bursts, 0 to 1.
    pub(in crate::policy) even_share: f64,
}

impl CapacityPool {
    /// Whether this balancer uses all its slots.
    pub(in crate::policy) fn is_full(&self) -> bool {
        self.in_flight as f64 >= self.slots.max(1.0)
    }
}

/// All pools, and which of them each class has.
#[derive(Debug)]
pub(in crate::policy) struct CapacityPools {
    /// The first is the whole fleet.
    pub(in crate::policy) pools: Vec<CapacityPool>,
    /// By class, the index of its pool.
    pub(in crate::policy) by_class: Vec<usize>,
}

impl CapacityPools {
    /// The pool of the whole fleet.
    pub(in crate::policy) fn fleet(&self) -> &CapacityPool {
        &self.pools[0]
    }

    pub(in crate::policy) fn of_class(&self, class: usize) -> &CapacityPool {
        &self.pools[self.by_class[class]]
    }

    /// Changes the number of queued requests of a class, in the fleet's pool and in its own.
    pub(in crate::policy) fn count_queued(&mut self, class: usize, change: isize) {
        let own = self.by_class[class];
        for (i, pool) in self.pools.iter_mut().enumerate() {
            if i == 0 || i == own {
                pool.queued = pool.queued.saturating_add_signed(change);
            }
        }
    }
}
