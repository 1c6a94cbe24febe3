//! Sessions of the data plane, here and elsewhere, and what a session is told.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use protocol::compact_config::CompactConfig;
use protocol::key_ranges::KeyRangeMap;
use protocol::wire::{self, FleetView, Indexed, Session, WatchRequest, WatchUpdate};

use super::{ControlServer, Inner};

impl ControlServer {
    /// A session opens, or says something new; `None` for the first time. Returns its mark.
    pub fn update_session(&self, mark: Option<u64>, session: Session) -> u64 {
        let mark = mark.unwrap_or_else(|| {
            self.next_session.set(self.next_session.get() + 1);
            self.next_session.get()
        });
        let node = session.balancer.node.clone();
        let mut inner = self.inner.borrow_mut();
        let before = inner.local.insert(node.clone(), (mark, session.clone()));
        if before.is_none_or(|(_, s)| s != session) {
            inner.moved.insert(node);
            inner.roll = None;
            drop(inner);
            self.notify_changed();
        }
        mark
    }

    /// A session has ended; another of the same balancer may stand already.
    pub fn end_session(&self, mark: u64, node: &str) {
        let mut inner = self.inner.borrow_mut();
        if inner.local.get(node).is_some_and(|(m, _)| *m == mark) {
            inner.local.remove(node);
            inner.moved.insert(node.to_string());
            inner.roll = None;
            drop(inner);
            self.notify_changed();
        }
    }

    /// Whether a session of this balancer stands here.
    pub fn has_session(&self, node: &str) -> bool {
        self.inner.borrow().local.contains_key(node)
    }

    /// All sessions that stand, with whichever control balancer, in the order of the nodes' names.
    pub fn all_sessions(&self) -> Rc<Vec<Session>> {
        let mut inner = self.inner.borrow_mut();
        if let Some(roll) = &inner.roll {
            return roll.clone();
        }
        let mut all: BTreeMap<&str, Session> = BTreeMap::new();
        let local = inner.local.values().map(|(_, s)| s);
        for s in inner
            .peers
            .values()
            .flat_map(|p| p.sessions.values())
            .chain(local)
        {
            let known = all.entry(&s.balancer.node).or_insert_with(|| s.clone());
            known.ready |= s.ready;
            known.draining |= s.draining;
        }
        let roll = Rc::new(all.into_values().collect::<Vec<_>>());
        inner.roll = Some(roll.clone());
        roll
    }

    pub(super) fn bank(&self, node: &str) -> FleetView {
        let members = self.all_sessions();
        let position = members.binary_search_by(|s| s.balancer.node.as_str().cmp(node));
        FleetView {
            balancers: members.len().max(1) as u32,
            position: position.unwrap_or(0) as u32,
        }
    }

    /// What a balancer that has this does not have yet; what it is told counts as had from then on. Out of
    /// contact nothing is told of what is agreed on, and no smaller bank: who is missing may be beyond a cut.
    pub fn watch_update(
        &self,
        node: &str,
        has: &mut WatchRequest,
        contact: bool,
    ) -> Option<WatchUpdate> {
        let mut bank = self.bank(node);
        let controls = self.control_nodes();
        let mut inner = self.inner.borrow_mut();
        let mut news = WatchUpdate::default();
        if contact {
            inner.agreed_news(has, &mut news);
        } else if let Some(known) = has.fleet.filter(|known| known.balancers > bank.balancers) {
            bank = known;
        }
        let now = self.clock().0;
        for (zone, z) in &inner.zones {
            let version = has.zone_versions.get(zone).copied().unwrap_or(0);
            if let Some(told) = z.update_since(version, now) {
                has.zone_versions.insert(zone.clone(), z.version());
                news.zone_updates.insert(zone.clone(), told);
            }
        }
        if has.fleet != Some(bank) {
            has.fleet = Some(bank);
            news.fleet = Some(bank);
        }
        let digest = wire::digest(&controls);
        if has.control_nodes_digest != digest {
            has.control_nodes_digest = digest;
            news.control_nodes = Some(controls);
        }
        (news != WatchUpdate::default()).then_some(news)
    }
}

impl Inner {
    /// The configuration in rows, made once for all sessions. Only what is valid is ever agreed on.
    fn compact_config(&mut self) -> Option<(u64, Arc<CompactConfig>)> {
        let index = self.agreed.config_index;
        if self
            .compact
            .as_ref()
            .is_none_or(|(known, _)| *known != index)
        {
            let config = serde_json::from_str(&self.agreed.config);
            let config = config.inspect_err(|cause| tracing::error!(%cause, "the configuration"));
            self.compact = Some((index, Arc::new(CompactConfig::from_config(&config.ok()?))));
        }
        self.compact.clone()
    }

    /// What was agreed on and a balancer that has this does not have yet.
    fn agreed_news(&mut self, has: &mut WatchRequest, news: &mut WatchUpdate) {
        if self.agreed.config_index > has.config_index {
            news.config = self
                .compact_config()
                .map(|(index, value)| Indexed { index, value });
            has.config_index = self.agreed.config_index;
        }
        let agreed = &self.agreed;
        if agreed.evacuations_index > has.evacuations_index {
            has.evacuations_index = agreed.evacuations_index;
            let zones = agreed.evacuated().map(|(zone, _)| zone.clone()).collect();
            news.evacuated_zones = Some(Indexed {
                index: agreed.evacuations_index,
                value: zones,
            });
        }
        if agreed.keys_index > has.key_ranges_index {
            let rows = |(service, slices): (&String, &KeyRangeMap)| {
                let rows = slices.changed_since(has.key_ranges_index);
                (!rows.is_empty()).then(|| (service.clone(), rows))
            };
            let rows = agreed.keys.iter().filter_map(rows).collect();
            has.key_ranges_index = agreed.keys_index;
            news.key_ranges = Some(Indexed {
                index: agreed.keys_index,
                value: rows,
            });
        }
    }
}
