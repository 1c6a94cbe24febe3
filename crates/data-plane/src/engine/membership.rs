//! Lists of upstreams and owners of keys, as whoever brings them tells the engine.

use load_balancing::interface::{Event, MembershipKind, OwnedKeyRange};
use protocol::key_ranges::KeyRangeRow;

use super::{Engine, ListedUpstream};

impl Engine {
    /// Takes in a list of a service's upstreams, or a change to it, and tells the module.
    pub fn update_membership(
        &mut self,
        service: usize,
        kind: MembershipKind,
        upstreams: &[ListedUpstream],
    ) {
        if kind == MembershipKind::Unavailable {
            // A list that can't be had is not an empty list.
            return self.dispatch(service, Event::Membership { kind, list: &[] });
        }
        let Some(known) = self.services.get_mut(service) else {
            return;
        };
        let endpoints =
            known
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
        // An owner may have been named before the list that has it.
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
                tracing::info!("there are upstreams that take requests");
            } else {
                tracing::warn!("no upstream takes requests any more");
            }
        }
    }

    /// Takes in which upstream owns which keys of a service, all of them.
    pub(super) fn update_key_owners(&mut self, service: usize, key_ranges: Vec<KeyRangeRow>) {
        if let Some(known) = self.services.get_mut(service) {
            known.key_ranges = key_ranges;
            self.dispatch_key_owners(service);
        }
    }

    fn dispatch_key_owners(&mut self, service: usize) {
        let Some(known) = self.services.get(service) else {
            return;
        };
        let to_owned_range = |KeyRangeRow { first, last, owner }: &KeyRangeRow| OwnedKeyRange {
            first: *first,
            last: *last,
            server: owner.as_ref().and_then(|id| known.upstreams.server_id(id)),
        };
        let owned: Vec<OwnedKeyRange> = known.key_ranges.iter().map(to_owned_range).collect();
        self.dispatch(service, Event::KeyOwners(&owned));
    }
}
