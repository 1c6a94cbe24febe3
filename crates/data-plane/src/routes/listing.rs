//! Tells the engine of the upstreams: all of them, those of a zone that changed, and who holds which keys.

use super::*;

impl Routes {
    /// Tells the engine all upstreams of all services.
    pub(super) fn tell_lists(&self) {
        let mut lists: Vec<Vec<engine::ListedUpstream>> = Vec::new();
        lists.resize_with(self.services.borrow().len(), Vec::new);
        let mut placed = self.placed.borrow_mut();
        placed.clear();
        let now = self.now();
        let told = self.told.borrow();
        for (zone, list) in &told.zones {
            for upstream in list.upstreams(now) {
                let Some(service) = self.service(&upstream.service) else {
                    continue;
                };
                placed.insert(upstream.id.clone(), service);
                lists[service].push(self.upstream(&told, zone, upstream));
            }
        }
        for (service, list) in lists.into_iter().enumerate() {
            self.engine.send_event(EngineEvent::MembershipChanged {
                service,
                kind: MembershipKind::Complete,
                upstreams: list,
            });
        }
    }

    /// Tells the engine of those of a zone's upstreams that are other than before.
    pub(super) fn tell_changes(&self, zone: &str, ids: BTreeSet<String>) {
        let mut lists: BTreeMap<usize, Vec<engine::ListedUpstream>> = BTreeMap::new();
        let told = self.told.borrow();
        let Some(list) = told.zones.get(zone) else {
            return;
        };
        let (mut placed, now) = (self.placed.borrow_mut(), self.now());
        for id in ids {
            let (service, entry) = match list.upstream(&id, now) {
                Some(upstream) => {
                    let Some(service) = self.service(&upstream.service) else {
                        continue;
                    };
                    placed.insert(id, service);
                    (service, self.upstream(&told, zone, upstream))
                }
                None => {
                    self.started.borrow_mut().remove(&id);
                    let Some(service) = placed.remove(&id) else {
                        continue;
                    };
                    (
                        service,
                        engine::ListedUpstream {
                            status: d::Status::Gone,
                            ..named(id)
                        },
                    )
                }
            };
            lists.entry(service).or_default().push(entry);
        }
        for (service, list) in lists {
            self.engine.send_event(EngineEvent::MembershipChanged {
                service,
                kind: MembershipKind::Update,
                upstreams: list,
            });
        }
    }

    /// Tells the engine who holds which keys of these services.
    pub(super) fn tell_holders<'a>(&self, services: impl Iterator<Item = &'a String>) {
        let told = self.told.borrow();
        for name in services {
            let (Some(service), Some(held)) = (self.service(name), told.keys.get(name)) else {
                continue;
            };
            let rows = held.rows().cloned().collect();
            self.engine.send_event(EngineEvent::KeyOwnersChanged {
                service,
                key_ranges: rows,
            });
        }
    }

    pub(super) fn service(&self, name: &str) -> Option<usize> {
        self.services.borrow().iter().position(|s| s.name == name)
    }

    pub(super) fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub(super) fn upstream(&self, told: &Told, zone: &str, u: Upstream) -> engine::ListedUpstream {
        let number = self
            .zones
            .iter()
            .position(|z| z == zone)
            .unwrap_or(self.zones.len());
        let closed = u.draining || told.evacuated.iter().any(|z| z == zone);
        engine::ListedUpstream {
            address: Some(u.addr),
            zone: number as u32,
            status: if closed {
                d::Status::Draining
            } else {
                d::Status::Live
            },
            slots: u.slots,
            started: self.started.borrow().get(&u.id).copied(),
            ..named(u.id)
        }
    }

    /// Notes which upstreams of a zone are cold, and since when.
    pub(super) fn note_cold(&self, list: &UpstreamList, ids: &BTreeSet<String>) {
        let (clock, now) = (SystemTime::now(), self.now());
        let services = self.services.borrow();
        let mut started = self.started.borrow_mut();
        let cold = ids.iter().filter_map(|id| list.upstream(id, now));
        for u in cold.filter(|u| u.warmup_remaining_ms > 0) {
            let service = services.iter().find(|s| s.name == u.service);
            let warmup = service.map_or(Duration::ZERO, |s| s.warmup);
            let passed = warmup.saturating_sub(Duration::from_millis(u.warmup_remaining_ms));
            let at = clock.checked_sub(passed).unwrap_or(clock);
            let known = started.entry(u.id.clone()).or_insert(at);
            if at
                .duration_since(*known)
                .is_ok_and(|later| later > SAME_START)
            {
                *known = at;
            }
        }
    }

    /// A zone is taken back: whatever is there may have turned cold.
    pub(super) fn returned(&self, zone: &str) {
        let told = self.told.borrow();
        let Some(list) = told.zones.get(zone) else {
            return;
        };
        let mut started = self.started.borrow_mut();
        for u in list.upstreams(self.now()) {
            started.insert(u.id, SystemTime::now());
        }
    }
}

/// An upstream of which nothing but its id is known.
fn named(id: String) -> engine::ListedUpstream {
    engine::ListedUpstream {
        id,
        address: None,
        zone: 0,
        kind: 0,
        cell: 0,
        status: d::Status::Live,
        weight: 1.0,
        slots: 0,
        started: None,
    }
}
