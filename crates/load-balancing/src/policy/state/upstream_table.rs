//! Table of all known upstreams.

use std::ops::{Index, IndexMut};

use rustc_hash::FxHashMap;

use crate::interface::ServerId;
use crate::policy::state::upstream::Upstream;

/// Position of an upstream in the [`UpstreamTable`]; valid until upstreams are removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(in crate::policy) struct UpstreamIndex(usize);

/// Upstreams of the list, plus those that are gone but still needed by open requests, in the order in which they were
/// first listed.
#[derive(Debug, Default)]
pub(in crate::policy) struct UpstreamTable {
    upstreams: Vec<Upstream>,
    by_id: FxHashMap<ServerId, UpstreamIndex>,
}

impl UpstreamTable {
    pub(in crate::policy) fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter()
    }

    pub(in crate::policy) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.upstreams.iter_mut()
    }

    /// Returns all positions in order.
    pub(in crate::policy) fn indexes(&self) -> impl Iterator<Item = UpstreamIndex> + use<> {
        (0..self.upstreams.len()).map(UpstreamIndex)
    }

    pub(in crate::policy) fn index_of(&self, id: ServerId) -> Option<UpstreamIndex> {
        self.by_id.get(&id).copied()
    }

    /// Returns the position of an upstream; a new upstream is appended.
    pub(in crate::policy) fn index_or_insert(
        &mut self,
        id: ServerId,
        new: impl FnOnce() -> Upstream,
    ) -> UpstreamIndex {
        let next = UpstreamIndex(self.upstreams.len());
        let index = *self.by_id.entry(id).or_insert(next);
        if index == next {
            self.upstreams.push(new());
        }
        index
    }

    /// Removes the upstreams for which `is_kept` is false. Returns the new position, by the old one, of each upstream
    /// kept.
    pub(in crate::policy) fn retain(
        &mut self,
        is_kept: impl Fn(UpstreamIndex, &Upstream) -> bool,
    ) -> FxHashMap<UpstreamIndex, UpstreamIndex> {
        let mut new_index = FxHashMap::default();
        let mut old = 0;
        self.upstreams.retain(|upstream| {
            let index = UpstreamIndex(old);
            old += 1;
            let is_kept = is_kept(index, upstream);
            if is_kept {
                new_index.insert(index, UpstreamIndex(new_index.len()));
            }
            is_kept
        });
        self.by_id = self
            .indexes()
            .map(|index| (self[index].id, index))
            .collect();
        new_index
    }
}

impl Index<UpstreamIndex> for UpstreamTable {
    type Output = Upstream;

    fn index(&self, index: UpstreamIndex) -> &Upstream {
        &self.upstreams[index.0]
    }
}

impl IndexMut<UpstreamIndex> for UpstreamTable {
    fn index_mut(&mut self, index: UpstreamIndex) -> &mut Upstream {
        &mut self.upstreams[index.0]
    }
}
