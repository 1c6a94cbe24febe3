//! The persistent state of a control process, in one `redb` file (`control.redb` in its data directory).
//!
//! **State and owner.** The file contains the format, the node's identity, its term and vote, the last snapshot, and
//! the log entries after it, each as a record with a checksum (`store::record`). The disk thread (`store::writer`) owns
//! the open file; nothing else writes to it. The Raft node in memory is restored from it at startup.
//!
//! **Durability.** Every transaction ends with a sync (`redb`'s immediate durability) before it is reported:
//!
//! - The file's name is made durable by a sync of its directory each time the file is opened.
//! - Identity, format and the founders' snapshot are written in one transaction at the first start
//!   ([`Store::initialize`]), before the node sends or answers anything.
//! - A [`DiskRequest::Persist`] has the term, the vote, entries, and a received snapshot, which replaces the whole log.
//!   It is written in one transaction with all other waiting requests, and its `sequence` is reported after the sync. A
//!   node's votes and acknowledgements of entries wait for that report, and a leader counts its own copy of an entry
//!   only then.
//! - A [`DiskRequest::Compact`] stores a snapshot and removes the entries up to its index, in one transaction. Nothing
//!   waits for it.
//!
//! **Failures.**
//!
//! - A crash may lose requests that were not reported, but only whole transactions and nothing that was reported. A
//!   lost `Compact` does no harm, because the entries that it would have removed are still there.
//! - A stalled disk delays only the reports. Requests queue up and are written in one transaction.
//! - A write that fails (disk full, I/O error) is retried until it succeeds.
//! - A damaged file (checksum, structure, a gap in the log) is renamed by [`quarantine`] and never read again. The
//!   machine rejoins as a new member, because with its old identity it might vote twice in one term.
//! - A machine with a wiped disk is treated as a new machine.
//!
//! **Formats.** The file's format is 2; a file of any other format is rejected and left unchanged. The replicated state
//! within the snapshot has its own versions (forms 2, 3 and 4): see [`crate::snapshot`].

mod error;
mod record;
mod writer;

use std::path::{Path, PathBuf};

use raft::{Entry, Members, NodeId, PersistRequest, PersistentState, Snapshot};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;

pub use error::{Corruption, StoreError};
use record::{decode, encode};
pub use writer::{DiskRequest, WRITE_RETRY_INTERVAL};

/// The file's format.
const FORMAT: u64 = 2;
/// The name of the file.
const FILE_NAME: &str = "control.redb";
/// The name to which a damaged file is renamed.
const QUARANTINED_FILE_NAME: &str = "control.redb.damaged";
/// The size of `redb`'s cache. It is meant to hold the whole file, which compaction of the log keeps small.
const CACHE_BYTES: usize = 2 << 20;

/// Records by name: `format`, `id`, `vote` (term and vote), `snapshot`.
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// Entries of the log, by index.
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");

type MetaTable<'txn> = redb::Table<'txn, &'static str, &'static [u8]>;
type EntryTable<'txn> = redb::Table<'txn, u64, &'static [u8]>;

/// Opens the file, or creates it. Tests substitute a disk with faults.
type Opener = fn(&Path) -> Result<Database, redb::DatabaseError>;

/// The contents of an initialized file: the node's identity and its persistent Raft state.
type StoredMember = (NodeId, PersistentState);

/// The [`Opener`] for ordinary files.
fn open_database(path: &Path) -> Result<Database, redb::DatabaseError> {
    Database::builder().set_cache_size(CACHE_BYTES).create(path)
}

/// Syncs a directory, which makes the names of the files in it durable.
fn sync_dir(dir: &Path) -> std::io::Result<()> {
    std::fs::File::open(dir).and_then(|f| f.sync_all())
}

fn directory_error(dir: &Path) -> impl Fn(std::io::Error) -> StoreError + '_ {
    |source| StoreError::Directory {
        path: dir.into(),
        source,
    }
}

