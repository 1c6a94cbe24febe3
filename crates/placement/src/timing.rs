//! Times and limits of placement. All times are in milliseconds.

/// Number of keys.
pub(crate) const KEY_COUNT: u64 = 1 << 16;

/// Ranges per upstream in the first division of the keys. The ranges of a failed upstream can go to this many others.
/// Each range costs one grant per third of a lease.
pub(crate) const INITIAL_RANGES_PER_UPSTREAM: usize = 2;

/// Number of renewals within the length of a lease: two may be lost before the lease expires.
pub(crate) const RENEWALS_PER_LEASE: u64 = 3;
/// Factor by which an upstream's clock may run slow, with a safety margin.
pub(crate) const CLOCK_DRIFT_FACTOR: f64 = 1.03;

/// After this many consecutive calls without an answer an upstream counts as unresponsive: its ranges go to others once
/// its leases have expired.
pub(crate) const MAX_UNANSWERED_CALLS: u32 = 2;
/// An unresponsive upstream gets no keys for this many times the length of a lease.
pub(crate) const BACKOFF_LEASES: u64 = 2;

/// A proposed change that is not in the log after this time counts as lost.
pub(crate) const PROPOSAL_TIMEOUT_MS: u64 = 2000;

/// Rebalancing moves at most one range in this many, plus one, at the same time.
pub(crate) const RANGES_PER_MOVE: usize = 32;
/// Rebalancing splits ranges until there are this many per upstream.
pub(crate) const MAX_RANGES_PER_UPSTREAM: usize = 6;
/// An upstream has too much load above this multiple of the mean, and too little below [`UNDERLOAD_FACTOR`]. The
/// thresholds are this wide because an estimate from five requests per second over five seconds may be wrong by half.
pub(crate) const OVERLOAD_FACTOR: f64 = 1.5;
/// See [`OVERLOAD_FACTOR`].
pub(crate) const UNDERLOAD_FACTOR: f64 = 0.5;
/// Nothing is rebalanced while the most loaded upstream has less load per slot than this: hardly any request waits
/// there, and moves have a cost. At low request rates the measured loads are mostly random; without this limit all keys
/// changed owners four times within a minute.
pub(crate) const REBALANCE_MIN_LOAD_PER_SLOT: f64 = 0.5;

/// Times that the host chooses, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Length of a lease from the arrival of its grant.
    pub lease_ms: u64,
    /// Timeout of a call. Nothing of the call arrives after it.
    pub call_timeout_ms: u64,
    /// Time during which a leader may send grants after its leadership was last confirmed.
    pub leader_staleness_ms: u64,
    /// Time from a failed call to the next one.
    pub retry_interval_ms: u64,
    /// The first division of the keys waits until the number of candidates has not changed for this long.
    pub stabilization_ms: u64,
}

impl Timing {
    /// Returns the longest time, by the leader's clock, for which a lease lasts after its grant has arrived.
    pub(crate) fn max_lease_ms(&self) -> u64 {
        (self.lease_ms as f64 * CLOCK_DRIFT_FACTOR) as u64
    }

    /// Returns the time from a grant to the renewal of the lease. It differs between ranges by up to a quarter, so that
    /// their renewals are spread out.
    pub(crate) fn renewal_interval_ms(&self, first_key: u16) -> u64 {
        let interval = self.lease_ms / RENEWALS_PER_LEASE;
        interval - interval / 4 * u64::from(first_key) / KEY_COUNT
    }

    /// Returns the time for which an unresponsive upstream gets no keys.
    pub(crate) fn backoff_ms(&self) -> u64 {
        BACKOFF_LEASES * self.lease_ms
    }
}
