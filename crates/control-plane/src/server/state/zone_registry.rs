//! Each zone's upstreams, as listed by this process or received from peers.

use std::collections::BTreeMap;

use protocol::upstream_list::{UpdateOutcome, Upstream, UpstreamList, UpstreamUpdate};
use protocol::wire::{WatchRequest, WatchUpdate};

/// A change of a zone's list.
pub(crate) struct ZoneChange {
    /// The update to send to peers, if any.
    pub(crate) update: Option<UpstreamUpdate>,
}

/// The upstream lists by zone.
///
/// Invariant: a list's version never decreases, and each change of a list increases it. A zone's list is written by the
/// process that manages the zone (`server::zones`) and copied by the others. All lists are lost with the process; they
/// are obtained again from peers and from the platform, with versions above those that balancers have.
#[derive(Default)]
pub(crate) struct ZoneRegistry {
    lists: BTreeMap<String, UpstreamList>,
}

impl ZoneRegistry {
    /// Returns the version of a zone's list, or `None` if nothing was ever received about the zone.
    pub(crate) fn version(&self, zone: &str) -> Option<u64> {
        self.lists.get(zone).map(UpstreamList::version)
    }

    /// Changes a zone's list. Returns `None` if `change` reports that it changed nothing.
    pub(crate) fn change(
        &mut self,
        zone: &str,
        uptime_ms: u64,
        change: impl FnOnce(&mut UpstreamList) -> bool,
    ) -> Option<ZoneChange> {
        let list = self.lists.entry(zone.into()).or_default();
        let before = list.version();
        change(list).then(|| ZoneChange {
            update: list.update_since(before, uptime_ms),
        })
    }

    /// Applies a peer's update of a zone.
    pub(crate) fn apply_update(
        &mut self,
        zone: &str,
        update: &UpstreamUpdate,
        uptime_ms: u64,
    ) -> UpdateOutcome {
        let list = self.lists.entry(zone.into()).or_default();
        list.apply_update(update, uptime_ms)
    }

    /// Returns a zone's full list, if one is known.
    pub(crate) fn snapshot(&self, zone: &str, uptime_ms: u64) -> Option<UpstreamUpdate> {
        self.lists.get(zone)?.snapshot(uptime_ms)
    }

    /// Returns the full lists of all known zones.
    pub(crate) fn snapshots(
        &self,
        uptime_ms: u64,
    ) -> impl Iterator<Item = (String, UpstreamUpdate)> {
        self.lists
            .iter()
            .filter_map(move |(zone, list)| Some((zone.clone(), list.snapshot(uptime_ms)?)))
    }

    /// Adds the changes of zones that the balancer lacks to `update`, and updates `known` as if the balancer had
    /// received them.
    pub(crate) fn add_changes_since(
        &self,
        known: &mut WatchRequest,
        update: &mut WatchUpdate,
        uptime_ms: u64,
    ) {
        for (zone, list) in &self.lists {
            let version = known.zone_versions.get(zone).copied().unwrap_or(0);
            if let Some(changes) = list.update_since(version, uptime_ms) {
                known.zone_versions.insert(zone.clone(), list.version());
                update.zone_updates.insert(zone.clone(), changes);
            }
        }
    }

    /// Returns a zone's upstreams, or `None` until its list is known.
    pub(crate) fn upstreams(
        &self,
        zone: &str,
        uptime_ms: u64,
    ) -> Option<impl Iterator<Item = Upstream>> {
        let list = self.lists.get(zone).filter(|list| list.version() > 0)?;
        Some(list.upstreams(uptime_ms))
    }

    /// Returns the number of known upstreams of a zone.
    pub(crate) fn upstream_count(&self, zone: &str, uptime_ms: u64) -> usize {
        let list = self.lists.get(zone);
        list.map_or(0, |list| list.upstreams(uptime_ms).count())
    }
}
