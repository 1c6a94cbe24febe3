//! The table of faults, and its place in the page that keeps the tables of all areas.

use std::fmt::Write;
use std::fs;
use std::path::Path;

use crate::fault::Fault;
use crate::{Error, Verdict};

const INTRODUCTION: &str = "# Deliberate faults

Each fault is a patch in `tests/faults/AREA`, put into a copy of the sources and held against the tests that its
header names. A section is made anew by the command under its title; the exit status is 1 if a fault is not caught.
";

pub fn in_short(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::CaughtBy { .. } => "caught",
        Verdict::Missed => "not caught",
        Verdict::NotApplicable => "does not apply",
        Verdict::NotBuilt => "does not build",
    }
}

/// The table of one area in Markdown.
pub fn table(judged: &[(Fault, Verdict)]) -> String {
    let mut text = String::from("| fault | verdict | by |\n| --- | --- | --- |\n");
    for (fault, verdict) in judged {
        let by = match verdict {
            Verdict::CaughtBy { command, tests } if tests.is_empty() => format!("`{command}`"),
            Verdict::CaughtBy { tests, .. } => tests
                .iter()
                .map(|t| format!("`{t}`"))
                .collect::<Vec<_>>()
                .join(", "),
            _ => String::new(),
        };
        let _ = writeln!(text, "| {} | {} | {by} |", fault.text, in_short(verdict));
    }
    text
}

/// Replaces the section of an area in the page, or adds it.
pub fn write(page: &Path, area: &str, judged: &[(Fault, Verdict)]) -> Result<(), Error> {
    let old = fs::read_to_string(page).unwrap_or_else(|_| INTRODUCTION.to_string());
    let title = format!("## {area}\n");
    let caught = judged
        .iter()
        .filter(|(_, v)| matches!(v, Verdict::CaughtBy { .. }))
        .count();
    let (all, rows) = (judged.len(), table(judged));
    let section = format!(
        "{title}\n```sh\ncargo run -p mutation-testing -- {area}\n```\n\n{caught} of {all} are caught.\n\n{rows}"
    );
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
    fs::write(page, text.join("\n\n") + "\n").map_err(|cause| Error::File {
        path: page.to_path_buf(),
        cause,
    })
}
