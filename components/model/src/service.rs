//! Services: models behind the OpenAI-compatible API, and plain HTTP services.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{Name, Route, path::split_path};

/// A service that the entries offer to callers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: Name,
    /// Whether it serves a model or is a plain service.
    #[serde(flatten)]
    pub kind: ServiceKind,
    /// Path prefix of its requests; routes are relative to it.
    pub prefix: String,
    /// Routes that callers may use without a key.
    pub open: SmallVec<[Route; 1]>,
    /// Routes that are not idempotent: each request runs at most once.
    pub once: SmallVec<[Route; 1]>,
    /// The organisations that may call it.
    #[serde(rename = "organisations")]
    pub access: Access,
    /// The service that takes requests for which this one has no capacity.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fallback: Option<Name>,
}

/// The type of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "type")]
pub enum ServiceKind {
    /// Serves a model through the OpenAI-compatible API.
    Model {
        /// The model's name in callers' requests.
        model: Name,
    },
    /// Any other HTTP service.
    Plain,
}

/// The organisations that may call a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "AccessForm", into = "AccessForm")]
pub enum Access {
    /// All organisations; written `"all"`.
    All,
    /// The listed organisations; written as an array.
    Only(BTreeSet<Name>),
}

#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum AccessForm {
    Word(AccessWord),
    List(BTreeSet<Name>),
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum AccessWord {
    All,
}

impl From<AccessForm> for Access {
    fn from(form: AccessForm) -> Access {
        match form {
            AccessForm::Word(AccessWord::All) => Access::All,
            AccessForm::List(names) => Access::Only(names),
        }
    }
}

impl From<Access> for AccessForm {
    fn from(access: Access) -> AccessForm {
        match access {
            Access::All => AccessForm::Word(AccessWord::All),
            Access::Only(names) => AccessForm::List(names),
        }
    }
}

impl Service {
    /// The prefix of a service that does not set one.
    pub fn default_prefix(name: &Name) -> String {
        format!("/svc/{name}")
    }

    /// The model's name in callers' requests, for a model service.
    pub fn model(&self) -> Option<&Name> {
        match &self.kind {
            ServiceKind::Model { model } => Some(model),
            ServiceKind::Plain => None,
        }
    }

    /// Whether `organisation` may call this service.
    pub fn allows(&self, organisation: &Name) -> bool {
        match &self.access {
            Access::All => true,
            Access::Only(listed) => listed.contains(organisation),
        }
    }

    /// Whether a request needs no key; `path` is relative to the prefix.
    ///
    /// False for an ambiguous path, which might reach a route that needs a key.
    pub fn is_public(&self, method: &str, path: &str) -> bool {
        self.open.iter().any(|route| route.matches(method, path))
    }

    /// Whether a request must run at most once; `path` is relative to the prefix.
    ///
    /// An ambiguous path might reach any of these routes, so it counts as one of
    /// them if there are any.
    pub fn is_at_most_once(&self, method: &str, path: &str) -> bool {
        match split_path(path) {
            Some(segments) => self.once.iter().any(|route| route.matches_split(method, &segments)),
            None => !self.once.is_empty(),
        }
    }

    /// The rest of `path` after this service's prefix, with its leading slash.
    ///
    /// `None` if the path does not have the prefix.
    pub fn strip_prefix<'a>(&self, path: &'a str) -> Option<&'a str> {
        let rest = path.strip_prefix(self.prefix.as_str())?;
        match rest.as_bytes().first() {
            None => Some("/"),
            Some(b'/' | b'?') => Some(rest),
            Some(_) => None,
        }
    }
}
