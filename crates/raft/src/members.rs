//! The members of the log, and what makes a majority of them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::NodeId;

/// The members, with the address of each. It is stored and sent: written names and order are fixed
/// by golden files.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The members that count for a majority.
    pub voters: BTreeMap<NodeId, String>,
    /// The members that receive the log and do not count yet (Raft thesis, section 4.2.1).
    pub learners: BTreeMap<NodeId, String>,
}

impl Members {
    /// All members with their addresses, voters first, each in the order of ids.
    pub fn all(&self) -> impl Iterator<Item = (NodeId, &str)> {
        self.voters
            .iter()
            .chain(&self.learners)
            .map(|(id, address)| (*id, address.as_str()))
    }

    /// Whether it is a voter or a learner.
    pub fn contains(&self, id: NodeId) -> bool {
        self.voters.contains_key(&id) || self.learners.contains_key(&id)
    }

    /// The number of voters that makes a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the voters for which `predicate` holds are a majority.
    pub fn is_majority(&self, predicate: impl Fn(NodeId) -> bool) -> bool {
        let count = self.voters.keys().filter(|id| predicate(**id)).count();
        count * 2 > self.voters.len()
    }

    /// The members without this one.
    pub fn without(&self, id: NodeId) -> Self {
        let mut next = self.clone();
        next.voters.remove(&id);
        next.learners.remove(&id);
        next
    }

    /// The members with another learner.
    pub fn with_learner(&self, id: NodeId, address: &str) -> Self {
        let mut next = self.clone();
        next.learners.insert(id, address.to_string());
        next
    }

    /// The members with a learner made a voter.
    pub fn with_promoted(&self, id: NodeId) -> Self {
        let mut next = self.clone();
        if let Some(address) = next.learners.remove(&id) {
            next.voters.insert(id, address);
        }
        next
    }
}
