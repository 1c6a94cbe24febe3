//! Operators' commands. They are replicated through the log, and each acknowledgement reports the outcome of the
//! command at its index.
//!
//! A caller whose command has no outcome in time is told so ([`Indeterminate`]) and resends it, to this process or
//! another one; a resent command has the same outcome. When a process fails, its callers' connections break.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::acknowledgement::Acknowledgement;
use super::state::{LogPosition, PendingCommand, State};
use super::{ControlServer, Indeterminate};
use crate::configuration::{Command, CommandOutcome};
use crate::evacuations::{CommandId, Decision, EvacuationStep};

/// How long a caller waits for the answer to an evacuation or a return (a *zone command*). A command may thus be this
/// old when it arrives.
pub const CALLER_WAIT: Duration = Duration::from_millis(1000);

/// The time allowed for deciding on a zone command, which takes up to four rounds of replication.
const DECISION_TIMEOUT: Duration = Duration::from_millis(400);
/// The interval at which [`ControlServer::wait_until_zone_settled`] checks whether the previous command is settled.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl ControlServer {
    /// Changes the configuration through the log.
    ///
    /// # Errors
    /// Returns [`Indeterminate`] if the command has no outcome within `within`.
    pub async fn submit_command(
        &self,
        command: &Command,
        within: Duration,
    ) -> Result<CommandOutcome, Indeterminate> {
        let deadline = Instant::now() + within;
        self.wait_until_current_leader(deadline).await?;
        let (outcome, is_final) = {
            let state = self.state.borrow();
            let replicated = state.log.state();
            let outcome = replicated.check(command);
            let is_final = replicated.is_final(command, &outcome);
            (outcome, is_final)
        };
        if is_final {
            return Ok(outcome);
        }
        self.replicate(command, deadline).await
    }

    /// Evacuates a zone, or returns it if `is_evacuation` is false. Whether the call is new or a resent copy depends on
    /// the replicated state, which also records the result of each [`Acknowledgement`] that was returned here.
    ///
    /// # Errors
    /// Returns [`Indeterminate`] if the command is not known to be applied within `within`.
    pub async fn submit_zone_command(
        self: &Rc<Self>,
        zone: &str,
        is_evacuation: bool,
        within: Duration,
    ) -> Result<Acknowledgement, Indeterminate> {
        let arrived_at = Instant::now();
        let deadline = arrived_at + within;
        let acknowledge_without_attempt =
            |command| Acknowledgement::open(self.clone(), zone, command, !is_evacuation, None);
        loop {
            self.wait_until_current_leader(deadline).await?;
            self.wait_until_zone_settled(zone, deadline).await?;
            match self.decide_zone_command(zone, is_evacuation, arrived_at) {
                Decision::NothingToReturn => return Ok(acknowledge_without_attempt(None)),
                Decision::PossibleDuplicate(command) => {
                    return Ok(acknowledge_without_attempt(Some(command)));
                }
                // Once applied, the command is found as a duplicate in the next iteration, and is acknowledged as such.
                Decision::New(step) => drop(self.replicate_zone_step(zone, step, deadline).await?),
                Decision::Duplicate(command) => {
                    let attempt =
                        self.attempt_acknowledgement(zone, command, !is_evacuation, deadline);
                    if let Some(acknowledgement) = attempt.await? {
                        return Ok(acknowledgement);
                    }
                }
            }
        }
    }

    /// Claims the acknowledgement of a command for a new attempt of this process, through the log. Returns `None` if
    /// another attempt holds it.
    async fn attempt_acknowledgement(
        self: &Rc<Self>,
        zone: &str,
        command: CommandId,
        is_return: bool,
        deadline: Instant,
    ) -> Result<Option<Acknowledgement>, Indeterminate> {
        let attempt = {
            let mut state = self.state.borrow_mut();
            let term = state.log.node().status().term;
            state.zone_commands.next_attempt(term)
        };
        let mut acknowledgement =
            Acknowledgement::open(self.clone(), zone, Some(command), is_return, Some(attempt));
        let step = EvacuationStep::Acknowledge { command, attempt };
        if self.replicate_zone_step(zone, step, deadline).await? != CommandOutcome::Applied {
            acknowledgement.abandon_attempt();
            return Ok(None);
        }
        // Past the deadline the caller no longer waits: the acknowledgement is dropped, and thereby withdrawn.
        if Instant::now() < deadline {
            Ok(Some(acknowledgement))
        } else {
            Err(Indeterminate::NoMajority)
        }
    }

    /// Waits until every step that this leader has proposed for the zone is applied. While enough time remains to
    /// decide afterwards, also waits for the results of open acknowledgements.
    async fn wait_until_zone_settled(
        &self,
        zone: &str,
        deadline: Instant,
    ) -> Result<(), Indeterminate> {
        loop {
            let now = Instant::now();
            let is_settling = self
                .state
                .borrow()
                .zone_commands
                .has_open_acknowledgement(zone)
                && now + DECISION_TIMEOUT < deadline;
            if !is_settling && !self.has_unapplied_step(zone) {
                return Ok(());
            }
            if now >= deadline {
                return Err(Indeterminate::NoMajority);
            }
            sleep(SETTLE_POLL_INTERVAL).await;
        }
    }

    fn has_unapplied_step(&self, zone: &str) -> bool {
        let state = self.state.borrow();
        let term = state.log.node().status().term;
        state
            .zone_commands
            .has_unapplied_step(zone, term, state.log.applied_index())
    }

    /// Decides whether a command that arrived at this time is new or a resent copy.
    fn decide_zone_command(
        &self,
        zone: &str,
        is_evacuation: bool,
        arrived_at: Instant,
    ) -> Decision {
        let mut resend_window = Duration::from_millis(self.settings.bounds.ack_ms);
        if !is_evacuation {
            // For a return, the window starts at the last acknowledgement, which may be as late as the end of the time
            // for which its caller waits.
            resend_window += CALLER_WAIT;
        }
        let mut state = self.state.borrow_mut();
        let State {
            log, zone_commands, ..
        } = &mut *state;
        zone_commands.decide(zone, is_evacuation, arrived_at, resend_window, log.state())
    }

    /// Proposes a step of a zone command and waits for its outcome.
    pub(super) async fn replicate_zone_step(
        &self,
        zone: &str,
        step: EvacuationStep,
        deadline: Instant,
    ) -> Result<CommandOutcome, Indeterminate> {
        let command = Command::ZoneStep {
            zone: zone.to_string(),
            step,
        };
        self.replicate(&command, deadline).await
    }

    /// Proposes a command and waits for its outcome.
    async fn replicate(
        &self,
        command: &Command,
        deadline: Instant,
    ) -> Result<CommandOutcome, Indeterminate> {
        let Some(pending) = self.propose(command) else {
            return Err(Indeterminate::NotLeader(self.leader_address()));
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        match timeout(remaining, pending.outcome).await {
            Ok(Ok(outcome)) => Ok(outcome),
            // Another entry replaced the command.
            Ok(Err(_)) => Err(Indeterminate::NoMajority),
            Err(_) => {
                let mut state = self.state.borrow_mut();
                state.pending_commands.abandon(pending.index);
                Err(Indeterminate::NoMajority)
            }
        }
    }

    /// Appends a command to the log, if this process leads.
    pub(super) fn propose(&self, command: &Command) -> Option<PendingCommand> {
        let mut data = Vec::new();
        ciborium::into_writer(command, &mut data)
            .inspect_err(|error| tracing::error!(%error, "failed to encode a command"))
            .ok()?;
        self.with_state(|state| {
            let index = state.log.node_mut().propose(data)?;
            let term = state.log.node().status().term;
            let position = LogPosition { term, index };
            if let Command::ZoneStep { zone, .. } = command {
                state.zone_commands.record_proposed_step(zone, position);
            }
            Some(state.pending_commands.register(position))
        })
    }
}
