//! A copy of the sources that faults are put into, with a target directory of its own.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use crate::Error;
use crate::fault::Fault;

pub struct Scratch {
    directory: PathBuf,
    target: PathBuf,
}

/// How a test command ended.
pub enum TestRun {
    Passed,
    /// The tests that failed; none where the run ended without saying so.
    Failed(Vec<String>),
    NotBuilt,
}

impl Scratch {
    /// Copies what git knows, as it is in the working tree.
    pub fn copy_of(root: &Path) -> Result<Self, Error> {
        let directory =
            std::env::temp_dir().join(format!("shorefront-mutations-{}", std::process::id()));
        let mut list = Command::new("git");
        list.args([
            "ls-files",
            "-z",
            "--cached",
            "--others",
            "--exclude-standard",
        ]);
        let listed = output(list.current_dir(root))?;
        let scratch = Self {
            directory,
            target: root.join("target/mutations"),
        };
        for name in String::from_utf8_lossy(&listed.stdout).split_terminator('\0') {
            let (from, to) = (root.join(name), scratch.directory.join(name));
            if from.is_file() {
                copy(&from, &to)?;
            }
        }
        Ok(scratch)
    }

    /// Whether the fault could be put in.
    pub fn apply(&self, fault: &Fault) -> Result<bool, Error> {
        Ok(output(self.patch(fault, &[]))?.status.success())
    }

    pub fn take_back(&self, fault: &Fault) -> Result<(), Error> {
        let mut command = self.patch(fault, &["-R"]);
        let done = output(&mut command)?;
        let cause = String::from_utf8_lossy(&done.stderr).into_owned();
        let command = format!("{command:?}");
        if done.status.success() {
            Ok(())
        } else {
            Err(Error::Command { command, cause })
        }
    }

    fn patch(&self, fault: &Fault, options: &[&str]) -> Command {
        let mut command = Command::new("git");
        command
            .args(["apply", "-C1", "--recount"])
            .args(options)
            .arg(&fault.path);
        command.current_dir(&self.directory);
        command
    }

    /// Builds, and then runs a test command.
    pub fn test(&self, command: &str) -> Result<TestRun, Error> {
        let (build, arguments) = match command.split_once(" -- ") {
            Some((build, arguments)) => (build, arguments),
            None => (command, ""),
        };
        if !self.shell(&format!("{build} --no-run"))?.status.success() {
            return Ok(TestRun::NotBuilt);
        }
        let done = self.shell(&format!("{build} -- {arguments}"))?;
        if done.status.success() {
            return Ok(TestRun::Passed);
        }
        let text = String::from_utf8_lossy(&done.stdout);
        let failed = text.lines().filter_map(|line| {
            let name = line
                .trim()
                .strip_prefix("test ")?
                .strip_suffix(" ... FAILED")?;
            Some(name.to_string())
        });
        Ok(TestRun::Failed(failed.collect()))
    }

    fn shell(&self, text: &str) -> Result<Output, Error> {
        let mut command = Command::new("sh");
        command.args(["-c", text]).current_dir(&self.directory);
        output(command.env("CARGO_TARGET_DIR", &self.target))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn output<C: std::borrow::BorrowMut<Command>>(mut command: C) -> Result<Output, Error> {
    let command = command.borrow_mut();
    let cause = |e: std::io::Error| e.to_string();
    command.output().map_err(|e| Error::Command {
        command: format!("{command:?}"),
        cause: cause(e),
    })
}

fn copy(from: &Path, to: &Path) -> Result<(), Error> {
    let failed = |cause| Error::File {
        path: from.to_path_buf(),
        cause,
    };
    if let Some(directory) = to.parent() {
        fs::create_dir_all(directory).map_err(failed)?;
    }
    fs::copy(from, to).map(drop).map_err(failed)
}
