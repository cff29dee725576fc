//! Output and exit codes of the commands.

use std::{
    io::{self, Write},
    process::ExitCode,
};

use chervilgate_publication::{ReadError, WriteError};
use chervilgate_settings::{Finding, Report, Severity};
use serde_json::{Value, json};

use crate::wrapped_text::WrappedText;

/// Exit code of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded; for `status`, nothing is wrong.
    Success = 0,
    /// The command failed; nothing was changed.
    Failed = 1,
    /// Files or settings have errors.
    Findings = 2,
    /// Another publication was made meanwhile; nothing was changed.
    Conflict = 3,
    /// The change is not accepted yet, or it is unknown whether it was made.
    Pending = 4,
    /// A risky change was requested without `--yes`; nothing was changed.
    Risky = 5,
    /// `status` found a problem.
    Unhealthy = 6,
}

/// Result of a command: as text, as JSON and as the exit code.
#[derive(Debug, Clone)]
pub(crate) struct Output {
    pub(crate) text: WrappedText,
    pub(crate) json: Value,
    pub(crate) exit: Exit,
}

/// Why a command failed and what to do next: as text, as JSON and as the exit code.
#[derive(Debug, Clone)]
pub(crate) struct Failure {
    text: WrappedText,
    json: Value,
    exit: Exit,
}

impl Output {
    /// The output of a command that succeeded.
    pub(crate) fn done(text: WrappedText, json: Value) -> Output {
        Output { text, json, exit: Exit::Success }
    }

    /// Prints it to standard output.
    pub(crate) fn print(&self, json: bool) -> ExitCode {
        let rendered = if json { format!("{:#}\n", self.json) } else { self.text.render() };
        // A closed pipe, such as that of `head`, is not a failure of the command.
        let _ = io::stdout().write_all(rendered.as_bytes());
        ExitCode::from(self.exit as u8)
    }
}

impl Failure {
    /// A failure that changed nothing.
    pub(crate) fn new(problem: impl AsRef<str>, next: impl AsRef<str>) -> Failure {
        Failure::with_exit(Exit::Failed, problem, next)
    }

    /// A failure with the given exit code.
    pub(crate) fn with_exit(
        exit: Exit,
        problem: impl AsRef<str>,
        next: impl AsRef<str>,
    ) -> Failure {
        let (problem, next) = (problem.as_ref(), next.as_ref());
        let mut text = WrappedText::default();
        text.push_line(format!("failed: {problem}")).push_line(format!("next: {next}"));
        let json = json!({ "failed": problem, "next": next });
        Failure { text, json, exit }
    }

    /// A failure because of errors in files or settings.
    pub(crate) fn findings(findings: &[Finding]) -> Failure {
        let mut text = WrappedText::default();
        list_findings(&mut text, findings);
        text.push_line("next: fix these and try again; nothing was changed");
        Failure { text, json: json!({ "findings": findings }), exit: Exit::Findings }
    }

    /// Prints it to standard error.
    pub(crate) fn print(&self, json: bool) -> ExitCode {
        let rendered = if json { format!("{:#}\n", self.json) } else { self.text.render() };
        let _ = io::stderr().write_all(rendered.as_bytes());
        ExitCode::from(self.exit as u8)
    }
}

/// Appends the findings and the numbers of errors and warnings.
pub(crate) fn list_findings(text: &mut WrappedText, findings: &[Finding]) {
    text.push_lines(findings);
    let errors = findings.iter().filter(|finding| finding.severity == Severity::Error).count();
    text.push_line(format!("{errors} errors, {} warnings", findings.len() - errors));
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
            WriteError::OutcomeUnknown | WriteError::TooManyPublications => Failure::with_exit(
                Exit::Pending,
                problem,
                "see `status` and `history`, then run this command again if need be",
            ),
            WriteError::NotApplied => {
                Failure::new(problem, "try again once `status` shows the store up")
            }
            WriteError::Rejected { .. } => Failure::new(problem, "see `status`, then try again"),
            WriteError::TooLarge { .. } => Failure::new(problem, "split or shorten these objects"),
        }
    }
}
