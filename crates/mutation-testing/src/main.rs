//! Mutation testing with hand-picked faults: `cargo run -p mutation-testing -- AREA [FAULT...]`.
//!
//! Each `tests/faults/AREA/FAULT.patch` is a unified diff. Its header describes the fault and lists the test commands
//! that have to catch it, which are run in order until one fails:
//!
//! ```text
//! Fault: ids are not compared
//! Test: cargo test -p data-plane --test model
//! ```
//!
//! The sources are copied to a temporary directory, where every command first has to pass without any fault. Then each
//! patch is applied, built, tested and reverted. The results are written to `docs/mutation-testing.md`, unless faults
//! were selected on the command line. The exit status is 1 if a fault was not caught. Apart from that page, the working
//! tree is not changed.

mod fault;
mod report;
mod source_copy;

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use fault::Fault;
use source_copy::{SourceCopy, TestResult};

/// The directory of the patches, relative to the root of the repository.
const FAULTS_DIRECTORY: &str = "tests/faults";
/// The page with the results of all areas, relative to the root of the repository.
const PAGE: &str = "docs/mutation-testing.md";

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("{path}: {source}")]
    File {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error("{path}: the header has no `{line}` line")]
    MissingHeader { path: PathBuf, line: &'static str },
    /// A command could not be started.
    #[error("could not start {command}: {source}")]
    Start {
        command: String,
        source: std::io::Error,
    },
    /// A command that has to succeed failed.
    #[error("{command} failed: {stderr}")]
    Failed { command: String, stderr: String },
    #[error("`{0}` fails even without a fault")]
    FailsWithoutFault(String),
    #[error("this area has no fault `{0}`")]
    UnknownFault(String),
    #[error("usage: mutation-testing AREA [FAULT...], where AREA is a directory of tests/faults")]
    Usage,
}

/// The result of testing a fault.
enum Verdict {
    /// A test command failed.
    Caught {
        /// The command that failed.
        command: String,
        /// The tests that failed; empty if the run ended without naming any.
        tests: Vec<String>,
    },
    /// All test commands passed.
    Missed,
    /// The sources have changed: the patch has to be updated.
    DoesNotApply,
    /// The patched sources do not compile, so the fault says nothing about the tests.
    DoesNotBuild,
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

/// Tests the faults selected on the command line. Returns whether all of them were caught.
fn run() -> Result<bool, Error> {
    let mut arguments = std::env::args().skip(1);
    let area = arguments.next().ok_or(Error::Usage)?;
    let names: Vec<String> = arguments.collect();
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut faults = Fault::read_all(&root.join(FAULTS_DIRECTORY).join(&area))?;
    if let Some(unknown) = names.iter().find(|n| faults.iter().all(|f| f.name != **n)) {
        return Err(Error::UnknownFault(unknown.clone()));
    }
    faults.retain(|f| names.is_empty() || names.contains(&f.name));
    let sources = SourceCopy::new(&root)?;
    check_unchanged_sources(&sources, &faults)?;
    let mut verdicts = Vec::new();
    for fault in faults {
        let verdict = test_fault(&sources, &fault)?;
        eprintln!("{}: {}", fault.name, verdict.text());
        verdicts.push((fault, verdict));
    }
    if names.is_empty() {
        report::update_page(&root.join(PAGE), &area, &verdicts)?;
    }
    print!("{}", report::table(&verdicts));
    Ok(verdicts.iter().all(|(_, verdict)| verdict.is_caught()))
}

/// Runs every test command once without a fault: a test that fails anyway would seem to catch every fault.
fn check_unchanged_sources(sources: &SourceCopy, faults: &[Fault]) -> Result<(), Error> {
    let commands: BTreeSet<&String> = faults.iter().flat_map(|f| &f.tests).collect();
    for command in commands {
        eprintln!("without a fault: {command}");
        if !matches!(sources.test(command)?, TestResult::Passed) {
            return Err(Error::FailsWithoutFault(command.clone()));
        }
    }
    Ok(())
}

/// Applies a fault, runs its test commands until one fails, and reverts the fault.
fn test_fault(sources: &SourceCopy, fault: &Fault) -> Result<Verdict, Error> {
    if !sources.apply(fault)? {
        return Ok(Verdict::DoesNotApply);
    }
    let mut verdict = Verdict::Missed;
    for command in &fault.tests {
        match sources.test(command)? {
            TestResult::Passed => continue,
            TestResult::DoesNotBuild => verdict = Verdict::DoesNotBuild,
            TestResult::Failed(tests) => {
                let command = command.clone();
                verdict = Verdict::Caught { command, tests };
            }
        }
        break;
    }
    sources.revert(fault)?;
    Ok(verdict)
}
