//! Services: models behind the OpenAI-compatible paths, and plain ones.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{Name, Route, path::split_path};

/// A service that callers reach through the entries.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// What it is.
    #[serde(flatten)]
    pub kind: ServiceKind,
    /// Path prefix at the entries; routes are relative to it.
    pub prefix: String,
    /// Routes that need no key.
    pub open: SmallVec<[Route; 1]>,
    /// Routes that are not idempotent: a request runs at most once.
    pub once: SmallVec<[Route; 1]>,
    /// Which organisations may call it.
    #[serde(rename = "organisations")]
    pub access: Access,
    /// The service that takes requests which this one has no room for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fallback: Option<Name>,
}

/// What a service is.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "type")]
pub enum ServiceKind {
    /// Serves a model by the OpenAI-compatible paths.
    Model {
        /// The model's name in callers' requests.
        model: Name,
    },
    /// Any other HTTP service.
    Plain,
}

/// Which organisations may call a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "AccessForm", into = "AccessForm")]
pub enum Access {
    /// Each organisation; written `"all"`.
    All,
    /// Those listed; written as an array.
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
    /// The prefix of a service that names none.
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

    /// Whether `organisation` may call it.
    pub fn admits(&self, organisation: &Name) -> bool {
        match &self.access {
            Access::All => true,
            Access::Only(listed) => listed.contains(organisation),
        }
    }

    /// Whether a request needs no key; `path` is relative to the prefix.
    ///
    /// A path that a target might read in two ways is never open.
    pub fn is_open(&self, method: &str, path: &str) -> bool {
        self.open.iter().any(|route| route.matches(method, path))
    }

    /// Whether a request must run at most once; `path` is relative to the prefix.
    ///
    /// A path that a target might read in two ways counts as such a request
    /// as soon as the service has one of these routes.
    pub fn is_once(&self, method: &str, path: &str) -> bool {
        match split_path(path) {
            Some(segments) => self.once.iter().any(|route| route.covers(method, &segments)),
            None => !self.once.is_empty(),
        }
    }

    /// The rest of `path` after this service's prefix, with its first slash.
    pub fn strip_prefix<'a>(&self, path: &'a str) -> Option<&'a str> {
        let rest = path.strip_prefix(self.prefix.as_str())?;
        match rest.as_bytes().first() {
            None => Some("/"),
            Some(b'/' | b'?') => Some(rest),
            Some(_) => None,
        }
    }
}
