//! Computes the differences between two configurations.

use std::{collections::BTreeSet, fmt};

use serde::Serialize;
use serde_json::Value;

use crate::{Config, Object, ObjectId};

/// An object that differs.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Change {
    /// The id of the object.
    pub id: ObjectId,
    /// How it differs.
    pub edit: ChangeKind,
}

/// How an object differs between two configurations.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// Only the new configuration has it.
    Added,
    /// Only the old configuration has it.
    Removed,
    /// Both have it, with these differing fields.
    Changed(Vec<FieldChange>),
}

/// A field that differs.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct FieldChange {
    /// The path in the spec, such as `zones.a.steady`.
    pub path: String,
    /// The old value; null if absent.
    pub old: Value,
    /// The new value; null if absent.
    pub new: Value,
}

/// Lists the objects that differ between `old` and `new`, sorted by id.
pub fn diff(old: &Config, new: &Config) -> Vec<Change> {
    let (old, new) = (old.objects(), new.objects());
    let ids: BTreeSet<&ObjectId> = old.keys().chain(new.keys()).collect();
    let edits = ids.into_iter().filter_map(|id| {
        let edit = compare(old.get(id), new.get(id))?;
        Some(Change { id: id.clone(), edit })
    });
    edits.collect()
}

fn compare(old: Option<&Object>, new: Option<&Object>) -> Option<ChangeKind> {
    match (old, new) {
        (None, None) => None,
        (None, Some(_)) => Some(ChangeKind::Added),
        (Some(_), None) => Some(ChangeKind::Removed),
        (Some(old), Some(new)) if old == new => None,
        (Some(old), Some(new)) => {
            let mut edits = Vec::new();
            compare_values("", &old.spec(), &new.spec(), &mut edits);
            Some(ChangeKind::Changed(edits))
        }
    }
}

fn compare_values(path: &str, old: &Value, new: &Value, edits: &mut Vec<FieldChange>) {
    if old == new {
        return;
    }
    let (Value::Object(left), Value::Object(right)) = (old, new) else {
        let (old, new) = (old.clone(), new.clone());
        return edits.push(FieldChange { path: path.to_owned(), old, new });
    };
    let names: BTreeSet<&String> = left.keys().chain(right.keys()).collect();
    for name in names {
        let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        let old = left.get(name).unwrap_or(&Value::Null);
        compare_values(&path, old, right.get(name).unwrap_or(&Value::Null), edits);
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.edit {
            ChangeKind::Added => write!(f, "+ {}", self.id),
            ChangeKind::Removed => write!(f, "- {}", self.id),
            ChangeKind::Changed(fields) => {
                write!(f, "~ {}", self.id)?;
                fields.iter().try_for_each(|field| write!(f, "\n    {field}"))
            }
        }
    }
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} → {}", self.path, self.old, self.new)
    }
}
