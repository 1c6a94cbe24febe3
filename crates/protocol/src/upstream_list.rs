//! A zone's upstreams, as they go from process to process: by difference to whoever has a version that the
//! difference can build on, complete to everyone else.
//!
//! **State.** [`UpstreamList`] is one zone's list: at the control process that polls the platform for it, at those
//! that pass it on, and at the balancers that use it. It is kept in memory only.
//!
//! **Promises.**
//! - A receiver has at each version exactly what was sent at it: a difference is taken in only if its outcome has
//!   the digest that it names.
//! - A version never goes back.
//! - An upstream that once drained drains for good, on whatever path and under whatever version that was learned.
//!   An id has one life, and its end can't be taken back by a sender that knows less.
//!
//! **Neighbours.** A receiver that hears nothing keeps what it has. A sender that was wiped starts with lower
//! versions; it learns the higher ones of its receivers ([`UpstreamList::observe_version`]) and goes above them.
//!
//! No I/O and no clock: `now` is in milliseconds of any clock that does not go back within a process, `unix_ms` in
//! milliseconds since 1970.

mod update;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub use update::{UpdateOutcome, Upstream, UpstreamDelta, UpstreamSnapshot, UpstreamUpdate};

/// Versions back that a difference can build on. A zone's list changes a few times a second at most.
const MAX_HISTORY_STEPS: usize = 64;
/// Ids of drained upstreams that are remembered: many times what a zone replaces within the time in which an old
/// message that shows one of them ready can still arrive.
const MAX_DRAINED_IDS: usize = 4096;
/// Two reports of the same slow start may differ by this much: they are as of different moments.
const WARMUP_TOLERANCE_MS: u64 = 500;
/// Low bits of a version that tell its author; those above are milliseconds since 1970 or a count beyond them.
const AUTHOR_BITS: u32 = 10;

/// An upstream in a list.
#[derive(Clone, Debug)]
struct Entry {
    upstream: Upstream,
    /// When it was received; the rest of its slow start is as of then.
    received_at: u64,
}

/// A change of a list from one version to the next.
#[derive(Clone, Debug)]
struct HistoryStep {
    base_version: u64,
    /// Ids that are new, changed or removed since that version.
    changed_ids: BTreeSet<String>,
}

/// The upstreams of one zone, with what is needed to send differences.
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    /// 0 before the first list.
    version: u64,
    /// The highest version that anybody was seen to have; the next one has to be above it.
    highest_seen_version: u64,
    /// Of `entries`.
    digest: u32,
    entries: BTreeMap<String, Entry>,
    /// The latest steps up to `version`, oldest first.
    history: VecDeque<HistoryStep>,
    drained_ids: BTreeSet<String>,
    /// The same, in the order in which they were learned.
    drained_order: VecDeque<String>,
}

impl UpstreamList {
    /// The version of the list; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The upstreams as of `now`, in the order of their ids. Those that are known to have drained are `draining`.
    pub fn upstreams(&self, now: u64) -> impl Iterator<Item = Upstream> {
        self.entries.values().map(move |e| self.upstream_at(e, now))
    }

    /// The upstream with this id as of `now`.
    pub fn upstream(&self, id: &str, now: u64) -> Option<Upstream> {
        self.entries.get(id).map(|e| self.upstream_at(e, now))
    }

    fn upstream_at(&self, entry: &Entry, now: u64) -> Upstream {
        let upstream = &entry.upstream;
        Upstream {
            draining: upstream.draining || self.drained_ids.contains(&upstream.id),
            warmup_remaining_ms: entry.warmup_remaining_ms(now),
            ..upstream.clone()
        }
    }

    // At the control process that polls the platform for the zone.

