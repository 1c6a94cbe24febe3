//! A copy of the sources that faults are put into, with a target directory of its own.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use crate::Error;
use crate::fault::Fault;

/// The copy. It is removed when this is dropped; its target directory stays, for the next run.
pub(crate) struct SourceCopy {
    directory: PathBuf,
    target_directory: PathBuf,
}

/// How a test command ended.
pub(crate) enum TestResult {
    Passed,
    /// The tests that failed; none where the run ended without naming any.
    Failed(Vec<String>),
    DoesNotBuild,
}

impl SourceCopy {
    /// Copies all files that git tracks or would track, as they are in the working tree.
    ///
    /// # Errors
    ///
    /// Git does not list the files, or one of them can't be copied.
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
            // A file that was deleted in the working tree is still listed.
            if from.is_file() {
                copy_file(&from, &to)?;
            }
        }
        Ok(copy)
    }

    /// Applies the patch of a fault. Returns whether it fits.
    pub(crate) fn apply(&self, fault: &Fault) -> Result<bool, Error> {
        Ok(output(&mut self.git_apply(fault, &[]))?.status.success())
    }

    /// Takes the patch of a fault back.
    pub(crate) fn revert(&self, fault: &Fault) -> Result<(), Error> {
        succeed(&mut self.git_apply(fault, &["-R"])).map(drop)
    }

    fn git_apply(&self, fault: &Fault, options: &[&str]) -> Command {
        let mut command = Command::new("git");
        command
            .args(["apply", "-C1", "--recount"])
            .args(options)
            .arg(&fault.path)
            .current_dir(&self.directory);
        command
    }

    /// Builds, and then runs a test command: a build that fails is no test that fails.
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
        // What is left over in the temporary directory harms nobody.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Runs a command, and returns its output whatever its status.
fn output(command: &mut Command) -> Result<Output, Error> {
    command.output().map_err(|source| Error::Start {
        command: format!("{command:?}"),
        source,
    })
}

/// Runs a command that has to succeed.
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
