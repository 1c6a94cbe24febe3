//! Records what operators and balancers observe of the control servers, and checks the invariants against it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

/// A balancer is checked only if there was no core fault, and its process has been running, for this long.
pub(crate) const CONTACT_TIME: Duration = Duration::from_millis(5000);
/// The time after its acknowledgement within which a configuration has to reach all balancers.
const PROPAGATION_TIME: Duration = Duration::from_millis(2500);

/// Identifies a command by the `target_ms` of its configuration. 0 stands for no configuration.
pub(crate) type CommandId = u64;

/// Counts how much was checked.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Counts {
    /// Commands acknowledged to operators.
    pub(crate) acknowledged: usize,
    /// Reads served.
    pub(crate) reads: u64,
    /// Checks of a balancer's configuration.
    pub(crate) balancer_checks: u64,
}

struct Acknowledgement {
    /// The revision of the new configuration.
    revision: u64,
    id: CommandId,
    at: Instant,
}

#[derive(Default)]
struct Observations {
    violation: Option<String>,
    /// The command whose configuration was observed at each index.
    applied: BTreeMap<u64, CommandId>,
    rejected: BTreeSet<CommandId>,
    /// The acknowledged command that is based on each revision.
    successors: BTreeMap<u64, CommandId>,
    acknowledged: Vec<Acknowledgement>,
    reads: u64,
    balancer_checks: u64,
}

/// Everything observed in a run, and the first violation.
#[derive(Default)]
pub(crate) struct History(RefCell<Observations>);

/// Returns the id of the command that set a configuration.
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

    /// Records a violation unless `holds` is true or there is a violation already.
    pub(crate) fn require(&self, holds: bool, detail: impl FnOnce() -> String) {
        let mut seen = self.0.borrow_mut();
        if !holds && seen.violation.is_none() {
            seen.violation = Some(detail());
        }
    }

    /// Records that a configuration was observed at an index (0: none yet). Checks that all observers see the same one
    /// and that it was not rejected.
    pub(crate) fn on_configuration(&self, index: u64, id: CommandId) {
        if index == 0 {
            return;
        }
        let known = *self.0.borrow_mut().applied.entry(index).or_insert(id);
        self.require(known == id, || {
            format!("different configurations at index {index}: {known} and {id}")
        });
        let is_rejected = self.0.borrow().rejected.contains(&id);
        self.require(!is_rejected, || {
            format!("command {id} was rejected but is applied")
        });
    }

    /// Records that a command based on revision `base` was acknowledged. Checks that it is the only one.
    pub(crate) fn on_acknowledged(&self, base: u64, revision: u64, id: CommandId) {
        let successor = *self.0.borrow_mut().successors.entry(base).or_insert(id);
        self.require(successor == id, || {
            format!("two commands acknowledged for base revision {base}: {successor} and {id}")
        });
        let at = Instant::now();
        self.0
            .borrow_mut()
            .acknowledged
            .push(Acknowledgement { revision, id, at });
    }

    /// Records that a command was rejected. Checks that it was neither acknowledged nor applied.
    pub(crate) fn on_rejected(&self, id: CommandId) {
        let mut seen = self.0.borrow_mut();
        seen.rejected.insert(id);
        let is_acknowledged = seen.acknowledged.iter().any(|a| a.id == id);
        let is_applied = seen.applied.values().any(|m| *m == id);
        drop(seen);
        self.require(!is_acknowledged && !is_applied, || {
            format!("command {id} was acknowledged or applied, but is rejected")
        });
    }

    /// Returns the newest revision acknowledged by this time, or 0 if there is none.
    pub(crate) fn newest_revision(&self, by: Instant) -> u64 {
        let seen = self.0.borrow();
        let acknowledged = seen.acknowledged.iter().filter(|a| a.at <= by);
        acknowledged.map(|a| a.revision).max().unwrap_or(0)
    }

    /// Records a read that returned `revision` and began when `acknowledged` was the newest acknowledged revision.
    /// Checks that it did not return an older one.
    pub(crate) fn on_read(&self, acknowledged: u64, revision: u64) {
        self.0.borrow_mut().reads += 1;
        self.require(revision >= acknowledged, || {
            format!("a read returned revision {revision} after {acknowledged} was acknowledged")
        });
    }

    /// Records the revision of a balancer in contact. Checks that it is not older than the newest one acknowledged
    /// [`PROPAGATION_TIME`] ago.
    pub(crate) fn on_balancer_checked(&self, node: &str, revision: u64) {
        self.0.borrow_mut().balancer_checks += 1;
        let required = Instant::now()
            .checked_sub(PROPAGATION_TIME)
            .map_or(0, |by| self.newest_revision(by));
        self.require(revision >= required, || {
            format!(
                "balancer {node} is in contact with revision {revision}, but {required} was acknowledged \
                 more than {PROPAGATION_TIME:?} ago"
            )
        });
    }
}
