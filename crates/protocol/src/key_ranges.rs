//! Who holds which keys of a service whose upstreams divide them: as it is agreed on, and as balancers are told.
//! No sockets and no clock.
//!
//! **Promises.** The keys stand in slices that never overlap. A slice has a holder, or an upstream that has to
//! let go of it first, or neither. Each change of a slice names the fence that it was decided on and raises it by
//! one, so that of two changes decided on the same state one counts. A balancer's slices only get newer.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Work is counted by runs of so many keys: busy ones lie close together.
pub const KEYS_PER_BUCKET: u16 = 16;
/// And in units of so many milliseconds that an upstream was at it.
pub const WORK_UNIT_MS: u64 = 10;

/// How much work there was on which runs of keys, by service.
pub type KeyLoadReport = BTreeMap<String, Vec<(u16, u16)>>;

/// An upstream that holds keys, or held them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    #[serde(rename = "i")]
    pub id: String,
    #[serde(rename = "a")]
    pub addr: SocketAddr,
}

/// Whose a slice is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ownership {
    /// Nobody's, and nobody has to let go of it.
    #[default]
    #[serde(rename = "n")]
    Unowned,
    /// This one may be granted it, with the handover of the one before, if that gave one.
    #[serde(rename = "h")]
    Assigned(LeaseHolder, Option<String>),
    /// Nobody's until this one has let go of it.
    #[serde(rename = "l")]
    Releasing(LeaseHolder),
}

impl Ownership {
    /// Who may hold them.
    pub fn holder(&self) -> Option<&LeaseHolder> {
        match self {
            Self::Assigned(holder, _) | Self::Releasing(holder) => Some(holder),
            Self::Unowned => None,
        }
    }
}

/// A run of keys, from the one under which it stands to `to`, both inside.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    #[serde(rename = "t")]
    pub last: u16,
    #[serde(rename = "f")]
    pub fencing_token: u64,
    /// Where in the log it was changed last.
    #[serde(rename = "x")]
    index: u64,
    #[serde(rename = "o")]
    pub ownership: Ownership,
}

/// A change of a slice, or of a part of one; it counts only if that slice still has the fence `was` (0: there is
/// none yet). What is left of the slice to either side stays whose it is, under the raised fence too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRangeChange {
    #[serde(rename = "s")]
    pub first: u16,
    #[serde(rename = "t")]
    pub last: u16,
    #[serde(rename = "w")]
    pub expected_token: u64,
    #[serde(rename = "o")]
    pub ownership: Ownership,
}

/// A service's slices, as agreed on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRangeMap {
    #[serde(rename = "slices")]
    ranges: BTreeMap<u16, KeyRange>,
}

/// What balancers are told of a slice: from, to, and the id of its holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRangeRow(pub u16, pub u16, pub Option<String>);

impl KeyRangeMap {
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Each with its first key.
    pub fn iter(&self) -> impl Iterator<Item = (u16, &KeyRange)> {
        self.ranges.iter().map(|(since, s)| (*since, s))
    }

    pub fn get(&self, since: u16) -> Option<&KeyRange> {
        self.ranges.get(&since)
    }

    /// Takes a change in that stands at this place of the log; whether it counts.
    pub fn apply(&mut self, index: u64, change: &KeyRangeChange) -> bool {
        let KeyRangeChange {
            first: since,
            last: to,
            expected_token: was,
            ownership: owned,
        } = change;
        if since > to {
            return false;
        }
        let over = self
            .ranges
            .range(..=*to)
            .next_back()
            .filter(|(_, s)| s.last >= *since);
        let fence = was + 1;
        match over.map(|(first, slice)| (*first, slice.clone())) {
            None if *was == 0 => {}
            Some((first, slice))
                if first <= *since && slice.last >= *to && slice.fencing_token == *was =>
            {
                if first < *since {
                    let left = KeyRange {
                        last: since - 1,
                        fencing_token: fence,
                        index,
                        ownership: slice.ownership.clone(),
                    };
                    self.ranges.insert(first, left);
                }
                if slice.last > *to {
                    self.ranges.insert(
                        to + 1,
                        KeyRange {
                            fencing_token: fence,
                            index,
                            ..slice
                        },
                    );
                }
            }
            _ => return false,
        }
        self.ranges.insert(
            *since,
            KeyRange {
                last: *to,
                fencing_token: fence,
                index,
                ownership: owned.clone(),
            },
        );
        true
    }

    /// What changed after this place of the log.
    pub fn changed_since(&self, index: u64) -> Vec<KeyRangeRow> {
        let row = |(since, s): (&u16, &KeyRange)| {
            let holder = match &s.ownership {
                Ownership::Assigned(holder, _) => Some(holder.id.clone()),
                Ownership::Unowned | Ownership::Releasing(_) => None,
            };
            KeyRangeRow(*since, s.last, holder)
        };
        self.ranges
            .iter()
            .filter(|(_, s)| s.index > index)
            .map(row)
            .collect()
    }
}

