//! `drain` and `undrain`: stop and resume giving a target new work.

use chervilgate_coord::view::Edit;
use chervilgate_model::Config;
use serde_json::json;

use crate::{
    acceptance::wait_accepted,
    consent::{Consent, Risk},
    context::Context,
    output::{Failure, Output},
    wrapped_text::WrappedText,
};

pub(super) async fn start(
    context: &Context,
    consent: Consent,
    target: &str,
) -> Result<Output, Failure> {
    let config = context.published().await?.effective_config();
    if config.is_draining(target) {
        return Ok(unchanged(format!("{target} is draining already")));
    }
    let (text, risk) = describe_drain(&config, target);
    apply_edit(context, consent, risk, text, Edit::Drain(target.to_owned())).await
}

pub(super) async fn end(
    context: &Context,
    consent: Consent,
    target: &str,
) -> Result<Output, Failure> {
    let root = context.published().await?.root;
    let Some(draining) = root.draining.into_iter().find(|draining| draining.target == target)
    else {
        return Ok(unchanged(format!("{target} is not draining")));
    };
    let mut text = WrappedText::default();
    text.push_line(format!("{target} gets new work again"));
    apply_edit(context, consent, Risk::Small, text, Edit::EndDrain(draining)).await
}

/// Describes the effect on the target's service. The risk is large if fewer than
/// half of its listed targets would be left, or if the target is not listed.
fn describe_drain(config: &Config, name: &str) -> (WrappedText, Risk) {
    let mut text = WrappedText::default();
    text.push_line(format!("{name} gets no new work; what runs on it ends by itself"));
    let Some(target) = config.targets.get(name) else {
        text.push_line(
            "no target of this name is listed: fine if chervilgate ordered it, else see `targets`",
        );
        return (text, Risk::Large);
    };
    let listed = config.static_targets(target.service.as_str()).count();
    let serving = config
        .static_targets(target.service.as_str())
        .filter(|other| !config.is_draining(other.name.as_str()) && other.name != target.name)
        .count();
    text.push_line(format!("{} is left with {serving} of {listed} listed targets", target.service));
    if serving == 0 {
        text.push_line("NOBODY will serve it: its requests are refused as not run");
    }
    let risk = if serving * 2 < listed { Risk::Large } else { Risk::Small };
    (text, risk)
}

async fn apply_edit(
    context: &Context,
    consent: Consent,
    risk: Risk,
    mut text: WrappedText,
    edit: Edit,
) -> Result<Output, Failure> {
    if let Some(output) =
        consent.stop_unless_given(risk, &text, &json!({ "edit": format!("{edit:?}") }))
    {
        return Ok(output);
    }
    let root = context.writer().edit(edit).await?;
    let status = wait_accepted(context, &root).await;
    let exit = status.describe(&mut text);
    Ok(Output { text, json: json!({ "standing": status }), exit })
}

fn unchanged(note: String) -> Output {
    let mut text = WrappedText::default();
    text.push_line(&note);
    Output::done(text, json!({ "note": note }))
}
