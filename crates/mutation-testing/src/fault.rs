//! A deliberate fault: a patch with a header.

use std::path::{Path, PathBuf};

use crate::Error;

pub struct Fault {
    /// The file's name without its ending.
    pub name: String,
    pub path: PathBuf,
    /// What is wrong with the patched sources.
    pub text: String,
    /// The commands that are to catch it.
    pub tests: Vec<String>,
}

impl Fault {
    /// Those of a directory, by name.
    pub fn all(directory: &Path) -> Result<Vec<Self>, Error> {
        let failed = |cause| Error::File {
            path: directory.to_path_buf(),
            cause,
        };
        let mut paths = Vec::new();
        for entry in std::fs::read_dir(directory).map_err(failed)? {
            paths.push(entry.map_err(failed)?.path());
        }
        paths.retain(|path| path.extension().is_some_and(|ending| ending == "patch"));
        paths.sort();
        paths.into_iter().map(Self::read).collect()
    }

    fn read(path: PathBuf) -> Result<Self, Error> {
        let content = std::fs::read_to_string(&path).map_err(|cause| Error::File {
            path: path.clone(),
            cause,
        })?;
        let header = || content.lines().take_while(|line| !line.starts_with("--- "));
        let values = |key: &'static str| header().filter_map(move |line| line.strip_prefix(key));
        let missing = |line| Error::Header {
            path: path.clone(),
            line,
        };
        let text = values("Fault: ")
            .next()
            .ok_or_else(|| missing("Fault:"))?
            .to_string();
        let tests: Vec<String> = values("Test: ").map(str::to_string).collect();
        if tests.is_empty() {
            return Err(missing("Test:"));
        }
        let name = path
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        Ok(Self {
            name,
            path,
            text,
            tests,
        })
    }
}
