//! The replicated state as it stands in a snapshot of the log.
//!
//! A snapshot's data is one CBOR map `{form, agreed}`; `form` says how `agreed` is to be read.
//!
//! | form | written by | how it is read |
//! | --- | --- | --- |
//! | 4 | this build | as [`ReplicatedState`] |
//! | 3 | the build before | evacuations were counted: each becomes one whose acknowledgement is unknown, under the ids 0, 1, .., which stand before every index of the log. Full digests are cut to the length of today's. If it held its 1,024 revisions, older ones count as expired. |
//! | 2 | the one before that | as form 3, with no ranges of keys |
//! | others | a later build, or none | [`SnapshotError::UnsupportedForm`]: the process ends, since it must not pass over what it can't read |
//!
//! **What is synced when.** This module does no I/O. The data becomes part of a `raft::Snapshot`, which is stored in two
//! ways (see [`crate::store`]): one made here, when the log has grown ([`DiskRequest::Compact`](crate::store::DiskRequest)),
//! in the transaction that drops the entries up to it; and one received from the leader, in the transaction that drops
//! the whole log ([`DiskRequest::Persist`](crate::store::DiskRequest)).
//!
//! **What it may lose.** Nothing: a crash leaves the earlier snapshot and its entries, or the new one. Damaged data
//! gives [`SnapshotError::Unreadable`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use protocol::key_ranges::KeyRangeMap;
use serde::{Deserialize, Serialize};

use crate::command::CommandDigest;
use crate::evacuations::{AcknowledgementState, ZoneEvacuations};
use crate::replicated_state::ReplicatedState;

/// The form that this build writes.
const FORM: u32 = 4;
/// Counted a zone's evacuations, and held nothing on their acknowledgements.
const FORM_OF_COUNTS: u32 = 3;
/// Had no keys besides; it is read as having none.
const FORM_WITHOUT_KEYS: u32 = 2;
/// So many accepted changes were remembered by builds before form 4.
const MAX_REMEMBERED_REVISIONS_BEFORE_FORM_4: usize = 1024;

/// Why a snapshot can't be written or read.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The state can't be serialized.
    #[error("a snapshot that can't be written: {0}")]
    Unwritable(#[source] ciborium::ser::Error<std::io::Error>),
    /// The data is damaged.
    #[error("a snapshot that can't be read: {0}")]
    Unreadable(#[source] ciborium::de::Error<std::io::Error>),
    /// Another build wrote it, in a form that this one doesn't know.
    #[error("a snapshot of form {form}, and this build reads {FORM}")]
    UnsupportedForm {
        /// Its form.
        form: u32,
    },
}

/// What data of every form begins with.
#[derive(Deserialize)]
struct Header {
    form: u32,
}

#[derive(Serialize)]
struct SnapshotRef<'a> {
    form: u32,
    #[serde(rename = "agreed")]
    state: &'a ReplicatedState,
}

#[derive(Deserialize)]
struct SnapshotBody<T> {
    #[serde(rename = "agreed")]
    state: T,
}

/// The state in forms 2 and 3, under the names that were written.
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

/// The state as a snapshot's data, in the form of this build.
///
/// # Errors
///
/// [`SnapshotError::Unwritable`]; writing to memory gives none in practice.
pub fn encode(state: &ReplicatedState) -> Result<Vec<u8>, SnapshotError> {
    let mut data = Vec::new();
    let snapshot = SnapshotRef { form: FORM, state };
    ciborium::into_writer(&snapshot, &mut data).map_err(SnapshotError::Unwritable)?;
    Ok(data)
}

/// The state that a snapshot's data holds, of any form that this build reads.
///
/// # Errors
///
/// [`SnapshotError::Unreadable`] for damaged data, [`SnapshotError::UnsupportedForm`] for that of another build.
pub fn decode(data: &[u8]) -> Result<ReplicatedState, SnapshotError> {
    let Header { form } = ciborium::from_reader(data).map_err(SnapshotError::Unreadable)?;
    match form {
        FORM => decode_body(data),
        FORM_OF_COUNTS | FORM_WITHOUT_KEYS => {
            decode_body::<StateBeforeForm4>(data).map(ReplicatedState::from)
        }
        form => Err(SnapshotError::UnsupportedForm { form }),
    }
}

fn decode_body<T: serde::de::DeserializeOwned>(data: &[u8]) -> Result<T, SnapshotError> {
    ciborium::from_reader(data)
        .map(|body: SnapshotBody<T>| body.state)
        .map_err(SnapshotError::Unreadable)
}

impl From<StateBeforeForm4> for ReplicatedState {
    fn from(before: StateBeforeForm4) -> Self {
        let first_known = before.taken.keys().next().copied().unwrap_or(0);
        // Only a full list has lost revisions.
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

/// So many evacuations, under ids that stand before whatever the log may hold behind the snapshot.
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
