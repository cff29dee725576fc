//! Reads services from JSON.

use std::collections::BTreeSet;

use chervilgate_settings::{Fields, FromJson, Node};
use serde_json::Value;

use crate::{Access, Name, Route, Service, ServiceKind, path::split_path};

/// Each service has a prefix below this path.
const PREFIX_ROOT: &str = "/svc/";

pub(super) fn read(name: Option<Name>, fields: &mut Fields<'_>) -> Option<Service> {
    let kind = read_kind(fields);
    let prefix = match fields.get("prefix") {
        Some(node) => read_prefix(&node),
        None => name.as_ref().map(Service::default_prefix),
    };
    let open: Vec<Route> = fields.optional_or("open", Vec::new());
    let once: Vec<Route> = fields.optional_or("once", Vec::new());
    let access = fields.required("organisations");
    let fallback = fields.optional("fallback");
    Some(Service {
        name: name?,
        kind: kind?,
        prefix: prefix?,
        open: open.into(),
        once: once.into(),
        access: access?,
        fallback,
    })
}

fn read_kind(fields: &mut Fields<'_>) -> Option<ServiceKind> {
    const EXPECTED: &str = "model or plain";
    let node = fields.required_node("type", EXPECTED);
    let model = fields.get("model");
    let node = node?;
    match (node.text(EXPECTED)?, model) {
        ("model", Some(model)) => Some(ServiceKind::Model { model: Name::from_json(&model)? }),
        ("model", None) => {
            fields.node().report("model is missing", "the model's name in callers' requests");
            None
        }
        ("plain", None) => Some(ServiceKind::Plain),
        ("plain", Some(model)) => {
            model.report("a plain service cannot have a model", "no model, or the type \"model\"");
            None
        }
        _ => node.mismatch(EXPECTED),
    }
}

fn read_prefix(node: &Node<'_>) -> Option<String> {
    const EXPECTED: &str = "a path below /svc/, as in /svc/portal, without a trailing slash";
    let text = node.text(EXPECTED)?;
    let plain = !text.contains(['?', '#', '*', ' ']) && split_path(text).is_some();
    let in_root = text.starts_with(PREFIX_ROOT) && text.len() > PREFIX_ROOT.len();
    let trailing_slash = text.ends_with('/');
    if plain && in_root && !trailing_slash {
        Some(text.to_owned())
    } else {
        node.mismatch(EXPECTED)
    }
}

impl FromJson for Route {
    const EXPECTED: &'static str = "a route, as in \"POST /bookings/*\"";

    fn from_json(node: &Node<'_>) -> Option<Route> {
        match node.text(Self::EXPECTED)?.parse() {
            Ok(route) => Some(route),
            Err(error) => {
                node.report(crate::RouteError::to_string(&error), Self::EXPECTED);
                None
            }
        }
    }
}

impl FromJson for Access {
    const EXPECTED: &'static str = "\"all\" or an array of organisations";

    fn from_json(node: &Node<'_>) -> Option<Access> {
        match node.value() {
            Value::String(word) if word == "all" => Some(Access::All),
            Value::Array(_) => {
                let names: BTreeSet<Name> = Vec::from_json(node)?.into_iter().collect();
                Some(Access::Only(names))
            }
            _ => node.mismatch(Self::EXPECTED),
        }
    }
}
