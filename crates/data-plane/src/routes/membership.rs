//! Sends upstreams and key ranges to the engine: either all upstreams, or the changed ones of a zone.
//!
//! Owns the set of upstreams that the engine knows, with their services, and the start times of upstreams in slow
//! start. An upstream of a service that is not configured is not sent; the next configuration causes all upstreams to
//! be sent.

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

/// An upstream's start time is computed from the remaining slow start in each update and therefore varies. It counts as
/// a new start only if it is later than the known one by more than this.
const START_TOLERANCE: Duration = Duration::from_millis(1000);

/// The upstreams that the engine knows.
pub(super) struct Membership {
    service_by_upstream: RefCell<FxHashMap<String, usize>>,
    /// The start times of upstreams in slow start, as first received.
    started_at: RefCell<FxHashMap<String, SystemTime>>,
    /// The origin of the times in upstream lists.
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
    /// Returns the number of upstreams that the engine knows.
    pub(super) fn len(&self) -> usize {
        self.service_by_upstream.borrow().len()
    }

    /// Returns the current time for upstream lists, in milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }

    /// Records the start time of an upstream, unless it is the known one within [`START_TOLERANCE`].
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
    /// Sends all upstreams of all services to the engine.
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

    /// Sends the changed upstreams of a zone to the engine.
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

    /// Sends the owners of the key ranges of these services to the engine.
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

    /// Returns an upstream in the form that the engine expects. Upstreams in an evacuated zone are draining.
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

    /// Records the start times of those of these upstreams that are in slow start.
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

    /// Begins slow start for all upstreams of a zone whose evacuation has ended, since they had no requests for a while
    /// and may be cold.
    pub(super) fn begin_slow_start(&self, zone: &str) {
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

/// Returns an upstream of which only the id is known.
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

/// Returns the entry for an upstream that is no longer listed.
fn gone_upstream(id: String) -> ListedUpstream {
    ListedUpstream {
        status: Status::Gone,
        ..unknown_upstream(id)
    }
}
