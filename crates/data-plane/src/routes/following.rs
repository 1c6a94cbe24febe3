//! What the sessions with the control plane bring, and what they are told.

use super::*;

impl UpdateHandler for Routes {
    fn ask(&self) -> WatchRequest {
        let told = self.told.borrow();
        let has = |(zone, list): (&String, &UpstreamList)| {
            let version = if told.wanted.contains(zone) {
                0
            } else {
                list.version()
            };
            (zone.clone(), version)
        };
        WatchRequest {
            config_index: told.config_index,
            evacuations_index: told.evacuated_index,
            key_ranges_index: told.keys_index,
            zone_versions: told.zones.iter().map(has).collect(),
            ready: told.config_index > 0 && self.engine.is_ready(),
            draining: self.leaving.get(),
            ..WatchRequest::default()
        }
    }

    fn take(&self, news: &WatchUpdate) -> bool {
        let (mut settings, mut lists, mut gap) = (false, false, false);
        let known = self.told.borrow().config_index;
        if let Some(told) = news.config.as_ref().filter(|told| told.index > known) {
            self.configure(told.index, &told.value.to_config());
            (settings, lists) = (true, true);
        }
        let mut changed = Vec::new();
        for (zone, told) in &news.zone_updates {
            let mut known = self.told.borrow_mut();
            let list = known.zones.entry(zone.clone()).or_default();
            match list.apply_update(told, self.now()) {
                UpdateOutcome::Stale(ids) if ids.is_empty() => {}
                UpdateOutcome::Stale(ids) | UpdateOutcome::Applied(ids) => {
                    self.note_cold(list, &ids);
                    known.wanted.remove(zone);
                    changed.push((zone, ids));
                }
                UpdateOutcome::MissingBase => {
                    tracing::debug!(zone, "a difference that builds on something else");
                    known.wanted.insert(zone.clone());
                    gap = true;
                }
            }
        }
        let known = self.told.borrow().evacuated_index;
        if let Some(Indexed {
            index,
            value: zones,
        }) = news
            .evacuated_zones
            .as_ref()
            .filter(|told| told.index > known)
        {
            let before = {
                let mut told = self.told.borrow_mut();
                told.evacuated_index = *index;
                std::mem::replace(&mut told.evacuated, zones.clone())
            };
            before
                .iter()
                .filter(|z| !zones.contains(z))
                .for_each(|z| self.returned(z));
            lists = true;
        }
        let known = self.told.borrow().keys_index;
        let keys = news.key_ranges.as_ref().filter(|told| told.index > known);
        if let Some(Indexed {
            index,
            value: services,
        }) = keys
        {
            let mut told = self.told.borrow_mut();
            told.keys_index = *index;
            for (service, rows) in services {
                told.keys.entry(service.clone()).or_default().apply(rows);
            }
        }
        let any = lists || !changed.is_empty() || keys.is_some();
        if settings {
            self.tell_settings();
        }
        if lists {
            self.tell_lists();
        } else {
            changed
                .into_iter()
                .for_each(|(zone, ids)| self.tell_changes(zone, ids));
        }
        if settings {
            let names: Vec<String> = self.told.borrow().keys.keys().cloned().collect();
            self.tell_holders(names.iter());
        } else if let Some(told) = keys {
            self.tell_holders(told.value.keys());
        }
        if any {
            self.changed();
        }
        gap
    }

    fn work(&self) -> KeyLoadReport {
        let services = self.services.borrow();
        let mut counts = KeyLoadReport::new();
        for (key, took) in self.engine.take_key_load() {
            let spent = (took.as_millis() / u128::from(LOAD_UNIT_MS)).min(u128::from(u16::MAX));
            let load = BucketLoad {
                bucket: key.bucket,
                units: spent as u16,
            };
            counts.push(&services[key.service].name, load);
        }
        counts
    }

    fn bank(&self, bank: FleetView) {
        if self.told.borrow_mut().bank.replace(bank) != Some(bank) {
            self.tell_settings();
        }
    }

    fn changes(&self) -> ChangeWatcher {
        self.version.watch()
    }

    fn wake(&self) {
        self.changed();
    }
}
