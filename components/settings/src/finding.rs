//! Errors and warnings about files, with their locations.

use std::{cell::RefCell, error::Error, fmt};

use serde::{Deserialize, Serialize};

/// The severity of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// Must be fixed; the file is not accepted.
    Error,
    /// Accepted, but probably not intended.
    Warning,
}

/// An error or warning at one place in a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Finding {
    /// The file as given by the caller.
    pub file: String,
    /// The path in the file, such as `$.peers[2].zone`, or line and column.
    pub path: String,
    /// Whether it is an error or a warning.
    pub severity: Severity,
    /// What is wrong, such as "found 0".
    pub problem: String,
    /// What was expected; may be empty.
    pub expected: String,
}

/// Collects findings while files are read.
#[derive(Debug, Default)]
pub struct Findings(RefCell<Vec<Finding>>);

/// Findings of which at least one is an [`Error`](Severity::Error).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report(Vec<Finding>);

impl Findings {
    /// Adds a finding.
    pub fn push(&self, finding: Finding) {
        self.0.borrow_mut().push(finding);
    }

    /// The number of findings.
    pub fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// The findings in the order they were reported.
    pub fn into_vec(self) -> Vec<Finding> {
        self.0.into_inner()
    }
}

impl Report {
    /// Creates a report if `findings` contain an error.
    pub fn from_findings(findings: Vec<Finding>) -> Option<Report> {
        let has_error = findings.iter().any(|finding| finding.severity == Severity::Error);
        has_error.then_some(Report(findings))
    }

    /// The findings, warnings included.
    pub fn findings(&self) -> &[Finding] {
        &self.0
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let label = match self.severity {
            Severity::Error => "",
            Severity::Warning => "warning: ",
        };
        let Finding { file, path, problem, expected, .. } = self;
        write!(f, "{file} {path}\n  {label}{problem}")?;
        if !expected.is_empty() {
            write!(f, "\n  expected {expected}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.0 {
            writeln!(f, "{finding}")?;
        }
        let count = self.0.len();
        write!(f, "{count} finding{}", if count == 1 { "" } else { "s" })
    }
}

impl Error for Report {}
