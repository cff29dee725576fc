//! Parses JSON text and reports duplicate members.
//!
//! `serde_json::Value` silently keeps the last of several members with the same
//! name, which would hide a mistake in a settings file.

use std::{cell::RefCell, fmt};

use serde::de::{DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

use crate::{Finding, Findings, Severity, node::join};

/// Parses `text`; returns `None` after a finding about its syntax.
pub fn parse_tree(file: &str, text: &str, findings: &Findings) -> Option<Value> {
    let duplicates = RefCell::new(Vec::new());
    let mut json = serde_json::Deserializer::from_str(text);
    let seed = ValueSeed { path: "$".to_owned(), duplicates: &duplicates };
    let parsed = seed.deserialize(&mut json).and_then(|value| json.end().map(|()| value));
    for path in duplicates.into_inner() {
        push(findings, file, path, "duplicate member".to_owned(), "a single member of this name");
    }
    match parsed {
        Ok(value) => Some(value),
        Err(error) => {
            let place = format!("line {}, column {}", error.line(), error.column());
            push(findings, file, place, message(&error), "JSON");
            None
        }
    }
}

fn push(findings: &Findings, file: &str, path: String, problem: String, expected: &str) {
    let (file, expected) = (file.to_owned(), expected.to_owned());
    findings.push(Finding { file, path, severity: Severity::Error, problem, expected });
}

/// The error's message without its position, which the finding states separately.
fn message(error: &serde_json::Error) -> String {
    let text = error.to_string();
    text.split_once(" at line ").map_or(text.as_str(), |(problem, _)| problem).to_owned()
}

struct ValueSeed<'a> {
    path: String,
    duplicates: &'a RefCell<Vec<String>>,
}

impl<'de> DeserializeSeed<'de> for ValueSeed<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, json: D) -> Result<Value, D::Error> {
        json.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueSeed<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("JSON")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Number::from_f64(value).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.to_owned()))
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut values = Vec::new();
        loop {
            let path = format!("{}[{}]", self.path, values.len());
            match access.next_element_seed(ValueSeed { path, duplicates: self.duplicates })? {
                Some(value) => values.push(value),
                None => return Ok(Value::Array(values)),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut members = Map::new();
        while let Some(name) = access.next_key::<String>()? {
            let path = join(&self.path, &name);
            if members.contains_key(&name) && !name.starts_with("//") {
                self.duplicates.borrow_mut().push(path.clone());
            }
            let value = access.next_value_seed(ValueSeed { path, duplicates: self.duplicates })?;
            members.insert(name, value);
        }
        Ok(Value::Object(members))
    }
}
