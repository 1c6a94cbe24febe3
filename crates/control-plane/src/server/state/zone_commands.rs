//! Evacuations and returns in progress at this process, and the times by which resent calls are distinguished from new
//! ones.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::FxHashMap;
use tokio::time::Instant;

use super::LogPosition;
use crate::configuration::ReplicatedState;
use crate::evacuations::{AcknowledgementAttempt, CommandId, Decision, EvacuationStep};

/// What this process knows of zone commands in addition to the replicated state.
///
/// Invariants: for every command in the replicated state that a decision here has considered, `resend_window_starts`
/// contains a time that is not earlier than the last time at which the command's caller can have started to wait for an
/// answer. If this process knows no such time, the window starts when the command is first considered.
/// `open_acknowledgements` is exactly the number of existing `Acknowledgement`s. Changed by `server::commands` and by
/// applied entries. If the process fails, another one decides and regards every command as recent, which is the safe
/// assumption.
#[derive(Default)]
pub(crate) struct ZoneCommands {
    /// When an evacuation was applied, or when a return was last applied or acknowledged.
    resend_window_starts: FxHashMap<CommandId, Instant>,
    /// The number of this process's last attempt to acknowledge a command.
    last_attempt: u64,
    /// The number of acknowledgements by zone that are in progress, or written but not yet known to be read or lost.
    open_acknowledgements: BTreeMap<String, usize>,
    /// The last step of each zone that this process has proposed.
    last_proposed_steps: FxHashMap<String, LogPosition>,
}

impl ZoneCommands {
    /// Records that an acknowledgement for the zone begins.
    pub(crate) fn open_acknowledgement(&mut self, zone: &str) {
        *self
            .open_acknowledgements
            .entry(zone.to_string())
            .or_default() += 1;
    }

    /// Records that an acknowledgement for the zone has ended, whether or not it was written.
    pub(crate) fn close_acknowledgement(&mut self, zone: &str) {
        if let Some(count) = self.open_acknowledgements.get_mut(zone) {
            *count -= 1;
        }
        self.open_acknowledgements.retain(|_, count| *count > 0);
    }

    /// Whether an acknowledgement for the zone is in progress.
    pub(crate) fn has_open_acknowledgement(&self, zone: &str) -> bool {
        self.open_acknowledgements.contains_key(zone)
    }

    /// Returns a new attempt to acknowledge a command in this term.
    pub(crate) fn next_attempt(&mut self, term: u64) -> AcknowledgementAttempt {
        self.last_attempt += 1;
        AcknowledgementAttempt {
            term,
            number: self.last_attempt,
        }
    }

    /// Records that a step of the zone was appended to the log.
    pub(crate) fn record_proposed_step(&mut self, zone: &str, position: LogPosition) {
        self.last_proposed_steps.insert(zone.to_string(), position);
    }

    /// Whether a step of the zone that was proposed in the current term is not applied yet.
    pub(crate) fn has_unapplied_step(&self, zone: &str, term: u64, applied_index: u64) -> bool {
        let last = self.last_proposed_steps.get(zone);
        last.is_some_and(|last| last.term == term && last.index > applied_index)
    }

    /// Decides whether a command that arrived at this time is new or a resent copy. A command may be resent within
    /// `resend_window` of its entry in `resend_window_starts`.
    pub(crate) fn decide(
        &mut self,
        zone: &str,
        is_evacuation: bool,
        arrived_at: Instant,
        resend_window: Duration,
        state: &ReplicatedState,
    ) -> Decision {
        let now = Instant::now();
        let evacuations = state
            .zone_evacuations
            .get(zone)
            .cloned()
            .unwrap_or_default();
        // This process doesn't know when the other commands were applied, so their windows start now.
        for id in evacuations
            .evacuations
            .keys()
            .chain(evacuations.returns.keys())
        {
            self.resend_window_starts.entry(*id).or_insert(now);
        }
        evacuations.decide(is_evacuation, |id| {
            let at = self.resend_window_starts.get(&id);
            at.is_some_and(|at| arrived_at < *at + resend_window)
        })
    }

    /// Records the time at which a step was applied, if the step starts a resend window: when an evacuation is applied,
    /// and when a return is applied or acknowledged. The caller may resend the command for `ack_ms`, counted from
    /// before it is applied.
    pub(crate) fn record_applied_step(
        &mut self,
        index: u64,
        step: &EvacuationStep,
        state: &ReplicatedState,
        now: Instant,
    ) {
        let zones = state.zone_evacuations.values();
        let is_return = |id: &CommandId| zones.clone().any(|zone| zone.returns.contains_key(id));
        let command_id = match step {
            EvacuationStep::Begin | EvacuationStep::Finish { .. } => index,
            EvacuationStep::Acknowledge { command, .. } if is_return(command) => *command,
            EvacuationStep::Acknowledge { .. }
            | EvacuationStep::Withdraw { .. }
            | EvacuationStep::Confirm { .. }
            | EvacuationStep::Expire { .. } => return,
        };
        let is_evacuation =
            |id: &CommandId| zones.clone().any(|zone| zone.evacuations.contains_key(id));
        self.resend_window_starts
            .retain(|id, _| is_evacuation(id) || is_return(id));
        self.resend_window_starts.insert(command_id, now);
    }
}
