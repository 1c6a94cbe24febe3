//! The sessions that balancers of the data plane keep with this process.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use protocol::wire::Session;

/// Names one session with this process. A balancer that connects again has another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionId(u64);

struct LocalSession {
    id: SessionId,
    session: Session,
}

/// Sessions whose changes have to be sent to peers.
pub(crate) struct SessionChanges {
    /// Opened or changed.
    pub(crate) changed: Vec<Session>,
    /// Nodes without a session by now.
    pub(crate) removed: Vec<String>,
}

/// Sessions with this process by node, and the merged list of all sessions.
///
/// Invariants: a node has one session here, its latest; the end of an earlier one leaves it alone. `changed` names every
/// node whose session differs from what peers were sent last. `all` is empty whenever a session here or with a peer may
/// differ from it: whoever changes peers' sessions calls [`SessionRegistry::invalidate_all`]. Changed by
/// `server::sessions` (this process's) and `server::peers` (the merged list). Balancers open their sessions anew after
/// the process has died.
#[derive(Default)]
pub(crate) struct SessionRegistry {
    local: BTreeMap<String, LocalSession>,
    changed: BTreeSet<String>,
    all: Option<Rc<Vec<Session>>>,
    last_id: u64,
}

impl SessionRegistry {
    /// A new session's name.
    pub(crate) fn next_id(&mut self) -> SessionId {
        self.last_id += 1;
        SessionId(self.last_id)
    }

    /// A session opens, or its balancer says something of itself. Returns whether that is new.
    pub(crate) fn update(&mut self, id: SessionId, session: Session) -> bool {
        let node = session.balancer.node.clone();
        let before = self.local.get(&node);
        let is_new = before.is_none_or(|before| before.session != session);
        self.local
            .insert(node.clone(), LocalSession { id, session });
        if is_new {
            self.record_change(node);
        }
        is_new
    }

    /// A session has ended. Returns whether the node has none any more: a later one may stand already.
    pub(crate) fn end(&mut self, id: SessionId, node: &str) -> bool {
        let is_latest = self.local.get(node).is_some_and(|known| known.id == id);
        if is_latest {
            self.local.remove(node);
            self.record_change(node.to_string());
        }
        is_latest
    }

    fn record_change(&mut self, node: String) {
        self.changed.insert(node);
        self.invalidate_all();
    }

    /// Whether this node has a session with this process.
    pub(crate) fn contains(&self, node: &str) -> bool {
        self.local.contains_key(node)
    }

    /// The sessions with this process, ordered by node.
    pub(crate) fn local(&self) -> impl Iterator<Item = &Session> {
        self.local.values().map(|known| &known.session)
    }

    /// Whether changes have to be sent to peers.
    pub(crate) fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// The changes for peers; they count as sent from then on.
    pub(crate) fn take_changes(&mut self) -> SessionChanges {
        let (mut changed, mut removed) = (Vec::new(), Vec::new());
        for node in std::mem::take(&mut self.changed) {
            match self.local.get(&node) {
                Some(known) => changed.push(known.session.clone()),
                None => removed.push(node),
            }
        }
        SessionChanges { changed, removed }
    }

    /// The sessions with peers have changed, or which of them count.
    pub(crate) fn invalidate_all(&mut self) {
        self.all = None;
    }

    /// All sessions, with this process and those that peers have, one a node, ordered by node. A balancer is ready or
    /// draining where any of its sessions says so.
    pub(crate) fn all<'a>(
        &'a mut self,
        with_peers: impl Iterator<Item = &'a Session>,
    ) -> Rc<Vec<Session>> {
        if let Some(all) = &self.all {
            return all.clone();
        }
        let mut by_node: BTreeMap<&str, Session> = BTreeMap::new();
        for session in with_peers.chain(self.local.values().map(|known| &known.session)) {
            let merged = by_node
                .entry(&session.balancer.node)
                .or_insert_with(|| session.clone());
            merged.ready |= session.ready;
            merged.draining |= session.draining;
        }
        let all = Rc::new(by_node.into_values().collect::<Vec<_>>());
        self.all = Some(all.clone());
        all
    }
}
