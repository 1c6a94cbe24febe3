//! Which upstream owns which keys of a sharded service: as it is replicated, and as it is sent to balancers.
//!
//! **State.** [`KeyRangeMap`] is part of the replicated state of the control plane; it changes only as log entries
//! are applied. [`KeyRangeView`] is a balancer's copy.
//!
//! **Invariants.**
//! - Ranges never overlap. Once all keys are divided, together they hold every key.
//! - A range has an owner that may be granted a lease, or an upstream that has to release it first, or neither.
//! - A change names the fencing token of the range that it was decided on, and raises it by one. So of two changes
//!   that were decided on the same state only the first takes effect, and a later owner of a key always has a
//!   higher token than an earlier one: an upstream refuses the lower.
//!
//! **May be lost.** A [`KeyRangeView`] is built anew from the indices that its balancer names.
//!
//! **Neighbours.** A balancer that hears nothing keeps the ranges that it has; the upstreams refuse what they do not
//! own. No I/O and no clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::array_struct::array_struct;

/// An upstream that may own keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Its id in the platform's list. An id is never used again for another upstream.
    #[serde(rename = "i")]
    pub id: String,
    /// Address of its HTTP interface. Another upstream may have it later.
    #[serde(rename = "a")]
    pub addr: SocketAddr,
}

/// Who owns a range.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ownership {
    /// Nobody, and nobody has to release it.
    #[default]
    #[serde(rename = "n")]
    Unowned,
    /// This upstream may be granted a lease, with the handoff that the owner before it gave on its release, if any.
    #[serde(rename = "h")]
    Assigned(LeaseHolder, Option<String>),
    /// Nobody, until this upstream has released it or its leases have run out.
    #[serde(rename = "l")]
    Releasing(LeaseHolder),
}

impl Ownership {
    /// The upstream that may hold a lease, whether it is to keep or to release it.
    pub fn holder(&self) -> Option<&LeaseHolder> {
        match self {
            Self::Assigned(holder, _) | Self::Releasing(holder) => Some(holder),
            Self::Unowned => None,
        }
    }
}

/// A run of keys with one owner. It stands in its map under its first key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    /// The last key in it.
    #[serde(rename = "t")]
    pub last: u16,
    /// Rises with each change of the range.
    #[serde(rename = "f")]
    pub fencing_token: u64,
    /// Index of the log entry that changed it last.
    #[serde(rename = "x")]
    index: u64,
    /// Who owns it.
    #[serde(rename = "o")]
    pub ownership: Ownership,
}

/// A change of a range, or of a part of one. What is left of the range to either side keeps its owner, under the
/// raised token too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRangeChange {
    /// The first key that changes its owner.
    #[serde(rename = "s")]
    pub first: u16,
    /// The last key that does.
    #[serde(rename = "t")]
    pub last: u16,
    /// Token of the range that the change was decided on; 0 if there was none. With another token in its place the
    /// change is void.
    #[serde(rename = "w")]
    pub expected_token: u64,
    /// Who is to own the keys.
    #[serde(rename = "o")]
    pub ownership: Ownership,
}

/// A service's ranges, as replicated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRangeMap {
    /// By first key.
    #[serde(rename = "slices")]
    ranges: BTreeMap<u16, KeyRange>,
}

array_struct! {
    /// A range as it is sent to balancers. An array of three on the wire.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub struct KeyRangeRow {
        /// The first key in it.
        pub first: u16,
        /// The last key in it.
        pub last: u16,
        /// Id of the upstream that may be sent requests for these keys.
        pub owner: Option<String>,
    }
}

impl KeyRangeMap {
    /// Whether the keys have not been divided yet.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// All ranges, each with its first key, in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (u16, &KeyRange)> {
        self.ranges.iter().map(|(first, range)| (*first, range))
    }

    /// The range that begins with this key.
    pub fn get(&self, first: u16) -> Option<&KeyRange> {
        self.ranges.get(&first)
    }

    /// Applies the change of the log entry at `index`. Returns whether it took effect: it is void unless it lies
    /// within one range that still has the expected token, or, with an expected token of 0, touches none.
    pub fn apply(&mut self, index: u64, change: &KeyRangeChange) -> bool {
        let (first, last) = (change.first, change.last);
        if first > last {
            return false;
        }
        let overlapping = self
            .ranges
            .range(..=last)
            .next_back()
            .filter(|(_, range)| range.last >= first);
        let fencing_token = change.expected_token + 1;
        match overlapping.map(|(start, range)| (*start, range.clone())) {
            None if change.expected_token == 0 => {}
            Some((start, range))
                if start <= first
                    && range.last >= last
                    && range.fencing_token == change.expected_token =>
            {
                if start < first {
                    let before = KeyRange {
                        last: first - 1,
                        fencing_token,
                        index,
                        ownership: range.ownership.clone(),
                    };
                    self.ranges.insert(start, before);
                }
                if range.last > last {
                    let after = KeyRange {
                        fencing_token,
                        index,
                        ..range
                    };
                    self.ranges.insert(last + 1, after);
                }
            }
            _ => return false,
        }
        let changed = KeyRange {
            last,
            fencing_token,
            index,
            ownership: change.ownership.clone(),
        };
        self.ranges.insert(first, changed);
        true
    }

    /// The ranges that changed after the log entry at `index`, as they are now.
    pub fn changed_since(&self, index: u64) -> Vec<KeyRangeRow> {
        let row = |(first, range): (&u16, &KeyRange)| {
            let owner = match &range.ownership {
                Ownership::Assigned(holder, _) => Some(holder.id.clone()),
                Ownership::Unowned | Ownership::Releasing(_) => None,
            };
            KeyRangeRow {
                first: *first,
                last: range.last,
                owner,
            }
        };
        self.ranges
            .iter()
            .filter(|(_, range)| range.index > index)
            .map(row)
            .collect()
    }
}

/// A service's ranges at a balancer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyRangeView {
    /// By first key.
    rows: BTreeMap<u16, KeyRangeRow>,
}

impl KeyRangeView {
    /// Takes in ranges that are newer than all that it has. Where they overlap those, the older ones go whole: the
    /// rest of a range that was split comes as a row of its own.
    pub fn apply(&mut self, rows: &[KeyRangeRow]) {
        for row in rows {
            let overlapping: Vec<u16> = self
                .rows
                .range(..=row.last)
                .rev()
                .take_while(|(_, known)| known.last >= row.first)
                .map(|(first, _)| *first)
                .collect();
            for first in overlapping {
                self.rows.remove(&first);
            }
            self.rows.insert(row.first, row.clone());
        }
    }

    /// All ranges, in the order of the keys.
    pub fn rows(&self) -> impl Iterator<Item = &KeyRangeRow> {
        self.rows.values()
    }
}

#[cfg(test)]
mod tests;
