//! Deliberate faults: patches whose headers describe the fault and name the tests that have to catch it.

use std::path::{Path, PathBuf};

use crate::Error;

/// A deliberate fault, read from a patch file.
pub(crate) struct Fault {
    /// The name of the patch file without its extension.
    pub(crate) name: String,
    /// The patch file.
    pub(crate) path: PathBuf,
    /// What is wrong in the patched sources.
    pub(crate) description: String,
    /// The test commands that have to catch the fault, in the order in which they are run.
    pub(crate) tests: Vec<String>,
}

impl Fault {
    /// Reads all patches in a directory, sorted by name.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory or a patch can't be read, or if a header lacks a required line.
    pub(crate) fn read_all(directory: &Path) -> Result<Vec<Self>, Error> {
        let file_error = |source| Error::File {
            path: directory.to_path_buf(),
            source,
        };
        let mut paths = Vec::new();
        for entry in std::fs::read_dir(directory).map_err(file_error)? {
            paths.push(entry.map_err(file_error)?.path());
        }
        paths.retain(|path| {
            path.extension()
                .is_some_and(|extension| extension == "patch")
        });
        paths.sort();
        paths.into_iter().map(Self::read).collect()
    }

    fn read(path: PathBuf) -> Result<Self, Error> {
        let content = std::fs::read_to_string(&path).map_err(|source| Error::File {
            path: path.clone(),
            source,
        })?;
        let header = || content.lines().take_while(|line| !line.starts_with("--- "));
        let values = |key: &'static str| header().filter_map(move |line| line.strip_prefix(key));
        let missing = |line| Error::MissingHeader {
            path: path.clone(),
            line,
        };
        let description = values("Fault: ").next().ok_or_else(|| missing("Fault:"))?;
        let tests: Vec<String> = values("Test: ").map(str::to_string).collect();
        if tests.is_empty() {
            return Err(missing("Test:"));
        }
        let name = path.file_stem().unwrap_or_default();
        Ok(Self {
            name: name.to_string_lossy().into_owned(),
            description: description.to_string(),
            tests,
            path,
        })
    }
}
