//! The replicated state: the configuration, the evacuations of zones and the ranges of keys, as of the last applied
//! entry of the log.
//!
//! **State and owner.** [`ReplicatedState`] is all that the control processes agree on. Each holds a copy, changed by
//! [`ReplicatedState::apply`] alone, once for each committed entry in the order of the log: so all copies that have
//! applied the same entries are equal. A copy is rebuilt from a snapshot ([`crate::snapshot`]) and the entries behind
//! it. No I/O, no clock: what a neighbour does, or whether it is there, has no influence here.
//!
//! **Where a command that is sent again is recognized.**
//!
//! - A change of the configuration: `ReplicatedState::evaluate`, by the digests of the last
//!   [`MAX_REMEMBERED_REVISIONS`] accepted changes. It is acknowledged as often as it comes
//!   ([`CommandOutcome::AlreadyApplied`]) and has no second effect. An older one gets [`CommandOutcome::Expired`]: the
//!   caller hears that it is not known what became of it.
//! - An evacuation or a return: [`ZoneEvacuations::decide`] before it goes to the log, and [`ZoneEvacuations::apply`]
//!   at its index.
//! - A change of keys: it names the fencing token that it expects, which rises with each change; a second copy of it
//!   has no effect.
//!
//! **Rejected changes stay rejected.** A change that comes before its base is refused; if the base is accepted later, a
//! late copy of the change would be accepted after its caller has heard of the refusal. So the refusal itself stands in
//! the log (`ReplicatedState::is_final` says which outcomes need that) and is remembered until its base is outdated.
//!
//! **What it may lose.** Only what is written above: the digests of changes older than the remembered revisions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use protocol::config::Config;
use protocol::key_ranges::{KeyRangeChange, KeyRangeMap};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::command::{
    ChangeKind, Command, CommandDigest, CommandOutcome, ConfigurationChange, InvalidCommand,
};
use crate::configuration::{amend, validate};
use crate::evacuations::{AcknowledgementState, EvacuationStep, ZoneEvacuations};

/// So many accepted changes of the configuration are known by their digests: eleven hours at 4,500 changes a day, in
/// under 50 kB of a snapshot. An older one that is sent again gets no definite outcome.
pub const MAX_REMEMBERED_REVISIONS: usize = 2048;
/// So many changes that came before their base are remembered as rejected. Beyond, such a change gets no definite
/// outcome.
const MAX_REJECTED_COMMANDS: usize = 256;

/// What the control processes agree on, as of the last applied entry.
///
/// Stored in snapshots: the written names and their order are held by the golden tests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The current revision of the configuration; 0 before the first one. Rises only.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Index of the entry that led to it.
    pub config_index: u64,
    /// The configuration as JSON, with all that its sender put into it; empty before the first one.
    pub config: Arc<str>,
    /// Evacuations and returns by zone. Zones without any have no entry.
    #[serde(rename = "zones")]
    pub zone_evacuations: BTreeMap<String, ZoneEvacuations>,
    /// Index of the last entry that began or ended an evacuation.
    #[serde(rename = "evacuated_index")]
    pub evacuations_index: u64,
    /// Who owns which range of keys, by service, for the services whose upstreams divide their keys.
    pub keys: BTreeMap<String, KeyRangeMap>,
    /// Index of the last entry that changed `keys`.
    pub keys_index: u64,
    /// Accepted changes by the revision they led to: the newest [`MAX_REMEMBERED_REVISIONS`].
    #[serde(rename = "taken")]
    pub(crate) accepted_revisions: BTreeMap<u64, CommandDigest>,
    /// The newest revision that has left `accepted_revisions`; 0 while none has.
    #[serde(rename = "forgotten")]
    pub(crate) last_expired_revision: u64,
    /// Changes that came before their base, by that base, and were rejected.
    #[serde(rename = "refused")]
    pub(crate) rejected_commands: BTreeSet<(u64, CommandDigest)>,
}

/// The configuration that an acceptable change leads to.
struct NextConfiguration {
    revision: u64,
    config: String,
}

