//! The control nodes that are known, and the order in which they are called. Owns that knowledge; it only grows while
//! the process lives, since an address that does not answer merely comes last.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use protocol::wire::{Balancer, ControlNode};
use tokio::time::Instant;

/// What is known of the control node at one address.
#[derive(Default)]
struct KnownNode {
    /// As another control node described it; none for a seed that nobody has described.
    description: Option<ControlNode>,
    /// Its last session failed or it was out of contact: others come first until then.
    backoff_until: Option<Instant>,
    /// A session with it is open or being opened.
    in_use: bool,
}

impl KnownNode {
    /// Until when others come first, if they do now.
    fn backoff(&self) -> Option<Instant> {
        self.backoff_until.filter(|until| Instant::now() < *until)
    }

    /// Whether it is known to be a member of the replicated log: only members are described.
    fn is_member(&self) -> bool {
        self.description.is_some()
    }
}

/// How far away a control node is.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Locality {
    SameZone,
    SameRegion,
    /// In another region, or not known where.
    Elsewhere,
}

/// The rank of a control node; the least is called first. Among those in backoff the one whose backoff ends first
/// leads, so that they are called in turn.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    backoff: Option<Instant>,
    locality: Locality,
    /// Another order for each balancer, so that they spread over equally near nodes.
    spread: u64,
}

impl Rank {
    fn new(at: SocketAddr, node: &KnownNode, balancer: &Balancer) -> Self {
        let locality = match &node.description {
            Some(c) if c.zone == balancer.zone => Locality::SameZone,
            Some(c) if c.region == balancer.region => Locality::SameRegion,
            _ => Locality::Elsewhere,
        };
        let spread = load_balancing::settings::stable_hash(&format!("{at}{}", balancer.node));
        Self {
            backoff: node.backoff(),
            locality,
            spread,
        }
    }

    /// Whether it is worth a move away from the other: between equally near nodes it is not.
    fn is_nearer_than(&self, other: &Self) -> bool {
        (self.backoff.is_some(), self.locality) < (other.backoff.is_some(), other.locality)
    }
}

/// The control nodes that are known, by the address at which they take sessions.
#[derive(Default)]
pub(super) struct ControlNodes(BTreeMap<SocketAddr, KnownNode>);

impl ControlNodes {
    /// Adds addresses of which nothing else is known.
    pub(super) fn add_seeds(&mut self, seeds: impl Iterator<Item = SocketAddr>) {
        for seed in seeds {
            self.0.entry(seed).or_default();
        }
    }

    /// Takes in members of the replicated log as a control node described them.
    pub(super) fn learn(&mut self, members: &[ControlNode]) {
        for member in members {
            let known = self.0.entry(member.internal_addr).or_default();
            known.description = Some(member.clone());
        }
    }

    /// A session with this node is being opened.
    pub(super) fn occupy(&mut self, at: SocketAddr) {
        if let Some(node) = self.0.get_mut(&at) {
            node.in_use = true;
        }
    }

    /// The session with this node is over.
    pub(super) fn release(&mut self, at: SocketAddr, backoff_until: Option<Instant>) {
        if let Some(node) = self.0.get_mut(&at) {
            (node.in_use, node.backoff_until) = (false, backoff_until);
        }
    }

    /// The node to call next, of those without a session. Once there is a fallback session only members are called.
    pub(super) fn nearest_free(&self, balancer: &Balancer) -> Option<SocketAddr> {
        let members_only = self.has_fallback_session(None);
        let free = self
            .0
            .iter()
            .filter(|(_, node)| !node.in_use && (node.is_member() || !members_only));
        free.min_by_key(|(at, node)| Rank::new(**at, node, balancer))
            .map(|(at, _)| *at)
    }

    /// Whether a session is with a control node that is no member although members are known, the one at `except`
    /// aside. Without this bound, after a loss of power both sessions were, as the members were in backoff, and a
    /// change was missed as both sessions stood still.
    fn has_fallback_session(&self, except: Option<SocketAddr>) -> bool {
        let is_fallback = |(at, node): (&SocketAddr, &KnownNode)| {
            Some(*at) != except && node.in_use && !node.is_member()
        };
        self.0.values().any(KnownNode::is_member) && self.0.iter().any(is_fallback)
    }

    /// Whether a member without a session is nearer than this node, or this one is a second fallback.
    pub(super) fn has_nearer(&self, at: SocketAddr, balancer: &Balancer) -> bool {
        let Some(own) = self.0.get(&at) else {
            return false;
        };
        if !own.is_member() && self.has_fallback_session(Some(at)) {
            return true;
        }
        let own = Rank::new(at, own, balancer);
        let free = self.0.iter().filter(|(_, n)| !n.in_use && n.is_member());
        let best = free.map(|(at, node)| Rank::new(*at, node, balancer)).min();
        best.is_some_and(|best| best.is_nearer_than(&own))
    }

    /// Whether another node may be of more use than this one, which is out of contact: one that is free, not in
    /// backoff, and a member if any member is known.
    pub(super) fn has_alternative(&self, at: SocketAddr) -> bool {
        let any_member = self.0.values().any(KnownNode::is_member);
        self.0.iter().any(|(other, node)| {
            let is_free = !node.in_use && node.backoff().is_none();
            *other != at && is_free && (node.is_member() || !any_member)
        })
    }
}
