//! Who takes part in the log, and the one change that brings it nearer to who should.

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
        self.voters.iter().chain(&self.learners).map(|(id, at)| (*id, at.as_str()))
    }

    /// Whether it is one of them.
    pub fn has(&self, id: NodeId) -> bool {
        self.voters.contains_key(&id) || self.learners.contains_key(&id)
    }

    /// Whether those for which `yes` holds are a majority of the voters.
    pub fn majority(&self, yes: impl Fn(NodeId) -> bool) -> bool {
        self.voters.keys().filter(|id| yes(**id)).count() * 2 > self.voters.len()
    }

    /// The next single change towards having `id` at `address` as a voter. Whoever stood at that address
    /// before has lost its disk: it leaves first, and never votes again. `caught_up` tells whether a learner
    /// may vote without holding up the log.
    pub fn towards(&self, id: NodeId, address: &str, caught_up: bool) -> Option<Members> {
        let mut next = self.clone();
        let former = self.all().find(|(other, at)| *at == address && *other != id);
        if let Some((former, _)) = former {
            next.voters.remove(&former);
            next.learners.remove(&former);
        } else if !self.has(id) {
            next.learners.insert(id, address.to_string());
        } else if self.learners.contains_key(&id) && caught_up {
            next.learners.remove(&id);
            next.voters.insert(id, address.to_string());
        } else {
            return None;
        }
        Some(next)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_wiped_machine_leaves_under_its_old_name_before_it_learns_and_then_votes() {
        let at = |i: u64| format!("10.0.0.{i}:1");
        let voters: BTreeMap<NodeId, String> = (1..=3).map(|i| (i, at(i))).collect();
        let members = Members { voters, ..Members::default() };
        let without = members.towards(9, &at(3), false).expect("the old one leaves");
        assert!(!without.has(3) && !without.has(9));
        let learning = without.towards(9, &at(3), false).expect("the new one learns");
        assert!(learning.learners.contains_key(&9));
        assert_eq!(learning.towards(9, &at(3), false), None, "it is behind");
        let voting = learning.towards(9, &at(3), true).expect("it votes");
        assert!(voting.voters.contains_key(&9) && voting.learners.is_empty());
        assert_eq!(voting.towards(9, &at(3), true), None);
    }
}
