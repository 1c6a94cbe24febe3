//! The acknowledgement of an evacuation or a return, from before it is written until its caller has read it.
//!
//! Two control processes must not both tell callers of the same command, and a command that is sent again must be told
//! from a new one. So the log holds which attempt may acknowledge a command, and what became of it: see
//! [`crate::evacuations`]. What is not in the log by the time this process dies counts as written: on the safe side.

use std::rc::Rc;

use tokio::time::Instant;

use super::{CALLER_WAIT, ControlServer};
use crate::configuration::Command;
use crate::evacuations::{AcknowledgementAttempt, CommandId, EvacuationStep};

/// A command to a zone that is applied, and may be acknowledged to its caller. Dropped before that is written, the
/// command counts as one that was never acknowledged.
pub struct Acknowledgement {
    server: Rc<ControlServer>,
    zone: String,
    /// `None` where there was nothing to return.
    command: Option<CommandId>,
    is_return: bool,
    /// `None` where it may be a return that was acknowledged already.
    attempt: Option<AcknowledgementAttempt>,
    is_sent: bool,
}

impl Acknowledgement {
    /// Counts as open for its zone until it is dropped.
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

    /// The log gives the command to another attempt: there is nothing to withdraw.
    pub(super) fn abandon_attempt(&mut self) {
        self.attempt = None;
    }

    /// It is being written: from here on its caller may have read it.
    pub fn mark_sent(&mut self) {
        self.is_sent = true;
    }

    /// Its caller has surely read it: a like command that comes is another one.
    pub async fn confirm(self) {
        if let Some(command) = self.command.filter(|_| self.is_return) {
            self.replicate(EvacuationStep::Confirm { command }).await;
        }
    }

    /// The connection broke after it was written.
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

    /// Where this process no longer leads, the command stays as it was, on the safe side.
    async fn replicate(&self, step: EvacuationStep) {
        let until = Instant::now() + CALLER_WAIT;
        let _ = self
            .server
            .replicate_zone_step(&self.zone, step, until)
            .await;
    }
}

impl Drop for Acknowledgement {
    fn drop(&mut self) {
        if !self.is_sent
            && let Some(step) = self.withdrawal(false)
        {
            // Nobody waits for what becomes of it. Where this process no longer leads, the command stays as it was.
            let _ = self.server.propose(&Command::ZoneStep {
                zone: self.zone.clone(),
                step,
            });
        }
        let mut state = self.server.state.borrow_mut();
        state.zone_commands.close_acknowledgement(&self.zone);
    }
}