/// Renames a damaged file, so that it is never read again. A file that was quarantined before is overwritten.
///
/// # Errors
///
/// Returns an error if the file can't be renamed or the directory can't be synced.
pub fn quarantine(dir: &Path) -> Result<(), StoreError> {
    std::fs::rename(dir.join(FILE_NAME), dir.join(QUARANTINED_FILE_NAME))
        .and_then(|()| sync_dir(dir))
        .map_err(directory_error(dir))
}

/// The open file.
pub struct Store {
    path: PathBuf,
    file: Database,
    opener: Opener,
}

impl Store {
    fn open_with(dir: &Path, opener: Opener) -> Result<Self, StoreError> {
        std::fs::create_dir_all(dir).map_err(directory_error(dir))?;
        let path = dir.join(FILE_NAME);
        let file = opener(&path).map_err(|e| StoreError::Database {
            path: path.clone(),
            source: Box::new(e.into()),
        })?;
        sync_dir(dir).map_err(directory_error(dir))?;
        Ok(Self { path, file, opener })
    }

    /// Opens the file at startup, and creates it if there is none. Verifies the checksums of all pages, because `redb`
    /// verifies them during recovery but not when it reads. Returns the store and the file's contents, or `None` for a
    /// new file, which has to be initialized.
    ///
    /// # Errors
    ///
    /// Returns any [`StoreError`]; [`StoreError::is_corrupted`] distinguishes damage from I/O errors.
    pub fn open(dir: &Path) -> Result<(Self, Option<StoredMember>), StoreError> {
        Self::open_and_load(dir, open_database)
    }

    fn open_and_load(
        dir: &Path,
        opener: Opener,
    ) -> Result<(Self, Option<StoredMember>), StoreError> {
        let checked = || {
            let mut store = Self::open_with(dir, opener)?;
            let is_intact = store.file.check_integrity();
            if !is_intact.map_err(store.database_error())? {
                return Err(store.corrupted("pages", Corruption::PageChecksum));
            }
            let Some(id) = store.identity()? else {
                return Ok((store, None));
            };
            let state = store.load()?;
            Ok((store, Some((id, state))))
        };
        // `redb` panics on some kinds of damage, which are handled like any other damage.
        std::panic::catch_unwind(checked).unwrap_or_else(|_| {
            Err(StoreError::Corrupted {
                path: dir.join(FILE_NAME),
                part: "pages",
                source: Corruption::Structure,
            })
        })
    }

