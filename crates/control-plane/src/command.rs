//! Commands, as they are stored in the log, and their outcomes.
//!
//! A [`Command`] is the payload of one entry of the replicated log. The golden tests (`tests/golden`) pin its
//! serialized names and their order, because every build must read what earlier builds wrote.
//! [`ReplicatedState::apply`](crate::replicated_state::ReplicatedState::apply) carries out a command.
//!
//! This module owns no state and does no I/O.

use protocol::key_ranges::KeyRangeChange;
use serde::de::Visitor;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};

use crate::configuration::{AmendmentError, ConfigurationError};
use crate::evacuations::EvacuationStep;

/// Length in bytes of the truncated SHA-256 that identifies a configuration change.
const DIGEST_BYTES: usize = 16;

/// A change of the replicated state, as it is stored in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the current configuration by a complete one.
    Replace {
        /// The revision that the change is based on. The change is accepted only while this revision is current.
        base: u64,
        /// The configuration as JSON, exactly as received.
        body: String,
    },
    /// Adds items to the current configuration, replaces items by name, or removes them.
    Amend {
        /// The revision that the change is based on. The change is accepted only while this revision is current.
        base: u64,
        /// The new `rev`, `upsert` and `remove` as JSON, exactly as received.
        body: String,
    },
    /// Begins an evacuation. Builds that wrote snapshot forms before form 4 wrote this command; it is still applied
    /// when a log contains it.
    #[serde(rename = "Evacuate")]
    LegacyEvacuate {
        /// The name of the zone.
        zone: String,
        /// Index of the last evacuation or return that the proposing server had applied. The command has no effect if
        /// another one has been applied since.
        #[serde(rename = "seen")]
        expected_index: u64,
    },
    /// Ends an evacuation. Written by the same builds as [`Self::LegacyEvacuate`], and still applied when a log
    /// contains it.
    #[serde(rename = "Return")]
    LegacyReturn {
        /// The name of the zone.
        zone: String,
        /// Has the same meaning as in [`Self::LegacyEvacuate`].
        #[serde(rename = "seen")]
        expected_index: u64,
    },
    /// Assigns ranges of a service's keys. Each change is applied or rejected on its own.
    #[serde(rename = "Place")]
    AssignKeys {
        /// The name of the service.
        service: String,
        /// The changes; each contains the fencing token that it expects.
        changes: Vec<KeyRangeChange>,
    },
    /// A step of the evacuation of a zone, or of its return.
    #[serde(rename = "Evacuation")]
    ZoneStep {
        /// The name of the zone.
        zone: String,
        /// The step to apply.
        step: EvacuationStep,
    },
}

/// The result of applying a command at its index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The command changed the state.
    Applied,
    /// An identical command, byte for byte, was applied before: this one was resent. Acknowledged like
    /// [`Self::Applied`].
    AlreadyApplied,
    /// The command is based on a revision other than the current one, and was not applied before.
    RevisionMismatch {
        /// The current revision.
        current: u64,
    },
    /// A concurrent command changed the same zone or the same keys first. The caller decides again on the new state.
    Conflict,
    /// The command can never be applied.
    Invalid(InvalidCommand),
    /// The command is too old: whether it was applied is no longer known. It must not be reported as rejected.
    Expired,
}

/// Why a configuration change can never be accepted. The messages are shown to operators.
///
/// Errors of `serde_json` are stored as text, because outcomes are compared and cloned and those errors can't be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidCommand {
    /// The body is not JSON.
    #[error("not JSON: {reason}")]
    NotJson {
        /// The parser's message, with line and column.
        reason: String,
    },
    /// The body has no `rev`, or its `rev` is not a whole number.
    #[error("`rev`: expected a whole number")]
    RevisionNotANumber,
    /// The new `rev` is not greater than the current one.
    #[error("`rev`: {sent} is not above the current {current}")]
    RevisionNotAboveCurrent {
        /// `rev` in the body.
        sent: u64,
        /// The current revision.
        current: u64,
    },
    /// The amendment can't be applied to the current configuration.
    #[error(transparent)]
    Amendment(#[from] AmendmentError),
    /// The resulting configuration violates a rule.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
}

/// Whether a configuration change replaces the configuration or amends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeKind {
    /// From [`Command::Replace`].
    Replace,
    /// From [`Command::Amend`].
    Amend,
}

/// A configuration change, as contained in a command.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfigurationChange<'a> {
    /// Whether the body is a complete configuration or an amendment.
    pub(crate) kind: ChangeKind,
    /// The revision that the change is based on.
    pub(crate) base: u64,
    /// JSON, exactly as received.
    pub(crate) body: &'a str,
}

/// Identifies a configuration change: the leading bytes of a SHA-256 over its kind, base and body. Two commands with
/// the same digest are copies of one command that was resent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CommandDigest([u8; DIGEST_BYTES]);

impl Command {
    /// Returns the configuration change that this command contains, or `None` for other kinds of commands.
    pub(crate) fn as_configuration_change(&self) -> Option<ConfigurationChange<'_>> {
        match self {
            Self::Replace { base, body } => Some(ConfigurationChange::replace(*base, body)),
            Self::Amend { base, body } => Some(ConfigurationChange::amend(*base, body)),
            Self::LegacyEvacuate { .. }
            | Self::LegacyReturn { .. }
            | Self::AssignKeys { .. }
            | Self::ZoneStep { .. } => None,
        }
    }
}

impl<'a> ConfigurationChange<'a> {
    pub(crate) fn replace(base: u64, body: &'a str) -> Self {
        let kind = ChangeKind::Replace;
        Self { kind, base, body }
    }

    pub(crate) fn amend(base: u64, body: &'a str) -> Self {
        let kind = ChangeKind::Amend;
        Self { kind, base, body }
    }

    /// Returns the digest of this change. Snapshots contain digests, so neither the hashed input nor the length may
    /// change.
    pub(crate) fn digest(&self) -> CommandDigest {
        let kind: u8 = match self.kind {
            ChangeKind::Replace => 0,
            ChangeKind::Amend => 1,
        };
        let mut hasher = Sha256::new();
        hasher.update([kind]);
        hasher.update(self.base.to_be_bytes());
        hasher.update(self.body);
        CommandDigest::from_leading_bytes(hasher.finalize().as_slice())
    }
}

impl CommandDigest {
    /// Truncates a longer digest. Missing bytes are 0.
    pub(crate) fn from_leading_bytes(bytes: &[u8]) -> Self {
        let mut digest = [0; DIGEST_BYTES];
        digest
            .iter_mut()
            .zip(bytes)
            .for_each(|(to, from)| *to = *from);
        Self(digest)
    }
}

impl Serialize for CommandDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for CommandDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct BytesVisitor;
        impl Visitor<'_> for BytesVisitor {
            type Value = CommandDigest;
            fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str("the bytes of a digest")
            }
            fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> Result<CommandDigest, E> {
                Ok(CommandDigest::from_leading_bytes(bytes))
            }
        }
        deserializer.deserialize_bytes(BytesVisitor)
    }
}
