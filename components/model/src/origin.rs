//! The source locations of objects, for findings.

use std::collections::BTreeMap;

use chervilgate_settings::{Finding, Findings, Severity};

use crate::ObjectId;

/// The file and path of each object that was read from a file.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Origins(BTreeMap<ObjectId, Origin>);

#[derive(Debug, Clone, PartialEq, Eq)]
struct Origin {
    file: String,
    path: String,
}

impl Origins {
    /// Records an object's location; returns the previous one as text, if any.
    pub(crate) fn insert(&mut self, id: ObjectId, file: &str, path: &str) -> Option<String> {
        let origin = Origin { file: file.to_owned(), path: path.to_owned() };
        let previous = self.0.insert(id, origin)?;
        Some(format!("{} {}", previous.file, previous.path))
    }

    /// An empty finding at `path` in an object's spec.
    ///
    /// For an object without a location, the id stands in for the file.
    pub(crate) fn finding(&self, id: &ObjectId, path: &str) -> Finding {
        let (file, root) = match self.0.get(id) {
            Some(origin) => (origin.file.clone(), origin.path.as_str()),
            None => (id.to_string(), "$"),
        };
        Finding {
            file,
            path: format!("{root}.spec{path}"),
            severity: Severity::Error,
            problem: String::new(),
            expected: String::new(),
        }
    }
}

/// Collects the findings of a check.
#[derive(Debug)]
pub(crate) struct Reporter<'a> {
    origins: &'a Origins,
    findings: Findings,
}

impl<'a> Reporter<'a> {
    pub(crate) fn new(origins: &'a Origins) -> Reporter<'a> {
        Reporter { origins, findings: Findings::default() }
    }

    /// Reports an error at `path` of the object's spec, such as `.zones.a`.
    pub(crate) fn error(&self, id: &ObjectId, path: &str, problem: String, expected: &str) {
        let finding = self.origins.finding(id, path);
        self.findings.push(Finding { problem, expected: expected.to_owned(), ..finding });
    }

    /// Reports a warning at `path` of the object's spec.
    pub(crate) fn warn(&self, id: &ObjectId, path: &str, problem: String, expected: &str) {
        let finding = self.origins.finding(id, path);
        let severity = Severity::Warning;
        self.findings.push(Finding { severity, problem, expected: expected.to_owned(), ..finding });
    }

    /// Whether a file contains the object, even if it could not be read.
    pub(crate) fn is_in_file(&self, id: &ObjectId) -> bool {
        self.origins.0.contains_key(id)
    }

    pub(crate) fn into_vec(self) -> Vec<Finding> {
        self.findings.into_vec()
    }
}
