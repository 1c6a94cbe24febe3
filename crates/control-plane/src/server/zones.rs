//! The zones' upstreams: listed by the cell that keeps a zone, passed on by the others.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use protocol::upstream_list::{UpdateOutcome, Upstream, UpstreamList};
use protocol::wire::{ControlNode, PeerMessage};

use super::ControlServer;

impl ControlServer {
    /// The zones that this balancer's cell keeps: its own, and those whose own control balancers are not
    /// there and to which it is next.
    pub fn managed_zones(&self) -> Vec<String> {
        let controls = self.control_nodes();
        let map = &self.settings.zone_map;
        let keeps = |zone: &&String| {
            let region = map.get(*zone);
            let far = |c: &ControlNode| (c.zone != **zone, Some(&c.region) != region);
            controls
                .iter()
                .min_by_key(|c| (far(c), c.internal_addr))
                .is_some_and(|c| *c == self.control_node)
        };
        map.keys().filter(keeps).cloned().collect()
    }

    /// Milliseconds of this process's life, and of Unix time.
    pub(super) fn clock(&self) -> (u64, u64) {
        (self.start.elapsed().as_millis() as u64, (self.wall_clock)())
    }

    /// A zone's list has come from the platform.
    pub fn set_platform_list(&self, zone: &str, upstreams: Vec<Upstream>) {
        let (now, unix) = self.clock();
        self.tell_on(zone, |list| {
            list.set_platform_list(upstreams, now, unix, self.id)
        });
    }

    /// Does something to a zone's list, and tells everyone if that is news.
    pub(super) fn tell_on(&self, zone: &str, act: impl FnOnce(&mut UpstreamList) -> bool) {
        let told = {
            let mut inner = self.inner.borrow_mut();
            let list = inner.zones.entry(zone.into()).or_default();
            let before = list.version();
            if !act(list) {
                return;
            }
            list.update_since(before, self.clock().0)
        };
        if let Some(told) = told {
            self.tell_all(&PeerMessage::ZoneUpdate {
                zone: zone.into(),
                update: told,
            });
        }
        self.notify_changed();
    }

    /// Another control balancer tells a zone.
    pub(super) fn zone(
        &self,
        from: SocketAddr,
        zone: &str,
        told: &protocol::upstream_list::UpstreamUpdate,
    ) {
        let (now, unix) = self.clock();
        let taken = {
            let mut inner = self.inner.borrow_mut();
            let taken = inner
                .zones
                .entry(zone.into())
                .or_default()
                .apply_update(told, now);
            if taken == UpdateOutcome::MissingBase
                && let Some(peer) = inner.peers.get(&from)
            {
                let _ = peer
                    .to
                    .try_send(PeerMessage::ZoneSnapshotRequest { zone: zone.into() });
            }
            taken
        };
        match taken {
            UpdateOutcome::Applied(_) => self.notify_changed(),
            // Told by who knew more, maybe this one in an earlier life: who keeps the zone tells it on.
            UpdateOutcome::Stale(ids) if !ids.is_empty() && self.keeps(zone) => {
                self.tell_on(zone, |list| list.refresh_platform_list(now, unix, self.id));
            }
            UpdateOutcome::Stale(_) | UpdateOutcome::MissingBase => {}
        }
    }

    pub(super) fn keeps(&self, zone: &str) -> bool {
        self.managed_zones().iter().any(|z| z == zone)
    }

    /// A balancer has these versions of the zones. What this cell keeps and tells in future is above them: it
    /// may have told them itself, before its clock went back or its memory was lost.
    pub fn observe_zone_versions(&self, zones: &BTreeMap<String, u64>) {
        let unix = self.clock().1;
        for (zone, version) in zones {
            let behind = self
                .inner
                .borrow()
                .zones
                .get(zone)
                .is_none_or(|z| z.version() < *version);
            if behind && self.keeps(zone) {
                self.tell_on(zone, |list| list.observe_version(*version, unix, self.id));
            }
        }
    }

    /// All upstreams that are known, with the zones that are evacuated; `None` while some zone's are not.
    pub fn all_upstreams(&self) -> Option<Vec<(Upstream, bool)>> {
        let (inner, now) = (self.inner.borrow(), self.clock().0);
        let mut all = Vec::new();
        for zone in self.settings.zone_map.keys() {
            let list = inner.zones.get(zone).filter(|z| z.version() > 0)?;
            let evacuated = inner.agreed.evacuations(zone) > 0;
            all.extend(list.upstreams(now).map(|u| (u, evacuated)));
        }
        Some(all)
    }

    /// How many upstreams are known of each zone.
    pub fn upstream_counts_by_zone(&self) -> Vec<(String, usize)> {
        let (inner, now) = (self.inner.borrow(), self.clock().0);
        let zones = self.settings.zone_map.keys();
        let known = |zone: &String| {
            inner
                .zones
                .get(zone)
                .map_or(0, |z| z.upstreams(now).count())
        };
        zones.map(|zone| (zone.clone(), known(zone))).collect()
    }
}