    /// Sets the list to what the platform lists. Returns whether that is a new version, to be sent. `author` tells
    /// control processes apart: no two have the same version.
    pub fn set_platform_list(
        &mut self,
        list: Vec<Upstream>,
        now: u64,
        unix_ms: u64,
        author: u64,
    ) -> bool {
        let mut next = BTreeMap::new();
        for mut upstream in list {
            upstream.draining |= self.drained_ids.contains(&upstream.id);
            // A slow start is sent once; that it gets shorter is no change.
            let unchanged = self.entries.get(&upstream.id).filter(|entry| {
                let remaining_ms = entry.warmup_remaining_ms(now);
                let warmup_remaining_ms = entry.upstream.warmup_remaining_ms;
                remaining_ms + WARMUP_TOLERANCE_MS >= upstream.warmup_remaining_ms
                    && Upstream {
                        warmup_remaining_ms,
                        ..upstream.clone()
                    } == entry.upstream
            });
            let entry = unchanged.cloned().unwrap_or(Entry {
                upstream,
                received_at: now,
            });
            next.insert(entry.upstream.id.clone(), entry);
        }
        let changed_ids = self.changed_ids(&next);
        if changed_ids.is_empty() && self.version > 0 {
            return false;
        }
        let version = self.next_version(unix_ms, author);
        self.advance_to(version, next, changed_ids);
        true
    }

    /// Sets the same list once more, with the drains that were learned from others meanwhile. Returns whether that
    /// is a new version, to be sent.
    pub fn refresh_platform_list(&mut self, now: u64, unix_ms: u64, author: u64) -> bool {
        let list = self.upstreams(now).collect();
        self.version > 0 && self.set_platform_list(list, now, unix_ms, author)
    }

    /// Somebody has this version, from this author in an earlier life or from another one. If it is above the list's,
    /// the list gets a version above it, since a receiver takes nothing lower. Returns whether it did.
    pub fn observe_version(&mut self, version: u64, unix_ms: u64, author: u64) -> bool {
        self.highest_seen_version = self.highest_seen_version.max(version);
        // Before the first list there is nothing to be sent: an empty one would end every upstream.
        if version <= self.version || self.version == 0 {
            return false;
        }
        self.version = self.next_version(unix_ms, author);
        self.history.clear();
        true
    }

    /// A version above any that this list has had or seen, and no other author's.
    fn next_version(&self, unix_ms: u64, author: u64) -> u64 {
        let above = (self.version.max(self.highest_seen_version) >> AUTHOR_BITS) + 1;
        (above.max(unix_ms) << AUTHOR_BITS) | (author & ((1 << AUTHOR_BITS) - 1))
    }

    // At whoever sends it.

    /// What a receiver with this version lacks: a difference if it can be built on that version, else the complete
    /// list; nothing if the receiver is up to date or there is no list yet.
    pub fn update_since(&self, version: u64, now: u64) -> Option<UpstreamUpdate> {
        if version >= self.version {
            return None;
        }
        let base = self
            .history
            .iter()
            .position(|step| step.base_version == version && version > 0);
        let Some(base) = base else {
            return self.snapshot(now);
        };
        let changed_ids: BTreeSet<&String> = self
            .history
            .range(base..)
            .flat_map(|step| &step.changed_ids)
            .collect();
        let (present, removed): (Vec<&String>, Vec<&String>) = changed_ids
            .into_iter()
            .partition(|id| self.entries.contains_key(*id));
        let changed = present
            .into_iter()
            .filter_map(|id| self.upstream_as_received(id, now))
            .collect();
        Some(UpstreamUpdate::Delta(UpstreamDelta {
            version: self.version,
            digest: self.digest,
            changed,
            removed: removed.into_iter().cloned().collect(),
        }))
    }

    /// The complete list; nothing before the first.
    pub fn snapshot(&self, now: u64) -> Option<UpstreamUpdate> {
        let upstreams = self
            .entries
            .keys()
            .filter_map(|id| self.upstream_as_received(id, now))
            .collect();
        let version = self.version;
        (version > 0).then_some(UpstreamUpdate::Snapshot(UpstreamSnapshot {
            version,
            upstreams,
        }))
    }

    /// The upstream without the drains that were learned elsewhere: the digest is of the list as it was received,
    /// and whoever polls the platform sends those drains with its next version.
    fn upstream_as_received(&self, id: &str, now: u64) -> Option<Upstream> {
        let entry = self.entries.get(id)?;
        Some(Upstream {
            warmup_remaining_ms: entry.warmup_remaining_ms(now),
            ..entry.upstream.clone()
        })
    }

    // At whoever receives it.