impl ReplicatedState {
    /// The outcome that a change of the configuration would have now. Other commands are decided where they are
    /// applied; for them this is [`CommandOutcome::Applied`].
    pub fn check(&self, command: &Command) -> CommandOutcome {
        let change = command.as_configuration_change();
        match change.map(|change| self.evaluate(change)) {
            None | Some(Ok(_)) => CommandOutcome::Applied,
            Some(Err(outcome)) => outcome,
        }
    }

    /// Whether an outcome that [`Self::check`] gave holds for good though the command doesn't stand in the log. All do
    /// but two: an acceptance, and the rejection of a change whose base may still be accepted, while another copy of
    /// the change is on its way.
    pub fn is_final(&self, command: &Command, outcome: &CommandOutcome) -> bool {
        let change = command.as_configuration_change();
        let early = change.is_some_and(|change| change.base > self.revision);
        let noted = change.is_some_and(|change| self.is_rejected(change));
        *outcome != CommandOutcome::Applied
            && (!early || noted || !matches!(outcome, CommandOutcome::RevisionMismatch { .. }))
    }

    /// Applies a committed command, which stands at `index` of the log.
    pub fn apply(&mut self, index: u64, command: &Command) -> CommandOutcome {
        match command {
            Command::Replace { base, body } => {
                self.apply_configuration_change(index, ConfigurationChange::replace(*base, body))
            }
            Command::Amend { base, body } => {
                self.apply_configuration_change(index, ConfigurationChange::amend(*base, body))
            }
            Command::LegacyEvacuate { expected_index, .. }
            | Command::LegacyReturn { expected_index, .. }
                if *expected_index != self.evacuations_index =>
            {
                CommandOutcome::Conflict
            }
            Command::LegacyEvacuate { zone, .. } => self.apply_legacy_evacuate(index, zone),
            Command::LegacyReturn { zone, .. } => self.apply_legacy_return(index, zone),
            Command::ZoneStep { zone, step } => self.apply_zone_step(index, zone, *step),
            Command::AssignKeys { service, changes } => self.assign_keys(index, service, changes),
        }
    }

    /// What a change of the configuration leads to now, or its outcome if it is not to be accepted. Here a change that
    /// is sent again is recognized.
    fn evaluate(
        &self,
        change: ConfigurationChange<'_>,
    ) -> Result<NextConfiguration, CommandOutcome> {
        let body: Value =
            serde_json::from_str(change.body).map_err(|e| InvalidCommand::NotJson {
                reason: e.to_string(),
            })?;
        let revision = body.get("rev").and_then(Value::as_u64);
        let revision = revision.ok_or(InvalidCommand::RevisionNotANumber)?;
        if self.accepted_revisions.get(&revision) == Some(&change.digest()) {
            return Err(CommandOutcome::AlreadyApplied);
        }
        if change.base < revision && revision <= self.last_expired_revision {
            return Err(CommandOutcome::Expired);
        }
        // Before the body is looked into: whether an amendment makes sense can be said on its base alone.
        if change.base != self.revision || self.is_rejected(change) {
            return Err(CommandOutcome::RevisionMismatch {
                current: self.revision,
            });
        }
        if revision <= self.revision {
            return Err(CommandOutcome::from(
                InvalidCommand::RevisionNotAboveCurrent {
                    sent: revision,
                    current: self.revision,
                },
            ));
        }
        let config = match change.kind {
            ChangeKind::Amend => amend(&self.config, body).map_err(InvalidCommand::from)?,
            ChangeKind::Replace => body,
        };
        validate(&config).map_err(InvalidCommand::from)?;
        Ok(NextConfiguration {
            revision,
            config: config.to_string(),
        })
    }

    /// Whether the change came before its base and was rejected.
    fn is_rejected(&self, change: ConfigurationChange<'_>) -> bool {
        self.rejected_commands
            .contains(&(change.base, change.digest()))
    }

