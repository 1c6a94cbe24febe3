//! Callers that wait for the outcome of a command in the log.

use std::collections::BTreeMap;

use tokio::sync::oneshot;

use super::LogPosition;
use crate::configuration::CommandOutcome;

/// A command that was put into the log, for the caller that waits for its outcome.
pub(crate) struct PendingCommand {
    /// Where it stands in the log.
    pub(crate) index: u64,
    /// Brings the outcome; ends without one where another entry took the command's place.
    pub(crate) outcome: oneshot::Receiver<CommandOutcome>,
}

struct Waiter {
    /// The term that the command was proposed in.
    term: u64,
    outcome: oneshot::Sender<CommandOutcome>,
}

/// Callers by the index of their command.
///
/// Invariant: a caller gets the outcome of the entry that stands at its command's index *and* term, never that of an
/// entry that replaced it. Indexes at or below the applied one have no caller. When the process dies, its callers'
/// connections break: they send the command again.
#[derive(Default)]
pub(crate) struct PendingCommands {
    by_index: BTreeMap<u64, Waiter>,
}

impl PendingCommands {
    /// Registers a caller for the command at this position. Has to happen before anything is applied: a log of one
    /// member commits at once.
    pub(crate) fn register(&mut self, position: LogPosition) -> PendingCommand {
        let (sender, outcome) = oneshot::channel();
        let waiter = Waiter {
            term: position.term,
            outcome: sender,
        };
        self.by_index.insert(position.index, waiter);
        PendingCommand {
            index: position.index,
            outcome,
        }
    }

    /// Tells the caller of the command at this position its outcome. A caller whose command another entry replaced
    /// (same index, other term) is dropped without an outcome.
    pub(crate) fn complete(&mut self, position: LogPosition, outcome: CommandOutcome) {
        if let Some(waiter) = self.by_index.remove(&position.index)
            && waiter.term == position.term
        {
            // A caller that no longer waits has timed out.
            let _ = waiter.outcome.send(outcome);
        }
    }

    /// Forgets the caller at this index: it waits no longer, or its command was replaced.
    pub(crate) fn abandon(&mut self, index: u64) {
        self.by_index.remove(&index);
    }

    /// Forgets callers up to this index, for a snapshot that covers their commands.
    pub(crate) fn discard_through(&mut self, index: u64) {
        self.by_index = self.by_index.split_off(&(index + 1));
    }
}
