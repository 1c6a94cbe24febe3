//! Versioned list of a zone's upstreams, replicated between processes: as a delta to a receiver that has a known base
//! version, as a snapshot to all others.
//!
//! **State.** [`UpstreamList`] is the list of one zone. It exists at the control process that polls the platform (the
//! writer, which assigns versions), at the control processes that relay the list, and at the balancers that use it.
//! It is kept in memory only.
//!
//! **Guarantees.**
//! - At each version, a receiver has exactly the list that the writer had: a delta is applied only if the result has
//!   the digest in the delta.
//! - Versions never decrease.
//! - An upstream that was once seen as draining stays draining, regardless of the path and the version by which the
//!   drain was learned. Ids are never reused, so a sender with older information cannot revert a drain.
//!
//! **Failures.** A receiver that gets no updates keeps its list. A sender that lost its state starts with lower
//! versions; it learns the higher versions of its receivers ([`UpstreamList::observe_version`]) and continues above
//! them.
//!
//! The module does no I/O and reads no clock: `now` is in milliseconds of any clock that is monotonic within the
//! process, `unix_ms` in milliseconds since the Unix epoch.

mod update;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub use update::{UpdateOutcome, Upstream, UpstreamDelta, UpstreamSnapshot, UpstreamUpdate};

/// Number of past versions that a delta can be based on. A zone's list changes at most a few times per second.
const MAX_HISTORY_STEPS: usize = 64;
/// Maximum number of ids in [`UpstreamList::drained_ids`]. This is many times the number of upstreams that a zone
/// replaces during the time for which an old message that lists one of them as ready can still arrive.
const MAX_DRAINED_IDS: usize = 4096;
/// Difference up to which two reports of the remaining slow start count as equal: they are taken at different times.
const WARMUP_TOLERANCE_MS: u64 = 500;
/// Number of low bits of a version that hold the writer's id. The bits above hold the time in milliseconds since the
/// Unix epoch, or their value in the highest known version plus 1 if that is higher.
const WRITER_ID_BITS: u32 = 10;

/// An upstream in the list, with the time at which it was received.
#[derive(Clone, Debug)]
struct Entry {
    upstream: Upstream,
    /// Time of receipt, from which `warmup_remaining_ms` counts down.
    received_at: u64,
}

/// The change from one version of the list to the next.
#[derive(Clone, Debug)]
struct HistoryStep {
    /// Version before the change.
    base_version: u64,
    /// Ids that are new, changed or removed since that version.
    changed_ids: BTreeSet<String>,
}

/// The upstreams of one zone, with the history that is needed to send deltas.
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    /// Current version; 0 before the first list.
    version: u64,
    /// Highest version observed at any process; the next assigned version has to be higher.
    highest_seen_version: u64,
    /// Checksum of `entries`.
    digest: u32,
    entries: BTreeMap<String, Entry>,
    /// Most recent changes up to `version`, oldest first.
    history: VecDeque<HistoryStep>,
    /// Ids of upstreams that were seen as draining, including those that are no longer in the list.
    drained_ids: BTreeSet<String>,
    /// The ids in `drained_ids`, in the order in which they were recorded.
    drained_order: VecDeque<String>,
}

impl UpstreamList {
    /// Returns the version of the list; 0 before the first list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the upstreams as of `now`, ordered by id. Those that were ever seen as draining are marked as draining.
    pub fn upstreams(&self, now: u64) -> impl Iterator<Item = Upstream> {
        self.entries.values().map(move |e| self.upstream_at(e, now))
    }

    /// Returns the upstream with this id as of `now`.
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

    // Used by the writer: the control process that polls the platform for the zone.

