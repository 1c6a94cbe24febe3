//! Callers that wait for the outcome of a command in the log.

use std::collections::BTreeMap;

use tokio::sync::oneshot;

use super::LogPosition;
use crate::configuration::CommandOutcome;

/// A command that was appended to the log, as seen by the caller that waits for its outcome.
pub(crate) struct PendingCommand {
    /// The command's index in the log.
    pub(crate) index: u64,
    /// Receives the outcome, or is closed without one if another entry replaced the command.
    pub(crate) outcome: oneshot::Receiver<CommandOutcome>,
}

struct Waiter {
    /// The term in which the command was proposed.
    term: u64,
    outcome: oneshot::Sender<CommandOutcome>,
}

/// Waiting callers, by the index of their command.
///
/// Invariant: a caller gets the outcome of the entry with its command's index *and* term, never that of an entry that
/// replaced it. There are no callers for indexes up to the applied one. When the process fails, its callers'
/// connections break and they resend their commands.
#[derive(Default)]
pub(crate) struct PendingCommands {
    by_index: BTreeMap<u64, Waiter>,
}

impl PendingCommands {
    /// Registers a caller for the command at this position. Must be called before anything is applied, because a log
    /// with a single member commits immediately.
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

    /// Sends the outcome to the caller of the command at this position. If another entry replaced the caller's command
    /// (same index, other term), the caller is dropped without an outcome.
    pub(crate) fn complete(&mut self, position: LogPosition, outcome: CommandOutcome) {
        if let Some(waiter) = self.by_index.remove(&position.index)
            && waiter.term == position.term
        {
            // The caller may have timed out.
            let _ = waiter.outcome.send(outcome);
        }
    }

    /// Removes the caller at this index, because it has timed out or its command was replaced.
    pub(crate) fn abandon(&mut self, index: u64) {
        self.by_index.remove(&index);
    }

    /// Removes callers up to this index, whose commands are covered by a snapshot.
    pub(crate) fn discard_through(&mut self, index: u64) {
        self.by_index = self.by_index.split_off(&(index + 1));
    }
}
