//! Settings of the operators' command.

use std::{net::SocketAddr, time::Duration};

use chervilgate_settings::{FromJson, Node};

/// Default of [`Settings::change_limit`].
const DEFAULT_CHANGE_LIMIT: Duration = Duration::from_secs(10);
/// Default of [`Settings::accept_limit`].
const DEFAULT_ACCEPT_LIMIT: Duration = Duration::from_secs(10);

/// Addresses of the processes, and time limits.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    /// The platform's HTTP API.
    pub(crate) platform: SocketAddr,
    /// The entries' admin addresses.
    pub(crate) entries: Vec<SocketAddr>,
    /// The controllers' admin addresses.
    pub(crate) controllers: Vec<SocketAddr>,
    /// Name of the operator, shown in the history; may be empty.
    pub(crate) operator: String,
    /// Time allowed for writing a change to the platform's store.
    pub(crate) change_limit: Duration,
    /// Longest wait until a change is accepted.
    pub(crate) accept_limit: Duration,
}

impl FromJson for Settings {
    const EXPECTED: &'static str = "the settings of chervilgatectl";

    fn from_json(node: &Node<'_>) -> Option<Settings> {
        let mut fields = node.fields(Self::EXPECTED)?;
        let platform = fields.required("platform");
        let entries: Option<Vec<SocketAddr>> = fields.required("entries");
        let controllers = fields.optional_or("controllers", Vec::new());
        let operator = fields.optional_or("operator", String::new());
        let change_limit = fields.optional_or("change_limit", DEFAULT_CHANGE_LIMIT);
        let accept_limit = fields.optional_or("accept_limit", DEFAULT_ACCEPT_LIMIT);
        if entries.as_ref().is_some_and(Vec::is_empty) {
            fields.node().report("no entries", "at least one entry's admin address");
        }
        Some(Settings {
            platform: platform?,
            entries: entries?,
            controllers,
            operator,
            change_limit,
            accept_limit,
        })
    }
}

#[cfg(test)]
mod tests;
