//! Evacuations and returns that are under way at this process: what tells one sent again from a new one.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::FxHashMap;
use tokio::time::Instant;

use super::LogPosition;
use crate::configuration::ReplicatedState;
use crate::evacuations::{AcknowledgementAttempt, CommandId, Decision, EvacuationStep};

/// What this process knows of commands to zones beside the replicated state.
///
/// Invariants: `last_relevant_at` holds, for every command in the replicated state that was ever decided on here, a
/// moment not before the one at which its caller could last have begun to wait; a command that it doesn't know counts as
/// relevant from the moment of its first look. `open_acknowledgements` counts exactly the `Acknowledgement`s that stand.
/// Changed by `server::commands`, and by applied entries. After the process has died another one decides, and takes every
/// command for a recent one: on the safe side.
#[derive(Default)]
pub(crate) struct ZoneCommands {
    /// When an evacuation was applied, or a return was applied or acknowledged last.
    last_relevant_at: FxHashMap<CommandId, Instant>,
    /// Numbers the attempts of this process to acknowledge a command.
    last_attempt: u64,
    /// Acknowledgements that are under way, or written and not known yet to be read or lost, by zone.
    open_acknowledgements: BTreeMap<String, usize>,
    /// The last step about each zone that this process put into the log.
    last_steps: FxHashMap<String, LogPosition>,
}

impl ZoneCommands {
    /// An acknowledgement for the zone begins.
    pub(crate) fn open_acknowledgement(&mut self, zone: &str) {
        *self
            .open_acknowledgements
            .entry(zone.to_string())
            .or_default() += 1;
    }

    /// An acknowledgement for the zone has ended, written or not.
    pub(crate) fn close_acknowledgement(&mut self, zone: &str) {
        if let Some(count) = self.open_acknowledgements.get_mut(zone) {
            *count -= 1;
        }
        self.open_acknowledgements.retain(|_, count| *count > 0);
    }

    /// Whether an acknowledgement for the zone is under way.
    pub(crate) fn has_open_acknowledgement(&self, zone: &str) -> bool {
        self.open_acknowledgements.contains_key(zone)
    }

    /// A new attempt to acknowledge, in this term.
    pub(crate) fn next_attempt(&mut self, term: u64) -> AcknowledgementAttempt {
        self.last_attempt += 1;
        AcknowledgementAttempt {
            term,
            number: self.last_attempt,
        }
    }

    /// A step about the zone is in the log.
    pub(crate) fn record_proposed_step(&mut self, zone: &str, position: LogPosition) {
        self.last_steps.insert(zone.to_string(), position);
    }

    /// Whether a step about the zone, proposed in the present term, is not applied yet.
    pub(crate) fn has_unapplied_step(&self, zone: &str, term: u64, applied_index: u64) -> bool {
        let last = self.last_steps.get(zone);
        last.is_some_and(|last| last.term == term && last.index > applied_index)
    }

    /// What a command is that arrived then: a new one, or one sent again. One is taken for sent again for
    /// `resend_window` after it was last relevant.
    pub(crate) fn decide(
        &mut self,
        zone: &str,
        begin: bool,
        arrived: Instant,
        resend_window: Duration,
        state: &ReplicatedState,
    ) -> Decision {
        let now = Instant::now();
        let evacuations = state
            .zone_evacuations
            .get(zone)
            .cloned()
            .unwrap_or_default();
        // This process doesn't know when others of them were applied: they count from now.
        for id in evacuations
            .evacuations
            .keys()
            .chain(evacuations.returns.keys())
        {
            self.last_relevant_at.entry(*id).or_insert(now);
        }
        evacuations.decide(begin, |id| {
            let at = self.last_relevant_at.get(&id);
            at.is_some_and(|at| arrived < *at + resend_window)
        })
    }

    /// A step was applied at this index. Notes when an evacuation was applied, and when a return was applied or
    /// acknowledged last: its caller may send it again for `ack_ms`, counted from before it is applied.
    pub(crate) fn record_applied_step(
        &mut self,
        index: u64,
        step: &EvacuationStep,
        state: &ReplicatedState,
        now: Instant,
    ) {
        let zones = state.zone_evacuations.values();
        let is_return = |id: &CommandId| zones.clone().any(|zone| zone.returns.contains_key(id));
        let relevant = match step {
            EvacuationStep::Begin | EvacuationStep::Finish { .. } => index,
            EvacuationStep::Acknowledge { command, .. } if is_return(command) => *command,
            EvacuationStep::Acknowledge { .. }
            | EvacuationStep::Withdraw { .. }
            | EvacuationStep::Confirm { .. }
            | EvacuationStep::Expire { .. } => return,
        };
        let is_evacuation =
            |id: &CommandId| zones.clone().any(|zone| zone.evacuations.contains_key(id));
        self.last_relevant_at
            .retain(|id, _| is_evacuation(id) || is_return(id));
        self.last_relevant_at.insert(relevant, now);
    }
}
