//! What operators and balancers saw of the control servers, and the invariants that are checked against it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

/// A balancer that has been in contact for so long has to have what was acknowledged.
pub(crate) const CONTACT_TIME: Duration = Duration::from_millis(5000);
/// What was acknowledged before is in force everywhere after this.
const PROPAGATION_TIME: Duration = Duration::from_millis(2500);

/// Identifies a command: the `target_ms` of its configuration. 0 stands for no configuration.
pub(crate) type CommandId = u64;

/// How much was checked.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Counts {
    /// Commands acknowledged to operators.
    pub(crate) acknowledged: usize,
    /// Reads answered.
    pub(crate) reads: u64,
    /// Looks at what a balancer has.
    pub(crate) balancer_checks: u64,
}

struct Acknowledgement {
    /// The revision that the command led to.
    revision: u64,
    id: CommandId,
    at: Instant,
}

#[derive(Default)]
struct Observations {
    violation: Option<String>,
    /// The command whose configuration stands at each index.
    applied: BTreeMap<u64, CommandId>,
    rejected: BTreeSet<CommandId>,
    /// The acknowledged command on top of each revision.
    successors: BTreeMap<u64, CommandId>,
    acknowledged: Vec<Acknowledgement>,
    reads: u64,
    balancer_checks: u64,
}

/// All that was seen; of the violations the first one is kept.
#[derive(Default)]
pub(crate) struct History(RefCell<Observations>);

/// The id of a configuration.
pub(crate) fn command_id_of(config: &str) -> CommandId {
    let after = config.split("\"target_ms\":").nth(1).unwrap_or_default();
    let digits: String = after
        .trim_start()
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().unwrap_or(0)
}

impl History {
    pub(crate) fn violation(&self) -> Option<String> {
        self.0.borrow().violation.clone()
    }

    pub(crate) fn counts(&self) -> Counts {
        let seen = self.0.borrow();
        Counts {
            acknowledged: seen.acknowledged.len(),
            reads: seen.reads,
            balancer_checks: seen.balancer_checks,
        }
    }

    /// Keeps a violation, unless `holds`.
    pub(crate) fn require(&self, holds: bool, detail: impl FnOnce() -> String) {
        let mut seen = self.0.borrow_mut();
        if !holds && seen.violation.is_none() {
            seen.violation = Some(detail());
        }
    }

    /// A configuration was seen at an index (0: none yet). It is the same for all, and it was not rejected.
    pub(crate) fn on_configuration(&self, index: u64, id: CommandId) {
        if index == 0 {
            return;
        }
        let known = *self.0.borrow_mut().applied.entry(index).or_insert(id);
        self.require(known == id, || {
            format!("two configurations at {index}: {known}, {id}")
        });
        let is_rejected = self.0.borrow().rejected.contains(&id);
        self.require(!is_rejected, || {
            format!("{id} was rejected, and is in force")
        });
    }

    /// A command on top of revision `base` was acknowledged. It is the only one.
    pub(crate) fn on_acknowledged(&self, base: u64, revision: u64, id: CommandId) {
        let successor = *self.0.borrow_mut().successors.entry(base).or_insert(id);
        self.require(successor == id, || {
            format!("two acknowledged on {base}: {successor}, {id}")
        });
        let at = Instant::now();
        self.0
            .borrow_mut()
            .acknowledged
            .push(Acknowledgement { revision, id, at });
    }

    /// A command was rejected. It is neither acknowledged nor in force.
    pub(crate) fn on_rejected(&self, id: CommandId) {
        let mut seen = self.0.borrow_mut();
        seen.rejected.insert(id);
        let is_acknowledged = seen.acknowledged.iter().any(|a| a.id == id);
        let is_applied = seen.applied.values().any(|m| *m == id);
        drop(seen);
        self.require(!is_acknowledged && !is_applied, || {
            format!("{id} is in force, and is rejected")
        });
    }

    /// The newest revision acknowledged by this time; 0 if there is none.
    pub(crate) fn newest_revision(&self, by: Instant) -> u64 {
        let seen = self.0.borrow();
        let acknowledged = seen.acknowledged.iter().filter(|a| a.at <= by);
        acknowledged.map(|a| a.revision).max().unwrap_or(0)
    }

    /// A read that began when `acknowledged` was the newest revision saw `revision`: one as new.
    pub(crate) fn on_read(&self, acknowledged: u64, revision: u64) {
        self.0.borrow_mut().reads += 1;
        self.require(revision >= acknowledged, || {
            format!("a read saw {revision}, and {acknowledged} was acknowledged")
        });
    }

    /// A balancer in contact has this revision: one as new as was acknowledged [`PROPAGATION_TIME`] ago.
    pub(crate) fn on_balancer_checked(&self, node: &str, revision: u64) {
        self.0.borrow_mut().balancer_checks += 1;
        let required = Instant::now()
            .checked_sub(PROPAGATION_TIME)
            .map_or(0, |by| self.newest_revision(by));
        self.require(revision >= required, || {
            format!("{node} is in contact and has {revision}; {required} was acknowledged long ago")
        });
    }
}
