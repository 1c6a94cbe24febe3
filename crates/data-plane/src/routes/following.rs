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
            ready: told.config_index > 0 && self.engine.ready(),
            draining: self.leaving.get(),
            ..WatchRequest::default()
        }
    }

    fn take(&self, news: &WatchUpdate) -> bool {
        let (mut settings, mut lists, mut gap) = (false, false, false);
        let known = self.told.borrow().config_index;
        if let Some((index, told)) = news.config.as_ref().filter(|(index, _)| *index > known) {
            self.configure(*index, &told.to_config());
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
        if let Some((index, zones)) = news
            .evacuated_zones
            .as_ref()
            .filter(|(index, _)| *index > known)
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
        let keys = news.key_ranges.as_ref().filter(|(index, _)| *index > known);
        if let Some((index, services)) = keys {
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
        } else if let Some((_, services)) = keys {
            self.tell_holders(services.keys());
        }
        if any {
            self.changed();
        }
        gap
    }

    fn work(&self) -> KeyLoadReport {
        let services = self.services.borrow();
        let mut counts = KeyLoadReport::new();
        for ((service, run), took) in self.engine.work() {
            let spent = (took.as_millis() / u128::from(WORK_UNIT_MS)).min(u128::from(u16::MAX));
            let of = counts.entry(services[service].name.clone()).or_default();
            of.push((run, spent as u16));
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
