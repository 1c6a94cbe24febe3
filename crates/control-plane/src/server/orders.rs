//! Operators' orders: they go through the log, and each acknowledgement comes from the verdict that stands at the
//! order's place in it.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

use super::{ControlServer, Indeterminate, Inner};
use crate::configuration::{Command, CommandOutcome};
use crate::evacuations::{AcknowledgementAttempt, CommandId, Decision, EvacuationStep};

/// How long a caller waits for the answer to an order of zones: what it sent may be as old when it comes.
pub const CALLER_WAIT: Duration = Duration::from_millis(1000);

/// An order of zones is decided within this time: it takes up to four rounds.
const DECIDES: Duration = Duration::from_millis(400);
/// How often it is looked whether the last one is settled.
const SETTLES: Duration = Duration::from_millis(5);

/// An order of zones that is taken, and may be acknowledged to its caller. Dropped before that is written, the
/// order counts as one that nobody was told of.
pub struct Acknowledgement {
    cell: Rc<ControlServer>,
    zone: String,
    /// `None` where there was nothing to return.
    order: Option<CommandId>,
    is_return: bool,
    /// `None` where it may be a return that was acknowledged already.
    attempt: Option<AcknowledgementAttempt>,
    is_written: bool,
}

impl Acknowledgement {
    /// It is being written: from here on its caller may hear it.
    pub fn mark_sent(&mut self) {
        self.is_written = true;
    }

    /// Its caller has surely read it: a like order that comes is another.
    pub async fn confirm(self) {
        if let Some(order) = self.order.filter(|_| self.is_return) {
            self.step(EvacuationStep::Confirm { order }).await;
        }
    }

    /// The connection broke after it was written.
    pub async fn mark_connection_broken(self) {
        if let (Some(order), Some(attempt)) = (self.order, self.attempt) {
            self.step(EvacuationStep::Withdraw {
                order,
                attempt,
                written: true,
            })
            .await;
        }
    }

    /// Where this one no longer leads, the order stays as it was, on the safe side.
    async fn step(&self, step: EvacuationStep) {
        let _ = self
            .cell
            .zone_step(&self.zone, step, Instant::now() + CALLER_WAIT)
            .await;
    }

    /// It will not be written.
    fn withdraw(&self) {
        if let (Some(order), Some(attempt)) = (self.order, self.attempt) {
            let step = EvacuationStep::Withdraw {
                order,
                attempt,
                written: false,
            };
            let _ = self.cell.put(&Command::ZoneStep {
                zone: self.zone.clone(),
                step,
            });
        }
    }
}

impl Drop for Acknowledgement {
    fn drop(&mut self) {
        if !self.is_written {
            self.withdraw();
        }
        let mut inner = self.cell.inner.borrow_mut();
        if let Some(count) = inner.settling.get_mut(&self.zone) {
            *count -= 1;
        }
        inner.settling.retain(|_, count| *count > 0);
    }
}

impl ControlServer {
    /// A change of the configuration, through the log.
    pub async fn submit_command(
        &self,
        command: &Command,
        within: Duration,
    ) -> Result<CommandOutcome, Indeterminate> {
        let until = Instant::now() + within;
        self.confirmed(until).await?;
        let (verdict, is_final) = {
            let agreed = &self.inner.borrow().agreed;
            let verdict = agreed.check(command);
            (verdict.clone(), agreed.is_final(command, &verdict))
        };
        if is_final {
            return Ok(verdict);
        }
        self.proposed(command, until).await
    }

