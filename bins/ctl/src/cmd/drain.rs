//! `drain` and `undrain`: whether a target gets new work.

use chervilgate_coord::view::Edit;
use chervilgate_model::Config;
use serde_json::json;

use crate::{
    accept::wait_accepted,
    answer::{Answer, Failure},
    consent::{Consent, Risk},
    screen::Screen,
    session::Session,
};

pub(super) async fn begin(
    session: &Session,
    consent: Consent,
    target: &str,
) -> Result<Answer, Failure> {
    let config = session.published().await?.in_force();
    if config.is_draining(target) {
        return Ok(nothing(format!("{target} is draining already")));
    }
    let (text, risk) = plan(&config, target);
    make(session, consent, risk, text, Edit::Drain(target.to_owned())).await
}

pub(super) async fn end(
    session: &Session,
    consent: Consent,
    target: &str,
) -> Result<Answer, Failure> {
    let root = session.published().await?.root;
    let Some(draining) = root.draining.into_iter().find(|draining| draining.target == target)
    else {
        return Ok(nothing(format!("{target} is not draining")));
    };
    let mut text = Screen::default();
    text.line(format!("{target} gets new work again"));
    make(session, consent, Risk::Small, text, Edit::EndDrain(draining)).await
}

/// What the drain does to the target's service, and whether that is risky.
fn plan(config: &Config, name: &str) -> (Screen, Risk) {
    let mut text = Screen::default();
    text.line(format!("{name} gets no new work; what runs on it ends by itself"));
    let Some(target) = config.targets.get(name) else {
        text.line(
            "no target of this name is listed: fine if the system ordered it, else see `targets`",
        );
        return (text, Risk::Large);
    };
    let all = config.targets_of(target.service.as_str()).count();
    let serving = config
        .targets_of(target.service.as_str())
        .filter(|other| !config.is_draining(other.name.as_str()) && other.name != target.name)
        .count();
    text.line(format!("{} is left with {serving} of {all} listed targets", target.service));
    if serving == 0 {
        text.line("NOBODY will serve it: its requests are refused as not run");
    }
    let risk = if serving * 2 < all { Risk::Large } else { Risk::Small };
    (text, risk)
}

async fn make(
    session: &Session,
    consent: Consent,
    risk: Risk,
    mut text: Screen,
    edit: Edit,
) -> Result<Answer, Failure> {
    if let Some(answer) = consent.withhold(risk, &text, &json!({ "edit": format!("{edit:?}") })) {
        return Ok(answer);
    }
    let root = session.writer().edit(edit).await?;
    let standing = wait_accepted(session, &root).await;
    let exit = standing.describe(&mut text);
    Ok(Answer { text, json: json!({ "standing": standing }), exit })
}

fn nothing(note: String) -> Answer {
    let mut text = Screen::default();
    text.line(&note);
    Answer::done(text, json!({ "note": note }))
}
