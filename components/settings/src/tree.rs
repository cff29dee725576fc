//! JSON text to a tree, with a finding for each member that stands twice.
//!
//! `serde_json::Value` keeps the last of two members of one name without a
//! word; in a settings file that hides a mistake.

use std::{cell::RefCell, fmt};

use serde::de::{DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

use crate::{Finding, Findings, Severity, node::join};

/// Parses `text`; `None` after a finding about its syntax.
pub fn parse_tree(file: &str, text: &str, findings: &Findings) -> Option<Value> {
    let doubles = RefCell::new(Vec::new());
    let mut json = serde_json::Deserializer::from_str(text);
    let seed = Tree { path: "$".to_owned(), doubles: &doubles };
    let parsed = seed.deserialize(&mut json).and_then(|value| json.end().map(|()| value));
    for path in doubles.into_inner() {
        push(findings, file, path, "the member stands twice".to_owned(), "one of them");
    }
    match parsed {
        Ok(value) => Some(value),
        Err(error) => {
            let place = format!("line {}, column {}", error.line(), error.column());
            push(findings, file, place, describe(&error), "JSON");
            None
        }
    }
}

fn push(findings: &Findings, file: &str, path: String, problem: String, expected: &str) {
    let (file, expected) = (file.to_owned(), expected.to_owned());
    findings.push(Finding { file, path, severity: Severity::Error, problem, expected });
}

/// The error's text without its place, which the finding has already.
fn describe(error: &serde_json::Error) -> String {
    let text = error.to_string();
    text.split_once(" at line ").map_or(text.as_str(), |(problem, _)| problem).to_owned()
}

struct Tree<'a> {
    path: String,
    doubles: &'a RefCell<Vec<String>>,
}

impl<'de> DeserializeSeed<'de> for Tree<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, json: D) -> Result<Value, D::Error> {
        json.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Tree<'_> {
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
            match access.next_element_seed(Tree { path, doubles: self.doubles })? {
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
                self.doubles.borrow_mut().push(path.clone());
            }
            let value = access.next_value_seed(Tree { path, doubles: self.doubles })?;
            members.insert(name, value);
        }
        Ok(Value::Object(members))
    }
}
