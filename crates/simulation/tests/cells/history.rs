//! What operators and balancers saw of real cells, and what must hold of it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

/// A balancer in touch for so long is owed news.
pub const CONTACT: Duration = Duration::from_millis(5000);
/// What was acknowledged before is in force everywhere after this.
pub const APPLY: Duration = Duration::from_millis(2500);

/// An order, by the number that stands in its configuration as `target_ms`.
pub type Mark = u64;

#[derive(Default)]
struct Seen {
    broken: Option<String>,
    /// The order whose configuration stands at each place of the log.
    in_force: BTreeMap<u64, Mark>,
    refused: BTreeSet<Mark>,
    winners: BTreeMap<u64, Mark>,
    /// Acknowledged orders with the versions they led to, and when.
    acknowledged: Vec<(u64, Mark, Instant)>,
    reads: u64,
    looks: u64,
}

/// All that was seen; the first rule that broke is kept.
#[derive(Default)]
pub struct History(RefCell<Seen>);

/// The mark of a configuration; 0 for none.
pub fn mark_of(config: &str) -> Mark {
    let after = config.split("\"target_ms\":").nth(1).unwrap_or_default();
    let digits: String = after
        .trim_start()
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().unwrap_or(0)
}

impl History {
    pub fn broken(&self) -> Option<String> {
        self.0.borrow().broken.clone()
    }

    pub fn require(&self, holds: bool, detail: impl FnOnce() -> String) {
        let mut seen = self.0.borrow_mut();
        if !holds && seen.broken.is_none() {
            seen.broken = Some(detail());
        }
    }

    /// How many acknowledgements, reads and looks at balancers there were.
    pub fn counts(&self) -> (usize, u64, u64) {
        let seen = self.0.borrow();
        (seen.acknowledged.len(), seen.reads, seen.looks)
    }

    /// A configuration is in force somewhere.
    pub fn in_force(&self, index: u64, mark: Mark) {
        if index == 0 {
            return;
        }
        let known = *self.0.borrow_mut().in_force.entry(index).or_insert(mark);
        self.require(known == mark, || {
            format!("two configurations at {index}: {known}, {mark}")
        });
        let refused = self.0.borrow().refused.contains(&mark);
        self.require(!refused, || format!("{mark} was refused, and is in force"));
    }

    pub fn acknowledged(&self, base: u64, rev: u64, mark: Mark) {
        let winner = *self.0.borrow_mut().winners.entry(base).or_insert(mark);
        self.require(winner == mark, || {
            format!("two acknowledged on {base}: {winner}, {mark}")
        });
        let now = Instant::now();
        self.0.borrow_mut().acknowledged.push((rev, mark, now));
    }

    pub fn refused(&self, mark: Mark) {
        let mut seen = self.0.borrow_mut();
        seen.refused.insert(mark);
        let acknowledged = seen.acknowledged.iter().any(|(_, m, _)| *m == mark);
        let in_force = seen.in_force.values().any(|m| *m == mark);
        drop(seen);
        self.require(!acknowledged && !in_force, || {
            format!("{mark} is in force, and is refused")
        });
    }

    /// The newest version acknowledged by this time.
    pub fn newest(&self, by: Instant) -> u64 {
        let seen = self.0.borrow();
        seen.acknowledged
            .iter()
            .filter(|(_, _, at)| *at <= by)
            .map(|(rev, ..)| *rev)
            .max()
            .unwrap_or(0)
    }

    /// A read that began when `floor` was the newest version shown.
    pub fn read(&self, floor: u64, rev: u64) {
        self.0.borrow_mut().reads += 1;
        self.require(rev >= floor, || {
            format!("a read saw {rev}, and {floor} was acknowledged")
        });
    }

    /// A balancer in touch has this version.
    pub fn balancer(&self, node: &str, rev: u64) {
        self.0.borrow_mut().looks += 1;
        let owed = Instant::now()
            .checked_sub(APPLY)
            .map_or(0, |by| self.newest(by));
        self.require(rev >= owed, || {
            format!("{node} is in touch and has {rev}; {owed} was acknowledged long ago")
        });
    }
}
