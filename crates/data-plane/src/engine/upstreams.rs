//! The upstreams of one service and the server ids by which the balancer identifies them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::HeaderValue;
use load_balancing::interface::{Endpoint, MembershipKind, ServerId, Status};
use load_balancing::settings::stable_hash;
use rustc_hash::FxHashMap;
use tokio::time::Instant;

use super::ListedUpstream;
use super::clock::Clock;
use crate::upstream_pool::{Target, UpstreamPool};

/// The known upstreams of a service. One that is gone is removed once no attempt uses it; when they were never removed,
/// each update iterated over all ids ever listed.
pub(super) struct UpstreamRegistry {
    server_ids: FxHashMap<String, ServerId>,
    upstreams: FxHashMap<ServerId, RegisteredUpstream>,
    /// How long requests may still be sent to an upstream after its drain is known.
    drain_grace: Duration,
}

struct RegisteredUpstream {
    target: Rc<Target>,
    is_gone: bool,
}

impl RegisteredUpstream {
    /// Sets the time after which nothing may be sent to the upstream, unless it is set already.
    fn close_at(&self, instant: Instant) {
        let closed_at = &self.target.closed_at;
        closed_at.set(closed_at.get().or(Some(instant)));
    }
}

impl UpstreamRegistry {
    pub(super) fn new(drain_grace: Duration) -> Self {
        Self {
            server_ids: FxHashMap::default(),
            upstreams: FxHashMap::default(),
            drain_grace,
        }
    }

    /// Returns the server id of the upstream with this id.
    pub(super) fn server_id(&self, id: &str) -> Option<ServerId> {
        self.server_ids.get(id).copied()
    }

    /// Returns the target for attempts at an upstream.
    pub(super) fn target(&self, server: ServerId) -> Option<Rc<Target>> {
        self.upstreams
            .get(&server)
            .map(|upstream| upstream.target.clone())
    }

    /// Returns whether any upstream accepts new requests.
    pub(super) fn has_open(&self) -> bool {
        self.upstreams
            .values()
            .any(|upstream| upstream.target.closed_at.get().is_none())
    }

    /// Applies a list, or a change to it, and returns its entries in the balancer's form.
    pub(super) fn update(
        &mut self,
        list: &[ListedUpstream],
        kind: MembershipKind,
        pool: &UpstreamPool,
        next_server_id: &mut u32,
    ) -> Vec<Endpoint> {
        let close_at = Instant::now() + self.drain_grace;
        if kind != MembershipKind::Update {
            // Upstreams that are missing from a complete list are gone.
            for upstream in self.upstreams.values_mut() {
                upstream.is_gone = true;
            }
        }
        let mut endpoints = Vec::with_capacity(list.len());
        for entry in list {
            endpoints.extend(self.update_entry(entry, pool, next_server_id, close_at));
        }
        for upstream in self.upstreams.values().filter(|u| u.is_gone) {
            upstream.close_at(close_at);
        }
        endpoints
    }

    /// Applies one entry of a list; returns `None` if the entry is not passed on to the balancer.
    fn update_entry(
        &mut self,
        entry: &ListedUpstream,
        pool: &UpstreamPool,
        next_server_id: &mut u32,
        close_at: Instant,
    ) -> Option<Endpoint> {
        let known_id = self.server_id(&entry.id);
        if entry.status == Status::Gone && known_id.is_none() {
            return None;
        }
        // Without a valid address the last known one is used, so that a drain in the same entry takes effect.
        let last_address = known_id
            .and_then(|server| self.upstreams.get(&server))
            .map(|upstream| upstream.target.address.get());
        let Some(address) = entry.address.or(last_address) else {
            tracing::warn!(
                upstream = entry.id,
                "ignored an upstream without a valid address"
            );
            return None;
        };
        let server = known_id.unwrap_or_else(|| self.register(&entry.id, address, next_server_id));
        let upstream = self.upstreams.get_mut(&server)?;
        if upstream.target.address.replace(address) != address {
            pool.close_idle(server);
        }
        upstream.is_gone = entry.status == Status::Gone;
        match entry.status {
            Status::Live => upstream.target.closed_at.set(None),
            Status::Draining | Status::Gone => upstream.close_at(close_at),
        }
        Some(Endpoint {
            id: server,
            identity: stable_hash(&entry.id),
            zone: entry.zone,
            kind: entry.kind,
            cell: entry.cell,
            status: entry.status,
            weight: entry.weight,
            slots: entry.slots,
            started: entry.started.map(Clock::from_system_time),
        })
    }

    /// Adds an upstream under a new server id.
    fn register(&mut self, id: &str, address: SocketAddr, next_server_id: &mut u32) -> ServerId {
        let server = ServerId(*next_server_id);
        *next_server_id += 1;
        self.server_ids.insert(id.to_string(), server);
        let target = Rc::new(Target {
            address: Cell::new(address),
            name: HeaderValue::from_str(id).ok(),
            closed_at: Cell::new(None),
        });
        let upstream = RegisteredUpstream {
            target,
            is_gone: false,
        };
        self.upstreams.insert(server, upstream);
        server
    }

    /// Removes the upstreams that are gone and that no attempt uses any more.
    pub(super) fn remove_gone(&mut self, pool: &UpstreamPool) {
        self.upstreams.retain(|server, upstream| {
            let is_kept = !upstream.is_gone || Rc::strong_count(&upstream.target) > 1;
            if !is_kept {
                pool.close_idle(*server);
            }
            is_kept
        });
        self.server_ids
            .retain(|_, server| self.upstreams.contains_key(server));
    }
}

#[cfg(test)]
mod tests;
