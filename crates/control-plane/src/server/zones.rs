//! The zones' upstreams: listed by the process that manages a zone, and copied by the others.
//!
//! A zone whose own control processes are all unreachable is managed by the next closest one. Two processes that
//! briefly manage the same zone both write the platform's list, so they agree. All lists may be lost with the process:
//! see [`super::state::ZoneRegistry`].

use std::collections::BTreeMap;
use std::net::SocketAddr;

use protocol::upstream_list::{UpdateOutcome, Upstream, UpstreamList, UpstreamUpdate};
use protocol::wire::{ControlNode, PeerMessage};

use super::ControlServer;

/// An upstream of any zone.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownUpstream {
    /// The upstream, as in its zone's list.
    pub upstream: Upstream,
    /// Whether its zone is evacuated.
    pub is_evacuated: bool,
}

impl ControlServer {
    /// Returns the zones that this process manages: those to which it is the closest reachable control process.
    /// Processes in the zone come first, then those in its region, then the others; among equals the lowest address
    /// wins.
    pub fn managed_zones(&self) -> Vec<String> {
        let nodes = self.control_nodes();
        let zone_map = &self.settings.zone_map;
        let is_managed = |zone: &&String| {
            let region = zone_map.get(*zone);
            let distance = |c: &ControlNode| (c.zone != **zone, Some(&c.region) != region);
            nodes
                .iter()
                .min_by_key(|c| (distance(c), c.internal_addr))
                .is_some_and(|c| *c == self.control_node)
        };
        zone_map.keys().filter(is_managed).cloned().collect()
    }

    fn is_zone_managed(&self, zone: &str) -> bool {
        self.managed_zones().iter().any(|managed| managed == zone)
    }

    /// Sets a zone's upstreams, as listed by the platform.
    pub fn set_platform_list(&self, zone: &str, upstreams: Vec<Upstream>) {
        let (uptime_ms, unix_ms) = (self.clock.uptime_ms(), self.clock.unix_ms());
        self.change_zone(zone, |list| {
            list.set_platform_list(upstreams, uptime_ms, unix_ms, self.id)
        });
    }

    /// Changes a zone's list, and sends the change to peers and watchers if there is one.
    fn change_zone(&self, zone: &str, change: impl FnOnce(&mut UpstreamList) -> bool) {
        let uptime_ms = self.uptime_ms();
        let changed = self
            .state
            .borrow_mut()
            .zones
            .change(zone, uptime_ms, change);
        let Some(changed) = changed else {
            return;
        };
        if let Some(update) = changed.update {
            let zone = zone.into();
            let message = PeerMessage::ZoneUpdate { zone, update };
            self.state.borrow().peers.broadcast(&message);
        }
        self.notify_changed();
    }

    /// Handles a peer's update of a zone's upstreams.
    pub(super) fn handle_zone_update(&self, from: SocketAddr, zone: &str, update: &UpstreamUpdate) {
        let (uptime_ms, unix_ms) = (self.clock.uptime_ms(), self.clock.unix_ms());
        let outcome = self
            .state
            .borrow_mut()
            .zones
            .apply_update(zone, update, uptime_ms);
        match outcome {
            UpdateOutcome::Applied(_) => self.notify_changed(),
            UpdateOutcome::MissingBase => {
                let zone = zone.into();
                let request = PeerMessage::ZoneSnapshotRequest { zone };
                self.state.borrow().peers.send(from, request);
            }
            // The update is stale, but it lists these upstreams as draining, which was not known here: its sender,
            // maybe an earlier run of this process, knew more. The process that manages the zone sends its list again,
            // in which they are now draining.
            UpdateOutcome::Stale(ids) if !ids.is_empty() && self.is_zone_managed(zone) => {
                self.change_zone(zone, |list| {
                    list.refresh_platform_list(uptime_ms, unix_ms, self.id)
                });
            }
            UpdateOutcome::Stale(_) => {}
        }
    }

    /// Handles a peer's request for a zone's full list.
    pub(super) fn handle_zone_snapshot_request(&self, from: SocketAddr, zone: String) {
        let state = self.state.borrow();
        if let Some(update) = state.zones.snapshot(&zone, self.uptime_ms()) {
            let message = PeerMessage::ZoneUpdate { zone, update };
            state.peers.send(from, message);
        }
    }

    /// Records the zone versions that a balancer has. For the zones that it manages, this process uses higher versions
    /// from now on: it may have sent the balancer's versions itself, before its clock was set back or its memory was
    /// lost.
    pub fn observe_zone_versions(&self, zones: &BTreeMap<String, u64>) {
        let unix_ms = self.clock.unix_ms();
        for (zone, version) in zones {
            let known = self.state.borrow().zones.version(zone);
            let is_behind = known.is_none_or(|known| known < *version);
            if is_behind && self.is_zone_managed(zone) {
                self.change_zone(zone, |list| {
                    list.observe_version(*version, unix_ms, self.id)
                });
            }
        }
    }

    /// Returns the upstreams of all zones, or `None` while the list of any zone is unknown.
    pub fn all_upstreams(&self) -> Option<Vec<KnownUpstream>> {
        let (state, uptime_ms) = (self.state.borrow(), self.uptime_ms());
        let mut all = Vec::new();
        for zone in self.settings.zone_map.keys() {
            let is_evacuated = state.log.state().evacuation_count(zone) > 0;
            let upstreams = state.zones.upstreams(zone, uptime_ms)?;
            all.extend(upstreams.map(|upstream| KnownUpstream {
                upstream,
                is_evacuated,
            }));
        }
        Some(all)
    }

    /// Returns the number of known upstreams of each zone.
    pub fn upstream_counts_by_zone(&self) -> Vec<(String, usize)> {
        let (state, uptime_ms) = (self.state.borrow(), self.uptime_ms());
        let zones = self.settings.zone_map.keys();
        zones
            .map(|zone| (zone.clone(), state.zones.upstream_count(zone, uptime_ms)))
            .collect()
    }
}
