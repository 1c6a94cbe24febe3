//! The acknowledgement of an evacuation or a return, from before it is written until its caller has read it.
//!
//! Two control processes must not both acknowledge the same command to different callers, and a resent command must be
//! distinguished from a new one. The log therefore records which attempt may acknowledge a command, and with what
//! result: see [`crate::evacuations`]. If this process fails before it has recorded a result, the acknowledgement
//! counts as sent, which is the safe assumption.

use std::rc::Rc;

use tokio::time::Instant;

use super::{CALLER_WAIT, ControlServer};
use crate::configuration::Command;
use crate::evacuations::{AcknowledgementAttempt, CommandId, EvacuationStep};

/// The acknowledgement of an applied zone command (an evacuation or a return). If it is dropped before
/// [`Self::mark_sent`], the log records that it was not sent.
pub struct Acknowledgement {
    server: Rc<ControlServer>,
    zone: String,
    /// `None` if the call was a return and there was no evacuation to end.
    command: Option<CommandId>,
    is_return: bool,
    /// `None` if no attempt is recorded in the log: the command may have been acknowledged already, or there was
    /// nothing to return.
    attempt: Option<AcknowledgementAttempt>,
    is_sent: bool,
}

impl Acknowledgement {
    /// Creates an acknowledgement. It counts as open for its zone until it is dropped.
    pub(super) fn open(
        server: Rc<ControlServer>,
        zone: &str,
        command: Option<CommandId>,
        is_return: bool,
        attempt: Option<AcknowledgementAttempt>,
    ) -> Self {
        let mut state = server.state.borrow_mut();
        state.zone_commands.open_acknowledgement(zone);
        drop(state);
        Self {
            server,
            zone: zone.to_string(),
            command,
            is_return,
            attempt,
            is_sent: false,
        }
    }

    /// Gives up the attempt: the log granted the acknowledgement to another attempt, so there is nothing to withdraw.
    pub(super) fn abandon_attempt(&mut self) {
        self.attempt = None;
    }

    /// Records that the acknowledgement is about to be written: from now on the caller may have read it.
    pub fn mark_sent(&mut self) {
        self.is_sent = true;
    }

    /// Records that the caller has certainly read the acknowledgement, so a later return is a new one. Evacuations need
    /// no such record.
    pub async fn confirm(self) {
        if let Some(command) = self.command.filter(|_| self.is_return) {
            self.replicate(EvacuationStep::Confirm { command }).await;
        }
    }

    /// Records that the connection broke after the acknowledgement was written.
    pub async fn mark_connection_broken(self) {
        if let Some(withdrawal) = self.withdrawal(true) {
            self.replicate(withdrawal).await;
        }
    }

    fn withdrawal(&self, written: bool) -> Option<EvacuationStep> {
        Some(EvacuationStep::Withdraw {
            command: self.command?,
            attempt: self.attempt?,
            written,
        })
    }

    /// Proposes a step and waits for its outcome. If this process no longer leads, the command keeps its state in the
    /// log, which is safe.
    async fn replicate(&self, step: EvacuationStep) {
        let deadline = Instant::now() + CALLER_WAIT;
        let _ = self
            .server
            .replicate_zone_step(&self.zone, step, deadline)
            .await;
    }
}

impl Drop for Acknowledgement {
    fn drop(&mut self) {
        if !self.is_sent
            && let Some(step) = self.withdrawal(false)
        {
            // Nothing waits for the outcome. If this process no longer leads, the command keeps its state in the log.
            let _ = self.server.propose(&Command::ZoneStep {
                zone: self.zone.clone(),
                step,
            });
        }
        let mut state = self.server.state.borrow_mut();
        state.zone_commands.close_acknowledgement(&self.zone);
    }
}