    /// Evacuates a zone, or returns it. Whether that is a new order or one sent again depends on what stands in
    /// the replicated state, and on what became of the acknowledgement that is returned.
    pub async fn submit_zone_command(
        self: &Rc<Self>,
        zone: &str,
        begin: bool,
        within: Duration,
    ) -> Result<Acknowledgement, Indeterminate> {
        let arrived = Instant::now();
        let until = arrived + within;
        let acknowledgement = |order, attempt| {
            let (cell, zone, is_written) = (self.clone(), zone.to_string(), false);
            *self
                .inner
                .borrow_mut()
                .settling
                .entry(zone.clone())
                .or_default() += 1;
            Acknowledgement {
                cell,
                zone,
                order,
                is_return: !begin,
                attempt,
                is_written,
            }
        };
        loop {
            self.confirmed(until).await?;
            self.zone_at_rest(zone, until).await?;
            match self.decided(zone, begin, arrived) {
                Decision::NothingToReturn => return Ok(acknowledgement(None, None)),
                Decision::PossibleDuplicate(order) => {
                    return Ok(acknowledgement(Some(order), None));
                }
                Decision::New(step) => drop(self.zone_step(zone, step, until).await?),
                Decision::Duplicate(order) => {
                    let attempt = self.next_attempt();
                    let mut acknowledged = acknowledgement(Some(order), Some(attempt));
                    let step = EvacuationStep::Acknowledge { order, attempt };
                    if self.zone_step(zone, step, until).await? != CommandOutcome::Applied {
                        // Another's: there is nothing to withdraw.
                        acknowledged.attempt = None;
                        continue;
                    }
                    // Later than its caller listens it is not written, and so is withdrawn.
                    let in_time = Instant::now() < until;
                    return if in_time {
                        Ok(acknowledged)
                    } else {
                        Err(Indeterminate::NoMajority)
                    };
                }
            }
        }
    }

    /// Waits until all is applied that this leader has put into the log about the zone; and, as long as there is
    /// time to decide without it, for what becomes of acknowledgements that are under way.
    async fn zone_at_rest(&self, zone: &str, until: Instant) -> Result<(), Indeterminate> {
        loop {
            let now = Instant::now();
            let settling = self.inner.borrow().settling.contains_key(zone) && now + DECIDES < until;
            if !settling && !self.is_pending(zone) {
                return Ok(());
            }
            if now >= until {
                return Err(Indeterminate::NoMajority);
            }
            sleep(SETTLES).await;
        }
    }

    fn is_pending(&self, zone: &str) -> bool {
        let inner = self.inner.borrow();
        let put = inner.zone_steps.get(zone);
        put.is_some_and(|(term, index)| *term == inner.core.status().term && *index > inner.applied)
    }

    /// What an order is that arrived then.
    fn decided(&self, zone: &str, begin: bool, arrived: Instant) -> Decision {
        let mut inner = self.inner.borrow_mut();
        let Inner {
            agreed,
            order_times,
            ..
        } = &mut *inner;
        let now = Instant::now();
        let orders = agreed
            .zone_evacuations
            .get(zone)
            .cloned()
            .unwrap_or_default();
        // Where this one does not know since when, it knows of them since now.
        for id in orders.evacuations.keys().chain(orders.returns.keys()) {
            order_times.entry(*id).or_insert(now);
        }
        let mut again = Duration::from_millis(self.settings.bounds.ack_ms);
        if !begin {
            // It is counted from the last acknowledgement, which may be as late as its caller listens.
            again += CALLER_WAIT;
        }
        orders.decide(begin, |id| {
            order_times.get(&id).is_some_and(|at| arrived < *at + again)
        })
    }

    fn next_attempt(&self) -> AcknowledgementAttempt {
        let mut inner = self.inner.borrow_mut();
        inner.attempts += 1;
        AcknowledgementAttempt {
            term: inner.core.status().term,
            number: inner.attempts,
        }
    }

    /// What becomes of a step of an order of zones.
    async fn zone_step(
        &self,
        zone: &str,
        step: EvacuationStep,
        until: Instant,
    ) -> Result<CommandOutcome, Indeterminate> {
        let command = Command::ZoneStep {
            zone: zone.to_string(),
            step,
        };
        self.proposed(&command, until).await
    }

