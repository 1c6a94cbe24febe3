//! Why what is on disk can't be used.

use std::path::PathBuf;

use super::FORMAT;

/// Why the control process can't use its file.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The folder can't be made, read or synced.
    #[error("{}: {source}", path.display())]
    Directory {
        /// The folder.
        path: PathBuf,
        /// What the operating system says.
        source: std::io::Error,
    },
    /// The file can't be opened, read or written: the disk refused, or the file is damaged
    /// ([`StoreError::is_corrupted`] tells which).
    #[error("{}: {source}", path.display())]
    Database {
        /// The file.
        path: PathBuf,
        /// What `redb` says.
        source: Box<redb::Error>,
    },
    /// A part of the file is damaged.
    #[error("{}: `{part}` can't be read: {source}", path.display())]
    Corrupted {
        /// The file.
        path: PathBuf,
        /// Name of the record, `entries`, or `pages` for the file as a whole.
        part: &'static str,
        /// What is wrong with it.
        source: Corruption,
    },
    /// Another build wrote the file, in a format that this one doesn't know. The file is left as it is.
    #[error("{}: format {found}, and this build reads {FORMAT}", path.display())]
    UnsupportedFormat {
        /// The file.
        path: PathBuf,
        /// Its format.
        found: u64,
    },
}

/// What is wrong with a damaged part of the file.
#[derive(Debug, thiserror::Error)]
pub enum Corruption {
    /// A record is shorter than its checksum.
    #[error("cut short")]
    CutShort,
    /// A record's checksum is not that of its value.
    #[error("its checksum does not match")]
    RecordChecksum,
    /// A record's value is not of its type.
    #[error(transparent)]
    Undecodable(#[from] ciborium::de::Error<std::io::Error>),
    /// A record that stands in every file is not there.
    #[error("it is missing")]
    Missing,
    /// The entries of the log have a gap.
    #[error("{found} stands where {expected} is expected")]
    EntryGap {
        /// Index of the entry that is there.
        found: u64,
        /// Index of the entry that follows the one before.
        expected: u64,
    },
    /// A page's checksum, which `redb` keeps, does not match.
    #[error("a page's checksum does not match")]
    PageChecksum,
    /// `redb` panicked on the file.
    #[error("their structure is broken")]
    Structure,
}

impl StoreError {
    /// Whether the file itself is damaged, so that trying again can't help.
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
