//! Mutation testing by hand-picked faults: `cargo run -p mutation-testing -- AREA [FAULT...]`.
//!
//! Each `tests/faults/AREA/*.patch` is a unified diff under a header that names the fault and the commands that
//! must catch it, the first that fails ends the search:
//!
//! ```text
//! Fault: compare no id
//! Test: cargo test -p data-plane --test model
//! ```
//!
//! The sources are copied to a temporary directory, where every command must first pass. Then each fault is
//! applied, built, tested and taken back. The table goes to `docs/mutations.md`, unless only some of the faults
//! were asked for. The exit status is 1 if any fault is not caught.

mod fault;
mod report;
mod scratch;

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use fault::Fault;
use scratch::{Scratch, TestRun};

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{path}: {cause}")]
    File {
        path: PathBuf,
        cause: std::io::Error,
    },
    #[error("{path}: no `{line}` line in its header")]
    Header { path: PathBuf, line: &'static str },
    #[error("{command}: {cause}")]
    Command { command: String, cause: String },
    #[error("`{0}` fails without any fault")]
    FailsUnchanged(String),
    #[error("usage: mutation-testing AREA [FAULT...], where AREA is a directory of tests/faults")]
    Usage,
}

/// What became of a fault.
pub enum Verdict {
    CaughtBy {
        command: String,
        tests: Vec<String>,
    },
    Missed,
    /// The sources have changed: the patch has to be made anew.
    NotApplicable,
    /// The compiler objects: it is no fault that a test could miss.
    NotBuilt,
}

fn run() -> Result<bool, Error> {
    let mut arguments = std::env::args().skip(1);
    let area = arguments.next().ok_or(Error::Usage)?;
    let names: Vec<String> = arguments.collect();
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut faults = Fault::all(&root.join("tests/faults").join(&area))?;
    faults.retain(|f| names.is_empty() || names.contains(&f.name));
    let scratch = Scratch::copy_of(&root)?;
    let commands: BTreeSet<&String> = faults.iter().flat_map(|f| &f.tests).collect();
    for command in commands {
        eprintln!("unchanged: {command}");
        if !matches!(scratch.test(command)?, TestRun::Passed) {
            return Err(Error::FailsUnchanged(command.clone()));
        }
    }
    let mut judged = Vec::new();
    for fault in faults {
        let verdict = judge(&fault, &scratch)?;
        eprintln!("{}: {}", fault.name, report::in_short(&verdict));
        judged.push((fault, verdict));
    }
    if names.is_empty() {
        report::write(&root.join("docs/mutations.md"), &area, &judged)?;
    }
    print!("{}", report::table(&judged));
    Ok(judged
        .iter()
        .all(|(_, verdict)| matches!(verdict, Verdict::CaughtBy { .. })))
}

fn judge(fault: &Fault, scratch: &Scratch) -> Result<Verdict, Error> {
    if !scratch.apply(fault)? {
        return Ok(Verdict::NotApplicable);
    }
    let mut verdict = Verdict::Missed;
    for command in &fault.tests {
        match scratch.test(command)? {
            TestRun::Passed => continue,
            TestRun::NotBuilt => verdict = Verdict::NotBuilt,
            TestRun::Failed(tests) => {
                verdict = Verdict::CaughtBy {
                    command: command.clone(),
                    tests,
                };
            }
        }
        break;
    }
    scratch.take_back(fault)?;
    Ok(verdict)
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
