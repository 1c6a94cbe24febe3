//! Machines that ask the leader to become members.
//!
//! In memory of the leader only: an applicant repeats its request until it is a voter, so that a
//! new leader hears of it.

use std::collections::BTreeMap;

use crate::{Members, NodeId};

/// The applicants by id.
#[derive(Debug, Default)]
pub(crate) struct Applicants {
    by_id: BTreeMap<NodeId, Applicant>,
}

#[derive(Debug)]
struct Applicant {
    address: String,
    last_request_at: u64,
}

impl Applicants {
    /// A machine asks to take part. It replaces another applicant at its address: one address has
    /// one machine, with one disk at a time.
    pub(crate) fn on_request(&mut self, id: NodeId, address: String, now: u64) {
        self.by_id.retain(|_, known| known.address != address);
        let applicant = Applicant {
            address,
            last_request_at: now,
        };
        self.by_id.insert(id, applicant);
    }

    /// Forgets those that have not asked since, and those that are voters by now.
    pub(crate) fn retain(&mut self, asked_since: u64, members: &Members) {
        self.by_id.retain(|id, known| {
            known.last_request_at >= asked_since && !members.voters.contains_key(id)
        });
    }

    /// The addresses by id.
    pub(crate) fn addresses(&self) -> BTreeMap<NodeId, String> {
        self.by_id
            .iter()
            .map(|(id, known)| (*id, known.address.clone()))
            .collect()
    }

    /// Forgets all.
    pub(crate) fn clear(&mut self) {
        self.by_id.clear();
    }
}
