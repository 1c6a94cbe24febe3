//! Moves ranges from heavily to lightly loaded upstreams, a few at a time.
//!
//! A move begins with a release. Once the owner has released the range, the least loaded candidate gets it.

use std::collections::BTreeMap;

use protocol::key_ranges::{KeyRange, KeyRangeChange, KeyRangeMap, Ownership};

use crate::Planner;
use crate::candidates::CandidatePool;
use crate::key_load::KeyLoad;
use crate::timing::{
    MAX_RANGES_PER_UPSTREAM, OVERLOAD_FACTOR, RANGES_PER_MOVE, REBALANCE_MIN_LOAD_PER_SLOT,
    UNDERLOAD_FACTOR,
};

/// A range, or a part of one, that may be moved.
struct MovableRange {
    first: u16,
    last: u16,
    fencing_token: u64,
}

impl MovableRange {
    fn load(&self, key_load: &KeyLoad) -> f64 {
        key_load.range_load(self.first, self.last)
    }
}

/// Movable ranges by the id of their owner.
type MovableRanges<'a> = BTreeMap<&'a str, Vec<MovableRange>>;

impl Planner {
    /// Returns the releases that even out the load, a few at most. While the most loaded upstream has too much load or
    /// the least loaded one too little, the most loaded one releases a range or a part split off one. Each upstream
    /// releases at most one range per run.
    pub(crate) fn rebalance(
        &mut self,
        now: u64,
        ranges: &KeyRangeMap,
        pool: &mut CandidatePool<'_>,
        key_load: &KeyLoad,
    ) -> Vec<KeyRangeChange> {
        let max_moves = max_moves(ranges);
        let mut movable = self.movable_ranges(ranges, pool, key_load);
        let mean = pool.mean_load_per_slot();
        let can_split = ranges.iter().count() < pool.len() * MAX_RANGES_PER_UPSTREAM;
        let mut changes = Vec::new();
        while changes.len() < max_moves {
            let most = pool.most_loaded(|holder| movable.contains_key(holder.id.as_str()));
            let Some((least, most)) = pool.least_loaded(0).zip(most) else {
                break;
            };
            let (low, high) = (pool.load_per_slot(least), pool.load_per_slot(most));
            let is_even = high <= mean * OVERLOAD_FACTOR && low >= mean * UNDERLOAD_FACTOR;
            if is_even || high <= low || high < REBALANCE_MIN_LOAD_PER_SLOT {
                break;
            }
            let slots = pool.slots(most);
            let wanted = (high - low) / 2.0 * slots;
            let holder = pool.holder(most).clone();
            let Some(owned) = movable.remove(holder.id.as_str()) else {
                break;
            };
            let Some(part) = select_part(owned, wanted, mean * slots, can_split, key_load) else {
                continue;
            };
            let load = part.load(key_load);
            if load > 2.0 * wanted {
                // A single key may have more load than any upstream should. Moving it would not help.
                continue;
            }
            pool.move_load(most, least, load);
            let releasing = Ownership::Releasing(holder);
            changes.push(self.propose(now, part.first, part.last, part.fencing_token, releasing));
        }
        changes
    }

    /// Returns the ranges that may be moved. The load of ranges that are being released is added to the candidates that
    /// will get them.
    fn movable_ranges<'a>(
        &self,
        ranges: &'a KeyRangeMap,
        pool: &mut CandidatePool<'_>,
        key_load: &KeyLoad,
    ) -> MovableRanges<'a> {
        let mut movable = MovableRanges::new();
        for (first, range) in ranges.iter() {
            match &range.ownership {
                Ownership::Assigned(holder, _) if !self.proposals.contains_key(&first) => {
                    movable
                        .entry(holder.id.as_str())
                        .or_default()
                        .push(MovableRange {
                            first,
                            last: range.last,
                            fencing_token: range.fencing_token,
                        });
                }
                Ownership::Releasing(_) => {
                    // Only the effect on the candidate's load matters.
                    drop(pool.assign(first, key_load.range_load(first, range.last), None));
                }
                Ownership::Assigned(..) | Ownership::Unowned => {}
            }
        }
        movable
    }
}

/// Returns how many ranges may be moved in addition to those that are being released.
fn max_moves(ranges: &KeyRangeMap) -> usize {
    let is_releasing = |range: &KeyRange| matches!(range.ownership, Ownership::Releasing(_));
    let releasing = ranges.iter().filter(|(_, r)| is_releasing(r)).count();
    (ranges.iter().count() / RANGES_PER_MOVE + 1).saturating_sub(releasing)
}

/// Selects the range, or part of a range, that an upstream releases to lose about the load `wanted`: the range with the
/// largest load up to `wanted`, if that is at least half of it; else, if ranges may be split, a part of the largest
/// range. `fair_load` is the load that the upstream should have: a range with more is split however many ranges there
/// are, since no upstream should own the whole of it.
fn select_part(
    mut owned: Vec<MovableRange>,
    wanted: f64,
    fair_load: f64,
    can_split: bool,
    key_load: &KeyLoad,
) -> Option<MovableRange> {
    let load = |range: &MovableRange| range.load(key_load);
    owned.sort_by(|a, b| load(a).total_cmp(&load(b)));
    let can_split = can_split || owned.last().is_some_and(|range| load(range) > fair_load);
    let is_enough = |&i: &usize| load(&owned[i]) >= wanted / 2.0 || i + 1 == owned.len();
    let whole = owned
        .iter()
        .rposition(|range| load(range) <= wanted)
        .filter(|i| is_enough(i) || !can_split);
    if let Some(i) = whole {
        return Some(owned.remove(i));
    }
    let largest = owned.pop().filter(|_| can_split)?;
    let split = key_load.split_point(largest.first, largest.last, wanted)?;
    Some(MovableRange {
        first: split,
        ..largest
    })
}
