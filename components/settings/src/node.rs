//! A value in a file, with its place.

use serde_json::Value;

use crate::{Fields, Finding, Findings, Severity};

/// Longest excerpt of a value in a finding, in characters.
const EXCERPT_LIMIT: usize = 40;

/// A JSON value that knows where it stands.
#[derive(Debug, Clone)]
pub struct Node<'a> {
    value: &'a Value,
    file: &'a str,
    path: String,
    findings: &'a Findings,
}

impl<'a> Node<'a> {
    /// The root of `file`.
    pub fn root(file: &'a str, value: &'a Value, findings: &'a Findings) -> Node<'a> {
        Node { value, file, path: "$".to_owned(), findings }
    }

    /// The value.
    pub fn value(&self) -> &'a Value {
        self.value
    }

    /// The file, as it was named when opened.
    pub fn file(&self) -> &'a str {
        self.file
    }

    /// The path in the file.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// The findings of the file so far.
    pub fn findings(&self) -> &'a Findings {
        self.findings
    }

    /// The members, if this is an object; a finding if not.
    pub fn fields(&self, expected: &str) -> Option<Fields<'a>> {
        match self.value {
            Value::Object(members) => Some(Fields::new(self.clone(), members)),
            _ => self.mismatch(expected),
        }
    }

    /// The elements, if this is an array; a finding if not.
    pub fn elements(&self, expected: &str) -> Option<Vec<Node<'a>>> {
        let Value::Array(values) = self.value else { return self.mismatch(expected) };
        let nodes = values.iter().enumerate().map(|(index, value)| Node {
            value,
            path: format!("{}[{index}]", self.path),
            ..self.clone()
        });
        Some(nodes.collect())
    }

    /// The text, if this is a string; a finding if not.
    pub fn text(&self, expected: &str) -> Option<&'a str> {
        match self.value {
            Value::String(text) => Some(text),
            _ => self.mismatch(expected),
        }
    }

    /// Reports that this value is not what was expected.
    pub fn mismatch<T>(&self, expected: &str) -> Option<T> {
        self.report(format!("found {}", excerpt(self.value)), expected);
        None
    }

    /// Reports an error here.
    pub fn report(&self, problem: impl Into<String>, expected: impl Into<String>) {
        self.push(Severity::Error, problem.into(), expected.into());
    }

    /// Reports a warning here.
    pub fn warn(&self, problem: impl Into<String>, expected: impl Into<String>) {
        self.push(Severity::Warning, problem.into(), expected.into());
    }

    /// The member `name` of this object.
    pub(crate) fn member(&self, name: &str, value: &'a Value) -> Node<'a> {
        Node { value, path: join(&self.path, name), ..self.clone() }
    }

    fn push(&self, severity: Severity, problem: String, expected: String) {
        let (file, path) = (self.file.to_owned(), self.path.clone());
        self.findings.push(Finding { file, path, severity, problem, expected });
    }
}

/// The path of the member `name` below `path`.
pub(crate) fn join(path: &str, name: &str) -> String {
    let plain = !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_');
    if plain { format!("{path}.{name}") } else { format!("{path}[{name:?}]") }
}

/// A short text for `value`, with strings in quotes.
fn excerpt(value: &Value) -> String {
    match value {
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "an array".to_owned(),
        scalar => shorten(scalar.to_string()),
    }
}

fn shorten(text: String) -> String {
    if text.chars().count() <= EXCERPT_LIMIT {
        return text;
    }
    text.chars().take(EXCERPT_LIMIT).chain(['…']).collect()
}
