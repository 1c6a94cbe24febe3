//! Operators' commands: they go through the log, and each acknowledgement comes from the outcome at the command's
//! position in it.
//!
//! A caller whose command has no outcome in time is told so ([`Indeterminate`]) and sends it again, here or elsewhere; a
//! command that is sent again has the same outcome. A process that dies drops its callers' connections.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::acknowledgement::Acknowledgement;
use super::state::{LogPosition, PendingCommand, State};
use super::{ControlServer, Indeterminate};
use crate::configuration::{Command, CommandOutcome};
use crate::evacuations::{CommandId, Decision, EvacuationStep};

/// How long a caller waits for the answer to a command to a zone: what it sent may be as old when it comes.
pub const CALLER_WAIT: Duration = Duration::from_millis(1000);

/// A command to a zone is decided on within this time: it takes up to four rounds.
const DECISION_TIMEOUT: Duration = Duration::from_millis(400);
/// How often it is looked whether the command before it is settled.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl ControlServer {
    /// Changes the configuration through the log.
    ///
    /// # Errors
    /// [`Indeterminate`] where the command has no outcome within `within`.
    pub async fn submit_command(
        &self,
        command: &Command,
        within: Duration,
    ) -> Result<CommandOutcome, Indeterminate> {
        let until = Instant::now() + within;
        self.wait_until_current_leader(until).await?;
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
        self.replicate(command, until).await
    }

    /// Evacuates a zone (`begin`), or returns it. Whether that is a new command or one sent again depends on what stands
    /// in the replicated state, and on what became of the acknowledgement that is returned.
    ///
    /// # Errors
    /// [`Indeterminate`] where the command is not known to be applied within `within`.
    pub async fn submit_zone_command(
        self: &Rc<Self>,
        zone: &str,
        begin: bool,
        within: Duration,
    ) -> Result<Acknowledgement, Indeterminate> {
        let arrived = Instant::now();
        let until = arrived + within;
        let acknowledge_freely =
            |command| Acknowledgement::open(self.clone(), zone, command, !begin, None);
        loop {
            self.wait_until_current_leader(until).await?;
            self.wait_until_zone_settled(zone, until).await?;
            match self.decide_zone_command(zone, begin, arrived) {
                Decision::NothingToReturn => return Ok(acknowledge_freely(None)),
                Decision::PossibleDuplicate(command) => {
                    return Ok(acknowledge_freely(Some(command)));
                }
                // Applied, it is met as a duplicate on the next turn, and acknowledged like one.
                Decision::New(step) => drop(self.replicate_zone_step(zone, step, until).await?),
                Decision::Duplicate(command) => {
                    let attempt = self.attempt_acknowledgement(zone, command, !begin, until);
                    if let Some(acknowledgement) = attempt.await? {
                        return Ok(acknowledgement);
                    }
                }
            }
        }
    }

    /// Has the log grant the acknowledgement of a command to an attempt of this process; `None` where another attempt
    /// has it.
    async fn attempt_acknowledgement(
        self: &Rc<Self>,
        zone: &str,
        command: CommandId,
        is_return: bool,
        until: Instant,
    ) -> Result<Option<Acknowledgement>, Indeterminate> {
        let attempt = {
            let mut state = self.state.borrow_mut();
            let term = state.log.node().status().term;
            state.zone_commands.next_attempt(term)
        };
        let mut acknowledgement =
            Acknowledgement::open(self.clone(), zone, Some(command), is_return, Some(attempt));
        let step = EvacuationStep::Acknowledge { command, attempt };
        if self.replicate_zone_step(zone, step, until).await? != CommandOutcome::Applied {
            acknowledgement.abandon_attempt();
            return Ok(None);
        }
        // Later than its caller listens it is not written, and so is withdrawn.
        if Instant::now() < until {
            Ok(Some(acknowledgement))
        } else {
            Err(Indeterminate::NoMajority)
        }
    }

    /// Waits until all is applied that this leader has put into the log about the zone; and, as long as there is
    /// time to decide without it, for what becomes of acknowledgements that are under way.
    async fn wait_until_zone_settled(
        &self,
        zone: &str,
        until: Instant,
    ) -> Result<(), Indeterminate> {
        loop {
            let now = Instant::now();
            let is_settling = self
                .state
                .borrow()
                .zone_commands
                .has_open_acknowledgement(zone)
                && now + DECISION_TIMEOUT < until;
            if !is_settling && !self.has_unapplied_step(zone) {
                return Ok(());
            }
            if now >= until {
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

    /// What a command is that arrived then: a new one, or one sent again.
    fn decide_zone_command(&self, zone: &str, begin: bool, arrived: Instant) -> Decision {
        let mut resend_window = Duration::from_millis(self.settings.bounds.ack_ms);
        if !begin {
            // It is counted from the last acknowledgement, which may be as late as its caller listens.
            resend_window += CALLER_WAIT;
        }
        let mut state = self.state.borrow_mut();
        let State {
            log, zone_commands, ..
        } = &mut *state;
        zone_commands.decide(zone, begin, arrived, resend_window, log.state())
    }

    /// Puts a step of a command to a zone into the log, and waits for its outcome.
    pub(super) async fn replicate_zone_step(
        &self,
        zone: &str,
        step: EvacuationStep,
        until: Instant,
    ) -> Result<CommandOutcome, Indeterminate> {
        let command = Command::ZoneStep {
            zone: zone.to_string(),
            step,
        };
        self.replicate(&command, until).await
    }

    /// Puts a command into the log, and waits for its outcome.
    async fn replicate(
        &self,
        command: &Command,
        until: Instant,
    ) -> Result<CommandOutcome, Indeterminate> {
        let Some(pending) = self.propose(command) else {
            return Err(Indeterminate::NotLeader(self.leader_address()));
        };
        let left = until.saturating_duration_since(Instant::now());
        match timeout(left, pending.outcome).await {
            Ok(Ok(outcome)) => Ok(outcome),
            // Another entry took its place.
            Ok(Err(_)) => Err(Indeterminate::NoMajority),
            Err(_) => {
                let mut state = self.state.borrow_mut();
                state.pending_commands.abandon(pending.index);
                Err(Indeterminate::NoMajority)
            }
        }
    }

    /// Puts a command into the log, if this process leads.
    pub(super) fn propose(&self, command: &Command) -> Option<PendingCommand> {
        let mut data = Vec::new();
        ciborium::into_writer(command, &mut data)
            .inspect_err(|error| tracing::error!(%error, "a command can't be encoded"))
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
