//! The [`FromJson`] trait and its implementations for standard types.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    str::FromStr,
    time::Duration,
};

use serde_json::Value;

use crate::{Node, parse_duration};

/// A type that can be read from JSON.
pub trait FromJson: Sized {
    /// The expected value as findings state it, such as "an address, as in 10.0.0.1:80".
    const EXPECTED: &'static str;

    /// Reads a value; returns `None` after reporting at least one finding.
    fn from_json(node: &Node<'_>) -> Option<Self>;
}

impl Node<'_> {
    /// Parses a string; reports a finding if this is not a string or does not parse.
    pub fn parse<T: FromStr>(&self, expected: &str) -> Option<T> {
        let text = self.text(expected)?;
        text.parse().ok().or_else(|| self.mismatch(expected))
    }
}

impl FromJson for bool {
    const EXPECTED: &'static str = "true or false";

    fn from_json(node: &Node<'_>) -> Option<bool> {
        node.value().as_bool().or_else(|| node.mismatch(Self::EXPECTED))
    }
}

impl FromJson for String {
    const EXPECTED: &'static str = "a string";

    fn from_json(node: &Node<'_>) -> Option<String> {
        node.text(Self::EXPECTED).map(str::to_owned)
    }
}

impl FromJson for PathBuf {
    const EXPECTED: &'static str = "a file path";

    fn from_json(node: &Node<'_>) -> Option<PathBuf> {
        node.text(Self::EXPECTED).map(PathBuf::from)
    }
}

impl FromJson for u64 {
    const EXPECTED: &'static str = "a whole number, 0 or more";

    fn from_json(node: &Node<'_>) -> Option<u64> {
        node.value().as_u64().or_else(|| node.mismatch(Self::EXPECTED))
    }
}

impl FromJson for u32 {
    const EXPECTED: &'static str = "a whole number, 0 to 4294967295";

    fn from_json(node: &Node<'_>) -> Option<u32> {
        read_integer(node, Self::EXPECTED)
    }
}

impl FromJson for u16 {
    const EXPECTED: &'static str = "a whole number, 0 to 65535";

    fn from_json(node: &Node<'_>) -> Option<u16> {
        read_integer(node, Self::EXPECTED)
    }
}

impl FromJson for usize {
    const EXPECTED: &'static str = "a whole number, 0 or more";

    fn from_json(node: &Node<'_>) -> Option<usize> {
        read_integer(node, Self::EXPECTED)
    }
}

impl FromJson for f64 {
    const EXPECTED: &'static str = "a number";

    fn from_json(node: &Node<'_>) -> Option<f64> {
        node.value().as_f64().or_else(|| node.mismatch(Self::EXPECTED))
    }
}

impl FromJson for SocketAddr {
    const EXPECTED: &'static str = "an IP address and port, as in 10.0.0.1:8080";

    fn from_json(node: &Node<'_>) -> Option<SocketAddr> {
        node.parse(Self::EXPECTED)
    }
}

impl FromJson for IpAddr {
    const EXPECTED: &'static str = "an IP address, as in 10.0.0.1";

    fn from_json(node: &Node<'_>) -> Option<IpAddr> {
        node.parse(Self::EXPECTED)
    }
}

impl FromJson for Duration {
    const EXPECTED: &'static str = "a duration, as in 250ms, 5s, 2m or 1h";

    fn from_json(node: &Node<'_>) -> Option<Duration> {
        let text = node.text(Self::EXPECTED)?;
        parse_duration(text).ok().or_else(|| node.mismatch(Self::EXPECTED))
    }
}

impl<T: FromJson> FromJson for Vec<T> {
    const EXPECTED: &'static str = "an array";

    fn from_json(node: &Node<'_>) -> Option<Vec<T>> {
        let elements = node.elements(Self::EXPECTED)?;
        let read: Vec<Option<T>> = elements.iter().map(T::from_json).collect();
        read.into_iter().collect()
    }
}

/// Reads an object with arbitrary names; members that start with `//` are comments.
impl<T: FromJson> FromJson for BTreeMap<String, T> {
    const EXPECTED: &'static str = "an object";

    fn from_json(node: &Node<'_>) -> Option<BTreeMap<String, T>> {
        let Value::Object(members) = node.value() else { return node.mismatch(Self::EXPECTED) };
        let read: Vec<Option<(String, T)>> = members
            .iter()
            .filter(|(name, _)| !name.starts_with("//"))
            .map(|(name, value)| Some((name.clone(), T::from_json(&node.member(name, value))?)))
            .collect();
        read.into_iter().collect()
    }
}

fn read_integer<T: TryFrom<u64>>(node: &Node<'_>, expected: &str) -> Option<T> {
    let number = node.value().as_u64();
    number.and_then(|n| T::try_from(n).ok()).or_else(|| node.mismatch(expected))
}