    /// Replaces the list by the platform's. Returns whether this created a new version, which has to be sent.
    /// `writer_id` identifies the control process, so that no two of them assign the same version.
    pub fn set_platform_list(
        &mut self,
        list: Vec<Upstream>,
        now: u64,
        unix_ms: u64,
        writer_id: u64,
    ) -> bool {
        let mut next = BTreeMap::new();
        for mut upstream in list {
            upstream.draining |= self.drained_ids.contains(&upstream.id);
            // The remaining slow start is sent once. Its decrease over time is not a change.
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
        let version = self.next_version(unix_ms, writer_id);
        self.advance_to(version, next, changed_ids);
        true
    }

    /// Sets the current list again, with the upstreams marked as draining that other processes have since reported as
    /// draining. Returns whether this created a new version, which has to be sent.
    pub fn refresh_platform_list(&mut self, now: u64, unix_ms: u64, writer_id: u64) -> bool {
        let list = self.upstreams(now).collect();
        self.version > 0 && self.set_platform_list(list, now, unix_ms, writer_id)
    }

    /// Records that a process has this version, assigned by another writer or by this one before a restart. If it is
    /// higher than the list's version, the list gets a version above it, because receivers ignore lower ones. Returns
    /// whether the list's version changed.
    pub fn observe_version(&mut self, version: u64, unix_ms: u64, writer_id: u64) -> bool {
        self.highest_seen_version = self.highest_seen_version.max(version);
        // Before the first list nothing may be sent: an empty list would remove every upstream.
        if version <= self.version || self.version == 0 {
            return false;
        }
        self.version = self.next_version(unix_ms, writer_id);
        self.history.clear();
        true
    }

    /// Returns a version that is higher than all versions of this list or observed so far, and unique to the writer.
    fn next_version(&self, unix_ms: u64, writer_id: u64) -> u64 {
        let above = (self.version.max(self.highest_seen_version) >> WRITER_ID_BITS) + 1;
        (above.max(unix_ms) << WRITER_ID_BITS) | (writer_id & ((1 << WRITER_ID_BITS) - 1))
    }

    // Used by senders.

    /// Returns the update for a receiver that has `version`: a delta if that version is in the history, otherwise a
    /// snapshot. Returns `None` if the receiver is up to date or there is no list yet.
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

    /// Returns the complete list; `None` before the first list.
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

    /// Returns an upstream without the drains that were learned from other updates. The digest covers the list as it
    /// was received; the writer sends those drains with its next version.
    fn upstream_as_received(&self, id: &str, now: u64) -> Option<Upstream> {
        let entry = self.entries.get(id)?;
        Some(Upstream {
            warmup_remaining_ms: entry.warmup_remaining_ms(now),
            ..entry.upstream.clone()
        })
    }

    // Used by receivers.

    /// Applies an update from another process. Its drains are recorded even if it is stale or its base is missing.
    pub fn apply_update(&mut self, update: &UpstreamUpdate, now: u64) -> UpdateOutcome {
        let mut affected_ids = self.record_drains(update.upstreams());
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

    /// Records which of these upstreams are draining. Returns the ids in the list that were not known to be draining.
    fn record_drains(&mut self, upstreams: &[Upstream]) -> BTreeSet<String> {
        let mut newly_drained = BTreeSet::new();
        for upstream in upstreams.iter().filter(|upstream| upstream.draining) {
            let id = &upstream.id;
            if self.remember_drained(id.clone()) && self.entries.contains_key(id) {
                newly_drained.insert(id.clone());
            }
        }
        newly_drained
    }

    // Used by senders and receivers.

    /// Returns the ids that are new, changed or removed in `next`.
    fn changed_ids(&self, next: &BTreeMap<String, Entry>) -> BTreeSet<String> {
        let is_unchanged = |(id, entry): &(&String, &Entry)| {
            next.get(*id)
                .is_some_and(|n| n.upstream == entry.upstream && n.received_at == entry.received_at)
        };
        let changed = self.entries.iter().filter(|e| !is_unchanged(e));
        let new = next.keys().filter(|id| !self.entries.contains_key(*id));
        changed.map(|(id, _)| id).chain(new).cloned().collect()
    }

    /// Sets the new version and entries, and appends the change to the history.
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

    /// Records a drained id and returns whether it is new. Evicts the oldest ids beyond [`MAX_DRAINED_IDS`].
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
    /// Returns the remaining slow start in milliseconds as of `now`.
    fn warmup_remaining_ms(&self, now: u64) -> u64 {
        let elapsed = now.saturating_sub(self.received_at);
        self.upstream.warmup_remaining_ms.saturating_sub(elapsed)
    }
}

/// Returns the checksum of all fields that determine where requests may be sent, in order of the ids. Slow start is
/// excluded because its remaining time changes constantly.
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
