//! The balancers' sessions with this process.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use protocol::wire::Session;

/// Identifies a session with this process. A balancer that reconnects gets a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionId(u64);

struct LocalSession {
    id: SessionId,
    session: Session,
}

/// Changes of sessions to send to peers.
pub(crate) struct SessionChanges {
    /// Sessions that were opened or changed.
    pub(crate) changed: Vec<Session>,
    /// Nodes that no longer have a session.
    pub(crate) removed: Vec<String>,
}

/// Sessions with this process by node, and the merged list of all sessions.
///
/// Invariants: a node has one session here, the latest; the end of an earlier session does not affect it. `changed`
/// contains every node whose session differs from what was last sent to peers. `all` is empty whenever a session here
/// or with a peer may differ from it: whoever changes peers' sessions calls [`SessionRegistry::invalidate_all`].
/// Changed by `server::sessions` (this process's sessions) and `server::peers` (the merged list). After the process has
/// failed, balancers open new sessions.
#[derive(Default)]
pub(crate) struct SessionRegistry {
    local: BTreeMap<String, LocalSession>,
    changed: BTreeSet<String>,
    all: Option<Rc<Vec<Session>>>,
    last_id: u64,
}

impl SessionRegistry {
    /// Returns an unused session id.
    pub(crate) fn next_id(&mut self) -> SessionId {
        self.last_id += 1;
        SessionId(self.last_id)
    }

    /// Opens a session, or records what its balancer reports of itself. Returns whether anything has changed.
    pub(crate) fn update(&mut self, id: SessionId, session: Session) -> bool {
        let node = session.balancer.node.clone();
        let before = self.local.get(&node);
        let has_changed = before.is_none_or(|before| before.session != session);
        self.local
            .insert(node.clone(), LocalSession { id, session });
        if has_changed {
            self.record_change(node);
        }
        has_changed
    }

    /// Ends a session, unless the node has opened a later one. Returns whether the session was ended.
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

    /// Returns the sessions with this process, ordered by node.
    pub(crate) fn local(&self) -> impl Iterator<Item = &Session> {
        self.local.values().map(|known| &known.session)
    }

    /// Whether there are changes to send to peers.
    pub(crate) fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Returns the changes to send to peers, and regards them as sent.
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

    /// Discards the merged list. Has to be called whenever a peer's sessions have changed or a peer has become
    /// reachable.
    pub(crate) fn invalidate_all(&mut self) {
        self.all = None;
    }

    /// Returns all sessions with this process or a peer, one for each node, ordered by node. A balancer is ready or
    /// draining if any of its sessions says so.
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
