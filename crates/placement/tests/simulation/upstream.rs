//! A simulated upstream, with the leases that it holds by its own clock.

use std::collections::BTreeMap;

use placement::{LeaseCall, LeaseCallOutcome, LeaseRequest};

/// A lease on a range of keys; the first key is the key of the map that holds it.
#[derive(Clone, Copy, Default)]
pub(crate) struct Lease {
    pub(crate) last: u16,
    pub(crate) expires_at: u64,
    /// Highest fencing token seen for these keys.
    pub(crate) fencing_token: u64,
    /// Whether the grant was delayed by a pause of its leader. Such leases are exempt from the check for two holders,
    /// since only fencing tokens protect against them.
    pub(crate) is_late: bool,
}

pub(crate) struct Upstream {
    pub(crate) is_up: bool,
    pub(crate) is_draining: bool,
    /// End of its slow start.
    pub(crate) warming_until: u64,
    /// Leases by first key. Released and expired leases are kept for their tokens.
    pub(crate) leases: BTreeMap<u16, Lease>,
    /// Factor by which its clock runs slow.
    pub(crate) clock_drift: f64,
    /// No call reaches it before this time.
    pub(crate) partitioned_until: u64,
    /// It is paused until this time, while its clock continues.
    pub(crate) frozen_until: u64,
}

impl Upstream {
    pub(crate) fn new(warming_until: u64, clock_drift: f64) -> Self {
        Self {
            is_up: true,
            is_draining: false,
            warming_until,
            leases: BTreeMap::new(),
            clock_drift,
            partitioned_until: 0,
            frozen_until: 0,
        }
    }

    /// Returns the leases that overlap these keys, each with its first key.
    fn overlapping(&self, first: u16, last: u16) -> Vec<(u16, Lease)> {
        let overlaps = |(f, lease): (&u16, &Lease)| {
            (*f <= last && lease.last >= first).then_some((*f, *lease))
        };
        self.leases.iter().filter_map(overlaps).collect()
    }

    /// Returns the leases that have not expired, each with its first key.
    pub(crate) fn valid_leases(&self, now: u64) -> impl Iterator<Item = (u16, &Lease)> {
        self.leases
            .iter()
            .filter(move |(_, lease)| lease.expires_at > now)
            .map(|(first, lease)| (*first, lease))
    }

    /// Returns the fencing token of its lease on this key, if it is running and holds one.
    pub(crate) fn token_to_write(&self, key: u16, now: u64) -> Option<u64> {
        let leases = self.overlapping(key, key);
        let lease = leases.iter().find(|(_, lease)| lease.expires_at > now);
        lease
            .filter(|_| self.is_up && self.frozen_until <= now)
            .map(|(_, lease)| lease.fencing_token)
    }

    /// Returns the highest fencing token seen for any of these keys.
    fn highest_token(&self, first: u16, last: u16) -> u64 {
        let leases = self.overlapping(first, last);
        let tokens = leases.iter().map(|(_, lease)| lease.fencing_token);
        tokens.max().unwrap_or(0)
    }

    /// Sets the lease on these keys. Overlapping leases keep the rest of their keys.
    fn set_lease(&mut self, first: u16, lease: Lease) {
        for (old_first, old) in self.overlapping(first, lease.last) {
            self.leases.remove(&old_first);
            if old_first < first {
                let before = Lease {
                    last: first - 1,
                    ..old
                };
                self.leases.insert(old_first, before);
            }
            if old.last > lease.last {
                self.leases.insert(lease.last + 1, old);
            }
        }
        self.leases.insert(first, lease);
    }

    /// Handles a call that arrives at `now`. Returns `None` if a partition drops it.
    pub(crate) fn handle_call(
        &mut self,
        now: u64,
        call: &LeaseCall,
        is_late: bool,
        checks_tokens: bool,
    ) -> Option<LeaseCallOutcome> {
        if now < self.partitioned_until {
            return None;
        }
        if !self.is_up {
            return Some(LeaseCallOutcome::AddressReused);
        }
        let (first, last) = (call.first, call.last);
        let highest_token = self.highest_token(first, last);
        match &call.request {
            LeaseRequest::Grant { .. } if checks_tokens && highest_token > call.fencing_token => {
                Some(LeaseCallOutcome::Fenced)
            }
            LeaseRequest::Grant { lease_ms, .. } => {
                let lease = Lease {
                    last,
                    expires_at: now + (*lease_ms as f64 * self.clock_drift) as u64,
                    fencing_token: call.fencing_token,
                    is_late,
                };
                self.set_lease(first, lease);
                Some(LeaseCallOutcome::Completed(None))
            }
            LeaseRequest::Release => {
                let lease = Lease {
                    last,
                    expires_at: 0,
                    fencing_token: highest_token.max(call.fencing_token),
                    is_late,
                };
                self.set_lease(first, lease);
                Some(LeaseCallOutcome::Completed(Some("handoff".into())))
            }
        }
    }
}
