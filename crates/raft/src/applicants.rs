//! Requests of nodes to become members.
//!
//! The leader keeps them in memory only. An applicant repeats its request until it is a voter, so a
//! new leader receives it as well.

use std::collections::BTreeMap;

use crate::{Members, NodeId};

/// The nodes that have requested membership, by id.
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
    /// Records a request for membership. It replaces a request from another id at the same address:
    /// an address belongs to one machine, which has one disk at a time.
    pub(crate) fn on_request(&mut self, id: NodeId, address: String, now: u64) {
        self.by_id
            .retain(|_, applicant| applicant.address != address);
        let applicant = Applicant {
            address,
            last_request_at: now,
        };
        self.by_id.insert(id, applicant);
    }

    /// Removes applicants whose last request was before `requested_since`, and those that are
    /// voters by now.
    pub(crate) fn retain(&mut self, requested_since: u64, members: &Members) {
        self.by_id.retain(|id, applicant| {
            applicant.last_request_at >= requested_since && !members.voters.contains_key(id)
        });
    }

    /// Returns the addresses of the applicants by id.
    pub(crate) fn addresses(&self) -> BTreeMap<NodeId, String> {
        self.by_id
            .iter()
            .map(|(id, applicant)| (*id, applicant.address.clone()))
            .collect()
    }

    /// Removes all applicants.
    pub(crate) fn clear(&mut self) {
        self.by_id.clear();
    }
}
