//! What differs between two configurations.

use std::{collections::BTreeSet, fmt};

use serde::Serialize;
use serde_json::Value;

use crate::{Config, Object, ObjectId};

/// One object that differs.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Change {
    /// The object.
    pub id: ObjectId,
    /// What became of it.
    pub edit: Edit,
}

/// What became of an object.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Edit {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// Some of its fields differ.
    Changed(Vec<FieldEdit>),
}

/// One field that differs.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct FieldEdit {
    /// The path in the spec, as in `zones.a.steady`.
    pub path: String,
    /// The former value; null if there was none.
    pub old: Value,
    /// The new value; null if there is none.
    pub new: Value,
}

/// The objects that differ from `old` to `new`, in the order of their ids.
pub fn diff(old: &Config, new: &Config) -> Vec<Change> {
    let (old, new) = (old.objects(), new.objects());
    let ids: BTreeSet<&ObjectId> = old.keys().chain(new.keys()).collect();
    let edits = ids.into_iter().filter_map(|id| {
        let edit = compare(old.get(id), new.get(id))?;
        Some(Change { id: id.clone(), edit })
    });
    edits.collect()
}

fn compare(old: Option<&Object>, new: Option<&Object>) -> Option<Edit> {
    match (old, new) {
        (None, None) => None,
        (None, Some(_)) => Some(Edit::Added),
        (Some(_), None) => Some(Edit::Removed),
        (Some(old), Some(new)) if old == new => None,
        (Some(old), Some(new)) => {
            let mut edits = Vec::new();
            compare_values("", &old.spec(), &new.spec(), &mut edits);
            Some(Edit::Changed(edits))
        }
    }
}

fn compare_values(path: &str, old: &Value, new: &Value, edits: &mut Vec<FieldEdit>) {
    if old == new {
        return;
    }
    let (Value::Object(left), Value::Object(right)) = (old, new) else {
        let (old, new) = (old.clone(), new.clone());
        return edits.push(FieldEdit { path: path.to_owned(), old, new });
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
            Edit::Added => write!(f, "+ {}", self.id),
            Edit::Removed => write!(f, "- {}", self.id),
            Edit::Changed(fields) => {
                write!(f, "~ {}", self.id)?;
                fields.iter().try_for_each(|field| write!(f, "\n    {field}"))
            }
        }
    }
}

impl fmt::Display for FieldEdit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} → {}", self.path, self.old, self.new)
    }
}
