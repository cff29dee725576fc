//! `targets`: lists the configured targets, all or those of one service.

use chervilgate_model::Target;
use serde_json::json;

use crate::{
    context::Context,
    output::{Failure, Output},
    wrapped_text::WrappedText,
};

pub(super) async fn run(context: &Context, service: Option<&str>) -> Result<Output, Failure> {
    let config = context.published().await?.effective_config();
    let is_listed = |target: &&Target| service.is_none_or(|service| target.service == *service);
    let targets: Vec<&Target> = config.targets.values().filter(is_listed).collect();

    let mut text = WrappedText::default();
    let mut rows = Vec::new();
    for target in &targets {
        let draining = config.is_draining(target.name.as_str());
        let mark = if draining { " DRAINING" } else { "" };
        let Target { name, service, zone, address, .. } = target;
        text.push_line(format!("{name} {service} zone {zone} {address}{mark}"));
        rows.push(json!({ "target": target, "draining": draining }));
    }
    text.push_line(format!("{} targets", targets.len()));
    if targets.is_empty() && service.is_some() {
        text.push_line("next: `targets` without a service lists all");
    }
    Ok(Output::done(text, json!({ "targets": rows })))
}
