//! Findings: what is wrong, where, and what was expected.

use std::{cell::RefCell, error::Error, fmt};

use serde::{Deserialize, Serialize};

/// How much a finding matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// Must be mended.
    Error,
    /// Works, but is likely not what was meant.
    Warning,
}

/// Something wrong at one place of a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Finding {
    /// The file, as it was named when opened.
    pub file: String,
    /// The path in the file, written `$.peers[2].zone`.
    pub path: String,
    /// How much it matters.
    pub severity: Severity,
    /// What is wrong.
    pub problem: String,
    /// What was expected.
    pub expected: String,
}

/// A collection that grows while a file is read.
#[derive(Debug, Default)]
pub struct Findings(RefCell<Vec<Finding>>);

/// At least one finding of severity `Error`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report(Vec<Finding>);

impl Findings {
    /// Adds a finding.
    pub fn push(&self, finding: Finding) {
        self.0.borrow_mut().push(finding);
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// The findings so far, in the order found.
    pub fn into_vec(self) -> Vec<Finding> {
        self.0.into_inner()
    }
}

impl Report {
    /// A report, if `findings` hold an error.
    pub fn of(findings: Vec<Finding>) -> Option<Report> {
        let failed = findings.iter().any(|finding| finding.severity == Severity::Error);
        failed.then_some(Report(findings))
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
