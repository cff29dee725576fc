//! What a command has to say, and how the process ends.

use std::{
    io::{self, Write},
    process::ExitCode,
};

use chervilgate_publication::{ReadError, WriteError};
use chervilgate_settings::{Finding, Report, Severity};
use serde_json::{Value, json};

use crate::screen::Screen;

/// How the process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// Done, or all is well.
    Done = 0,
    /// Failed; nothing was changed.
    Failed = 1,
    /// Files or settings have findings.
    Findings = 2,
    /// Another operator published meanwhile; nothing was changed.
    Conflict = 3,
    /// Not yet accepted, or nobody can tell whether the change was made.
    Pending = 4,
    /// A risky action without `--yes`; nothing was changed.
    Consent = 5,
    /// `status` found something wrong.
    Unwell = 6,
}

/// The outcome of a command.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    pub(crate) text: Screen,
    pub(crate) json: Value,
    pub(crate) exit: Exit,
}

/// Why a command failed, and what to do next.
#[derive(Debug, Clone)]
pub(crate) struct Failure {
    text: Screen,
    json: Value,
    exit: Exit,
}

impl Answer {
    /// An outcome without trouble.
    pub(crate) fn done(text: Screen, json: Value) -> Answer {
        Answer { text, json, exit: Exit::Done }
    }

    /// Prints it to standard output.
    pub(crate) fn print(&self, json: bool) -> ExitCode {
        let shown = if json { format!("{:#}\n", self.json) } else { self.text.text() };
        // A reader that has gone, as `head` does, is no failure of the command.
        let _ = io::stdout().write_all(shown.as_bytes());
        ExitCode::from(self.exit as u8)
    }
}

impl Failure {
    /// A failure that changed nothing.
    pub(crate) fn new(problem: impl AsRef<str>, next: impl AsRef<str>) -> Failure {
        Failure::with_exit(Exit::Failed, problem, next)
    }

    /// A failure with an exit code of its own.
    pub(crate) fn with_exit(
        exit: Exit,
        problem: impl AsRef<str>,
        next: impl AsRef<str>,
    ) -> Failure {
        let (problem, next) = (problem.as_ref(), next.as_ref());
        let mut text = Screen::default();
        text.line(format!("failed: {problem}")).line(format!("next: {next}"));
        let json = json!({ "failed": problem, "next": next });
        Failure { text, json, exit }
    }

    /// Findings in files.
    pub(crate) fn findings(findings: &[Finding]) -> Failure {
        let mut text = Screen::default();
        list_findings(&mut text, findings);
        text.line("next: mend these and try again; nothing was changed");
        Failure { text, json: json!({ "findings": findings }), exit: Exit::Findings }
    }

    /// Prints it to standard error.
    pub(crate) fn print(&self, json: bool) -> ExitCode {
        let shown = if json { format!("{:#}\n", self.json) } else { self.text.text() };
        let _ = io::stderr().write_all(shown.as_bytes());
        ExitCode::from(self.exit as u8)
    }
}

/// Writes findings and their count.
pub(crate) fn list_findings(text: &mut Screen, findings: &[Finding]) {
    text.lines(findings);
    let errors = findings.iter().filter(|finding| finding.severity == Severity::Error).count();
    text.line(format!("{errors} to mend, {} to consider", findings.len() - errors));
}

impl From<Report> for Failure {
    fn from(report: Report) -> Failure {
        Failure::findings(report.findings())
    }
}

impl From<ReadError> for Failure {
    fn from(error: ReadError) -> Failure {
        match error {
            ReadError::Store => Failure::new(
                error.to_string(),
                "callers are still served, changes have to wait; see `status` and \
                 docs/operating/platform-outage.md",
            ),
            _ => Failure::new(
                error.to_string(),
                "the store's content is damaged: keep it as it is and call a developer",
            ),
        }
    }
}

impl From<WriteError> for Failure {
    fn from(error: WriteError) -> Failure {
        let problem = error.to_string();
        match error {
            WriteError::Conflict { objects } => {
                let problem = format!("{problem}; it changed {}", objects.join(", "));
                Failure::with_exit(
                    Exit::Conflict,
                    problem,
                    "look at `history`, then run this command again: it starts from \
                     what is now in force",
                )
            }
            WriteError::Unknown | WriteError::Unresolved => Failure::with_exit(
                Exit::Pending,
                problem,
                "see `status` and `history`, then run this command again if need be",
            ),
            WriteError::NotMade => {
                Failure::new(problem, "try again once `status` shows the store up")
            }
            WriteError::Rejected { .. } => Failure::new(problem, "see `status`, then try again"),
            WriteError::Oversize { .. } => Failure::new(problem, "split or shorten these objects"),
        }
    }
}
