//! Upstreams that may own keys, with the load that each has.

use std::collections::BTreeMap;

use protocol::key_ranges::{KeyRangeMap, LeaseHolder, Ownership};

use crate::key_load::KeyLoad;

/// An upstream as the host lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub holder: LeaseHolder,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// It is to release its keys: it drains, or its zone is evacuated.
    pub draining: bool,
    /// It may get keys; not while it is in slow start.
    pub accepts_keys: bool,
}

/// A candidate and the load of the ranges that it owns or is to get, in requests at a time.
struct LoadedCandidate<'a> {
    candidate: &'a Candidate,
    load: f64,
}

/// The candidates that may get keys in one planning run. Loads are counted as ranges are assigned.
pub(crate) struct CandidatePool<'a>(Vec<LoadedCandidate<'a>>);

impl<'a> CandidatePool<'a> {
    /// All without load.
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

    /// At least 1.
    pub(crate) fn slots(&self, position: usize) -> f64 {
        f64::from(self.0[position].candidate.slots.max(1))
    }

    pub(crate) fn load_per_slot(&self, position: usize) -> f64 {
        self.0[position].load / self.slots(position)
    }

    /// Mean of the candidates' loads per slot; 0 without candidates.
    pub(crate) fn mean_load_per_slot(&self) -> f64 {
        let n = self.len();
        (0..n).map(|i| self.load_per_slot(i)).sum::<f64>() / n.max(1) as f64
    }

    /// The candidate with the least load per slot; of equals a different one for each range.
    pub(crate) fn least_loaded(&self, first_key: u16) -> Option<usize> {
        let n = self.len();
        let turn = |i: usize| (i + n - usize::from(first_key) % n) % n;
        (0..n).min_by(|&a, &b| {
            self.load_per_slot(a)
                .total_cmp(&self.load_per_slot(b))
                .then(turn(a).cmp(&turn(b)))
        })
    }

    /// The candidate with the most load per slot among those that `is_eligible` accepts.
    pub(crate) fn most_loaded(&self, is_eligible: impl Fn(&LeaseHolder) -> bool) -> Option<usize> {
        (0..self.len())
            .filter(|&i| is_eligible(self.holder(i)))
            .max_by(|&a, &b| self.load_per_slot(a).total_cmp(&self.load_per_slot(b)))
    }

    /// Assigns a range of this load to the candidate with the least; `None` without candidates.
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
