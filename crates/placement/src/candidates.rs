//! Upstreams that may own keys, with their loads.

use std::collections::BTreeMap;

use protocol::key_ranges::{KeyRangeMap, LeaseHolder, Ownership};

use crate::key_load::KeyLoad;

/// An upstream of the service, as listed by the host.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream's id and address.
    pub holder: LeaseHolder,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is to release its keys, because it is draining or its zone is being evacuated.
    pub draining: bool,
    /// Whether it may get keys; false during slow start.
    pub accepts_keys: bool,
}

/// A candidate and the load of the ranges that it owns or will own, in concurrent requests.
struct LoadedCandidate<'a> {
    candidate: &'a Candidate,
    load: f64,
}

/// The candidates that may get keys in one planning run. Assigning a range to a candidate adds to its load.
pub(crate) struct CandidatePool<'a>(Vec<LoadedCandidate<'a>>);

impl<'a> CandidatePool<'a> {
    /// Creates a pool in which no candidate has load.
    pub(crate) fn new(candidates: impl Iterator<Item = &'a Candidate>) -> Self {
        let unloaded = |candidate| LoadedCandidate {
            candidate,
            load: 0.0,
        };
        Self(candidates.map(unloaded).collect())
    }

    /// Sets each candidate's load to that of the ranges assigned to it.
    pub(crate) fn set_loads(&mut self, ranges: &KeyRangeMap, key_load: &KeyLoad) {
        let mut loads = BTreeMap::<&str, f64>::new();
        for (first, range) in ranges.iter() {
            if let Ownership::Assigned(holder, _) = &range.ownership {
                *loads.entry(holder.id.as_str()).or_default() +=
                    key_load.range_load(first, range.last);
            }
        }
        for entry in &mut self.0 {
            let id = entry.candidate.holder.id.as_str();
            entry.load = loads.get(id).copied().unwrap_or(0.0);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn holder(&self, position: usize) -> &'a LeaseHolder {
        &self.0[position].candidate.holder
    }

    /// Returns the candidate's number of slots, at least 1.
    pub(crate) fn slots(&self, position: usize) -> f64 {
        f64::from(self.0[position].candidate.slots.max(1))
    }

    pub(crate) fn load_per_slot(&self, position: usize) -> f64 {
        self.0[position].load / self.slots(position)
    }

    /// Returns the mean of the candidates' loads per slot; 0 without candidates.
    pub(crate) fn mean_load_per_slot(&self) -> f64 {
        let n = self.len();
        (0..n).map(|i| self.load_per_slot(i)).sum::<f64>() / n.max(1) as f64
    }

    /// Returns the candidate with the least load per slot. Ties are broken by `first_key`, so that ranges are spread
    /// over equally loaded candidates.
    pub(crate) fn least_loaded(&self, first_key: u16) -> Option<usize> {
        let n = self.len();
        let rank = |i: usize| (i + n - usize::from(first_key) % n) % n;
        (0..n).min_by(|&a, &b| {
            self.load_per_slot(a)
                .total_cmp(&self.load_per_slot(b))
                .then(rank(a).cmp(&rank(b)))
        })
    }

    /// Returns the candidate with the most load per slot among those that `is_eligible` accepts.
    pub(crate) fn most_loaded(&self, is_eligible: impl Fn(&LeaseHolder) -> bool) -> Option<usize> {
        (0..self.len())
            .filter(|&i| is_eligible(self.holder(i)))
            .max_by(|&a, &b| self.load_per_slot(a).total_cmp(&self.load_per_slot(b)))
    }

    /// Assigns a range with this load to the least loaded candidate; returns `None` without candidates.
    pub(crate) fn assign(
        &mut self,
        first_key: u16,
        load: f64,
        handoff: Option<String>,
    ) -> Option<Ownership> {
        let least = self.least_loaded(first_key)?;
        self.0[least].load += load;
        Some(Ownership::Assigned(self.holder(least).clone(), handoff))
    }

    pub(crate) fn move_load(&mut self, from: usize, to: usize, load: f64) {
        self.0[from].load -= load;
        self.0[to].load += load;
    }
}
