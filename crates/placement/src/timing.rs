//! Times and bounds of placement. All times are in milliseconds.

/// Number of keys.
pub(crate) const KEY_COUNT: u64 = 1 << 16;

/// Ranges for each upstream in the first division: what a lost upstream owned goes to this many others. Each range
/// costs a grant a third of its lease.
pub(crate) const INITIAL_RANGES_PER_UPSTREAM: usize = 2;

/// Renewals of a lease within its time: two may be lost before it runs out.
pub(crate) const RENEWALS_PER_LEASE: u64 = 3;
/// An upstream's clock may run slow by this factor; some room is in it.
pub(crate) const CLOCK_DRIFT_FACTOR: f64 = 1.03;

/// After this many calls in a row without an answer an upstream is given up: its ranges go to others once its leases
/// have run out.
pub(crate) const MAX_UNANSWERED_CALLS: u32 = 2;
/// An upstream that was given up gets no keys for this many times the length of a lease.
pub(crate) const BACKOFF_LEASES: u64 = 2;

/// A proposed change that does not show in the log for so long was lost.
pub(crate) const PROPOSAL_TIMEOUT_MS: u64 = 2000;

/// Rebalancing keeps at most one range in this many, and one more, on its way at a time.
pub(crate) const RANGES_PER_MOVE: usize = 32;
/// Rebalancing splits ranges up to this many for each upstream.
pub(crate) const MAX_RANGES_PER_UPSTREAM: usize = 6;
/// An upstream has too much load above this multiple of the mean, and too little below [`UNDERLOAD_FACTOR`]. What is
/// known of five requests a second for five seconds may be off by half.
pub(crate) const OVERLOAD_FACTOR: f64 = 1.5;
/// See [`OVERLOAD_FACTOR`].
pub(crate) const UNDERLOAD_FACTOR: f64 = 0.5;
/// Nothing is rebalanced while the upstream with the most load has less than this for each of its slots: hardly any
/// request waits there, and moves cost. With few requests their number was chance, and without this bound all keys
/// changed owners four times within a minute.
pub(crate) const REBALANCE_MIN_LOAD_PER_SLOT: f64 = 0.5;

/// Times that the host decides on, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Length of a lease from the arrival of its grant.
    pub lease_ms: u64,
    /// A call is given up after this time, and nothing of it arrives later.
    pub call_timeout_ms: u64,
    /// A leader may send grants for so long after its leadership was last confirmed.
    pub leader_staleness_ms: u64,
    /// Time to the next call after one that failed.
    pub retry_interval_ms: u64,
    /// The first division of the keys waits until the number of candidates has not changed for so long.
    pub stabilization_ms: u64,
}

impl Timing {
    /// Longest time by the leader's clock for which a lease lasts after its grant has arrived.
    pub(crate) fn max_lease_ms(&self) -> u64 {
        (self.lease_ms as f64 * CLOCK_DRIFT_FACTOR) as u64
    }

    /// Time from a grant to the next one of the same lease. Those of different ranges are spread over a quarter of
    /// it.
    pub(crate) fn renewal_interval_ms(&self, first_key: u16) -> u64 {
        let interval = self.lease_ms / RENEWALS_PER_LEASE;
        interval - interval / 4 * u64::from(first_key) / KEY_COUNT
    }

    /// How long an upstream that was given up gets no keys.
    pub(crate) fn backoff_ms(&self) -> u64 {
        BACKOFF_LEASES * self.lease_ms
    }
}
