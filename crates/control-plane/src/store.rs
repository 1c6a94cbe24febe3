//! What a control balancer keeps on disk, in one `redb` file: its identity, its term and vote, the snapshot
//! and the entries after it, each record with a checksum. A thread of its own writes and syncs, so that a
//! disk that stalls holds up neither heartbeats nor answers; all that waits by then goes into one
//! transaction. A disk that refuses is tried again. A damaged file is set aside, and its machine comes back
//! as a new member: with the old name it might vote twice.

use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use raft::{Entry, Members, NodeId, PersistRequest, PersistentState, Snapshot};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc as notes;

/// The file's format. Another one is turned away.
const FORMAT: u64 = 2;
/// A disk that refused is tried again after this: a fraction of the time for which a lost member is borne.
pub const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// The file; and what a damaged one is called from then on.
const FILE_NAME: &str = "control.redb";
const QUARANTINED_FILE_NAME: &str = "control.redb.damaged";
/// `redb` keeps so much of the file in memory: all of it, as small as it is kept.
const CACHE_BYTES: usize = 2 << 20;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");

/// Why what is on disk can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    #[error("{0}: {1}")]
    Directory(PathBuf, std::io::Error),
    #[error("{0}: {1}")]
    Database(PathBuf, Box<redb::Error>),
    #[error("{0}: `{1}` can't be read: {2}")]
    Corrupted(PathBuf, &'static str, String),
    #[error("{0}: format {1}, and this build reads {FORMAT}")]
    UnsupportedFormat(PathBuf, u64),
}

/// What the disk thread is told.
pub enum DiskRequest {
    Persist(PersistRequest),
    /// A snapshot made here: entries up to it are dropped.
    Compact(Snapshot),
}

/// Opens the file, or makes it.
type Opener = fn(&Path) -> Result<Database, redb::DatabaseError>;

fn opened(path: &Path) -> Result<Database, redb::DatabaseError> {
    Database::builder().set_cache_size(CACHE_BYTES).create(path)
}

/// The open file.
pub struct Store {
    path: PathBuf,
    file: Database,
    opener: Opener,
}