/// A service's slices at a balancer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyRangeView {
    rows: BTreeMap<u16, KeyRangeRow>,
}

impl KeyRangeView {
    /// Takes in what is newer than all that it has. Slices keep their bounds; where they don't, the newer stand.
    pub fn apply(&mut self, rows: &[KeyRangeRow]) {
        for row in rows {
            let KeyRangeRow(since, to, _) = row;
            let over: Vec<u16> = self
                .rows
                .range(..=*to)
                .rev()
                .take_while(|(_, known)| known.1 >= *since)
                .map(|(at, _)| *at)
                .collect();
            over.iter().for_each(|at| drop(self.rows.remove(at)));
            self.rows.insert(*since, row.clone());
        }
    }

    /// All of them, in the order of the keys.
    pub fn rows(&self) -> impl Iterator<Item = &KeyRangeRow> {
        self.rows.values()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn holder(id: &str) -> LeaseHolder {
        LeaseHolder {
            id: id.into(),
            addr: SocketAddr::from(([10, 0, 0, 1], 80)),
        }
    }

    fn change(since: u16, to: u16, was: u64, owned: Ownership) -> KeyRangeChange {
        KeyRangeChange {
            first: since,
            last: to,
            expected_token: was,
            ownership: owned,
        }
    }

    #[test]
    fn of_two_changes_decided_on_one_state_one_counts() {
        let mut slices = KeyRangeMap::default();
        let by = |id: &str| Ownership::Assigned(holder(id), None);
        assert!(slices.apply(1, &change(0, 99, 0, by("a"))));
        assert!(
            !slices.apply(2, &change(0, 99, 0, by("b"))),
            "it exists by now"
        );
        assert!(
            !slices.apply(2, &change(50, 120, 0, by("b"))),
            "it overlaps"
        );
        assert!(slices.apply(2, &change(100, u16::MAX, 0, by("b"))));
        assert!(slices.apply(3, &change(0, 99, 1, Ownership::Releasing(holder("a")))));
        assert!(
            !slices.apply(4, &change(0, 99, 1, by("c"))),
            "decided on what stood before"
        );
        assert!(
            !slices.apply(4, &change(0, 100, 2, by("c"))),
            "beyond the slice"
        );
        assert_eq!(slices.get(0).map(|s| s.fencing_token), Some(2));
    }

    #[test]
    fn a_slice_is_cut_where_a_part_of_it_changes_hands() {
        let mut slices = KeyRangeMap::default();
        let by = |id: &str| Ownership::Assigned(holder(id), None);
        slices.apply(1, &change(0, u16::MAX, 0, by("a")));
        assert!(slices.apply(2, &change(100, 199, 1, Ownership::Releasing(holder("a")))));
        let rows = slices.changed_since(1);
        let a = Some("a".to_string());
        assert_eq!(
            rows,
            [
                KeyRangeRow(0, 99, a.clone()),
                KeyRangeRow(100, 199, None),
                KeyRangeRow(200, u16::MAX, a)
            ]
        );
        assert!(
            !slices.apply(3, &change(0, u16::MAX, 1, by("b"))),
            "decided on the whole"
        );
        assert!(
            !slices.apply(3, &change(0, 99, 1, by("b"))),
            "the fence rose for the rest too"
        );
        assert!(slices.apply(3, &change(0, 99, 2, by("b"))));
        let mut held = KeyRangeView::default();
        held.apply(&[KeyRangeRow(0, u16::MAX, Some("a".into()))]);
        held.apply(&slices.changed_since(1));
        assert_eq!(
            held.rows().cloned().collect::<Vec<_>>(),
            slices.changed_since(0)
        );
    }

    #[test]
    fn a_balancer_that_hears_what_changed_has_what_stands() {
        let (mut slices, mut held) = (KeyRangeMap::default(), KeyRangeView::default());
        for i in 0..16u16 {
            let (since, to) = (i * 4096, i * 4096 + 4095);
            slices.apply(
                1,
                &change(
                    since,
                    to,
                    0,
                    Ownership::Assigned(holder(&format!("i-{i}")), None),
                ),
            );
        }
        held.apply(&slices.changed_since(0));
        slices.apply(
            2,
            &change(4096, 8191, 1, Ownership::Releasing(holder("i-1"))),
        );
        slices.apply(
            5,
            &change(
                4096,
                8191,
                2,
                Ownership::Assigned(holder("i-9"), Some("h".into())),
            ),
        );
        let told = slices.changed_since(1);
        assert_eq!(
            told,
            [KeyRangeRow(4096, 8191, Some("i-9".into()))],
            "what changed, and as it is now"
        );
        held.apply(&told);
        assert_eq!(
            held.rows().cloned().collect::<Vec<_>>(),
            slices.changed_since(0)
        );
        held.apply(&[KeyRangeRow(4000, 9000, None)]);
        assert_eq!(
            held.rows().map(|r| r.0).collect::<Vec<_>>()[..2],
            [4000, 12288]
        );
    }
}
