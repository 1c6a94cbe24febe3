//! What a control balancer keeps on disk, in one `redb` file: its identity, its term and vote, the snapshot
//! and the entries after it. A thread of its own writes and syncs, so that a disk that stalls holds up
//! neither heartbeats nor answers; all that waits by then goes into one transaction.

use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;

use agreement::{Entry, Members, NodeId, Save, Snapshot, Stored};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc as notes;

/// The file's format. Another one is turned away.
const FORMAT: u64 = 1;
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

/// The open file.
pub struct Store {
    path: PathBuf,
    file: Database,
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory does not fail.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes
}

impl Store {
    pub fn open(folder: &Path) -> Result<Self, StoreError> {
        std::fs::create_dir_all(folder).map_err(|e| StoreError::Folder(folder.into(), e))?;
        let path = folder.join("control.redb");
        let file = Database::builder().set_cache_size(CACHE).create(&path);
        let file = file.map_err(|e| StoreError::File(path.clone(), Box::new(e.into())))?;
        // The name itself lasts only once the folder is synced.
        let synced = std::fs::File::open(folder).and_then(|f| f.sync_all());
        synced.map_err(|e| StoreError::Folder(folder.into(), e))?;
        Ok(Self { path, file })
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
        let value = ciborium::from_reader(bytes.value());
        value.map(Some).map_err(|e| StoreError::Damaged(self.path.clone(), what, e.to_string()))
    }

    /// Who this disk makes of the machine; `None` for a new one.
    pub fn identity(&self) -> Result<Option<NodeId>, StoreError> {
        match self.read::<u64>("format")? {
            None => Ok(None),
            Some(FORMAT) => self.read("id"),
            Some(other) => Err(StoreError::Format(self.path.clone(), other)),
        }
    }

    /// A new member, with the founders if it is one of them.
    pub fn found(&self, id: NodeId, founders: &Members) -> Result<(), StoreError> {
        let snapshot = Snapshot { index: 0, term: 0, members: founders.clone(), data: Vec::new() };
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
    pub fn load(&self) -> Result<Stored, StoreError> {
        let (term, vote) = self.read::<(u64, Option<NodeId>)>("vote")?.unwrap_or_default();
        let snapshot: Option<Snapshot> = self.read("snapshot")?;
        let reading = self.file.begin_read().map_err(self.failed())?;
        let table = reading.open_table(ENTRIES).map_err(self.failed())?;
        let mut entries: Vec<Entry> = Vec::new();
        let mut next = snapshot.as_ref().map_or(0, |s| s.index) + 1;
        for row in table.iter().map_err(self.failed())? {
            let (index, bytes) = row.map_err(self.failed())?;
            let entry: Entry = ciborium::from_reader(bytes.value())
                .map_err(|e| StoreError::Damaged(self.path.clone(), "entries", e.to_string()))?;
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

    /// Hands the file to its thread. Told of each save once it is synced; the channel closes when the disk
    /// fails for good.
    pub fn serve(self) -> std::io::Result<(mpsc::Sender<Order>, notes::UnboundedReceiver<u64>)> {
        let (orders, todo) = mpsc::channel::<Order>();
        let (done, saved) = notes::unbounded_channel();
        thread::Builder::new().name("disk".into()).stack_size(256 << 10).spawn(move || {
            while let Ok(first) = todo.recv() {
                let mut batch = vec![first];
                batch.extend(todo.try_iter());
                if let Err(cause) = self.write(&batch) {
                    tracing::error!(%cause, "the disk failed");
                    return;
                }
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
mod tests {
    use agreement::Payload;

    use super::*;

    fn folder(name: &str) -> PathBuf {
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
        std::fs::write(at.join("control.redb"), vec![7; 9000]).expect("written");
        assert!(Store::open(&at).is_err());
        let _ = std::fs::remove_dir_all(&at);
    }
}
