//! What a control balancer keeps on disk, in one `redb` file: its identity, its term and vote, the snapshot
//! and the entries after it, each record with a checksum. A thread of its own writes and syncs, so that a
//! disk that stalls holds up neither heartbeats nor answers; all that waits by then goes into one
//! transaction. A disk that refuses is tried again. A damaged file is set aside, and its machine comes back
//! as a new member: with the old name it might vote twice.

use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use agreement::{Entry, Members, NodeId, Save, Snapshot, Stored};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc as notes;

/// The file's format. Another one is turned away.
const FORMAT: u64 = 2;
/// A disk that refused is tried again after this: a fraction of the time for which a lost member is borne.
pub const AGAIN: Duration = Duration::from_millis(250);
/// The file; and what a damaged one is called from then on.
const NAME: &str = "control.redb";
const ASIDE: &str = "control.redb.damaged";
/// `redb` keeps so much of the file in memory: all of it, as small as it is kept.
const CACHE: usize = 2 << 20;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");

/// Why what is on disk can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    #[error("{0}: {1}")]
    Folder(PathBuf, std::io::Error),
    #[error("{0}: {1}")]
    File(PathBuf, Box<redb::Error>),
    #[error("{0}: `{1}` can't be read: {2}")]
    Damaged(PathBuf, &'static str, String),
    #[error("{0}: format {1}, and this build reads {FORMAT}")]
    Format(PathBuf, u64),
}

/// What the disk thread is told.
pub enum Order {
    Save(Save),
    /// A snapshot made here: entries up to it are dropped.
    Compact(Snapshot),
}

/// Opens the file, or makes it.
type Opener = fn(&Path) -> Result<Database, redb::DatabaseError>;

fn opened(path: &Path) -> Result<Database, redb::DatabaseError> {
    Database::builder().set_cache_size(CACHE).create(path)
}

/// The open file.
pub struct Store {
    path: PathBuf,
    file: Database,
    opener: Opener,
}

impl StoreError {
    /// Whether the file itself is bad, and no trying again can help.
    pub fn damaged(&self) -> bool {
        match self {
            Self::Damaged(..) => true,
            Self::File(_, cause) => match &**cause {
                redb::Error::Corrupted(_) => true,
                redb::Error::Io(e) => {
                    use std::io::ErrorKind::{InvalidData, UnexpectedEof};
                    matches!(e.kind(), InvalidData | UnexpectedEof)
                }
                _ => false,
            },
            Self::Folder(..) | Self::Format(..) => false,
        }
    }
}

/// A record: the checksum of what follows, and the value.
fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![0; 4];
    // Writing to memory does not fail.
    let _ = ciborium::into_writer(value, &mut bytes);
    let sum = crc32fast::hash(&bytes[4..]);
    bytes[..4].copy_from_slice(&sum.to_le_bytes());
    bytes
}

fn decode<T: DeserializeOwned>(record: &[u8]) -> Result<T, String> {
    let (sum, value) = record.split_at_checked(4).ok_or("cut short")?;
    if sum != crc32fast::hash(value).to_le_bytes() {
        return Err("its checksum does not match".into());
    }
    ciborium::from_reader(value).map_err(|e| e.to_string())
}

/// A name in a folder lasts only once the folder is synced.
fn sync(folder: &Path) -> std::io::Result<()> {
    std::fs::File::open(folder).and_then(|f| f.sync_all())
}

/// Puts a damaged file out of the way, in place of one that was there before.
pub fn set_aside(folder: &Path) -> Result<(), StoreError> {
    let moved = std::fs::rename(folder.join(NAME), folder.join(ASIDE));
    moved.and_then(|()| sync(folder)).map_err(|e| StoreError::Folder(folder.into(), e))
}

impl Store {
    fn open(folder: &Path) -> Result<Self, StoreError> {
        Self::open_by(folder, opened)
    }

    fn open_by(folder: &Path, opener: Opener) -> Result<Self, StoreError> {
        std::fs::create_dir_all(folder).map_err(|e| StoreError::Folder(folder.into(), e))?;
        let path = folder.join(NAME);
        let file = opener(&path).map_err(|e| StoreError::File(path.clone(), Box::new(e.into())))?;
        sync(folder).map_err(|e| StoreError::Folder(folder.into(), e))?;
        Ok(Self { path, file, opener })
    }

