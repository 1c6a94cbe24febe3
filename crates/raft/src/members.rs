//! The membership of the cluster and its majorities.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::NodeId;

/// The members and their addresses. This type is stored and sent; golden-file tests fail if its
/// serialized names or field order change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The members that count toward a majority.
    pub voters: BTreeMap<NodeId, String>,
    /// The members that receive the log but do not count toward a majority yet (Raft thesis,
    /// section 4.2.1).
    pub learners: BTreeMap<NodeId, String>,
}

impl Members {
    /// Returns all members with their addresses, voters first, each group ordered by id.
    pub fn all(&self) -> impl Iterator<Item = (NodeId, &str)> {
        self.voters
            .iter()
            .chain(&self.learners)
            .map(|(id, address)| (*id, address.as_str()))
    }

    /// Returns whether `id` is a voter or a learner.
    pub fn contains(&self, id: NodeId) -> bool {
        self.voters.contains_key(&id) || self.learners.contains_key(&id)
    }

    /// Returns the number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether the voters for which `predicate` holds form a majority.
    pub fn is_majority(&self, predicate: impl Fn(NodeId) -> bool) -> bool {
        let count = self.voters.keys().filter(|id| predicate(**id)).count();
        count * 2 > self.voters.len()
    }

    /// Returns the membership without member `id`.
    pub fn without(&self, id: NodeId) -> Self {
        let mut members = self.clone();
        members.voters.remove(&id);
        members.learners.remove(&id);
        members
    }

    /// Returns the membership with an additional learner.
    pub fn with_learner(&self, id: NodeId, address: &str) -> Self {
        let mut members = self.clone();
        members.learners.insert(id, address.to_string());
        members
    }

    /// Returns the membership with learner `id` promoted to voter.
    pub fn with_promoted(&self, id: NodeId) -> Self {
        let mut members = self.clone();
        if let Some(address) = members.learners.remove(&id) {
            members.voters.insert(id, address);
        }
        members
    }
}
