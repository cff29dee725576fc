//! The members of an object, read one by one.

use std::{fmt::Display, ops::RangeInclusive};

use serde_json::{Map, Value};

use crate::{FromJson, Node};

/// Start of a member's name that makes it a comment.
const COMMENT: &str = "//";

/// Reads an object's members; unknown ones become findings when it is dropped.
#[derive(Debug)]
pub struct Fields<'a> {
    node: Node<'a>,
    members: &'a Map<String, Value>,
    known: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    pub(crate) fn new(node: Node<'a>, members: &'a Map<String, Value>) -> Fields<'a> {
        Fields { node, members, known: Vec::new() }
    }

    /// The object itself, to report findings that concern several members.
    pub fn node(&self) -> &Node<'a> {
        &self.node
    }

    /// The member `name`, if it is there and not null.
    pub fn get(&mut self, name: &'static str) -> Option<Node<'a>> {
        self.known.push(name);
        let value = self.members.get(name).filter(|value| !value.is_null())?;
        Some(self.node.member(name, value))
    }

    /// A member that must be there; `None` after a finding.
    pub fn required<T: FromJson>(&mut self, name: &'static str) -> Option<T> {
        self.required_node(name, T::EXPECTED).and_then(|node| T::from_json(&node))
    }

    /// A member that must be there, as a node; `None` after a finding.
    pub fn required_node(&mut self, name: &'static str, expected: &str) -> Option<Node<'a>> {
        let node = self.get(name);
        if node.is_none() {
            self.node.member(name, &Value::Null).report("missing", expected);
        }
        node
    }

    /// A member that may be absent; `None` also after a finding.
    pub fn optional<T: FromJson>(&mut self, name: &'static str) -> Option<T> {
        self.get(name).and_then(|node| T::from_json(&node))
    }

    /// A member that may be absent; `default` also after a finding.
    pub fn or<T: FromJson>(&mut self, name: &'static str, default: T) -> T {
        self.optional(name).unwrap_or(default)
    }

    /// A member within `range`; `default` if it is absent, or after a finding.
    pub fn within<T>(&mut self, name: &'static str, range: RangeInclusive<T>, default: T) -> T
    where
        T: FromJson + PartialOrd + Display,
    {
        self.optional_within(name, range).unwrap_or(default)
    }

    /// A member within `range`; `None` if it is absent, or after a finding.
    pub fn optional_within<T>(&mut self, name: &'static str, range: RangeInclusive<T>) -> Option<T>
    where
        T: FromJson + PartialOrd + Display,
    {
        let node = self.get(name)?;
        let value = T::from_json(&node)?;
        if range.contains(&value) {
            return Some(value);
        }
        node.mismatch(&format!("{} to {}", range.start(), range.end()))
    }
}

impl Drop for Fields<'_> {
    fn drop(&mut self) {
        for (name, value) in self.members {
            if name.starts_with(COMMENT) || self.known.contains(&name.as_str()) {
                continue;
            }
            let expected = format!("one of {}", self.known.join(", "));
            self.node.member(name, value).report("unknown field", expected);
        }
    }
}
