//! A JSON value with its location in a file.

use serde_json::Value;

use crate::{Fields, Finding, Findings, Severity};

/// Longest excerpt of a value in a finding, in characters.
const MAX_EXCERPT_LEN: usize = 40;

/// A JSON value with its file and path, and the list that takes its findings.
#[derive(Debug, Clone)]
pub struct Node<'a> {
    value: &'a Value,
    file: &'a str,
    path: String,
    findings: &'a Findings,
}

impl<'a> Node<'a> {
    /// Creates the root node of `file`.
    pub fn root(file: &'a str, value: &'a Value, findings: &'a Findings) -> Node<'a> {
        Node { value, file, path: "$".to_owned(), findings }
    }

    /// The JSON value.
    pub fn value(&self) -> &'a Value {
        self.value
    }

    /// The file as given by the caller.
    pub fn file(&self) -> &'a str {
        self.file
    }

    /// The path in the file, such as `$.peers[2].zone`.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// The findings of the file so far.
    pub fn findings(&self) -> &'a Findings {
        self.findings
    }

    /// The members; reports a finding if this is not an object.
    pub fn fields(&self, expected: &str) -> Option<Fields<'a>> {
        match self.value {
            Value::Object(members) => Some(Fields::new(self.clone(), members)),
            _ => self.mismatch(expected),
        }
    }

    /// The elements; reports a finding if this is not an array.
    pub fn elements(&self, expected: &str) -> Option<Vec<Node<'a>>> {
        let Value::Array(values) = self.value else { return self.mismatch(expected) };
        let nodes = values.iter().enumerate().map(|(index, value)| Node {
            value,
            path: format!("{}[{index}]", self.path),
            ..self.clone()
        });
        Some(nodes.collect())
    }

    /// The text; reports a finding if this is not a string.
    pub fn text(&self, expected: &str) -> Option<&'a str> {
        match self.value {
            Value::String(text) => Some(text),
            _ => self.mismatch(expected),
        }
    }

    /// Reports that this value is not `expected`; always returns `None`.
    pub fn mismatch<T>(&self, expected: &str) -> Option<T> {
        self.report(format!("found {}", excerpt(self.value)), expected);
        None
    }

    /// Reports an error at this node.
    pub fn report(&self, problem: impl Into<String>, expected: impl Into<String>) {
        self.push(Severity::Error, problem.into(), expected.into());
    }

    /// Reports a warning at this node.
    pub fn warn(&self, problem: impl Into<String>, expected: impl Into<String>) {
        self.push(Severity::Warning, problem.into(), expected.into());
    }

    /// The node of `value`, the member `name` of this object.
    pub(crate) fn member(&self, name: &str, value: &'a Value) -> Node<'a> {
        Node { value, path: join(&self.path, name), ..self.clone() }
    }

    fn push(&self, severity: Severity, problem: String, expected: String) {
        let (file, path) = (self.file.to_owned(), self.path.clone());
        self.findings.push(Finding { file, path, severity, problem, expected });
    }
}

/// The path of the member `name` of the object at `path`.
pub(crate) fn join(path: &str, name: &str) -> String {
    let plain = !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_');
    if plain { format!("{path}.{name}") } else { format!("{path}[{name:?}]") }
}

/// A short description of `value` for findings.
fn excerpt(value: &Value) -> String {
    match value {
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "an array".to_owned(),
        scalar => truncate(scalar.to_string()),
    }
}

fn truncate(text: String) -> String {
    if text.chars().count() <= MAX_EXCERPT_LEN {
        return text;
    }
    text.chars().take(MAX_EXCERPT_LEN).chain(['…']).collect()
}
