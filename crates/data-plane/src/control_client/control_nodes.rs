//! The known control nodes and the order in which the client connects to them. Nodes are never removed during the life
//! of the process; one that does not respond merely ranks last.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use protocol::wire::{Balancer, ControlNode};
use tokio::time::Instant;

/// What is known about the control node at one address.
#[derive(Default)]
struct KnownNode {
    /// The description from a control node; `None` for a seed that no node has described.
    description: Option<ControlNode>,
    /// The end of the backoff, until which other nodes are preferred. Set when the last session failed, or when the
    /// node was out of contact with a majority.
    backoff_until: Option<Instant>,
    /// Whether a session with the node is open or being opened.
    in_use: bool,
}

impl KnownNode {
    /// Returns the end of the backoff, or `None` if the node is not in backoff now.
    fn backoff(&self) -> Option<Instant> {
        self.backoff_until.filter(|until| Instant::now() < *until)
    }

    /// Returns whether the node is known to be a member of the replicated log: only members are described.
    fn is_member(&self) -> bool {
        self.description.is_some()
    }
}

/// How far a control node is from this balancer, nearest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Locality {
    SameZone,
    SameRegion,
    /// In another region, or at an unknown location.
    Elsewhere,
}

/// The rank of a control node; the client connects to the node with the least rank first. Among nodes in backoff, the
/// one whose backoff ends first ranks first, so that all of them are tried in turn.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    backoff: Option<Instant>,
    locality: Locality,
    /// A hash that differs between balancers, so that they spread over equally near nodes.
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

    /// Returns whether a session should move from the other node to this one; not if they are equally near.
    fn is_nearer_than(&self, other: &Self) -> bool {
        (self.backoff.is_some(), self.locality) < (other.backoff.is_some(), other.locality)
    }
}

/// The known control nodes by the address at which they accept sessions.
#[derive(Default)]
pub(super) struct ControlNodes(BTreeMap<SocketAddr, KnownNode>);

impl ControlNodes {
    /// Adds addresses of control nodes about which nothing else is known.
    pub(super) fn add_seeds(&mut self, seeds: impl Iterator<Item = SocketAddr>) {
        for seed in seeds {
            self.0.entry(seed).or_default();
        }
    }

    /// Records the members of the replicated log as described by a control node.
    pub(super) fn record_members(&mut self, members: &[ControlNode]) {
        for member in members {
            let known = self.0.entry(member.internal_addr).or_default();
            known.description = Some(member.clone());
        }
    }

    /// Marks the node as in use: a session with it is being opened.
    pub(super) fn occupy(&mut self, at: SocketAddr) {
        if let Some(node) = self.0.get_mut(&at) {
            node.in_use = true;
        }
    }

    /// Marks the node as free after the end of its session.
    pub(super) fn release(&mut self, at: SocketAddr, backoff_until: Option<Instant>) {
        if let Some(node) = self.0.get_mut(&at) {
            (node.in_use, node.backoff_until) = (false, backoff_until);
        }
    }

    /// Returns the node to connect to next, among those without a session. While there is a fallback session, only
    /// members are considered.
    pub(super) fn nearest_free(&self, balancer: &Balancer) -> Option<SocketAddr> {
        let members_only = self.has_fallback_session(None);
        let free = self
            .0
            .iter()
            .filter(|(_, node)| !node.in_use && (node.is_member() || !members_only));
        free.min_by_key(|(at, node)| Rank::new(**at, node, balancer))
            .map(|(at, _)| *at)
    }

    /// Returns whether any session, except one with the node at `except`, is with a non-member although members are
    /// known. Only one such session is allowed: after a power loss both sessions were with non-members because the
    /// members were in backoff, and a change was missed because neither session made progress.
    fn has_fallback_session(&self, except: Option<SocketAddr>) -> bool {
        let is_fallback = |(at, node): (&SocketAddr, &KnownNode)| {
            Some(*at) != except && node.in_use && !node.is_member()
        };
        self.0.values().any(KnownNode::is_member) && self.0.iter().any(is_fallback)
    }

    /// Returns whether a member without a session is nearer than this node, or this one is a second fallback.
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

    /// Returns whether another node may be more useful than this one, which is out of contact: a node that is free, not
    /// in backoff, and a member if any member is known.
    pub(super) fn has_alternative(&self, at: SocketAddr) -> bool {
        let any_member = self.0.values().any(KnownNode::is_member);
        self.0.iter().any(|(other, node)| {
            let is_free = !node.in_use && node.backoff().is_none();
            *other != at && is_free && (node.is_member() || !any_member)
        })
    }
}
