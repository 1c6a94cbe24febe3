//! A copy of the sources, with its own target directory, in which faults are applied and tested.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use crate::Error;
use crate::fault::Fault;

/// A copy of the sources in a temporary directory. Dropping it removes the copy, but keeps the target directory so that
/// the next run builds incrementally.
pub(crate) struct SourceCopy {
    directory: PathBuf,
    target_directory: PathBuf,
}

/// The result of a test command.
pub(crate) enum TestResult {
    Passed,
    /// The tests that failed; empty if the run ended without naming any.
    Failed(Vec<String>),
    DoesNotBuild,
}

impl SourceCopy {
    /// Copies all files in the working tree that git tracks or does not ignore, including uncommitted changes.
    ///
    /// # Errors
    ///
    /// Returns an error if git can't list the files, or if a file can't be copied.
    pub(crate) fn new(root: &Path) -> Result<Self, Error> {
        let name = format!("shorefront-mutation-testing-{}", std::process::id());
        let copy = Self {
            directory: std::env::temp_dir().join(name),
            target_directory: root.join("target/mutation-testing"),
        };
        let mut list = Command::new("git");
        list.args([
            "ls-files",
            "-z",
            "--cached",
            "--others",
            "--exclude-standard",
        ]);
        let listed = succeed(list.current_dir(root))?;
        for name in String::from_utf8_lossy(&listed.stdout).split_terminator('\0') {
            let (from, to) = (root.join(name), copy.directory.join(name));
            // Git also lists files that are deleted in the working tree but still tracked.
            if from.is_file() {
                copy_file(&from, &to)?;
            }
        }
        Ok(copy)
    }

    /// Applies the patch of a fault. Returns whether it applied cleanly.
    pub(crate) fn apply(&self, fault: &Fault) -> Result<bool, Error> {
        Ok(output(&mut self.git_apply(fault, &[]))?.status.success())
    }

    /// Reverts the patch of a fault.
    pub(crate) fn revert(&self, fault: &Fault) -> Result<(), Error> {
        succeed(&mut self.git_apply(fault, &["-R"])).map(drop)
    }

    /// Returns the `git apply` command for a fault. `-C1` and `--recount` tolerate changed context
    /// lines and outdated line counts in hunk headers.
    fn git_apply(&self, fault: &Fault, options: &[&str]) -> Command {
        let mut command = Command::new("git");
        command
            .args(["apply", "-C1", "--recount"])
            .args(options)
            .arg(&fault.path)
            .current_dir(&self.directory);
        command
    }

    /// Runs a test command. Builds it first, so that a build failure is not taken for a failing test.
    pub(crate) fn test(&self, command: &str) -> Result<TestResult, Error> {
        let (build, arguments) = command.split_once(" -- ").unwrap_or((command, ""));
        if !self.shell(&format!("{build} --no-run"))?.status.success() {
            return Ok(TestResult::DoesNotBuild);
        }
        let run = self.shell(&format!("{build} -- {arguments}"))?;
        if run.status.success() {
            return Ok(TestResult::Passed);
        }
        let stdout = String::from_utf8_lossy(&run.stdout);
        let failed = stdout.lines().filter_map(|line| {
            let name = line.trim().strip_prefix("test ")?;
            name.strip_suffix(" ... FAILED").map(str::to_string)
        });
        Ok(TestResult::Failed(failed.collect()))
    }

    /// Runs a shell command in the copy, with the copy's target directory.
    fn shell(&self, text: &str) -> Result<Output, Error> {
        let mut command = Command::new("sh");
        command
            .args(["-c", text])
            .current_dir(&self.directory)
            .env("CARGO_TARGET_DIR", &self.target_directory);
        output(&mut command)
    }
}

impl Drop for SourceCopy {
    fn drop(&mut self) {
        // Files left behind in the temporary directory do no harm.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Runs a command and returns its output, whatever its exit status.
fn output(command: &mut Command) -> Result<Output, Error> {
    command.output().map_err(|source| Error::Start {
        command: format!("{command:?}"),
        source,
    })
}

/// Runs a command and returns its output, or an error if its exit status is not zero.
fn succeed(command: &mut Command) -> Result<Output, Error> {
    let output = output(command)?;
    if output.status.success() {
        return Ok(output);
    }
    Err(Error::Failed {
        command: format!("{command:?}"),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    })
}

/// Copies a file and creates the missing directories on its path.
fn copy_file(from: &Path, to: &Path) -> Result<(), Error> {
    let file_error = |source| Error::File {
        path: from.to_path_buf(),
        source,
    };
    if let Some(directory) = to.parent() {
        fs::create_dir_all(directory).map_err(file_error)?;
    }
    fs::copy(from, to).map(drop).map_err(file_error)
}