    fn database_error<E: Into<redb::Error>>(&self) -> impl Fn(E) -> StoreError + '_ {
        |e| StoreError::Database {
            path: self.path.clone(),
            source: Box::new(e.into()),
        }
    }

    fn corrupted(&self, part: &'static str, source: Corruption) -> StoreError {
        StoreError::Corrupted {
            path: self.path.clone(),
            part,
            source,
        }
    }

    /// Reads the record with this name from the `meta` table; `None` if there is none.
    fn read<T: DeserializeOwned>(&self, name: &'static str) -> Result<Option<T>, StoreError> {
        let reading = self.file.begin_read().map_err(self.database_error())?;
        let table = match reading.open_table(META) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(e) => return Err(self.database_error()(e)),
        };
        let Some(record) = table.get(name).map_err(self.database_error())? else {
            return Ok(None);
        };
        decode(record.value())
            .map(Some)
            .map_err(|source| self.corrupted(name, source))
    }

    /// Reads the node's identity; `None` for a new file.
    fn identity(&self) -> Result<Option<NodeId>, StoreError> {
        match self.read::<u64>("format")? {
            None => Ok(None),
            Some(FORMAT) => self.read("id"),
            Some(found) => Err(StoreError::UnsupportedFormat {
                path: self.path.clone(),
                found,
            }),
        }
    }

    /// Initializes a new file for a new node. `founders` is empty unless the node is one of them. The file is synced
    /// when this returns.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Database`], in which case nothing was written.
    pub fn initialize(&self, id: NodeId, founders: &Members) -> Result<(), StoreError> {
        let snapshot = Snapshot::initial(founders.clone());
        let writing = self.file.begin_write().map_err(self.database_error())?;
        {
            let mut meta = writing.open_table(META).map_err(self.database_error())?;
            let mut put = |name: &str, record: Vec<u8>| {
                meta.insert(name, record.as_slice())
                    .map(drop)
                    .map_err(self.database_error())
            };
            put("format", encode(&FORMAT))?;
            put("id", encode(&id))?;
            put("snapshot", encode(&snapshot))?;
            writing.open_table(ENTRIES).map_err(self.database_error())?;
        }
        writing.commit().map_err(self.database_error())
    }

    /// Loads the term, the vote, the snapshot and the entries after it.
    fn load(&self) -> Result<PersistentState, StoreError> {
        let (term, voted_for) = self
            .read::<(u64, Option<NodeId>)>("vote")?
            .unwrap_or_default();
        // Every initialized file has a snapshot. Accepting a file without one would make this a member that has lost
        // all its state.
        let snapshot = self
            .read::<Snapshot>("snapshot")?
            .ok_or_else(|| self.corrupted("snapshot", Corruption::Missing))?;
        let entries = self.load_entries(snapshot.index + 1)?;
        Ok(PersistentState {
            term,
            voted_for,
            snapshot: Some(snapshot),
            entries,
        })
    }

    /// Loads the entries from this index on, which must be contiguous. Earlier ones are skipped.
    fn load_entries(&self, first: u64) -> Result<Vec<Entry>, StoreError> {
        let reading = self.file.begin_read().map_err(self.database_error())?;
        let table = reading.open_table(ENTRIES).map_err(self.database_error())?;
        let mut entries: Vec<Entry> = Vec::new();
        let mut expected = first;
        for row in table.iter().map_err(self.database_error())? {
            let (index, record) = row.map_err(self.database_error())?;
            let entry: Entry =
                decode(record.value()).map_err(|source| self.corrupted("entries", source))?;
            if index.value() < expected {
                continue;
            }
            if index.value() != expected || entry.index != expected {
                let found = entry.index;
                return Err(self.corrupted("entries", Corruption::EntryGap { found, expected }));
            }
            expected += 1;
            entries.push(entry);
        }
        Ok(entries)
    }

    /// Writes the requests in order, in one transaction, and syncs.
    fn write(&self, requests: &[DiskRequest]) -> Result<(), StoreError> {
        let writing = self.file.begin_write().map_err(self.database_error())?;
        {
            let mut meta = writing.open_table(META).map_err(self.database_error())?;
            let mut entries = writing.open_table(ENTRIES).map_err(self.database_error())?;
            for request in requests {
                match request {
                    DiskRequest::Persist(request) => persist(&mut meta, &mut entries, request),
                    DiskRequest::Compact(snapshot) => compact(&mut meta, &mut entries, snapshot),
                }
                .map_err(self.database_error())?;
            }
        }
        writing.commit().map_err(self.database_error())
    }
}

/// Stores the term and the vote. A received snapshot replaces the whole log; entries replace all existing ones from the
/// first of them on.
fn persist(
    meta: &mut MetaTable,
    entries: &mut EntryTable,
    request: &PersistRequest,
) -> Result<(), redb::StorageError> {
    let vote = encode(&(request.term, request.voted_for));
    meta.insert("vote", vote.as_slice())?;
    if let Some(snapshot) = &request.snapshot {
        meta.insert("snapshot", encode(snapshot).as_slice())?;
        entries.retain(|_, _| false)?;
    }
    if let Some(first) = request.entries.first() {
        entries.retain_in(first.index.., |_, _| false)?;
    }
    for entry in &request.entries {
        entries.insert(entry.index, encode(entry).as_slice())?;
    }
    Ok(())
}

/// Stores a snapshot and removes the entries up to its index.
fn compact(
    meta: &mut MetaTable,
    entries: &mut EntryTable,
    snapshot: &Snapshot,
) -> Result<(), redb::StorageError> {
    meta.insert("snapshot", encode(snapshot).as_slice())?;
    entries.retain_in(..=snapshot.index, |_, _| false)
}

#[cfg(test)]
pub(crate) mod tests;
