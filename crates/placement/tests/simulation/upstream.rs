//! A simulated upstream: which ranges it holds leases on, by its own clock.

use std::collections::BTreeMap;

use placement::{LeaseCall, LeaseCallOutcome, LeaseRequest};

/// A lease on a run of keys, which stands under its first key.
#[derive(Clone, Copy, Default)]
pub(crate) struct Lease {
    pub(crate) last: u16,
    pub(crate) expires_at: u64,
    /// The highest token that was seen on these keys.
    pub(crate) fencing_token: u64,
    /// The grant came from a leader that had just stood still; the rules count it out.
    pub(crate) is_late: bool,
}

pub(crate) struct Upstream {
    pub(crate) is_up: bool,
    pub(crate) is_draining: bool,
    /// It is in slow start until then.
    pub(crate) warming_until: u64,
    /// By first key. A lease that was released or has run out stays, for its token.
    pub(crate) leases: BTreeMap<u16, Lease>,
    /// By this factor its clock runs slow.
    pub(crate) clock_drift: f64,
    /// No call reaches it until then.
    pub(crate) partitioned_until: u64,
    /// It stands still until then; its clock runs on.
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

    /// The leases on any of these keys, each with its first key.
    fn overlapping(&self, first: u16, last: u16) -> Vec<(u16, Lease)> {
        let overlaps = |(f, lease): (&u16, &Lease)| {
            (*f <= last && lease.last >= first).then_some((*f, *lease))
        };
        self.leases.iter().filter_map(overlaps).collect()
    }

    /// The leases that have not run out, each with its first key.
    pub(crate) fn valid_leases(&self, now: u64) -> impl Iterator<Item = (u16, &Lease)> {
        self.leases
            .iter()
            .filter(move |(_, lease)| lease.expires_at > now)
            .map(|(first, lease)| (*first, lease))
    }

    /// The token of its lease on this key, if it runs and holds one.
    pub(crate) fn token_to_write(&self, key: u16, now: u64) -> Option<u64> {
        let leases = self.overlapping(key, key);
        let lease = leases.iter().find(|(_, lease)| lease.expires_at > now);
        lease
            .filter(|_| self.is_up && self.frozen_until <= now)
            .map(|(_, lease)| lease.fencing_token)
    }

    /// The highest fencing token that was seen on any of these keys.
    fn highest_token(&self, first: u16, last: u16) -> u64 {
        let leases = self.overlapping(first, last);
        let tokens = leases.iter().map(|(_, lease)| lease.fencing_token);
        tokens.max().unwrap_or(0)
    }

    /// Sets the lease on these keys; the rest of those that they were part of stays.
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

    /// What it does with a call that arrives at `now`; `None` if it does not arrive.
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
