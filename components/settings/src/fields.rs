//! Reads an object's members one by one and reports unknown ones.

use std::{fmt::Display, ops::RangeInclusive};

use serde_json::{Map, Value};

use crate::{FromJson, Node};

/// Prefix of member names that are comments.
const COMMENT_PREFIX: &str = "//";

/// Reads an object's members.
///
/// On drop, members that were never requested are reported as unknown fields.
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

    /// The object itself, for findings that concern several members.
    pub fn node(&self) -> &Node<'a> {
        &self.node
    }

    /// The member `name`, if it is present and not null.
    pub fn get(&mut self, name: &'static str) -> Option<Node<'a>> {
        self.known.push(name);
        let value = self.members.get(name).filter(|value| !value.is_null())?;
        Some(self.node.member(name, value))
    }

    /// Reads a mandatory member; returns `None` after a finding.
    pub fn required<T: FromJson>(&mut self, name: &'static str) -> Option<T> {
        self.required_node(name, T::EXPECTED).and_then(|node| T::from_json(&node))
    }

    /// A mandatory member as a node; `None` after a finding.
    pub fn required_node(&mut self, name: &'static str, expected: &str) -> Option<Node<'a>> {
        let node = self.get(name);
        if node.is_none() {
            self.node.member(name, &Value::Null).report("missing", expected);
        }
        node
    }

    /// Reads an optional member; returns `None` if it is absent, or after a finding.
    pub fn optional<T: FromJson>(&mut self, name: &'static str) -> Option<T> {
        self.get(name).and_then(|node| T::from_json(&node))
    }

    /// Reads an optional member; returns `default` if it is absent, or after a finding.
    pub fn optional_or<T: FromJson>(&mut self, name: &'static str, default: T) -> T {
        self.optional(name).unwrap_or(default)
    }

    /// Reads an optional member that must be in `range`.
    ///
    /// Returns `default` if it is absent, or after a finding.
    pub fn in_range_or<T>(&mut self, name: &'static str, range: RangeInclusive<T>, default: T) -> T
    where
        T: FromJson + PartialOrd + Display,
    {
        self.optional_in_range(name, range).unwrap_or(default)
    }

    /// Reads an optional member that must be in `range`.
    ///
    /// Returns `None` if it is absent, or after a finding.
    pub fn optional_in_range<T>(
        &mut self,
        name: &'static str,
        range: RangeInclusive<T>,
    ) -> Option<T>
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
            if name.starts_with(COMMENT_PREFIX) || self.known.contains(&name.as_str()) {
                continue;
            }
            let expected = format!("one of {}", self.known.join(", "));
            self.node.member(name, value).report("unknown field", expected);
        }
    }
}
