//! Updates of the lists of upstreams and of key owners.

use load_balancing::interface::{Event, MembershipKind, OwnedKeyRange};
use protocol::key_ranges::KeyRangeRow;

use super::{Engine, ListedUpstream};

impl Engine {
    /// Applies a list of a service's upstreams, or a change to it, and notifies the balancer.
    pub fn update_membership(
        &mut self,
        service: usize,
        kind: MembershipKind,
        upstreams: &[ListedUpstream],
    ) {
        if kind == MembershipKind::Unavailable {
            // An unavailable list is not an empty one: the known upstreams stay.
            return self.dispatch(service, Event::Membership { kind, list: &[] });
        }
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        let endpoints =
            state
                .upstreams
                .update(upstreams, kind, &self.pool, &mut self.next_server_id);
        self.update_readiness();
        self.dispatch(
            service,
            Event::Membership {
                kind,
                list: &endpoints,
            },
        );
        self.services[service].upstreams.remove_gone(&self.pool);
        // The key ranges may name an owner that only this list contains.
        if !self.services[service].key_ranges.is_empty() {
            self.dispatch_key_owners(service);
        }
    }

    fn update_readiness(&self) {
        let ready = self
            .services
            .iter()
            .any(|service| service.upstreams.has_open());
        if self.has_open_upstreams.replace(ready) != ready {
            if ready {
                tracing::info!("ready: at least one upstream accepts requests");
            } else {
                tracing::warn!("not ready: no upstream accepts requests");
            }
        }
    }

    /// Replaces the key ranges of a service and their owners.
    pub(super) fn update_key_owners(&mut self, service: usize, key_ranges: Vec<KeyRangeRow>) {
        if let Some(state) = self.services.get_mut(service) {
            state.key_ranges = key_ranges;
            self.dispatch_key_owners(service);
        }
    }

    fn dispatch_key_owners(&mut self, service: usize) {
        let Some(state) = self.services.get(service) else {
            return;
        };
        let to_owned_range = |KeyRangeRow { first, last, owner }: &KeyRangeRow| OwnedKeyRange {
            first: *first,
            last: *last,
            server: owner.as_ref().and_then(|id| state.upstreams.server_id(id)),
        };
        let owned: Vec<OwnedKeyRange> = state.key_ranges.iter().map(to_owned_range).collect();
        self.dispatch(service, Event::KeyOwners(&owned));
    }
}
