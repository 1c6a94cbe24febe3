//! The state received from the control plane and its versions. Each part of an update is applied only if it is newer
//! than the held one. Then the changes are sent to the engine, always in the order settings, upstreams, key owners.

use std::collections::{BTreeMap, BTreeSet};

use protocol::config::RequestLimits;
use protocol::key_load::{BucketLoad, KeyLoadReport, LOAD_UNIT_MS};
use protocol::key_ranges::KeyRangeView;
use protocol::upstream_list::{UpdateOutcome, UpstreamList};
use protocol::wire::{FleetView, Indexed, WatchRequest, WatchUpdate};

use super::Routes;
use crate::change_notifier::ChangeWatcher;
use crate::control_client::UpdateHandler;

/// The replicated state as last received. Log indexes are 0 for parts that were never received.
#[derive(Default)]
pub(super) struct ControlState {
    pub(super) config_index: u64,
    pub(super) limits: RequestLimits,
    evacuations_index: u64,
    pub(super) evacuated_zones: Vec<String>,
    keys_index: u64,
    /// The owners of key ranges, by service.
    pub(super) key_ranges: BTreeMap<String, KeyRangeView>,
    /// The upstreams by zone.
    pub(super) zones: BTreeMap<String, UpstreamList>,
    /// Zones for which an update relative to a missing version was received; their full list is requested.
    zones_missing_base: BTreeSet<String>,
    pub(super) fleet: Option<FleetView>,
}

impl ControlState {
    /// Returns whether a configuration has been applied.
    pub(super) fn has_config(&self) -> bool {
        self.config_index > 0
    }

    /// Returns the version of a zone's list to which the next update is to be relative; 0 requests the full list.
    fn requested_version(&self, zone: &str, list: &UpstreamList) -> u64 {
        if self.zones_missing_base.contains(zone) {
            0
        } else {
            list.version()
        }
    }
}

/// The changes of an update to the upstreams of zones.
struct ZoneChanges<'a> {
    /// The ids of the changed upstreams, by zone.
    changed: Vec<(&'a str, BTreeSet<String>)>,
    /// Whether a part of the update was relative to a missing version.
    is_missing_base: bool,
}

impl UpdateHandler for Routes {
    fn watch_request(&self) -> WatchRequest {
        let state = self.control_state.borrow();
        let zones = state.zones.iter();
        WatchRequest {
            config_index: state.config_index,
            evacuations_index: state.evacuations_index,
            key_ranges_index: state.keys_index,
            zone_versions: zones
                .map(|(zone, list)| (zone.clone(), state.requested_version(zone, list)))
                .collect(),
            ready: state.has_config() && self.engine.is_ready(),
            draining: self.draining.get(),
            ..WatchRequest::default()
        }
    }

    fn handle_update(&self, update: &WatchUpdate) -> bool {
        let is_config_new = self.update_config(update);
        let zones = self.update_zones(update);
        let are_evacuations_new = self.update_evacuations(update);
        let are_keys_new = self.update_key_ranges(update);

        if is_config_new {
            self.send_settings();
        }
        let any_zone_changed = !zones.changed.is_empty();
        if is_config_new || are_evacuations_new {
            self.send_all_upstreams();
        } else {
            for (zone, ids) in zones.changed {
                self.send_changed_upstreams(zone, ids);
            }
        }
        if is_config_new {
            let state = self.control_state.borrow();
            self.send_key_owners(state.key_ranges.keys());
        } else if are_keys_new && let Some(ranges) = &update.key_ranges {
            self.send_key_owners(ranges.value.keys());
        }
        if is_config_new || are_evacuations_new || any_zone_changed || are_keys_new {
            self.changes.notify();
        }
        zones.is_missing_base
    }

    fn take_key_load(&self) -> KeyLoadReport {
        let services = self.services.borrow();
        let mut report = KeyLoadReport::new();
        for (key, spent) in self.engine.take_key_load() {
            let units = spent.as_millis() / u128::from(LOAD_UNIT_MS);
            let units = units.min(u128::from(u16::MAX)) as u16;
            let load = BucketLoad {
                bucket: key.bucket,
                units,
            };
            report.push(&services.get(key.service).name, load);
        }
        report
    }

    fn handle_fleet_view(&self, fleet: FleetView) {
        if self.control_state.borrow_mut().fleet.replace(fleet) != Some(fleet) {
            self.send_settings();
        }
    }

    fn watch_changes(&self) -> ChangeWatcher {
        self.changes.watch()
    }

    fn wake_sessions(&self) {
        self.changes.notify();
    }
}

/// Methods that apply the parts of an update. Those that return a `bool` return whether the part was newer.
impl Routes {
    fn update_config(&self, update: &WatchUpdate) -> bool {
        let held = self.control_state.borrow().config_index;
        let newer = update.config.as_ref().filter(|config| config.index > held);
        if let Some(config) = newer {
            self.apply_config(config.index, &config.value.to_config());
        }
        newer.is_some()
    }

    fn update_zones<'a>(&self, update: &'a WatchUpdate) -> ZoneChanges<'a> {
        let mut changes = ZoneChanges {
            changed: Vec::new(),
            is_missing_base: false,
        };
        for (zone, zone_update) in &update.zone_updates {
            let mut state = self.control_state.borrow_mut();
            let list = state.zones.entry(zone.clone()).or_default();
            match list.apply_update(zone_update, self.membership.now_ms()) {
                UpdateOutcome::Stale(ids) if ids.is_empty() => {}
                UpdateOutcome::Stale(ids) | UpdateOutcome::Applied(ids) => {
                    self.record_starts(list, &ids);
                    state.zones_missing_base.remove(zone);
                    changes.changed.push((zone, ids));
                }
                UpdateOutcome::MissingBase => {
                    tracing::debug!(
                        zone,
                        "upstream list update is based on a missing version; requesting the full list"
                    );
                    state.zones_missing_base.insert(zone.clone());
                    changes.is_missing_base = true;
                }
            }
        }
        changes
    }

    fn update_evacuations(&self, update: &WatchUpdate) -> bool {
        let held = self.control_state.borrow().evacuations_index;
        let evacuations = update.evacuated_zones.as_ref();
        let Some(Indexed {
            index,
            value: zones,
        }) = evacuations.filter(|e| e.index > held)
        else {
            return false;
        };
        let before = {
            let mut state = self.control_state.borrow_mut();
            state.evacuations_index = *index;
            std::mem::replace(&mut state.evacuated_zones, zones.clone())
        };
        for returned in before.iter().filter(|z| !zones.contains(z)) {
            self.begin_slow_start(returned);
        }
        true
    }

    fn update_key_ranges(&self, update: &WatchUpdate) -> bool {
        let mut state = self.control_state.borrow_mut();
        let held = state.keys_index;
        let keys = update.key_ranges.as_ref();
        let Some(Indexed {
            index,
            value: services,
        }) = keys.filter(|k| k.index > held)
        else {
            return false;
        };
        state.keys_index = *index;
        for (service, rows) in services {
            let ranges = state.key_ranges.entry(service.clone()).or_default();
            ranges.apply(rows);
        }
        true
    }
}
