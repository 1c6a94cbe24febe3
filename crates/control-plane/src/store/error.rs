//! Errors of the store.

use std::path::PathBuf;

use super::FORMAT;

/// An error that occurred while accessing the control process's file.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The directory can't be created, read or synced, or a file in it can't be renamed.
    #[error("{}: {source}", path.display())]
    Directory {
        /// The directory.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file can't be opened, read or written, because of an I/O error or because the file is damaged
    /// ([`StoreError::is_corrupted`] distinguishes the two).
    #[error("{}: {source}", path.display())]
    Database {
        /// The file.
        path: PathBuf,
        /// The error of `redb`.
        source: Box<redb::Error>,
    },
    /// A part of the file is damaged.
    #[error("{}: `{part}` can't be read: {source}", path.display())]
    Corrupted {
        /// The file.
        path: PathBuf,
        /// The name of a record, `entries`, or `pages` for the file as a whole.
        part: &'static str,
        /// The kind of damage.
        source: Corruption,
    },
    /// The file was written by another build, in a format that this one does not support. The file is left unchanged.
    #[error("{}: unsupported format {found}; this build reads format {FORMAT}", path.display())]
    UnsupportedFormat {
        /// The file.
        path: PathBuf,
        /// The format of the file.
        found: u64,
    },
}

/// A kind of damage to a part of the file.
#[derive(Debug, thiserror::Error)]
pub enum Corruption {
    /// A record is shorter than its checksum.
    #[error("truncated")]
    Truncated,
    /// A record's checksum does not match its value.
    #[error("the checksum does not match")]
    RecordChecksum,
    /// A record's value can't be decoded as its type.
    #[error(transparent)]
    Undecodable(#[from] ciborium::de::Error<std::io::Error>),
    /// A record that every file must have is missing.
    #[error("the record is missing")]
    Missing,
    /// The entries of the log have a gap.
    #[error("found index {found} where {expected} is expected")]
    EntryGap {
        /// The index of the entry that was found.
        found: u64,
        /// The index that follows that of the previous entry.
        expected: u64,
    },
    /// The checksum that `redb` keeps of a page does not match.
    #[error("a page's checksum does not match")]
    PageChecksum,
    /// `redb` panicked while reading the file.
    #[error("the structure is invalid")]
    Structure,
}

impl StoreError {
    /// Whether the file itself is damaged, so that retrying is futile.
    pub fn is_corrupted(&self) -> bool {
        match self {
            Self::Corrupted { .. } => true,
            Self::Database { source, .. } => match &**source {
                redb::Error::Corrupted(_) => true,
                redb::Error::Io(e) => {
                    use std::io::ErrorKind::{InvalidData, UnexpectedEof};
                    matches!(e.kind(), InvalidData | UnexpectedEof)
                }
                _ => false,
            },
            Self::Directory { .. } | Self::UnsupportedFormat { .. } => false,
        }
    }
}