impl StoreError {
    /// Whether the file itself is bad, and no trying again can help.
    pub fn is_corrupted(&self) -> bool {
        match self {
            Self::Corrupted(..) => true,
            Self::Database(_, cause) => match &**cause {
                redb::Error::Corrupted(_) => true,
                redb::Error::Io(e) => {
                    use std::io::ErrorKind::{InvalidData, UnexpectedEof};
                    matches!(e.kind(), InvalidData | UnexpectedEof)
                }
                _ => false,
            },
            Self::Directory(..) | Self::UnsupportedFormat(..) => false,
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
pub fn quarantine(folder: &Path) -> Result<(), StoreError> {
    let moved = std::fs::rename(folder.join(FILE_NAME), folder.join(QUARANTINED_FILE_NAME));
    moved
        .and_then(|()| sync(folder))
        .map_err(|e| StoreError::Directory(folder.into(), e))
}

impl Store {
    fn open_by(folder: &Path, opener: Opener) -> Result<Self, StoreError> {
        std::fs::create_dir_all(folder).map_err(|e| StoreError::Directory(folder.into(), e))?;
        let path = folder.join(FILE_NAME);
        let file =
            opener(&path).map_err(|e| StoreError::Database(path.clone(), Box::new(e.into())))?;
        sync(folder).map_err(|e| StoreError::Directory(folder.into(), e))?;
        Ok(Self { path, file, opener })
    }

    /// Opens the file at a start, with all its pages checked against their checksums: `redb` checks them
    /// when it recovers, not when it reads. Also gives what stands in it, if it is not new.
    pub fn open(folder: &Path) -> Result<(Self, Option<(NodeId, PersistentState)>), StoreError> {
        Self::start_by(folder, opened)
    }

    fn start_by(
        folder: &Path,
        opener: Opener,
    ) -> Result<(Self, Option<(NodeId, PersistentState)>), StoreError> {
        let checked = || {
            let mut store = Self::open_by(folder, opener)?;
            let whole = store.file.check_integrity();
            if !whole.map_err(|e| StoreError::Database(store.path.clone(), Box::new(e.into())))? {
                let what = "a page's checksum does not match".to_string();
                return Err(StoreError::Corrupted(store.path, "pages", what));
            }
            let Some(id) = store.identity()? else {
                return Ok((store, None));
            };
            let stored = store.load()?;
            Ok((store, Some((id, stored))))
        };
        // Some damage makes `redb` panic: to this program it is an error like the others.
        std::panic::catch_unwind(checked).unwrap_or_else(|_| {
            let path = folder.join(FILE_NAME);
            Err(StoreError::Corrupted(
                path,
                "pages",
                "their structure is broken".into(),
            ))
        })
    }

    fn failed<E: Into<redb::Error>>(&self) -> impl Fn(E) -> StoreError + '_ {
        |e| StoreError::Database(self.path.clone(), Box::new(e.into()))
    }

    fn read<T: DeserializeOwned>(&self, what: &'static str) -> Result<Option<T>, StoreError> {
        let reading = self.file.begin_read().map_err(self.failed())?;
        let table = match reading.open_table(META) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(e) => return Err(self.failed()(e)),
        };
        let Some(bytes) = table.get(what).map_err(self.failed())? else {
            return Ok(None);
        };
        let value = decode(bytes.value());
        value
            .map(Some)
            .map_err(|e| StoreError::Corrupted(self.path.clone(), what, e))
    }

    /// Who this disk makes of the machine; `None` for a new one.
    fn identity(&self) -> Result<Option<NodeId>, StoreError> {
        match self.read::<u64>("format")? {
            None => Ok(None),
            Some(FORMAT) => self.read("id"),
            Some(other) => Err(StoreError::UnsupportedFormat(self.path.clone(), other)),
        }
    }

    /// A new member, with the founders if it is one of them.
    pub fn initialize(&self, id: NodeId, founders: &Members) -> Result<(), StoreError> {
        let snapshot = Snapshot::initial(founders.clone());
        let writing = self.file.begin_write().map_err(self.failed())?;
        {
            let mut meta = writing.open_table(META).map_err(self.failed())?;
            let mut put = |name: &str, value: Vec<u8>| {
                meta.insert(name, value.as_slice())
                    .map(drop)
                    .map_err(self.failed())
            };
            put("format", encode(&FORMAT))?;
            put("id", encode(&id))?;
            put("snapshot", encode(&snapshot))?;
            writing.open_table(ENTRIES).map_err(self.failed())?;
        }
        writing.commit().map_err(self.failed())
    }

    /// All of it.
    fn load(&self) -> Result<PersistentState, StoreError> {
        let (term, vote) = self
            .read::<(u64, Option<NodeId>)>("vote")?
            .unwrap_or_default();
        // There is one from the first write on: without it, this would be a member that has forgotten all.
        let snapshot = self.read::<Snapshot>("snapshot")?.ok_or_else(|| {
            StoreError::Corrupted(self.path.clone(), "snapshot", "it is missing".into())
        })?;
        let reading = self.file.begin_read().map_err(self.failed())?;
        let table = reading.open_table(ENTRIES).map_err(self.failed())?;
        let mut entries: Vec<Entry> = Vec::new();
        let mut next = snapshot.index + 1;
        for row in table.iter().map_err(self.failed())? {
            let (index, bytes) = row.map_err(self.failed())?;
            let entry: Entry = decode(bytes.value())
                .map_err(|e| StoreError::Corrupted(self.path.clone(), "entries", e))?;
            if index.value() < next {
                continue;
            }
            if index.value() != next || entry.index != next {
                let gap = format!("{} stands where {next} is expected", entry.index);
                return Err(StoreError::Corrupted(self.path.clone(), "entries", gap));
            }
            next += 1;
            entries.push(entry);
        }
        Ok(PersistentState {
            term,
            voted_for: vote,
            snapshot: Some(snapshot),
            entries,
        })
    }

    /// Writes orders in one transaction, and syncs.
    fn write(&self, orders: &[DiskRequest]) -> Result<(), StoreError> {
        let writing = self.file.begin_write().map_err(self.failed())?;
        {
            let mut meta = writing.open_table(META).map_err(self.failed())?;
            let mut entries = writing.open_table(ENTRIES).map_err(self.failed())?;
            for order in orders {
                match order {
                    DiskRequest::Persist(save) => {
                        let vote = encode(&(save.term, save.voted_for));
                        meta.insert("vote", vote.as_slice())
                            .map_err(self.failed())?;
                        if let Some(snapshot) = &save.snapshot {
                            let bytes = encode(snapshot);
                            meta.insert("snapshot", bytes.as_slice())
                                .map_err(self.failed())?;
                            entries.retain(|_, _| false).map_err(self.failed())?;
                        }
                        if let Some(first) = save.entries.first() {
                            entries
                                .retain_in(first.index.., |_, _| false)
                                .map_err(self.failed())?;
                        }
                        for entry in &save.entries {
                            let bytes = encode(entry);
                            entries
                                .insert(entry.index, bytes.as_slice())
                                .map_err(self.failed())?;
                        }
                    }
                    DiskRequest::Compact(snapshot) => {
                        let bytes = encode(snapshot);
                        meta.insert("snapshot", bytes.as_slice())
                            .map_err(self.failed())?;
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
    fn write_at_last(mut self, orders: &[DiskRequest]) -> Result<Self, StoreError> {
        let folder = self.path.parent().unwrap_or(Path::new("/")).to_path_buf();
        while let Err(cause) = self.write(orders) {
            if cause.is_corrupted() {
                return Err(cause);
            }
            tracing::warn!(%cause, "the disk refused a write; trying again");
            // After an error the file must be opened anew; what was synced stands in it.
            let opener = self.opener;
            drop(self);
            self = loop {
                thread::sleep(WRITE_RETRY_INTERVAL);
                match Self::open_by(&folder, opener) {
                    Ok(store) => break store,
                    Err(cause) if cause.is_corrupted() => return Err(cause),
                    Err(_) => {}
                }
            };
        }
        Ok(self)
    }

    /// Hands the file to its thread. Told of each save once it is synced; the channel closes when the disk
    /// fails for good.
    pub fn spawn_writer(
        self,
    ) -> std::io::Result<(mpsc::Sender<DiskRequest>, notes::UnboundedReceiver<u64>)> {
        let (orders, todo) = mpsc::channel::<DiskRequest>();
        let (done, saved) = notes::unbounded_channel();
        thread::Builder::new()
            .name("disk".into())
            .stack_size(256 << 10)
            .spawn(move || {
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
                        DiskRequest::Persist(save) => Some(save.sequence),
                        DiskRequest::Compact(_) => None,
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
pub(crate) mod tests;
