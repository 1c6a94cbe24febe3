//! Upstreams and key ranges as they are sent to the engine: all upstreams, or those of a zone that changed.
//!
//! Owns which upstreams the engine knows, by service, and when those in slow start have started. An upstream of a
//! service that is not configured is not sent; it is with the next configuration, when all are sent.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use load_balancing::interface::{MembershipKind, Status};
use protocol::upstream_list::{Upstream, UpstreamList};
use rustc_hash::FxHashMap;
use tokio::time::Instant;

use super::Routes;
use super::watch_updates::ControlState;
use crate::engine::{EngineEvent, ListedUpstream};

/// An upstream's start is known by what is left of its slow start, as of the update. Moved by less than this it is the
/// same start.
const START_TOLERANCE: Duration = Duration::from_millis(1000);

/// What was sent to the engine of each upstream.
pub(super) struct Membership {
    service_by_upstream: RefCell<FxHashMap<String, usize>>,
    /// When an upstream in slow start has started, as first received.
    started_at: RefCell<FxHashMap<String, SystemTime>>,
    /// Upstream lists count their times from here.
    epoch: Instant,
}

impl Default for Membership {
    fn default() -> Self {
        Self {
            service_by_upstream: RefCell::default(),
            started_at: RefCell::default(),
            epoch: Instant::now(),
        }
    }
}

impl Membership {
    /// Upstreams that the engine knows.
    pub(super) fn len(&self) -> usize {
        self.service_by_upstream.borrow().len()
    }

    /// The time that upstream lists go by, in milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }

    /// Notes a start at this time, unless it is the one that is known.
    fn record_start(&self, upstream: String, at: SystemTime) {
        let mut started = self.started_at.borrow_mut();
        let known = started.entry(upstream).or_insert(at);
        let later = at.duration_since(*known);
        if later.is_ok_and(|later| later > START_TOLERANCE) {
            *known = at;
        }
    }
}

impl Routes {
    /// Sends the engine all upstreams of all services.
    pub(super) fn send_all_upstreams(&self) {
        let mut lists: Vec<Vec<ListedUpstream>> = Vec::new();
        lists.resize_with(self.services.borrow().len(), Vec::new);
        let mut service_by_upstream = self.membership.service_by_upstream.borrow_mut();
        service_by_upstream.clear();
        let now_ms = self.membership.now_ms();
        let control_state = self.control_state.borrow();
        for (zone, list) in &control_state.zones {
            for upstream in list.upstreams(now_ms) {
                let Some(service) = self.service_index(&upstream.service) else {
                    continue;
                };
                service_by_upstream.insert(upstream.id.clone(), service);
                lists[service].push(self.listed_upstream(&control_state, zone, upstream));
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

    /// Sends the engine those of a zone's upstreams that have changed.
    pub(super) fn send_changed_upstreams(&self, zone: &str, ids: BTreeSet<String>) {
        let mut lists: BTreeMap<usize, Vec<ListedUpstream>> = BTreeMap::new();
        let control_state = self.control_state.borrow();
        let Some(list) = control_state.zones.get(zone) else {
            return;
        };
        let mut service_by_upstream = self.membership.service_by_upstream.borrow_mut();
        let now_ms = self.membership.now_ms();
        for id in ids {
            let (service, entry) = if let Some(upstream) = list.upstream(&id, now_ms) {
                let Some(service) = self.service_index(&upstream.service) else {
                    continue;
                };
                service_by_upstream.insert(id, service);
                (
                    service,
                    self.listed_upstream(&control_state, zone, upstream),
                )
            } else {
                self.membership.started_at.borrow_mut().remove(&id);
                let Some(service) = service_by_upstream.remove(&id) else {
                    continue;
                };
                (service, gone_upstream(id))
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

    /// Sends the engine the owners of the key ranges of these services.
    pub(super) fn send_key_owners<'a>(&self, services: impl Iterator<Item = &'a String>) {
        let control_state = self.control_state.borrow();
        for name in services {
            let ranges = control_state.key_ranges.get(name);
            let (Some(service), Some(ranges)) = (self.service_index(name), ranges) else {
                continue;
            };
            let key_ranges = ranges.rows().cloned().collect();
            let event = EngineEvent::KeyOwnersChanged {
                service,
                key_ranges,
            };
            self.engine.send_event(event);
        }
    }

    fn service_index(&self, name: &str) -> Option<usize> {
        self.services.borrow().index_of(name)
    }

    /// An upstream as it is sent to the engine. One in an evacuated zone drains.
    fn listed_upstream(
        &self,
        control_state: &ControlState,
        zone: &str,
        upstream: Upstream,
    ) -> ListedUpstream {
        let is_evacuated = control_state.evacuated_zones.iter().any(|z| z == zone);
        let started = self.membership.started_at.borrow();
        ListedUpstream {
            address: Some(upstream.addr),
            zone: self.topology.zone_number(zone),
            status: if upstream.draining || is_evacuated {
                Status::Draining
            } else {
                Status::Live
            },
            slots: upstream.slots,
            started: started.get(&upstream.id).copied(),
            ..unknown_upstream(upstream.id)
        }
    }

    /// Notes which of these upstreams are in slow start, and since when.
    pub(super) fn record_starts(&self, list: &UpstreamList, ids: &BTreeSet<String>) {
        let (clock, now_ms) = (SystemTime::now(), self.membership.now_ms());
        let services = self.services.borrow();
        let upstreams = ids.iter().filter_map(|id| list.upstream(id, now_ms));
        for upstream in upstreams.filter(|u| u.warmup_remaining_ms > 0) {
            let service = services.by_name(&upstream.service);
            let slow_start = service.map_or(Duration::ZERO, |s| s.slow_start);
            let passed =
                slow_start.saturating_sub(Duration::from_millis(upstream.warmup_remaining_ms));
            let at = clock.checked_sub(passed).unwrap_or(clock);
            self.membership.record_start(upstream.id, at);
        }
    }

    /// An evacuated zone is returned: its upstreams had no requests for a while and may be cold, so all of them start
    /// slowly.
    pub(super) fn restart_zone(&self, zone: &str) {
        let control_state = self.control_state.borrow();
        let Some(list) = control_state.zones.get(zone) else {
            return;
        };
        let mut started = self.membership.started_at.borrow_mut();
        for upstream in list.upstreams(self.membership.now_ms()) {
            started.insert(upstream.id, SystemTime::now());
        }
    }
}

/// An upstream of which nothing but its id is known.
fn unknown_upstream(id: String) -> ListedUpstream {
    ListedUpstream {
        id,
        address: None,
        zone: 0,
        kind: 0,
        cell: 0,
        status: Status::Live,
        weight: 1.0,
        slots: 0,
        started: None,
    }
}

/// An upstream that is no longer listed.
fn gone_upstream(id: String) -> ListedUpstream {
    ListedUpstream {
        status: Status::Gone,
        ..unknown_upstream(id)
    }
}
