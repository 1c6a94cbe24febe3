//! Commands, as they stand in the log, and their outcomes.
//!
//! A [`Command`] is one entry of the replicated log. Its serialized names and their order are held by the golden tests
//! (`tests/golden`): every build reads what earlier builds wrote. What a command does is the job of
//! [`ReplicatedState::apply`](crate::replicated_state::ReplicatedState::apply).
//!
//! This module owns no state and does no I/O.

use protocol::key_ranges::KeyRangeChange;
use serde::de::Visitor;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};

use crate::configuration::{AmendmentError, ConfigurationError};
use crate::evacuations::EvacuationStep;

/// Bytes of a SHA-256 that identify a change of the configuration.
const DIGEST_BYTES: usize = 16;

/// A change of the replicated state, as it stands in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A complete configuration that takes the place of the current one.
    Replace {
        /// The revision it builds on: it is accepted only while this one is current.
        base: u64,
        /// The configuration as JSON, as it was sent.
        body: String,
    },
    /// Items that are added to the current configuration, replaced by name, or removed.
    Amend {
        /// The revision it builds on: it is accepted only while this one is current.
        base: u64,
        /// The new `rev`, `upsert` and `remove` as JSON, as they were sent.
        body: String,
    },
    /// An evacuation, as builds before form 4 of the snapshot wrote it. Still applied where it stands in a log.
    #[serde(rename = "Evacuate")]
    LegacyEvacuate {
        /// The zone.
        zone: String,
        /// Index of the last evacuation or return that the caller's server had applied: a command that was decided on
        /// an older state has no effect.
        #[serde(rename = "seen")]
        expected_index: u64,
    },
    /// A return, as builds before form 4 of the snapshot wrote it. Still applied where it stands in a log.
    #[serde(rename = "Return")]
    LegacyReturn {
        /// The zone.
        zone: String,
        /// As in [`Self::LegacyEvacuate`].
        #[serde(rename = "seen")]
        expected_index: u64,
    },
    /// Assigns ranges of a service's keys. Each change is applied, or not, by itself.
    #[serde(rename = "Place")]
    AssignKeys {
        /// The service.
        service: String,
        /// The changes; each says which fencing token it expects.
        changes: Vec<KeyRangeChange>,
    },
    /// A step of an evacuation of a zone, or of its return.
    #[serde(rename = "Evacuation")]
    ZoneStep {
        /// The zone.
        zone: String,
        /// The step.
        step: EvacuationStep,
    },
}

/// What became of a command at its index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// It has changed the state.
    Applied,
    /// The same command, byte for byte, was applied before: it was sent again. Acknowledged like [`Self::Applied`].
    AlreadyApplied,
    /// It builds on another revision than the current one, and was not applied before.
    RevisionMismatch {
        /// The current revision.
        current: u64,
    },
    /// Another command that changed the same zone, or the same keys, came in between: decide again on the new state.
    Conflict,
    /// It can never be applied.
    Invalid(InvalidCommand),
    /// It is so old that it is not known any more whether it was applied. It must not be reported as refused.
    Expired,
}

/// Why a change of the configuration can never be accepted. Operators read the texts.
///
/// Errors of `serde_json` are kept as text: outcomes are compared and copied, and those errors can't be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidCommand {
    /// The body is not JSON.
    #[error("not JSON: {reason}")]
    NotJson {
        /// What the parser says, with line and column.
        reason: String,
    },
    /// The body has no `rev`, or one that is no whole number.
    #[error("`rev`: expected a whole number")]
    RevisionNotANumber,
    /// The new `rev` does not rise.
    #[error("`rev`: {sent} is not above the current {current}")]
    RevisionNotAboveCurrent {
        /// `rev` in the body.
        sent: u64,
        /// The current revision.
        current: u64,
    },
    /// The amendment can't be carried out on the current configuration.
    #[error(transparent)]
    Amendment(#[from] AmendmentError),
    /// The resulting configuration breaks a rule.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
}

/// Whether a change of the configuration is complete, or names items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeKind {
    /// From [`Command::Replace`].
    Replace,
    /// From [`Command::Amend`].
    Amend,
}

/// A change of the configuration, as a command carries it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfigurationChange<'a> {
    /// Whether the body is a complete configuration.
    pub(crate) kind: ChangeKind,
    /// The revision it builds on.
    pub(crate) base: u64,
    /// JSON, as it was sent.
    pub(crate) body: &'a str,
}

/// Identifies a change of the configuration: the leading bytes of a SHA-256 over its kind, base and body. Two commands
/// with the same digest are the same command, sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CommandDigest([u8; DIGEST_BYTES]);

impl Command {
    /// The change of the configuration that this command is; `None` for a command of another kind.
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

    /// What identifies this change. Snapshots hold it: neither its input nor its length may change.
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
    /// The digest that begins a longer one. Missing bytes are 0.
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
