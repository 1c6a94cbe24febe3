//! Ownership of the key ranges of a sharded service, as replicated and as sent to balancers.
//!
//! **State.** [`KeyRangeMap`] is part of the control plane's replicated state and changes only when log entries are
//! applied. [`KeyRangeView`] is a balancer's copy. Neither does I/O or reads a clock.
//!
//! **Invariants.**
//! - Ranges never overlap. Once all keys have been assigned, the ranges cover the complete key space.
//! - A range has an owner that may be granted a lease, or an upstream that has to release it first, or neither.
//! - Each change carries the fencing token of the range that it was based on, and increments it. Of two changes based
//!   on the same state, only the first takes effect. A later owner of a key always has a higher token than an earlier
//!   one, and upstreams reject the lower token.
//!
//! **Failures.** A balancer that receives no updates keeps its last ranges; upstreams reject requests for keys that
//! they do not own. A lost [`KeyRangeView`] is rebuilt: the balancer requests all changes since index 0.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::array_struct::array_struct;

/// An upstream that may hold leases on keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Id in the platform's list of upstreams. Ids are never reused.
    #[serde(rename = "i")]
    pub id: String,
    /// Address of the HTTP interface. Another upstream may use it later.
    #[serde(rename = "a")]
    pub addr: SocketAddr,
}

/// Ownership state of a range.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ownership {
    /// No owner, and no earlier owner that has to release the range.
    #[default]
    #[serde(rename = "n")]
    Unowned,
    /// This upstream may be granted a lease. The string is the handoff data that the previous owner supplied on
    /// release, if any.
    #[serde(rename = "h")]
    Assigned(LeaseHolder, Option<String>),
    /// No owner until this upstream has released the range or its leases have expired.
    #[serde(rename = "l")]
    Releasing(LeaseHolder),
}

impl Ownership {
    /// Returns the upstream that may still hold a lease, including one that is to release it.
    pub fn holder(&self) -> Option<&LeaseHolder> {
        match self {
            Self::Assigned(holder, _) | Self::Releasing(holder) => Some(holder),
            Self::Unowned => None,
        }
    }
}

/// A contiguous range of keys with one owner. Its first key is stored in [`KeyRangeMap`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    /// Last key, inclusive.
    #[serde(rename = "t")]
    pub last: u16,
    /// Fencing token, incremented by each change of the range.
    #[serde(rename = "f")]
    pub fencing_token: u64,
    /// Index of the log entry that last changed the range.
    #[serde(rename = "x")]
    index: u64,
    /// Current ownership.
    #[serde(rename = "o")]
    pub ownership: Ownership,
}

/// A change of ownership of a range or a part of one. The remaining parts of the range keep their owner, but also get
/// the incremented token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRangeChange {
    /// First key of the change.
    #[serde(rename = "s")]
    pub first: u16,
    /// Last key of the change, inclusive.
    #[serde(rename = "t")]
    pub last: u16,
    /// Token of the range that the change is based on; 0 if no range existed. The change has no effect if the current
    /// token differs.
    #[serde(rename = "w")]
    pub expected_token: u64,
    /// New ownership of the keys.
    #[serde(rename = "o")]
    pub ownership: Ownership,
}

/// The key ranges of a service, as replicated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRangeMap {
    /// Ranges by first key.
    #[serde(rename = "slices")]
    ranges: BTreeMap<u16, KeyRange>,
}

array_struct! {
    /// A range as sent to balancers. Encoded as an array of three elements.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub struct KeyRangeRow {
        /// First key.
        pub first: u16,
        /// Last key, inclusive.
        pub last: u16,
        /// Id of the upstream that may receive requests for these keys, if any.
        pub owner: Option<String>,
    }
}

impl KeyRangeMap {
    /// Returns whether no keys have been assigned yet.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Iterates over all ranges and their first keys, in key order.
    pub fn iter(&self) -> impl Iterator<Item = (u16, &KeyRange)> {
        self.ranges.iter().map(|(first, range)| (*first, range))
    }

    /// Returns the range that starts at `first`.
    pub fn get(&self, first: u16) -> Option<&KeyRange> {
        self.ranges.get(&first)
    }

    /// Applies the change from the log entry at `index` and returns whether it took effect. It takes effect only if it
    /// lies within a single range that still has the expected token or, with an expected token of 0, overlaps no range.
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

    /// Returns the current state of the ranges that changed after the log entry at `index`.
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

/// A balancer's copy of the key ranges of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyRangeView {
    /// Rows by first key.
    rows: BTreeMap<u16, KeyRangeRow>,
}

impl KeyRangeView {
    /// Applies rows that are newer than the whole view. Existing rows that overlap a new one are removed entirely: the
    /// remainder of a range that was split is always sent as separate rows.
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

    /// Iterates over all ranges, in key order.
    pub fn rows(&self) -> impl Iterator<Item = &KeyRangeRow> {
        self.rows.values()
    }
}

#[cfg(test)]
mod tests;