    /// Opens the file at a start, with all its pages checked against their checksums: `redb` checks them
    /// when it recovers, not when it reads. Also gives what stands in it, if it is not new.
    pub fn start(folder: &Path) -> Result<(Self, Option<(NodeId, Stored)>), StoreError> {
        let checked = || {
            let mut store = Self::open(folder)?;
            let whole = store.file.check_integrity();
            if !whole.map_err(|e| StoreError::File(store.path.clone(), Box::new(e.into())))? {
                let what = "a page's checksum does not match".to_string();
                return Err(StoreError::Damaged(store.path, "pages", what));
            }
            let Some(id) = store.identity()? else { return Ok((store, None)) };
            let stored = store.load()?;
            Ok((store, Some((id, stored))))
        };
        // Some damage makes `redb` panic: to this program it is an error like the others.
        std::panic::catch_unwind(checked).unwrap_or_else(|_| {
            let path = folder.join(NAME);
            Err(StoreError::Damaged(path, "pages", "their structure is broken".into()))
        })
    }

    fn failed<E: Into<redb::Error>>(&self) -> impl Fn(E) -> StoreError + '_ {
        |e| StoreError::File(self.path.clone(), Box::new(e.into()))
    }

    fn read<T: DeserializeOwned>(&self, what: &'static str) -> Result<Option<T>, StoreError> {
        let reading = self.file.begin_read().map_err(self.failed())?;
        let table = match reading.open_table(META) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(e) => return Err(self.failed()(e)),
        };
        let Some(bytes) = table.get(what).map_err(self.failed())? else { return Ok(None) };
        let value = decode(bytes.value());
        value.map(Some).map_err(|e| StoreError::Damaged(self.path.clone(), what, e))
    }

    /// Who this disk makes of the machine; `None` for a new one.
    fn identity(&self) -> Result<Option<NodeId>, StoreError> {
        match self.read::<u64>("format")? {
            None => Ok(None),
            Some(FORMAT) => self.read("id"),
            Some(other) => Err(StoreError::Format(self.path.clone(), other)),
        }
    }

    /// A new member, with the founders if it is one of them.
    pub fn found(&self, id: NodeId, founders: &Members) -> Result<(), StoreError> {
        let snapshot = Snapshot::of_founders(founders.clone());
        let writing = self.file.begin_write().map_err(self.failed())?;
        {
            let mut meta = writing.open_table(META).map_err(self.failed())?;
            let mut put = |name: &str, value: Vec<u8>| {
                meta.insert(name, value.as_slice()).map(drop).map_err(self.failed())
            };
            put("format", encode(&FORMAT))?;
            put("id", encode(&id))?;
            put("snapshot", encode(&snapshot))?;
            writing.open_table(ENTRIES).map_err(self.failed())?;
        }
        writing.commit().map_err(self.failed())
    }

    /// All of it.
    fn load(&self) -> Result<Stored, StoreError> {
        let (term, vote) = self.read::<(u64, Option<NodeId>)>("vote")?.unwrap_or_default();
        let snapshot: Option<Snapshot> = self.read("snapshot")?;
        let reading = self.file.begin_read().map_err(self.failed())?;
        let table = reading.open_table(ENTRIES).map_err(self.failed())?;
        let mut entries: Vec<Entry> = Vec::new();
        let mut next = snapshot.as_ref().map_or(0, |s| s.index) + 1;
        for row in table.iter().map_err(self.failed())? {
            let (index, bytes) = row.map_err(self.failed())?;
            let entry: Entry = decode(bytes.value())
                .map_err(|e| StoreError::Damaged(self.path.clone(), "entries", e))?;
            if index.value() < next {
                continue;
            }
            if index.value() != next || entry.index != next {
                let gap = format!("{} stands where {next} is expected", entry.index);
                return Err(StoreError::Damaged(self.path.clone(), "entries", gap));
            }
            next += 1;
            entries.push(entry);
        }
        Ok(Stored { term, vote, snapshot, entries })
    }

    /// Writes orders in one transaction, and syncs.
    fn write(&self, orders: &[Order]) -> Result<(), StoreError> {
        let writing = self.file.begin_write().map_err(self.failed())?;
        {
            let mut meta = writing.open_table(META).map_err(self.failed())?;
            let mut entries = writing.open_table(ENTRIES).map_err(self.failed())?;
            for order in orders {
                match order {
                    Order::Save(save) => {
                        let vote = encode(&(save.term, save.vote));
                        meta.insert("vote", vote.as_slice()).map_err(self.failed())?;
                        if let Some(snapshot) = &save.snapshot {
                            let bytes = encode(snapshot);
                            meta.insert("snapshot", bytes.as_slice()).map_err(self.failed())?;
                            entries.retain(|_, _| false).map_err(self.failed())?;
                        }
                        if let Some(first) = save.entries.first() {
                            entries
                                .retain_in(first.index.., |_, _| false)
                                .map_err(self.failed())?;
                        }
                        for entry in &save.entries {
                            let bytes = encode(entry);
                            entries.insert(entry.index, bytes.as_slice()).map_err(self.failed())?;
                        }
                    }
                    Order::Compact(snapshot) => {
                        let bytes = encode(snapshot);
                        meta.insert("snapshot", bytes.as_slice()).map_err(self.failed())?;
                        entries
                            .retain_in(..=snapshot.index, |_, _| false)
                            .map_err(self.failed())?;
                    }
                }
            }
        }
        writing.commit().map_err(self.failed())
    }

    /// Writes orders, however often the disk refuses; an error is for good.
    fn write_at_last(mut self, orders: &[Order]) -> Result<Self, StoreError> {
        let folder = self.path.parent().unwrap_or(Path::new("/")).to_path_buf();
        while let Err(cause) = self.write(orders) {
            if cause.damaged() {
                return Err(cause);
            }
            tracing::warn!(%cause, "the disk refused a write; trying again");
            // After an error the file must be opened anew; what was synced stands in it.
            let opener = self.opener;
            drop(self);
            self = loop {
                thread::sleep(AGAIN);
                match Self::open_by(&folder, opener) {
                    Ok(store) => break store,
                    Err(cause) if cause.damaged() => return Err(cause),
                    Err(_) => {}
                }
            };
        }
        Ok(self)
    }

    /// Hands the file to its thread. Told of each save once it is synced; the channel closes when the disk
    /// fails for good.
    pub fn serve(self) -> std::io::Result<(mpsc::Sender<Order>, notes::UnboundedReceiver<u64>)> {
        let (orders, todo) = mpsc::channel::<Order>();
        let (done, saved) = notes::unbounded_channel();
        thread::Builder::new().name("disk".into()).stack_size(256 << 10).spawn(move || {
            let mut store = self;
            while let Ok(first) = todo.recv() {
                let mut batch = vec![first];
                batch.extend(todo.try_iter());
                store = match store.write_at_last(&batch) {
                    Ok(store) => store,
                    Err(cause) => {
                        tracing::error!(%cause, "the disk failed");
                        return;
                    }
                };
                let last = batch.iter().rev().find_map(|o| match o {
                    Order::Save(save) => Some(save.seq),
                    Order::Compact(_) => None,
                });
                if let Some(last) = last
                    && done.send(last).is_err()
                {
                    return;
                }
            }
        })?;
        Ok((orders, saved))
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use std::sync::atomic::{AtomicBool, Ordering};

    use agreement::Payload;
    use redb::StorageBackend;

    use super::*;
    use crate::cell::{COMPACT, COMPACT_BYTES};

    pub(crate) fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("shorefront-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        folder
    }

    fn entry(term: u64, index: u64) -> Entry {
        Entry { term, index, payload: Payload::Data(vec![index as u8]) }
    }

    fn save(seq: u64, term: u64, entries: Vec<Entry>) -> Order {
        Order::Save(Save { seq, term, vote: Some(3), entries, snapshot: None })
    }

    #[test]
    fn what_was_synced_is_there_after_a_start() {
        let at = folder("store");
        let store = Store::open(&at).expect("a file");
        assert_eq!(store.identity().expect("readable"), None);
        store.found(7, &Members::default()).expect("written");
        let batch =
            [save(1, 1, (1..=5).map(|i| entry(1, i)).collect()), save(2, 2, vec![entry(2, 4)])];
        store.write(&batch).expect("written");
        drop(store);
        let store = Store::open(&at).expect("a file");
        assert_eq!(store.identity().expect("readable"), Some(7));
        let stored = store.load().expect("readable");
        assert_eq!((stored.term, stored.vote), (2, Some(3)));
        let terms: Vec<u64> = stored.entries.iter().map(|e| e.term).collect();
        assert_eq!(terms, [1, 1, 1, 2], "the later entry replaced what followed it");
        let snapshot = Snapshot { index: 3, term: 1, members: Members::default(), data: vec![9] };
        store.write(&[Order::Compact(snapshot.clone())]).expect("written");
        let stored = store.load().expect("readable");
        assert_eq!(stored.snapshot, Some(snapshot));
        assert_eq!(stored.entries.len(), 1);
        let _ = std::fs::remove_dir_all(&at);
    }

    #[test]
    fn a_file_that_is_none_of_ours_is_an_error_not_a_new_start() {
        let at = folder("foreign");
        std::fs::create_dir_all(&at).expect("a folder");
        std::fs::write(at.join(NAME), vec![7; 9000]).expect("written");
        let error = Store::open(&at).err().expect("an error");
        assert!(error.damaged(), "{error}");
        set_aside(&at).expect("moved");
        let store = Store::open(&at).expect("a new file");
        assert_eq!(store.identity().expect("readable"), None);
        assert!(at.join(ASIDE).exists(), "nothing is thrown away");
        let _ = std::fs::remove_dir_all(&at);
    }

    #[test]
    fn a_record_that_changed_on_disk_is_found() {
        let record = encode(&(7u64, Some(3u64)));
        assert_eq!(decode::<(u64, Option<u64>)>(&record), Ok((7, Some(3))));
        for at in 0..record.len() {
            let mut bad = record.clone();
            bad[at] ^= 0x10;
            assert!(decode::<(u64, Option<u64>)>(&bad).is_err(), "byte {at}");
            assert!(decode::<(u64, Option<u64>)>(&record[..at]).is_err(), "cut at {at}");
        }
    }

    /// Whatever happens to the bytes of the file: what is read is what was written, or an error; no panic.
    #[test]
    fn a_file_with_changed_or_missing_bytes_reads_as_written_or_not_at_all() {
        let at = folder("flipped");
        let store = Store::open(&at).expect("a file");
        store.found(7, &Members::default()).expect("written");
        store.write(&[save(1, 1, (1..=40).map(|i| entry(1, i)).collect())]).expect("written");
        drop(store);
        let file = at.join(NAME);
        let whole = std::fs::read(&file).expect("readable");
        let mut luck = oorandom::Rand32::new(20);
        let (mut unread, mut read) = (0, 0);
        for round in 0..200 {
            let mut bytes = whole.clone();
            if round % 4 == 0 {
                bytes.truncate(luck.rand_range(0..whole.len() as u32) as usize);
            } else {
                let first = luck.rand_range(0..whole.len() as u32) as usize;
                let end = (first + 1 + luck.rand_range(0..2048) as usize).min(whole.len());
                bytes[first..end].iter_mut().for_each(|b| *b = luck.rand_u32() as u8);
            }
            std::fs::write(&file, bytes).expect("written");
            match Store::start(&at) {
                Ok((_, None)) => assert_eq!(std::fs::metadata(&file).map_or(0, |m| m.len()), 0),
                Ok((_, Some((id, stored)))) => {
                    read += 1;
                    assert_eq!(id, 7);
                    let right = stored.entries.iter().zip(1..).all(|(e, i)| *e == entry(1, i));
                    assert!(right && stored.entries.len() == 40, "not what was written");
                }
                Err(error) => {
                    assert!(error.damaged(), "{error}");
                    unread += 1;
                }
            }
        }
        assert!(read > 0 && unread > 0, "{read} read, {unread} not");
        let _ = std::fs::remove_dir_all(&at);
    }

    /// However long it lives: with many small entries, and with configurations of 1,000 routes.
    #[test]
    fn the_file_stays_small_for_life() {
        for (bytes, batch, writes) in [(300, 64, 64), (300 << 10, 1, 80)] {
            let at = folder(&format!("small-{bytes}"));
            let store = Store::open(&at).expect("a file");
            store.found(7, &Members::default()).expect("written");
            let (mut index, mut kept, mut entries_kept, mut largest) = (0, 0, 0, 0);
            for seq in 0..writes {
                let entries = (1..=batch).map(|i| {
                    let payload = Payload::Data(vec![seq as u8; bytes]);
                    Entry { term: 1, index: index + i, payload }
                });
                store.write(&[save(seq, 1, entries.collect())]).expect("written");
                index += batch;
                kept += bytes * batch as usize;
                entries_kept += batch as usize;
                if kept > COMPACT_BYTES || entries_kept > COMPACT {
                    (kept, entries_kept) = (0, 0);
                    let members = Members::default();
                    let snapshot = Snapshot { index, term: 1, members, data: vec![7; bytes] };
                    store.write(&[Order::Compact(snapshot)]).expect("written");
                }
                largest = std::fs::metadata(at.join(NAME)).map_or(0, |m| m.len()).max(largest);
            }
            assert!(largest < 16 << 20, "entries of {bytes} bytes: {largest}");
            let _ = std::fs::remove_dir_all(&at);
        }
    }

    /// A file on a disk that may refuse.
    #[derive(Debug)]
    struct Refusing(redb::backends::FileBackend);

    static REFUSES: AtomicBool = AtomicBool::new(false);

    impl Refusing {
        fn may(&self) -> std::io::Result<()> {
            let refuses = REFUSES.load(Ordering::SeqCst);
            if refuses { Err(std::io::ErrorKind::StorageFull.into()) } else { Ok(()) }
        }
    }

    impl StorageBackend for Refusing {
        fn len(&self) -> std::io::Result<u64> {
            self.0.len()
        }
        fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
            self.0.read(offset, out)
        }
        fn set_len(&self, len: u64) -> std::io::Result<()> {
            self.may().and_then(|()| self.0.set_len(len))
        }
        fn sync_data(&self) -> std::io::Result<()> {
            self.may().and_then(|()| self.0.sync_data())
        }
        fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
            self.may().and_then(|()| self.0.write(offset, data))
        }
    }

    fn refusing(path: &Path) -> Result<Database, redb::DatabaseError> {
        let options =
            std::fs::File::options().read(true).write(true).create(true).truncate(false).open(path);
        let file = redb::backends::FileBackend::new(options.map_err(redb::StorageError::Io)?)?;
        Database::builder().create_with_backend(Refusing(file))
    }

    #[test]
    fn a_disk_that_refuses_for_a_while_loses_nothing() {
        let at = folder("refuses");
        let store = Store::open_by(&at, refusing).expect("a file");
        store.found(7, &Members::default()).expect("written");
        let (orders, mut saved) = store.serve().expect("a thread");
        orders.send(save(1, 1, vec![entry(1, 1)])).expect("sent");
        assert_eq!(saved.blocking_recv(), Some(1));
        REFUSES.store(true, Ordering::SeqCst);
        orders.send(save(2, 1, vec![entry(1, 2)])).expect("sent");
        thread::sleep(AGAIN * 3);
        orders.send(save(3, 1, vec![entry(1, 3)])).expect("sent");
        assert!(saved.try_recv().is_err(), "nothing is saved that is not synced");
        REFUSES.store(false, Ordering::SeqCst);
        let mut last = 0;
        while last < 3 {
            last = saved.blocking_recv().expect("the thread goes on");
        }
        drop(orders);
        assert_eq!(saved.blocking_recv(), None);
        assert_eq!(Store::open(&at).and_then(|s| s.load()).expect("readable").entries.len(), 3);
        let _ = std::fs::remove_dir_all(&at);
    }
}
