//! What a control process keeps on disk, in one `redb` file (`control.redb` in its data folder).
//!
//! **State and owner.** The file holds, each as a record with a checksum (`store::record`): the format, the member's
//! identity, its term and vote, the last snapshot, and the entries of the log behind it. The disk thread (`store::writer`)
//! owns the open file; nothing else writes to it. The member of the log in memory is rebuilt from it at a start.
//!
//! **What is synced when.** Every transaction ends with a sync (`redb`'s immediate durability) before it is reported:
//!
//! - the file's name, by a sync of its folder, each time it is opened;
//! - identity, format, founders' snapshot: in one transaction at the first start ([`Store::initialize`]), before the
//!   member sends or answers anything;
//! - a [`DiskRequest::Persist`]: term, vote, entries, and a received snapshot in the place of the whole log, in one
//!   transaction with all other requests that wait. Its `sequence` is reported after the sync; a vote, an
//!   acknowledgement of entries and the own copy of the leader wait for that report;
//! - a [`DiskRequest::Compact`]: the snapshot and the removal of the entries up to it, in one transaction. Nothing
//!   waits for it.
//!
//! **What a crash may lose.** Requests that were not reported, as a whole transaction: never half of one, and nothing
//! that was reported. A lost `Compact` costs nothing, since the entries that it would have removed are still there.
//!
//! **A disk that stalls** holds up reports alone; its requests pile up and go into one transaction. **One that refuses**
//! (full, an error) is tried again until it takes the write. **A damaged file** (checksum, structure, a gap in the log) is
//! renamed by [`quarantine`] and never read again: the machine comes back as a new member, since under its old identity
//! it might vote twice in one term. **A wiped disk** is the same as a new machine.
//!
//! **Formats.** The file's own format is 2; a file of another one is refused and left as it is. The replicated state within the snapshot has forms of its own (2, 3 and 4): see [`crate::snapshot`].

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
/// The file; and what a damaged one is called from then on.
const FILE_NAME: &str = "control.redb";
const QUARANTINED_FILE_NAME: &str = "control.redb.damaged";
/// `redb` keeps so much of the file in memory: all of it, as small as it is kept.
const CACHE_BYTES: usize = 2 << 20;

/// Records by name: `format`, `id`, `vote` (term and vote), `snapshot`.
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// Entries of the log, by index.
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");

type MetaTable<'txn> = redb::Table<'txn, &'static str, &'static [u8]>;
type EntryTable<'txn> = redb::Table<'txn, u64, &'static [u8]>;

/// Opens the file, or makes it. Tests put a disk with faults here.
type Opener = fn(&Path) -> Result<Database, redb::DatabaseError>;

/// What a file holds that is not new: the member's identity and its part of the log.
type StoredMember = (NodeId, PersistentState);

fn open_database(path: &Path) -> Result<Database, redb::DatabaseError> {
    Database::builder().set_cache_size(CACHE_BYTES).create(path)
}

/// A name in a folder lasts only once the folder is synced.
fn sync_folder(folder: &Path) -> std::io::Result<()> {
    std::fs::File::open(folder).and_then(|f| f.sync_all())
}

fn directory_error(folder: &Path) -> impl Fn(std::io::Error) -> StoreError + '_ {
    |source| StoreError::Directory {
        path: folder.into(),
        source,
    }
}

/// Renames a damaged file, so that it is never read again. One that was renamed before is lost.
///
/// # Errors
///
/// The file can't be renamed, or the folder not be synced.
pub fn quarantine(folder: &Path) -> Result<(), StoreError> {
    std::fs::rename(folder.join(FILE_NAME), folder.join(QUARANTINED_FILE_NAME))
        .and_then(|()| sync_folder(folder))
        .map_err(directory_error(folder))
}

/// The open file.
pub struct Store {
    path: PathBuf,
    file: Database,
    opener: Opener,
}

impl Store {
    fn open_with(folder: &Path, opener: Opener) -> Result<Self, StoreError> {
        std::fs::create_dir_all(folder).map_err(directory_error(folder))?;
        let path = folder.join(FILE_NAME);
        let file = opener(&path).map_err(|e| StoreError::Database {
            path: path.clone(),
            source: Box::new(e.into()),
        })?;
        sync_folder(folder).map_err(directory_error(folder))?;
        Ok(Self { path, file, opener })
    }

    /// Opens the file at a start, and makes it if there is none. All its pages are checked against their checksums:
    /// `redb` checks them when it recovers, not when it reads. Gives what stands in it besides; `None` for a new file,
    /// which has to be initialized.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; [`StoreError::is_corrupted`] tells damage from a disk that refuses.
    pub fn open(folder: &Path) -> Result<(Self, Option<StoredMember>), StoreError> {
        Self::open_and_load(folder, open_database)
    }

    fn open_and_load(
        folder: &Path,
        opener: Opener,
    ) -> Result<(Self, Option<StoredMember>), StoreError> {
        let checked = || {
            let mut store = Self::open_with(folder, opener)?;
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
        // Some damage makes `redb` panic: to this program it is an error like the others.
        std::panic::catch_unwind(checked).unwrap_or_else(|_| {
            Err(StoreError::Corrupted {
                path: folder.join(FILE_NAME),
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

    /// The record of this name in the table of records; `None` if there is none.
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

    /// Which member of the log this disk makes of the machine; `None` for a new file.
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

    /// Makes a new file that of a new member, with the founders if it is one of them. Synced when it returns.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`]; nothing of it is in the file then.
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

    /// Term, vote, snapshot and the entries behind it.
    fn load(&self) -> Result<PersistentState, StoreError> {
        let (term, voted_for) = self
            .read::<(u64, Option<NodeId>)>("vote")?
            .unwrap_or_default();
        // There is one from the first write on: without it, this would be a member that has forgotten all.
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

    /// The entries from this index on. Each has to follow the one before; earlier ones are passed over.
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

    /// Writes requests in one transaction, in their order, and syncs.
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

/// Term and vote; a received snapshot in the place of the whole log; entries in the place of all from the first on.
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

/// A snapshot in the place of the entries up to its index.
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
