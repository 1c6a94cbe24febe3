//! The results page: one section per area, each with a table of its faults.

use std::fs;
use std::path::Path;

use crate::fault::Fault;
use crate::{Error, Verdict};

/// The text at the beginning of a newly created page.
const INTRODUCTION: &str = "# Mutation testing

Each fault is a patch in `tests/faults/AREA` that is applied to a copy of the sources, where the tests named in its
header have to catch it. The command under a title rewrites that section; its exit status is 1 if a fault is not caught.
";

impl Verdict {
    /// Returns whether a test caught the fault.
    pub(crate) fn is_caught(&self) -> bool {
        matches!(self, Self::Caught { .. })
    }

    /// Returns the verdict as shown in the table.
    pub(crate) fn text(&self) -> &'static str {
        match self {
            Self::Caught { .. } => "caught",
            Self::Missed => "not caught",
            Self::DoesNotApply => "does not apply",
            Self::DoesNotBuild => "does not build",
        }
    }

    /// Returns the tests that caught the fault, or the command if its run ended without naming any.
    fn caught_by(&self) -> String {
        let quoted = |text: &String| format!("`{text}`");
        match self {
            Self::Caught { command, tests } if tests.is_empty() => quoted(command),
            Self::Caught { tests, .. } => tests.iter().map(quoted).collect::<Vec<_>>().join(", "),
            Self::Missed | Self::DoesNotApply | Self::DoesNotBuild => String::new(),
        }
    }
}

/// Returns the Markdown table of one area.
pub(crate) fn table(verdicts: &[(Fault, Verdict)]) -> String {
    let row = |(fault, verdict): &(Fault, Verdict)| {
        let (text, caught_by) = (verdict.text(), verdict.caught_by());
        format!("| {} | {text} | {caught_by} |\n", fault.description)
    };
    let rows: String = verdicts.iter().map(row).collect();
    format!("| fault | verdict | by |\n| --- | --- | --- |\n{rows}")
}

/// Replaces an area's section in the page, or adds it. Creates the page if it does not exist.
///
/// # Errors
///
/// Returns an error if the page can't be read or written.
pub(crate) fn update_page(
    page: &Path,
    area: &str,
    verdicts: &[(Fault, Verdict)],
) -> Result<(), Error> {
    let file_error = |source| Error::File {
        path: page.to_path_buf(),
        source,
    };
    let old = match fs::read_to_string(page) {
        Ok(old) => old,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => INTRODUCTION.to_string(),
        Err(error) => return Err(file_error(error)),
    };
    let title = format!("## {area}\n");
    let section = section(&title, area, verdicts);
    let mut sections: Vec<String> = Vec::new();
    for line in old.split_inclusive('\n') {
        match sections.last_mut() {
            Some(last) if !line.starts_with("## ") => last.push_str(line),
            _ => sections.push(line.to_string()),
        }
    }
    match sections.iter_mut().find(|s| s.starts_with(&title)) {
        Some(known) => *known = section,
        None => sections.push(section),
    }
    let text: Vec<&str> = sections.iter().map(|s| s.trim_end()).collect();
    fs::write(page, text.join("\n\n") + "\n").map_err(file_error)
}

/// Returns the section of one area: title, command, count and table.
fn section(title: &str, area: &str, verdicts: &[(Fault, Verdict)]) -> String {
    let caught = verdicts.iter().filter(|(_, v)| v.is_caught()).count();
    let (all, table) = (verdicts.len(), table(verdicts));
    format!(
        "{title}\n```sh\ncargo run -p mutation-testing -- {area}\n```\n\n{caught} of {all} are caught.\n\n{table}"
    )
}
