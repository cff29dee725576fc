//! `key issue`, `key withdraw`, `key list`: manage the organisations' API keys.

use chervilgate_coord::view::{Edit, KeyHash};
use chervilgate_model::{Config, KeyRecord, Name, Object, Origins, issue_key};
use rand::Rng;
use serde_json::json;

use crate::{
    acceptance::wait_accepted,
    change::ConfigChange,
    consent::{Consent, Risk},
    context::Context,
    options::KeyCommand,
    output::{Exit, Failure, Output},
    wrapped_text::WrappedText,
};

pub(super) async fn run(context: &Context, command: &KeyCommand) -> Result<Output, Failure> {
    match command {
        KeyCommand::Issue { consent, organisation, .. } => {
            issue(context, *consent, organisation).await
        }
        KeyCommand::Withdraw { consent, key, .. } => withdraw(context, *consent, key).await,
        KeyCommand::List { organisation, .. } => list(context, organisation.as_deref()).await,
    }
}

async fn issue(
    context: &Context,
    consent: Consent,
    organisation_name: &str,
) -> Result<Output, Failure> {
    let current = context.published().await?;
    let organisation: Name = find_organisation(&current.config, organisation_name)?;
    let (secret, record) = issue_key(&organisation, |bytes| rand::rng().fill_bytes(bytes));
    let name = record.name.clone();
    let mut config = current.config.clone();
    config.insert(Object::Key(record));

    let message = format!("key issue {organisation}");
    let change = ConfigChange { context, current: &current, config, message };
    change.check(&Origins::default())?;
    let mut output = change.publish(consent, Risk::Small).await?;
    if output.json.get("number").is_none() {
        return Ok(output);
    }
    output.text.push_line("the key (shown only once):").push_line(secret.expose());
    output.json["key"] = json!(secret.expose());
    output.json["id"] = json!(name);
    Ok(output)
}

fn find_organisation(config: &Config, organisation_name: &str) -> Result<Name, Failure> {
    let found = config.organisations.get(organisation_name);
    found.map(|organisation| organisation.name.clone()).ok_or_else(|| {
        let known: Vec<&str> = config.organisations.keys().map(Name::as_str).take(20).collect();
        Failure::new(
            format!("there is no organisation {organisation_name}"),
            format!("apply one first, or choose one of: {}", known.join(" ")),
        )
    })
}

async fn withdraw(context: &Context, consent: Consent, key: &str) -> Result<Output, Failure> {
    let config = context.published().await?.effective_config();
    let record = find_key(&config, key)?;
    let mut text = WrappedText::default();
    let KeyRecord { name, organisation, hash, .. } = record;
    if record.withdrawn {
        text.push_line(format!("{name} of {organisation} is withdrawn already"));
        return Ok(Output::done(text, json!({ "id": name, "withdrawn": true })));
    }
    let is_remaining = |other: &&KeyRecord| other.organisation == *organisation && !other.withdrawn;
    let remaining = config.keys.values().filter(is_remaining).count() - 1;
    text.push_line(format!(
        "the key {name} of {organisation} will be rejected everywhere, permanently"
    ));
    text.push_line(format!("{organisation} is left with {remaining} keys"));
    if let Some(output) =
        consent.stop_unless_given(Risk::Large, &text, &json!({ "withdraw": name }))
    {
        return Ok(output);
    }
    let hash = KeyHash(*hash.as_bytes());
    let root = context.writer().edit(Edit::Withdraw([hash].into())).await?;
    let status = wait_accepted(context, &root).await;
    let exit = status.describe(&mut text);
    if exit == Exit::Pending {
        text.push_line(
            "until then callers with this key may still be served by entries that are cut off",
        );
    }
    Ok(Output { text, json: json!({ "id": name, "standing": status }), exit })
}

/// Finds the record of `key`, which is an id or a whole key.
fn find_key<'a>(config: &'a Config, key: &str) -> Result<&'a KeyRecord, Failure> {
    let id = key.strip_prefix("cgk_").map_or(key, |rest| rest.split('_').next().unwrap_or(rest));
    config.keys.get(id).ok_or_else(|| {
        Failure::new("no key has this id", "find it with `key list`, by organisation")
    })
}

async fn list(context: &Context, organisation: Option<&str>) -> Result<Output, Failure> {
    let config = context.published().await?.effective_config();
    let is_listed =
        |key: &&KeyRecord| organisation.is_none_or(|wanted| key.organisation == *wanted);
    let keys: Vec<&KeyRecord> = config.keys.values().filter(is_listed).collect();

    let mut text = WrappedText::default();
    for key in &keys {
        let state = if key.withdrawn { "withdrawn" } else { "valid" };
        text.push_line(format!("{} {} {state}", key.name, key.organisation));
    }
    text.push_line(format!("{} keys", keys.len()));
    Ok(Output::done(text, json!({ "keys": keys })))
}
