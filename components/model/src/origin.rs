//! Where objects were read from, for findings.

use std::collections::BTreeMap;

use chervilgate_settings::{Finding, Findings, Severity};

use crate::ObjectId;

/// The file and path of each object that came from a file.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Origins(BTreeMap<ObjectId, Origin>);

#[derive(Debug, Clone, PartialEq, Eq)]
struct Origin {
    file: String,
    path: String,
}

impl Origins {
    /// Records an object's place; the former place, if it had one already.
    pub(crate) fn insert(&mut self, id: ObjectId, file: &str, path: &str) -> Option<String> {
        let origin = Origin { file: file.to_owned(), path: path.to_owned() };
        let former = self.0.insert(id, origin)?;
        Some(format!("{} {}", former.file, former.path))
    }

    /// A finding in an object; one that came from no file goes by its id.
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

/// Collects findings of a check, each at a place in an object.
#[derive(Debug)]
pub(crate) struct Reporter<'a> {
    origins: &'a Origins,
    findings: Findings,
}

impl<'a> Reporter<'a> {
    pub(crate) fn new(origins: &'a Origins) -> Reporter<'a> {
        Reporter { origins, findings: Findings::default() }
    }

    /// Reports an error at `path`, as in `.zones.a`, of the object's spec.
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

    /// Whether an object that the configuration lacks stands in a file, with
    /// findings of its own.
    pub(crate) fn is_unreadable(&self, id: &ObjectId) -> bool {
        self.origins.0.contains_key(id)
    }

    pub(crate) fn into_vec(self) -> Vec<Finding> {
        self.findings.into_vec()
    }
}
