//! Who takes part in the log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::NodeId;

/// The members, with the address each is known by.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Those whose copies count.
    pub voters: BTreeMap<NodeId, String>,
    /// Those that are catching up.
    pub learners: BTreeMap<NodeId, String>,
}

impl Members {
    /// All of them.
    pub fn all(&self) -> impl Iterator<Item = (NodeId, &str)> {
        self.voters
            .iter()
            .chain(&self.learners)
            .map(|(id, at)| (*id, at.as_str()))
    }

    /// Whether it is one of them.
    pub fn contains(&self, id: NodeId) -> bool {
        self.voters.contains_key(&id) || self.learners.contains_key(&id)
    }

    /// The number of voters that makes a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether those for which `yes` holds are a majority of the voters.
    pub fn is_majority(&self, yes: impl Fn(NodeId) -> bool) -> bool {
        self.voters.keys().filter(|id| yes(**id)).count() * 2 > self.voters.len()
    }

    /// The members without this one.
    pub fn without(&self, id: NodeId) -> Self {
        let mut next = self.clone();
        next.voters.remove(&id);
        next.learners.remove(&id);
        next
    }

    /// The members with one more that catches up.
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
