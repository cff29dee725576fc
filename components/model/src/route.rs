//! Routes of a service: an HTTP method and a path pattern.
//!
//! A route is written `POST /bookings/*`. `*` as the method matches any method,
//! `*` as a segment matches one segment, and `**` as the last segment matches
//! zero or more segments.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use snafu::{OptionExt, Snafu, ensure};

use crate::path::{Segments, split_path};

/// The HTTP method of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Method {
    /// Any method, written `*`.
    Any,
    /// `DELETE`
    Delete,
    /// `GET`
    Get,
    /// `HEAD`
    Head,
    /// `OPTIONS`
    Options,
    /// `PATCH`
    Patch,
    /// `POST`
    Post,
    /// `PUT`
    Put,
}

/// A path pattern, relative to a service's prefix.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Pattern {
    segments: SmallVec<[Segment; 2]>,
    open_ended: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Segment {
    Any,
    Exact(Box<str>),
}

/// A method and a path pattern, written `POST /bookings/*`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Route {
    /// The method to match.
    pub method: Method,
    /// The paths to match.
    pub pattern: Pattern,
}

/// Why a text is not a valid route.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum RouteError {
    /// There is no space between method and path.
    #[snafu(display("expected a method, a space and a path, as in \"POST /bookings/*\""))]
    NoMethod,
    /// The method is not supported in routes.
    #[snafu(display(
        "{method:?} is not a valid method: expected GET, POST, … in upper case, or *"
    ))]
    Method {
        /// The method as written.
        method: String,
    },
    /// The path is ambiguous, or has a query or fragment.
    #[snafu(display(
        "{path:?} is not a valid path: expected /a/b without empty, dot or escaped segments"
    ))]
    Path {
        /// The path as written.
        path: String,
    },
    /// A wildcard is part of a segment, or `**` is not the last segment.
    #[snafu(display("expected * as a whole segment, and ** only as the last segment"))]
    Wildcard,
}

impl Route {
    /// Whether a request matches this route; false for an ambiguous path.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        split_path(path).is_some_and(|segments| self.matches_split(method, &segments))
    }

    /// Like [`Route::matches`], for a path that is already split.
    pub(crate) fn matches_split(&self, method: &str, segments: &Segments<'_>) -> bool {
        self.method.matches(method) && self.pattern.matches(segments)
    }

    /// Whether some request matches both routes.
    pub fn overlaps(&self, other: &Route) -> bool {
        let any = self.method == Method::Any || other.method == Method::Any;
        (any || self.method == other.method) && self.pattern.overlaps(&other.pattern)
    }
}

impl Method {
    const ALL: [(Method, &str); 8] = [
        (Method::Any, "*"),
        (Method::Delete, "DELETE"),
        (Method::Get, "GET"),
        (Method::Head, "HEAD"),
        (Method::Options, "OPTIONS"),
        (Method::Patch, "PATCH"),
        (Method::Post, "POST"),
        (Method::Put, "PUT"),
    ];

    fn parse(text: &str) -> Option<Method> {
        Self::ALL.iter().find(|(_, name)| *name == text).map(|(method, _)| *method)
    }

    fn as_str(self) -> &'static str {
        Self::ALL.iter().find(|(method, _)| *method == self).map_or("*", |(_, name)| name)
    }

    fn matches(self, method: &str) -> bool {
        self == Method::Any || self.as_str() == method
    }
}

impl Pattern {
    fn matches(&self, path: &Segments<'_>) -> bool {
        if path.len() < self.segments.len()
            || (path.len() > self.segments.len() && !self.open_ended)
        {
            return false;
        }
        self.segments.iter().zip(path).all(|(segment, text)| segment.matches(text))
    }

    /// Whether some path matches both patterns.
    pub fn overlaps(&self, other: &Pattern) -> bool {
        let (short, long) =
            if self.segments.len() <= other.segments.len() { (self, other) } else { (other, self) };
        if short.segments.len() < long.segments.len() && !short.open_ended {
            return false;
        }
        short.segments.iter().zip(&long.segments).all(|(a, b)| a.overlaps(b))
    }
}

impl Segment {
    fn matches(&self, text: &str) -> bool {
        match self {
            Segment::Any => true,
            Segment::Exact(exact) => **exact == *text,
        }
    }

    fn overlaps(&self, other: &Segment) -> bool {
        match (self, other) {
            (Segment::Exact(a), Segment::Exact(b)) => a == b,
            _ => true,
        }
    }
}

impl FromStr for Route {
    type Err = RouteError;

    fn from_str(text: &str) -> Result<Route, RouteError> {
        let (method, path) = text.split_once(' ').context(NoMethodSnafu)?;
        let method = Method::parse(method).context(MethodSnafu { method })?;
        Ok(Route { method, pattern: path.parse()? })
    }
}

impl FromStr for Pattern {
    type Err = RouteError;

    fn from_str(path: &str) -> Result<Pattern, RouteError> {
        ensure!(!path.contains(['?', '#', ' ']), PathSnafu { path });
        let mut texts = split_path(path).context(PathSnafu { path })?;
        let open_ended = texts.last() == Some(&"**");
        if open_ended {
            texts.pop();
        }
        let segments = texts.into_iter().map(parse_segment).collect::<Result<_, _>>()?;
        Ok(Pattern { segments, open_ended })
    }
}

fn parse_segment(text: &str) -> Result<Segment, RouteError> {
    if text == "*" {
        return Ok(Segment::Any);
    }
    ensure!(!text.contains('*'), WildcardSnafu);
    Ok(Segment::Exact(text.into()))
}

impl TryFrom<String> for Route {
    type Error = RouteError;

    fn try_from(text: String) -> Result<Route, RouteError> {
        text.parse()
    }
}

impl From<Route> for String {
    fn from(route: Route) -> String {
        route.to_string()
    }
}

impl fmt::Display for Route {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.method.as_str(), self.pattern)
    }
}

impl fmt::Display for Pattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for segment in &self.segments {
            match segment {
                Segment::Any => f.write_str("/*")?,
                Segment::Exact(text) => write!(f, "/{text}")?,
            }
        }
        match (self.open_ended, self.segments.is_empty()) {
            (true, _) => f.write_str("/**"),
            (false, true) => f.write_str("/"),
            (false, false) => Ok(()),
        }
    }
}
