//! `targets`: the listed targets.

use chervilgate_model::Target;
use serde_json::json;

use crate::{
    answer::{Answer, Failure},
    screen::Screen,
    session::Session,
};

pub(super) async fn run(session: &Session, service: Option<&str>) -> Result<Answer, Failure> {
    let config = session.published().await?.in_force();
    let wanted = |target: &&Target| service.is_none_or(|service| target.service == *service);
    let targets: Vec<&Target> = config.targets.values().filter(wanted).collect();

    let mut text = Screen::default();
    let mut rows = Vec::new();
    for target in &targets {
        let draining = config.is_draining(target.name.as_str());
        let mark = if draining { " DRAINING" } else { "" };
        let Target { name, service, zone, address, .. } = target;
        text.line(format!("{name} {service} zone {zone} {address}{mark}"));
        rows.push(json!({ "target": target, "draining": draining }));
    }
    text.line(format!("{} targets", targets.len()));
    if targets.is_empty() && service.is_some() {
        text.line("next: `targets` without a service lists all");
    }
    Ok(Answer::done(text, json!({ "targets": rows })))
}