    /// What becomes of a command that is put into the log.
    async fn proposed(
        &self,
        command: &Command,
        until: Instant,
    ) -> Result<CommandOutcome, Indeterminate> {
        let Some((index, told)) = self.put(command) else {
            return Err(Indeterminate::NotLeader(self.leader_address()));
        };
        match timeout(until.saturating_duration_since(Instant::now()), told).await {
            Ok(Ok(verdict)) => Ok(verdict),
            Ok(Err(_)) => Err(Indeterminate::NoMajority),
            Err(_) => {
                self.inner.borrow_mut().orders.remove(&index);
                Err(Indeterminate::NoMajority)
            }
        }
    }

    /// Puts a command into the log, if this one leads: its place, and where its verdict will be told.
    fn put(&self, command: &Command) -> Option<(u64, oneshot::Receiver<CommandOutcome>)> {
        let mut data = Vec::new();
        ciborium::into_writer(command, &mut data).ok()?;
        let (tell, told) = oneshot::channel();
        // Registered before anything is applied: a core of one may commit at once.
        self.with_inner(|inner| {
            let index = inner.core.propose(data)?;
            let term = inner.core.status().term;
            inner.orders.insert(index, (term, tell));
            if let Command::ZoneStep { zone, .. } = command {
                inner.zone_steps.insert(zone.clone(), (term, index));
            }
            Some((index, told))
        })
    }
}

impl Inner {
    /// A command stands at this place of the log, written in this term: applies it, and tells who waits for its
    /// verdict. Whether it changed anything.
    pub(super) fn apply(&mut self, index: u64, term: u64, command: &Command) -> bool {
        let verdict = self.agreed.apply(index, command);
        let is_taken = verdict == CommandOutcome::Applied;
        if is_taken {
            self.log_taken(index, command);
            self.note_time(index, command);
        }
        if let Some((written, waiting)) = self.orders.remove(&index)
            && written == term
        {
            let _ = waiting.send(verdict);
        }
        is_taken
    }

    fn log_taken(&self, index: u64, command: &Command) {
        let rev = self.agreed.revision;
        match command {
            Command::AssignKeys { .. } => tracing::debug!(index, "keys"),
            Command::ZoneStep { zone, step } => {
                let evacuations = self.agreed.evacuation_count(zone);
                tracing::info!(index, zone, ?step, evacuations, "agreed");
            }
            _ => tracing::info!(index, rev, "agreed"),
        }
    }

    /// Notes when an evacuation was taken, and when a return was taken or acknowledged last, to tell how long its
    /// caller may send it again. It sends it for `ack_ms`, from before it is taken.
    fn note_time(&mut self, index: u64, command: &Command) {
        let Command::ZoneStep { zone: _, step } = command else {
            return;
        };
        let order = match step {
            EvacuationStep::Begin | EvacuationStep::Finish { .. } => index,
            EvacuationStep::Acknowledge { order, .. } if self.is_return(*order) => *order,
            EvacuationStep::Acknowledge { .. } => return,
            EvacuationStep::Withdraw { .. }
            | EvacuationStep::Confirm { .. }
            | EvacuationStep::Expire { .. } => return,
        };
        let zones = self.agreed.zone_evacuations.values();
        let known = |id: &u64| {
            zones
                .clone()
                .any(|z| z.evacuations.contains_key(id) || z.returns.contains_key(id))
        };
        self.order_times.retain(|id, _| known(id));
        self.order_times.insert(order, Instant::now());
    }

    fn is_return(&self, order: CommandId) -> bool {
        self.agreed
            .zone_evacuations
            .values()
            .any(|zone| zone.returns.contains_key(&order))
    }

    /// Orders up to a snapshot that was taken over got their verdicts elsewhere.
    pub(super) fn skip_to(&mut self, index: u64) {
        self.orders = self.orders.split_off(&(index + 1));
    }
}
