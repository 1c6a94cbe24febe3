//! Sessions of the data plane, here and elsewhere, and what a session is told.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use protocol::compact::CompactConfig;
use protocol::keys::Slices;
use protocol::wire::{self, Ask, Bank, News, Session};

use super::{Cell, Inner};

impl Cell {
    /// A session opens, or says something new; `None` for the first time. Returns its mark.
    pub fn session(&self, mark: Option<u64>, session: Session) -> u64 {
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
            self.changed();
        }
        mark
    }

    /// A session has ended; another of the same balancer may stand already.
    pub fn session_over(&self, mark: u64, node: &str) {
        let mut inner = self.inner.borrow_mut();
        if inner.local.get(node).is_some_and(|(m, _)| *m == mark) {
            inner.local.remove(node);
            inner.moved.insert(node.to_string());
            inner.roll = None;
            drop(inner);
            self.changed();
        }
    }

    /// Whether a session of this balancer stands here.
    pub fn has_session(&self, node: &str) -> bool {
        self.inner.borrow().local.contains_key(node)
    }

    /// All sessions that stand, with whichever control balancer, in the order of the nodes' names.
    pub fn members(&self) -> Rc<Vec<Session>> {
        let mut inner = self.inner.borrow_mut();
        if let Some(roll) = &inner.roll {
            return roll.clone();
        }
        let mut all: BTreeMap<&str, Session> = BTreeMap::new();
        let local = inner.local.values().map(|(_, s)| s);
        for s in inner.peers.values().flat_map(|p| p.sessions.values()).chain(local) {
            let known = all.entry(&s.balancer.node).or_insert_with(|| s.clone());
            known.ready |= s.ready;
            known.leaving |= s.leaving;
        }
        let roll = Rc::new(all.into_values().collect::<Vec<_>>());
        inner.roll = Some(roll.clone());
        roll
    }

    pub(super) fn bank(&self, node: &str) -> Bank {
        let members = self.members();
        let position = members.binary_search_by(|s| s.balancer.node.as_str().cmp(node));
        Bank { balancers: members.len().max(1) as u32, position: position.unwrap_or(0) as u32 }
    }

    /// What a balancer that has this does not have yet; what it is told counts as had from then on. Out of
    /// contact nothing is told of what is agreed on, and no smaller bank: who is missing may be beyond a cut.
    pub fn news(&self, node: &str, has: &mut Ask, contact: bool) -> Option<News> {
        let mut bank = self.bank(node);
        let controls = self.controls();
        let mut inner = self.inner.borrow_mut();
        let mut news = News::default();
        if contact {
            inner.agreed_news(has, &mut news);
        } else if let Some(known) = has.bank.filter(|known| known.balancers > bank.balancers) {
            bank = known;
        }
        let now = self.clock().0;
        for (zone, z) in &inner.zones {
            let version = has.zones.get(zone).copied().unwrap_or(0);
            if let Some(told) = z.since(version, now) {
                has.zones.insert(zone.clone(), z.version());
                news.zones.insert(zone.clone(), told);
            }
        }
        if has.bank != Some(bank) {
            has.bank = Some(bank);
            news.bank = Some(bank);
        }
        let digest = wire::digest(&controls);
        if has.controls != digest {
            has.controls = digest;
            news.controls = Some(controls);
        }
        (news != News::default()).then_some(news)
    }
}

impl Inner {
    /// The configuration in rows, made once for all sessions. Only what is valid is ever agreed on.
    fn compact_config(&mut self) -> Option<(u64, Arc<CompactConfig>)> {
        let index = self.agreed.config_index;
        if self.compact.as_ref().is_none_or(|(known, _)| *known != index) {
            let config = serde_json::from_str(&self.agreed.config);
            let config = config.inspect_err(|cause| tracing::error!(%cause, "the configuration"));
            self.compact = Some((index, Arc::new(CompactConfig::of(&config.ok()?))));
        }
        self.compact.clone()
    }

    /// What was agreed on and a balancer that has this does not have yet.
    fn agreed_news(&mut self, has: &mut Ask, news: &mut News) {
        if self.agreed.config_index > has.config {
            news.config = self.compact_config();
            has.config = self.agreed.config_index;
        }
        let agreed = &self.agreed;
        if agreed.evacuated_index > has.evacuated {
            has.evacuated = agreed.evacuated_index;
            let zones = agreed.evacuated().map(|(zone, _)| zone.clone()).collect();
            news.evacuated = Some((agreed.evacuated_index, zones));
        }
        if agreed.keys_index > has.keys {
            let rows = |(service, slices): (&String, &Slices)| {
                let rows = slices.since(has.keys);
                (!rows.is_empty()).then(|| (service.clone(), rows))
            };
            let rows = agreed.keys.iter().filter_map(rows).collect();
            has.keys = agreed.keys_index;
            news.keys = Some((agreed.keys_index, rows));
        }
    }
}
