//! The replicated state: the configuration, the evacuations of zones and the ownership of key ranges, as of the last
//! applied entry of the log.
//!
//! **State and owner.** [`ReplicatedState`] is the whole state on which the control processes agree. Each process holds
//! a copy, which only [`ReplicatedState::apply`] changes, once per committed entry in log order, so copies that have
//! applied the same entries are equal. A copy is rebuilt from a snapshot ([`crate::snapshot`]) and the entries after
//! it. This module does no I/O and reads no clock, so failures of peers have no influence on it.
//!
//! **Where resent commands are detected.**
//!
//! - A configuration change: in `ReplicatedState::evaluate`, by the digests of the last [`MAX_REMEMBERED_REVISIONS`]
//!   accepted changes. Every copy is acknowledged ([`CommandOutcome::AlreadyApplied`]) and has no further effect. A
//!   copy of an older change gets [`CommandOutcome::Expired`], which tells the caller that the outcome is no longer
//!   known.
//! - An evacuation or a return: in [`ZoneEvacuations::decide`] before it is proposed, and in [`ZoneEvacuations::apply`]
//!   at its index.
//! - A change of key ranges: it contains the fencing token that it expects, which increases with each change, so a
//!   second copy has no effect.
//!
//! **Rejected changes stay rejected.** A change that arrives before its base revision is rejected. If the base were
//! accepted later, a late copy of the change could be accepted after its caller was told of the rejection. The
//! rejection is therefore written to the log (`ReplicatedState::is_final` tells which outcomes need that) and
//! remembered until its base is outdated.
//!
//! **What may be lost.** Only the digests of accepted changes older than the last [`MAX_REMEMBERED_REVISIONS`]. A copy
//! of such a change gets no definite outcome, as described above.

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

/// The number of accepted configuration changes whose digests are remembered: eleven hours at 4,500 changes per day, in
/// under 50 kB of a snapshot. A copy of an older change gets no definite outcome.
pub const MAX_REMEMBERED_REVISIONS: usize = 2048;
/// The maximum number of remembered changes that were rejected because they arrived before their base. Beyond it, such
/// a change gets no definite outcome.
const MAX_REJECTED_COMMANDS: usize = 256;

/// The state on which the control processes agree, as of the last applied entry.
///
/// Stored in snapshots: the golden tests pin the serialized names and their order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The current revision of the configuration; 0 before the first one. Never decreases.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Index of the entry that set the current configuration.
    pub config_index: u64,
    /// The configuration as JSON, including fields that this build doesn't know; empty before the first one.
    pub config: Arc<str>,
    /// Evacuations and returns by zone. Zones that have neither are absent.
    #[serde(rename = "zones")]
    pub zone_evacuations: BTreeMap<String, ZoneEvacuations>,
    /// Index of the last entry that began or ended an evacuation.
    #[serde(rename = "evacuated_index")]
    pub evacuations_index: u64,
    /// The owner of each key range, by service, for the services whose keys are sharded among their upstreams.
    pub keys: BTreeMap<String, KeyRangeMap>,
    /// Index of the last entry that changed `keys`.
    pub keys_index: u64,
    /// The digests of the newest [`MAX_REMEMBERED_REVISIONS`] accepted changes, by the revision that each created.
    #[serde(rename = "taken")]
    pub(crate) accepted_revisions: BTreeMap<u64, CommandDigest>,
    /// The newest revision that was dropped from `accepted_revisions`; 0 if none was.
    #[serde(rename = "forgotten")]
    pub(crate) last_expired_revision: u64,
    /// Changes that were rejected because they arrived before their base, with that base.
    #[serde(rename = "refused")]
    pub(crate) rejected_commands: BTreeSet<(u64, CommandDigest)>,
}

/// The configuration that results from an acceptable change.
struct NextConfiguration {
    revision: u64,
    config: String,
}

impl ReplicatedState {
    /// Returns the outcome that a configuration change would have now. Other commands are decided when they are
    /// applied; for them this returns [`CommandOutcome::Applied`].
    pub fn check(&self, command: &Command) -> CommandOutcome {
        let change = command.as_configuration_change();
        match change.map(|change| self.evaluate(change)) {
            None | Some(Ok(_)) => CommandOutcome::Applied,
            Some(Err(outcome)) => outcome,
        }
    }

    /// Whether an outcome returned by [`Self::check`] is permanent even though the command is not in the log. Two
    /// outcomes are not: an acceptance, and the rejection of a change whose base may still be accepted while another
    /// copy of the change is in flight.
    pub fn is_final(&self, command: &Command, outcome: &CommandOutcome) -> bool {
        let change = command.as_configuration_change();
        let is_early = change.is_some_and(|change| change.base > self.revision);
        let is_recorded = change.is_some_and(|change| self.is_rejected(change));
        *outcome != CommandOutcome::Applied
            && (!is_early
                || is_recorded
                || !matches!(outcome, CommandOutcome::RevisionMismatch { .. }))
    }

    /// Applies a committed command, which is stored at `index` of the log.
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

    /// Returns the configuration that a change leads to, or the outcome if the change is not acceptable. Detects resent
    /// changes.
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
        // Checked before the contents of the body: an amendment can be judged only against its base.
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

    /// Whether the change arrived before its base and was rejected.
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
                let is_early = change.base > self.revision;
                if is_early && matches!(outcome, CommandOutcome::RevisionMismatch { .. }) {
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
        // The base of the dropped changes is outdated, so they can't be accepted any more.
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
        // Every change is tried, even if an earlier one was rejected.
        let applied = changes.iter().filter(|c| ranges.apply(index, c)).count();
        if applied == 0 {
            return CommandOutcome::Conflict;
        }
        self.keys_index = index;
        CommandOutcome::Applied
    }

    /// Returns the number of evacuations of a zone. Its upstreams get no requests while there is at least one.
    pub fn evacuation_count(&self, zone: &str) -> usize {
        self.zone_evacuations
            .get(zone)
            .map_or(0, |zone| zone.evacuations.len())
    }

    /// Returns the evacuated zones, each with the number of its evacuations.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = (&String, usize)> {
        let all = self
            .zone_evacuations
            .iter()
            .map(|(zone, state)| (zone, state.evacuations.len()));
        all.filter(|(_, evacuations)| *evacuations > 0)
    }

    /// Returns the names of the services whose keys are sharded among their upstreams, according to the configuration.
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
