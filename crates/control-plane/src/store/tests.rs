//! Tests of the store and of the disk thread, on disks that fail, stall and lose power.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use raft::Payload;
use tokio::sync::mpsc::UnboundedReceiver;

use self::faulty_disk::{Faults, FaultyDisk};
use self::volatile_disk::VolatileDisk;
use super::*;
use crate::server::{COMPACT_AFTER_BYTES, COMPACT_AFTER_ENTRIES};

mod faulty_disk;
mod volatile_disk;

/// Returns the path of a temporary directory that does not exist yet.
pub(crate) fn empty_dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("shorefront-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

fn entry(term: u64, index: u64) -> Entry {
    Entry {
        term,
        index,
        payload: Payload::Data(vec![index as u8]),
    }
}

fn snapshot(index: u64, term: u64, data: Vec<u8>) -> Snapshot {
    Snapshot {
        index,
        term,
        members: Members::default(),
        data,
    }
}

fn persist_request(sequence: u64, term: u64, entries: Vec<Entry>) -> DiskRequest {
    DiskRequest::Persist(PersistRequest {
        sequence,
        term,
        voted_for: Some(3),
        entries,
        snapshot: None,
    })
}

#[test]
fn synced_state_is_loaded_after_a_restart() {
    let dir = empty_dir("store");
    let store = Store::open_with(&dir, open_database).expect("a file");
    assert_eq!(store.identity().expect("readable"), None);
    store.initialize(7, &Members::default()).expect("written");
    let batch = [
        persist_request(1, 1, (1..=5).map(|i| entry(1, i)).collect()),
        persist_request(2, 2, vec![entry(2, 4)]),
    ];
    store.write(&batch).expect("written");
    drop(store);
    let store = Store::open_with(&dir, open_database).expect("a file");
    assert_eq!(store.identity().expect("readable"), Some(7));
    let stored = store.load().expect("readable");
    assert_eq!((stored.term, stored.voted_for), (2, Some(3)));
    let terms: Vec<u64> = stored.entries.iter().map(|e| e.term).collect();
    assert_eq!(
        terms,
        [1, 1, 1, 2],
        "the later entry replaced all from its index on"
    );
    let compacted = snapshot(3, 1, vec![9]);
    store
        .write(&[DiskRequest::Compact(compacted.clone())])
        .expect("written");
    let stored = store.load().expect("readable");
    assert_eq!(stored.snapshot, Some(compacted));
    assert_eq!(stored.entries.len(), 1);
    // A received snapshot replaces the whole log, including entries after its index.
    store
        .write(&[persist_request(
            3,
            2,
            (5..=8).map(|i| entry(2, i)).collect(),
        )])
        .expect("written");
    let received = PersistRequest {
        sequence: 4,
        term: 3,
        voted_for: None,
        entries: Vec::new(),
        snapshot: Some(snapshot(6, 3, vec![8])),
    };
    store
        .write(&[DiskRequest::Persist(received.clone())])
        .expect("written");
    let stored = store.load().expect("readable");
    assert_eq!(
        (stored.snapshot, stored.entries.len()),
        (received.snapshot, 0)
    );
    let _ = std::fs::remove_dir_all(&dir);
}

#[test]
fn foreign_file_is_corrupted_not_new() {
    let dir = empty_dir("foreign");
    std::fs::create_dir_all(&dir).expect("a directory");
    std::fs::write(dir.join(FILE_NAME), vec![7; 9000]).expect("written");
    let error = Store::open_with(&dir, open_database)
        .err()
        .expect("an error");
    assert!(error.is_corrupted(), "{error}");
    quarantine(&dir).expect("moved");
    let store = Store::open_with(&dir, open_database).expect("a new file");
    assert_eq!(store.identity().expect("readable"), None);
    assert!(
        dir.join(QUARANTINED_FILE_NAME).exists(),
        "the damaged file is kept"
    );
    let _ = std::fs::remove_dir_all(&dir);
}

#[test]
fn changed_record_is_detected() {
    let record = encode(&(7u64, Some(3u64)));
    assert_eq!(
        decode::<(u64, Option<u64>)>(&record).expect("readable"),
        (7, Some(3))
    );
    for at in 0..record.len() {
        let mut bad = record.clone();
        bad[at] ^= 0x10;
        assert!(decode::<(u64, Option<u64>)>(&bad).is_err(), "byte {at}");
        assert!(
            decode::<(u64, Option<u64>)>(&record[..at]).is_err(),
            "cut at {at}"
        );
    }
}

/// Damages the file in random places. Opening it must either return exactly what was written or report corruption; it
/// must never panic.
#[test]
fn corrupted_file_loads_intact_or_fails() {
    let dir = empty_dir("flipped");
    let store = Store::open_with(&dir, open_database).expect("a file");
    store.initialize(7, &Members::default()).expect("written");
    store
        .write(&[persist_request(
            1,
            1,
            (1..=40).map(|i| entry(1, i)).collect(),
        )])
        .expect("written");
    drop(store);
    let file = dir.join(FILE_NAME);
    let whole = std::fs::read(&file).expect("readable");
    let mut rng = oorandom::Rand32::new(20);
    let (mut rejected, mut read) = (0, 0);
    for round in 0..200 {
        let mut bytes = whole.clone();
        if round % 4 == 0 {
            bytes.truncate(rng.rand_range(0..whole.len() as u32) as usize);
        } else {
            let first = rng.rand_range(0..whole.len() as u32) as usize;
            let end = (first + 1 + rng.rand_range(0..2048) as usize).min(whole.len());
            bytes[first..end]
                .iter_mut()
                .for_each(|b| *b = rng.rand_u32() as u8);
        }
        std::fs::write(&file, bytes).expect("written");
        match Store::open(&dir) {
            Ok((_, None)) => assert_eq!(std::fs::metadata(&file).map_or(0, |m| m.len()), 0),
            Ok((_, Some((id, stored)))) => {
                read += 1;
                assert_eq!(id, 7);
                let intact = stored
                    .entries
                    .iter()
                    .zip(1..)
                    .all(|(e, i)| *e == entry(1, i));
                assert!(intact && stored.entries.len() == 40, "not what was written");
            }
            Err(error) => {
                assert!(error.is_corrupted(), "{error}");
                rejected += 1;
            }
        }
    }
    assert!(read > 0 && rejected > 0, "{read} read, {rejected} not");
    let _ = std::fs::remove_dir_all(&dir);
}

/// Checks that the file stays below 16 MiB over many writes and snapshots: with many small entries, with configurations
/// of 1,000 routes, and with amendments of a configuration of 1,500 routes. Every fourth snapshot comes from a leader
/// and replaces the whole log.
#[test]
fn file_size_stays_bounded() {
    const CASES: [(usize, u64, u64, usize); 3] = [
        (300, 64, 64, 300),
        (300 << 10, 1, 80, 300 << 10),
        (600, 64, 80, 480_000),
    ];
    for (bytes, batch, writes, state) in CASES {
        let dir = empty_dir(&format!("small-{bytes}"));
        let store = Store::open_with(&dir, open_database).expect("a file");
        store.initialize(7, &Members::default()).expect("written");
        let (mut index, mut kept, mut entries_kept, mut largest) = (0, 0, 0, 0);
        for sequence in 0..writes {
            let entries = (1..=batch).map(|i| {
                let payload = Payload::Data(vec![sequence as u8; bytes]);
                Entry {
                    term: 1,
                    index: index + i,
                    payload,
                }
            });
            store
                .write(&[persist_request(sequence, 1, entries.collect())])
                .expect("written");
            index += batch;
            kept += bytes * batch as usize;
            entries_kept += batch as usize;
            if kept > COMPACT_AFTER_BYTES || entries_kept > COMPACT_AFTER_ENTRIES {
                (kept, entries_kept) = (0, 0);
                let snapshot = snapshot(index, 1, vec![7; state]);
                let request = if sequence % 4 == 3 {
                    let (snapshot, entries) = (Some(snapshot), Vec::new());
                    DiskRequest::Persist(PersistRequest {
                        sequence,
                        term: 1,
                        voted_for: None,
                        entries,
                        snapshot,
                    })
                } else {
                    DiskRequest::Compact(snapshot)
                };
                store.write(&[request]).expect("written");
            }
            largest = std::fs::metadata(dir.join(FILE_NAME))
                .map_or(0, |m| m.len())
                .max(largest);
        }
        assert!(largest < 16 << 20, "entries of {bytes} bytes: {largest}");
        let _ = std::fs::remove_dir_all(&dir);
    }
}

fn wait_until_synced(synced: &mut UnboundedReceiver<u64>, wanted: u64) {
    while synced.blocking_recv().expect("the thread keeps running") < wanted {}
}

#[test]
fn refused_writes_are_retried() {
    static FAULTS: Faults = Faults::none();
    let opener: Opener = |path| FaultyDisk::open(path, &FAULTS);
    let dir = empty_dir("refuses");
    let store = Store::open_with(&dir, opener).expect("a file");
    store.initialize(7, &Members::default()).expect("written");
    let (requests, mut synced) = store.spawn_writer().expect("a thread");
    requests
        .send(persist_request(1, 1, vec![entry(1, 1)]))
        .expect("sent");
    assert_eq!(synced.blocking_recv(), Some(1));
    FAULTS.fails.store(true, Ordering::SeqCst);
    requests
        .send(persist_request(2, 1, vec![entry(1, 2)]))
        .expect("sent");
    thread::sleep(WRITE_RETRY_INTERVAL * 3);
    requests
        .send(persist_request(3, 1, vec![entry(1, 3)]))
        .expect("sent");
    assert!(
        synced.try_recv().is_err(),
        "an unsynced request was reported"
    );
    FAULTS.fails.store(false, Ordering::SeqCst);
    wait_until_synced(&mut synced, 3);
    drop(requests);
    assert_eq!(synced.blocking_recv(), None);
    // A start on a full disk must not report the file as damaged, because it would then be quarantined.
    let copy = empty_dir("refuses-at-start");
    std::fs::create_dir_all(&copy).expect("a directory");
    std::fs::copy(dir.join(FILE_NAME), copy.join(FILE_NAME)).expect("copied");
    FAULTS.fails.store(true, Ordering::SeqCst);
    match Store::open_and_load(&copy, opener) {
        Err(error) => assert!(!error.is_corrupted(), "{error}"),
        Ok((_, stored)) => assert_eq!(stored.map(|(id, _)| id), Some(7)),
    }
    FAULTS.fails.store(false, Ordering::SeqCst);
    let (_, stored) = Store::open_and_load(&copy, opener).expect("readable");
    assert_eq!(stored.expect("not new").1.entries.len(), 3);
    [dir, copy]
        .iter()
        .for_each(|dir| drop(std::fs::remove_dir_all(dir)));
}

#[test]
fn stalled_disk_gets_all_requests_at_once() {
    static FAULTS: Faults = Faults::none();
    let dir = empty_dir("stalls");
    let store = Store::open_with(&dir, |path| FaultyDisk::open(path, &FAULTS)).expect("a file");
    store.initialize(7, &Members::default()).expect("written");
    let (requests, mut synced) = store.spawn_writer().expect("a thread");
    FAULTS.stalls.store(true, Ordering::SeqCst);
    for i in 1..=100 {
        requests
            .send(persist_request(i, 1, vec![entry(1, i)]))
            .expect("sending does not block");
    }
    thread::sleep(Duration::from_millis(100));
    assert!(
        synced.try_recv().is_err(),
        "an unsynced request was reported"
    );
    FAULTS.stalls.store(false, Ordering::SeqCst);
    wait_until_synced(&mut synced, 100);
    drop(requests);
    assert_eq!(synced.blocking_recv(), None);
    let (_, stored) = Store::open(&dir).expect("readable");
    assert_eq!(stored.expect("not new").1.entries.len(), 100);
    let _ = std::fs::remove_dir_all(&dir);
}

/// Interrupts a write by a loss of power at a random step, after which any part of the unsynced data may be on the
/// disk. What was synced before must be intact, and the file must not be reported as damaged.
#[test]
fn power_loss_keeps_synced_state() {
    let mut rng = oorandom::Rand32::new(7);
    let dir = empty_dir("power");
    std::fs::create_dir_all(&dir).expect("a directory");
    let (mut before, mut after) = (0, 0);
    for round in 0..60u64 {
        let disk = VolatileDisk::default();
        let file = Database::builder()
            .create_with_backend(disk.clone())
            .expect("a file");
        let store = Store {
            path: dir.join(FILE_NAME),
            file,
            opener: open_database,
        };
        store.initialize(7, &Members::default()).expect("written");
        store
            .write(&[persist_request(
                1,
                1,
                (1..=20).map(|i| entry(1, i)).collect(),
            )])
            .expect("written");
        let snapshot = snapshot(9, 1, vec![9; 9000]);
        store
            .write(&[DiskRequest::Compact(snapshot.clone())])
            .expect("written");
        // Power is lost after a random step of the next write, or not during it.
        disk.lose_power_after(1 + rng.rand_range(0..30));
        let requests = [persist_request(
            2,
            2,
            (15..=15 + round).map(|i| entry(2, i)).collect(),
        )];
        store.write(&requests).expect("written");
        let finished = !disk.has_lost_power();
        let left = disk.contents_after_power_loss(&mut rng);
        drop(store);
        std::fs::write(dir.join(FILE_NAME), left).expect("written");
        let (_, stored) = Store::open(&dir).expect("not damaged");
        let (id, stored) = stored.expect("not new");
        assert_eq!((id, stored.snapshot.as_ref()), (7, Some(&snapshot)));
        let terms: Vec<u64> = stored.entries.iter().map(|e| e.term).collect();
        let kept = terms.iter().take_while(|term| **term == 1).count();
        let old = terms.len() == 11 && kept == 11 && stored.term == 1;
        let new = terms.len() as u64 == 5 + round + 1 && kept == 5 && stored.term == 2;
        assert!(old || new, "round {round}: a partial write, {terms:?}");
        assert!(new || !finished, "round {round}: a synced write was lost");
        (before, after) = (before + u32::from(old), after + u32::from(new));
    }
    assert!(
        before > 0 && after > 0,
        "state before the write in {before} rounds, after it in {after}"
    );
    let _ = std::fs::remove_dir_all(&dir);
}

/// Modifies the records of a file, to produce contents that this build never writes.
fn modify_records(store: &Store, change: impl Fn(&mut redb::Table<&str, &[u8]>)) {
    let writing = store.file.begin_write().expect("a transaction");
    change(&mut writing.open_table(META).expect("a table"));
    writing.commit().expect("written");
}

#[test]
fn damaged_snapshot_is_corruption_and_later_format_is_refused() {
    let dir = empty_dir("modified-records");
    let store = Store::open_with(&dir, open_database).expect("a file");
    store.initialize(7, &Members::default()).expect("written");
    let snapshot = snapshot(3, 1, vec![9; 100]);
    store
        .write(&[
            persist_request(1, 1, vec![entry(1, 1)]),
            DiskRequest::Compact(snapshot.clone()),
        ])
        .expect("written");
    let whole = encode(&snapshot);
    let mut flipped = whole.clone();
    flipped[60] ^= 1;
    for bad in [Some(&flipped[..]), Some(&whole[..50]), Some(&[]), None] {
        modify_records(&store, |meta| match bad {
            Some(bad) => drop(meta.insert("snapshot", bad).expect("written")),
            None => drop(meta.remove("snapshot").expect("written")),
        });
        let error = store.load().expect_err("damage");
        assert!(
            error.is_corrupted() && error.to_string().contains("snapshot"),
            "{error}"
        );
    }
    modify_records(&store, |meta| {
        meta.insert("format", encode(&(FORMAT + 1)).as_slice())
            .expect("written");
    });
    drop(store);
    let before = std::fs::read(dir.join(FILE_NAME)).expect("readable");
    let error = Store::open(&dir).err().expect("an error");
    assert!(
        matches!(error, StoreError::UnsupportedFormat { found, .. } if found == FORMAT + 1),
        "{error}"
    );
    assert!(!error.is_corrupted(), "it must not be quarantined");
    assert_eq!(
        std::fs::read(dir.join(FILE_NAME)).expect("readable").len(),
        before.len()
    );
    let _ = std::fs::remove_dir_all(&dir);
}
