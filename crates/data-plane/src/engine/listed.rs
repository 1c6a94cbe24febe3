//! The upstreams of one service as the list names them, and their handles in the module.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::HeaderValue;
use load_balancing::interface::{self as d, MembershipKind, ServerId};
use load_balancing::settings::stable_hash;
use rustc_hash::FxHashMap;
use tokio::time::Instant;

use super::ListedUpstream;
use super::clock::Clock;
use crate::upstream_pool::{Target, UpstreamPool};

/// The upstreams that the list has named, by the module's handle. Failure: none was ever forgotten, and every
/// list walked all ids of the day.
pub(super) struct Upstreams {
    pub(super) ids: FxHashMap<String, ServerId>,
    pub(super) targets: FxHashMap<ServerId, Known>,
    grace: Duration,
}

pub(super) struct Known {
    target: Rc<Target>,
    gone: bool,
}

impl Upstreams {
    pub(super) fn new(grace: Duration) -> Self {
        Self {
            ids: FxHashMap::default(),
            targets: FxHashMap::default(),
            grace,
        }
    }

    pub(super) fn target(&self, server: ServerId) -> Option<Rc<Target>> {
        self.targets.get(&server).map(|k| k.target.clone())
    }

    pub(super) fn any_open(&self) -> bool {
        self.targets
            .values()
            .any(|k| k.target.closed_from.get().is_none())
    }

    /// Takes in a list and puts it into the module's words.
    pub(super) fn update(
        &mut self,
        list: &[ListedUpstream],
        kind: MembershipKind,
        pool: &UpstreamPool,
        next: &mut u32,
        clock: Clock,
    ) -> Vec<d::Endpoint> {
        let closed_from = Instant::now() + self.grace;
        let close = |t: &Target| t.closed_from.set(t.closed_from.get().or(Some(closed_from)));
        if kind != MembershipKind::Update {
            // What a whole list leaves out is gone.
            for known in self.targets.values_mut() {
                known.gone = true;
            }
        }
        let mut members = Vec::with_capacity(list.len());
        for entry in list {
            if entry.status == d::Status::Gone && !self.ids.contains_key(&entry.id) {
                continue;
            }
            // Without a valid address the last one stands: that it drains must not be lost with it.
            let known = self.ids.get(&entry.id).and_then(|id| self.targets.get(id));
            let known = known.map(|k| k.target.address.get());
            let Some(address) = entry.address.or(known) else {
                tracing::warn!(id = entry.id, "no valid address");
                continue;
            };
            let id = self.id(entry, address, next);
            let Some(known) = self.targets.get_mut(&id) else {
                continue;
            };
            if known.target.address.replace(address) != address {
                pool.close_idle(id);
            }
            known.gone = entry.status == d::Status::Gone;
            match entry.status {
                d::Status::Live => known.target.closed_from.set(None),
                d::Status::Draining | d::Status::Gone => close(&known.target),
            }
            members.push(d::Endpoint {
                id,
                identity: stable_hash(&entry.id),
                zone: entry.zone,
                kind: entry.kind,
                cell: entry.cell,
                status: entry.status,
                weight: entry.weight,
                slots: entry.slots,
                started: entry.started.map(|at| clock.of(at)),
            });
        }
        self.targets
            .values()
            .filter(|k| k.gone)
            .for_each(|k| close(&k.target));
        members
    }

    /// Drops what is gone and has no attempt left that looks at it.
    pub(super) fn forget(&mut self, pool: &UpstreamPool) {
        self.targets.retain(|id, known| {
            let keep = !known.gone || Rc::strong_count(&known.target) > 1;
            if !keep {
                pool.close_idle(*id);
            }
            keep
        });
        self.ids.retain(|_, id| self.targets.contains_key(id));
    }

    fn id(&mut self, entry: &ListedUpstream, address: SocketAddr, next: &mut u32) -> ServerId {
        if let Some(id) = self.ids.get(&entry.id) {
            return *id;
        }
        let id = ServerId(*next);
        *next += 1;
        self.ids.insert(entry.id.clone(), id);
        let (address, closed_from) = (Cell::new(address), Cell::new(None));
        let name = HeaderValue::from_str(&entry.id).ok();
        let target = Rc::new(Target {
            address,
            name,
            closed_from,
        });
        self.targets.insert(
            id,
            Known {
                target,
                gone: false,
            },
        );
        id
    }
}
