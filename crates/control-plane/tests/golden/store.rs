//! Tests reading `control.redb` of a single-member cluster as an earlier build wrote it. It holds the node's id, a
//! snapshot with the first configuration, and the entries below. Two writes of such a file differ in bytes, so the test
//! only reads it and compares its records.

use std::collections::BTreeMap;
use std::path::PathBuf;

use control_plane::configuration::{Command, CommandOutcome, ReplicatedState};
use control_plane::evacuations::EvacuationStep;
use control_plane::store::Store;
use raft::{Entry, Members, NodeId, Payload, Snapshot};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::Serialize;

use crate::commands::{amend, evacuation, replace};
use crate::fixture;

const ID: NodeId = 0x1122_3344_5566_7788;
const TERM: u64 = 3;
const FILE: &str = "control.redb";

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");

fn initial_members() -> Members {
    let voters = BTreeMap::from([(ID, "127.77.0.1:7070".into())]);
    Members {
        voters,
        ..Members::default()
    }
}

fn entry(term: u64, index: u64, command: &Command) -> Entry {
    Entry {
        term,
        index,
        payload: Payload::Data(fixture::encode(command)),
    }
}

/// Returns the snapshot, which covers an empty entry and the first configuration.
fn snapshot() -> Snapshot {
    let mut state = ReplicatedState::default();
    assert_eq!(state.apply(2, &replace(0, 5)), CommandOutcome::Applied);
    let data = control_plane::snapshot::encode(&state).expect("encoded");
    Snapshot {
        index: 2,
        term: 2,
        members: initial_members(),
        data,
    }
}

fn entries() -> Vec<Entry> {
    vec![
        Entry {
            term: TERM,
            index: 3,
            payload: Payload::Empty,
        },
        entry(TERM, 4, &amend(5, 7)),
        entry(TERM, 5, &evacuation(EvacuationStep::Begin)),
        Entry {
            term: TERM,
            index: 6,
            payload: Payload::Members(initial_members()),
        },
        entry(TERM, 7, &replace(7, 9)),
    ]
}

/// A test's temporary folder, which is removed on drop.
pub(crate) struct Folder(pub PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn empty_folder(name: &str) -> Folder {
    let name = format!("shorefront-golden-{name}-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    Folder(folder)
}

/// Returns a folder with a copy of the stored file.
pub(crate) fn copy(name: &str) -> Folder {
    let folder = empty_folder(name);
    std::fs::copy(fixture::path(FILE), folder.0.join(FILE)).expect("copied");
    folder
}

#[test]
fn stored_file_is_read_at_start() {
    let folder = copy("start");
    let (_store, stored) = Store::open(&folder.0).expect("readable");
    let (id, stored) = stored.expect("not a new file");
    assert_eq!(id, ID);
    assert_eq!((stored.term, stored.voted_for), (TERM, Some(ID)));
    assert_eq!(stored.snapshot, Some(snapshot()));
    assert_eq!(stored.entries, entries());
}

/// Returns the bytes of a record: a checksum followed by the value.
fn record<T: Serialize>(value: &T) -> Vec<u8> {
    let value = fixture::encode(value);
    [crc32fast::hash(&value).to_le_bytes().as_slice(), &value].concat()
}

#[test]
fn record_encodings_of_a_stored_file_are_unchanged() {
    let folder = copy("records");
    let file = Database::open(folder.0.join(FILE)).expect("opened");
    let reading = file.begin_read().expect("readable");
    let meta = reading.open_table(META).expect("a table");
    let rows = meta.iter().expect("rows").map(|row| {
        let (name, value) = row.expect("a row");
        (name.value().to_string(), value.value().to_vec())
    });
    let expected = BTreeMap::from([
        ("format".to_string(), record(&2u64)),
        ("id".to_string(), record(&ID)),
        ("snapshot".to_string(), record(&snapshot())),
        ("vote".to_string(), record(&(TERM, Some(ID)))),
    ]);
    assert_eq!(rows.collect::<BTreeMap<_, _>>(), expected);
    let table = reading.open_table(ENTRIES).expect("a table");
    let rows = table.iter().expect("rows").map(|row| {
        let (index, value) = row.expect("a row");
        (index.value(), value.value().to_vec())
    });
    let expected: Vec<_> = entries().iter().map(|e| (e.index, record(e))).collect();
    assert_eq!(rows.collect::<Vec<_>>(), expected);
}