    fn apply_configuration_change(
        &mut self,
        index: u64,
        change: ConfigurationChange<'_>,
    ) -> CommandOutcome {
        match self.evaluate(change) {
            Ok(next) => {
                self.accept(index, change.digest(), next);
                CommandOutcome::Applied
            }
            Err(outcome) => {
                let early = change.base > self.revision;
                if early && matches!(outcome, CommandOutcome::RevisionMismatch { .. }) {
                    if self.rejected_commands.len() >= MAX_REJECTED_COMMANDS {
                        return CommandOutcome::Expired;
                    }
                    self.rejected_commands
                        .insert((change.base, change.digest()));
                }
                outcome
            }
        }
    }

    fn accept(&mut self, index: u64, digest: CommandDigest, next: NextConfiguration) {
        let revision = next.revision;
        self.revision = revision;
        self.config = next.config.into();
        self.config_index = index;
        self.accepted_revisions.insert(revision, digest);
        while self.accepted_revisions.len() > MAX_REMEMBERED_REVISIONS {
            self.last_expired_revision = self
                .accepted_revisions
                .pop_first()
                .map_or(0, |(revision, _)| revision);
        }
        // The base of the others is outdated: they can't be accepted any more.
        self.rejected_commands.retain(|(base, _)| *base >= revision);
    }

    fn apply_legacy_evacuate(&mut self, index: u64, zone: &str) -> CommandOutcome {
        self.evacuations_index = index;
        let zone = self.zone_evacuations.entry(zone.to_string()).or_default();
        zone.evacuations
            .insert(index, AcknowledgementState::Unknown);
        CommandOutcome::Applied
    }

    fn apply_legacy_return(&mut self, index: u64, zone: &str) -> CommandOutcome {
        let evacuations = self
            .zone_evacuations
            .get_mut(zone)
            .map(|z| &mut z.evacuations);
        if evacuations.is_none_or(|e| e.pop_first().is_none()) {
            return CommandOutcome::AlreadyApplied;
        }
        self.evacuations_index = index;
        self.zone_evacuations.retain(|_, zone| !zone.is_empty());
        CommandOutcome::Applied
    }

    fn apply_zone_step(&mut self, index: u64, zone: &str, step: EvacuationStep) -> CommandOutcome {
        let applied = self
            .zone_evacuations
            .entry(zone.to_string())
            .or_default()
            .apply(index, step);
        self.zone_evacuations.retain(|_, zone| !zone.is_empty());
        if !applied {
            return CommandOutcome::Conflict;
        }
        if matches!(step, EvacuationStep::Begin | EvacuationStep::Finish { .. }) {
            self.evacuations_index = index;
        }
        CommandOutcome::Applied
    }

    fn assign_keys(
        &mut self,
        index: u64,
        service: &str,
        changes: &[KeyRangeChange],
    ) -> CommandOutcome {
        let ranges = self.keys.entry(service.to_string()).or_default();
        // Each is applied, also where an earlier one was not.
        let applied = changes.iter().filter(|c| ranges.apply(index, c)).count();
        if applied == 0 {
            return CommandOutcome::Conflict;
        }
        self.keys_index = index;
        CommandOutcome::Applied
    }

    /// How many evacuations a zone is subject to; its upstreams get no requests while there is one.
    pub fn evacuation_count(&self, zone: &str) -> usize {
        self.zone_evacuations
            .get(zone)
            .map_or(0, |zone| zone.evacuations.len())
    }

    /// The evacuated zones, each with the number of its evacuations.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = (&String, usize)> {
        let all = self
            .zone_evacuations
            .iter()
            .map(|(zone, state)| (zone, state.evacuations.len()));
        all.filter(|(_, evacuations)| *evacuations > 0)
    }

    /// Names of the services whose upstreams divide their keys, as the configuration says.
    pub fn sharded_services(&self) -> Vec<String> {
        let config = serde_json::from_str::<Config>(&self.config);
        let services = config.map(|c| c.services).unwrap_or_default();
        services
            .into_iter()
            .filter(|s| s.sharded)
            .map(|s| s.name)
            .collect()
    }
}

impl From<InvalidCommand> for CommandOutcome {
    fn from(error: InvalidCommand) -> Self {
        Self::Invalid(error)
    }
}

#[cfg(test)]
mod tests;