    /// Takes in an update from another process. Drains are learned from it even if it is stale or lacks its base.
    pub fn apply_update(&mut self, update: &UpstreamUpdate, now: u64) -> UpdateOutcome {
        let mut affected_ids = self.learn_drains(update.upstreams());
        if update.version() <= self.version {
            return UpdateOutcome::Stale(affected_ids);
        }
        let entry = |upstream: &Upstream| {
            let entry = Entry {
                upstream: upstream.clone(),
                received_at: now,
            };
            (upstream.id.clone(), entry)
        };
        let (next, changed_ids) = match update {
            UpstreamUpdate::Snapshot(snapshot) => {
                let next = snapshot.upstreams.iter().map(entry).collect();
                let changed_ids = self.changed_ids(&next);
                (next, changed_ids)
            }
            UpstreamUpdate::Delta(delta) => {
                let mut next = self.entries.clone();
                for id in &delta.removed {
                    next.remove(id);
                }
                next.extend(delta.changed.iter().map(entry));
                if digest(&next) != delta.digest {
                    return UpdateOutcome::MissingBase;
                }
                let changed = delta.changed.iter().map(|upstream| &upstream.id);
                (next, changed.chain(&delta.removed).cloned().collect())
            }
        };
        self.advance_to(update.version(), next, changed_ids.clone());
        affected_ids.extend(changed_ids);
        UpdateOutcome::Applied(affected_ids)
    }

    /// Remembers which of these drain. Returns the ids in the list that were not known to.
    fn learn_drains(&mut self, upstreams: &[Upstream]) -> BTreeSet<String> {
        let mut learned = BTreeSet::new();
        for upstream in upstreams.iter().filter(|upstream| upstream.draining) {
            let id = &upstream.id;
            if self.remember_drained(id.clone()) && self.entries.contains_key(id) {
                learned.insert(id.clone());
            }
        }
        learned
    }

    // Both.

    /// Ids that are new, changed or removed in `next`.
    fn changed_ids(&self, next: &BTreeMap<String, Entry>) -> BTreeSet<String> {
        let is_unchanged = |(id, entry): &(&String, &Entry)| {
            next.get(*id)
                .is_some_and(|n| n.upstream == entry.upstream && n.received_at == entry.received_at)
        };
        let changed = self.entries.iter().filter(|e| !is_unchanged(e));
        let new = next.keys().filter(|id| !self.entries.contains_key(*id));
        changed.map(|(id, _)| id).chain(new).cloned().collect()
    }

    fn advance_to(
        &mut self,
        version: u64,
        entries: BTreeMap<String, Entry>,
        changed_ids: BTreeSet<String>,
    ) {
        self.history.push_back(HistoryStep {
            base_version: self.version,
            changed_ids,
        });
        if self.history.len() > MAX_HISTORY_STEPS {
            self.history.pop_front();
        }
        self.digest = digest(&entries);
        (self.version, self.entries) = (version, entries);
        let draining: Vec<String> = self
            .entries
            .values()
            .filter(|e| e.upstream.draining)
            .map(|e| e.upstream.id.clone())
            .collect();
        for id in draining {
            self.remember_drained(id);
        }
    }

    /// Returns whether it was not remembered yet. The oldest are forgotten beyond [`MAX_DRAINED_IDS`].
    fn remember_drained(&mut self, id: String) -> bool {
        if !self.drained_ids.insert(id.clone()) {
            return false;
        }
        self.drained_order.push_back(id);
        while self.drained_order.len() > MAX_DRAINED_IDS {
            if let Some(oldest) = self.drained_order.pop_front() {
                self.drained_ids.remove(&oldest);
            }
        }
        true
    }
}

impl Entry {
    /// Milliseconds for which the upstream is in slow start from `now` on.
    fn warmup_remaining_ms(&self, now: u64) -> u64 {
        let elapsed = now.saturating_sub(self.received_at);
        self.upstream.warmup_remaining_ms.saturating_sub(elapsed)
    }
}

/// Checksum of all that decides where requests may go, in the order of the ids. Slow start is not in it: it is as of
/// a moment.
fn digest(entries: &BTreeMap<String, Entry>) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for Entry { upstream, .. } in entries.values() {
        for text in [&upstream.id, &upstream.service] {
            hasher.update(&(text.len() as u32).to_be_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(upstream.addr.to_string().as_bytes());
        hasher.update(&upstream.slots.to_be_bytes());
        hasher.update(&[u8::from(upstream.draining)]);
    }
    hasher.finalize()
}

#[cfg(test)]
mod tests;
