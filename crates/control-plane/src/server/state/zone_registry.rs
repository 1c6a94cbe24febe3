//! Each zone's upstreams, as this process lists them or has received them.

use std::collections::BTreeMap;

use protocol::upstream_list::{UpdateOutcome, Upstream, UpstreamList, UpstreamUpdate};
use protocol::wire::{WatchRequest, WatchUpdate};

/// A zone's list has changed.
pub(crate) struct ZoneChange {
    /// The update to be sent to others, if any.
    pub(crate) update: Option<UpstreamUpdate>,
}

/// The upstream lists by zone.
///
/// Invariant: a list's version only rises, and each change of a list raises it. A zone's list is written by the process
/// that manages the zone (`server::zones`) and copied by the others. All is lost with the process: the lists come back
/// from peers and from the platform, at versions above those that balancers have.
#[derive(Default)]
pub(crate) struct ZoneRegistry {
    lists: BTreeMap<String, UpstreamList>,
}

impl ZoneRegistry {
    /// The version of a zone's list; `None` where nothing was ever heard of the zone.
    pub(crate) fn version(&self, zone: &str) -> Option<u64> {
        self.lists.get(zone).map(UpstreamList::version)
    }

    /// Changes a zone's list. `None` where `change` returns that it changed nothing.
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

    /// Takes in what a peer says of a zone.
    pub(crate) fn apply_update(
        &mut self,
        zone: &str,
        update: &UpstreamUpdate,
        uptime_ms: u64,
    ) -> UpdateOutcome {
        let list = self.lists.entry(zone.into()).or_default();
        list.apply_update(update, uptime_ms)
    }

    /// A zone's whole list, if one is known.
    pub(crate) fn snapshot(&self, zone: &str, uptime_ms: u64) -> Option<UpstreamUpdate> {
        self.lists.get(zone)?.snapshot(uptime_ms)
    }

    /// The whole lists of all zones that are known.
    pub(crate) fn snapshots(
        &self,
        uptime_ms: u64,
    ) -> impl Iterator<Item = (String, UpstreamUpdate)> {
        self.lists
            .iter()
            .filter_map(move |(zone, list)| Some((zone.clone(), list.snapshot(uptime_ms)?)))
    }

    /// Adds to `update` what the balancer lacks of the zones; `has` counts it as had from then on.
    pub(crate) fn add_changes_since(
        &self,
        has: &mut WatchRequest,
        update: &mut WatchUpdate,
        uptime_ms: u64,
    ) {
        for (zone, list) in &self.lists {
            let version = has.zone_versions.get(zone).copied().unwrap_or(0);
            if let Some(changes) = list.update_since(version, uptime_ms) {
                has.zone_versions.insert(zone.clone(), list.version());
                update.zone_updates.insert(zone.clone(), changes);
            }
        }
    }

    /// A zone's upstreams; `None` until its list is known.
    pub(crate) fn upstreams(
        &self,
        zone: &str,
        uptime_ms: u64,
    ) -> Option<impl Iterator<Item = Upstream>> {
        let list = self.lists.get(zone).filter(|list| list.version() > 0)?;
        Some(list.upstreams(uptime_ms))
    }

    /// How many upstreams of a zone are known.
    pub(crate) fn upstream_count(&self, zone: &str, uptime_ms: u64) -> usize {
        let list = self.lists.get(zone);
        list.map_or(0, |list| list.upstreams(uptime_ms).count())
    }
}
