//! The encoding of the replicated state in a snapshot of the log.
//!
//! A snapshot's data is one CBOR map `{form, agreed}`, where `form` is the version of the encoding of `agreed`.
//!
//! | form | written by | how it is decoded |
//! | --- | --- | --- |
//! | 4 | this build | As [`ReplicatedState`]. |
//! | 3 | the previous build | It only has the number of evacuations of each zone. Each becomes an evacuation with unknown acknowledgement, with the ids 0, 1, .., which are lower than every index of the log. Full digests are truncated to the current length. If it has all 1,024 revisions, older ones count as expired. |
//! | 2 | the build before that | As form 3, without key ranges. |
//! | others | a later build, or none | [`SnapshotError::UnsupportedForm`]: the process ends, because it must not ignore data that it can't read. |
//!
//! **Durability.** This module does no I/O. The data becomes part of a `raft::Snapshot`, which is stored in one of two
//! ways (see [`crate::store`]). A snapshot taken by this process when the log has grown is stored in the transaction
//! that removes the entries that it covers ([`DiskRequest::Compact`](crate::store::DiskRequest)). A snapshot received
//! from the leader is stored in the transaction that removes the whole log
//! ([`DiskRequest::Persist`](crate::store::DiskRequest)).
//!
//! **Failures.** A crash loses nothing: it leaves either the previous snapshot with its entries or the new one. Damaged
//! data results in [`SnapshotError::Unreadable`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use protocol::key_ranges::KeyRangeMap;
use serde::{Deserialize, Serialize};

use crate::command::CommandDigest;
use crate::evacuations::{AcknowledgementState, ZoneEvacuations};
use crate::replicated_state::ReplicatedState;

/// The form that this build writes.
const CURRENT_FORM: u32 = 4;
/// The form with only the number of evacuations of each zone, and no state of their acknowledgements.
const FORM_WITH_EVACUATION_COUNTS: u32 = 3;
/// The form that has neither those states nor key ranges.
const FORM_WITHOUT_KEYS: u32 = 2;
/// The number of accepted revisions that builds before form 4 remembered.
const MAX_REMEMBERED_REVISIONS_BEFORE_FORM_4: usize = 1024;

/// An error that occurred while encoding or decoding a snapshot.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The state can't be serialized.
    #[error("cannot encode a snapshot: {0}")]
    Unwritable(#[source] ciborium::ser::Error<std::io::Error>),
    /// The data is damaged.
    #[error("cannot decode a snapshot: {0}")]
    Unreadable(#[source] ciborium::de::Error<std::io::Error>),
    /// The snapshot was written by another build, in a form that this one does not support.
    #[error(
        "unsupported snapshot form {form}; this build reads {FORM_WITHOUT_KEYS} to {CURRENT_FORM}"
    )]
    UnsupportedForm {
        /// The form of the snapshot.
        form: u32,
    },
}

/// The part that all forms have in common.
#[derive(Deserialize)]
struct Header {
    form: u32,
}

/// The data of a snapshot, for encoding.
#[derive(Serialize)]
struct SnapshotRef<'a> {
    form: u32,
    #[serde(rename = "agreed")]
    state: &'a ReplicatedState,
}

/// The state in a snapshot's data, for decoding.
#[derive(Deserialize)]
struct SnapshotBody<T> {
    #[serde(rename = "agreed")]
    state: T,
}

/// The state in forms 2 and 3, with its field names as stored.
#[derive(Serialize, Deserialize)]
struct StateBeforeForm4 {
    rev: u64,
    config_index: u64,
    config: Arc<str>,
    evacuated: BTreeMap<String, u32>,
    evacuated_index: u64,
    #[serde(default)]
    keys: BTreeMap<String, KeyRangeMap>,
    #[serde(default)]
    keys_index: u64,
    taken: BTreeMap<u64, [u8; 32]>,
}

/// Encodes the state as a snapshot's data, in the form of this build.
///
/// # Errors
///
/// Returns [`SnapshotError::Unwritable`] if encoding fails, which does not happen in practice when writing to memory.
pub fn encode(state: &ReplicatedState) -> Result<Vec<u8>, SnapshotError> {
    let mut data = Vec::new();
    let snapshot = SnapshotRef {
        form: CURRENT_FORM,
        state,
    };
    ciborium::into_writer(&snapshot, &mut data).map_err(SnapshotError::Unwritable)?;
    Ok(data)
}

/// Decodes the state from a snapshot's data, in any form that this build supports.
///
/// # Errors
///
/// Returns [`SnapshotError::Unreadable`] for damaged data, and [`SnapshotError::UnsupportedForm`] for an unsupported
/// form.
pub fn decode(data: &[u8]) -> Result<ReplicatedState, SnapshotError> {
    let Header { form } = ciborium::from_reader(data).map_err(SnapshotError::Unreadable)?;
    match form {
        CURRENT_FORM => decode_body(data),
        FORM_WITH_EVACUATION_COUNTS | FORM_WITHOUT_KEYS => {
            decode_body::<StateBeforeForm4>(data).map(ReplicatedState::from)
        }
        form => Err(SnapshotError::UnsupportedForm { form }),
    }
}

/// Decodes the state from a snapshot's data, as a type that fits its form.
fn decode_body<T: serde::de::DeserializeOwned>(data: &[u8]) -> Result<T, SnapshotError> {
    ciborium::from_reader(data)
        .map(|body: SnapshotBody<T>| body.state)
        .map_err(SnapshotError::Unreadable)
}

impl From<StateBeforeForm4> for ReplicatedState {
    fn from(before: StateBeforeForm4) -> Self {
        let first_known = before.taken.keys().next().copied().unwrap_or(0);
        // Older revisions were dropped only if the list is full.
        let has_expired = before.taken.len() >= MAX_REMEMBERED_REVISIONS_BEFORE_FORM_4;
        let accepted_revisions = before
            .taken
            .iter()
            .map(|(revision, digest)| (*revision, CommandDigest::from_leading_bytes(digest)))
            .collect();
        let zone_evacuations = before
            .evacuated
            .into_iter()
            .map(|(zone, count)| (zone, evacuations_from_count(count)))
            .collect();
        Self {
            revision: before.rev,
            config_index: before.config_index,
            config: before.config,
            accepted_revisions,
            last_expired_revision: if has_expired {
                first_known.saturating_sub(1)
            } else {
                0
            },
            rejected_commands: BTreeSet::new(),
            zone_evacuations,
            evacuations_index: before.evacuated_index,
            keys: before.keys,
            keys_index: before.keys_index,
        }
    }
}

/// Creates this many evacuations, with ids that are lower than the index of any log entry after the snapshot.
fn evacuations_from_count(count: u32) -> ZoneEvacuations {
    let evacuations = (0..u64::from(count))
        .map(|id| (id, AcknowledgementState::Unknown))
        .collect();
    ZoneEvacuations {
        evacuations,
        returns: BTreeMap::new(),
    }
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
