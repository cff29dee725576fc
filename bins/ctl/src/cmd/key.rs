//! `key issue`, `key withdraw`, `key list`.

use chervilgate_coord::view::{Edit, KeyHash};
use chervilgate_model::{Config, KeyRecord, Name, Object, Origins, issue_key};
use rand::Rng;
use serde_json::json;

use crate::{
    accept::wait_accepted,
    answer::{Answer, Exit, Failure},
    change::Draft,
    consent::{Consent, Risk},
    options::KeyCommand,
    screen::Screen,
    session::Session,
};

pub(super) async fn run(session: &Session, command: &KeyCommand) -> Result<Answer, Failure> {
    match command {
        KeyCommand::Issue { consent, organisation, .. } => {
            issue(session, *consent, organisation).await
        }
        KeyCommand::Withdraw { consent, key, .. } => withdraw(session, *consent, key).await,
        KeyCommand::List { organisation, .. } => list(session, organisation.as_deref()).await,
    }
}

async fn issue(session: &Session, consent: Consent, label: &str) -> Result<Answer, Failure> {
    let present = session.published().await?;
    let organisation: Name = find_organisation(&present.config, label)?;
    let (secret, record) = issue_key(&organisation, |bytes| rand::rng().fill_bytes(bytes));
    let name = record.name.clone();
    let mut config = present.config.clone();
    config.insert(Object::Key(record));

    let message = format!("key issue {organisation}");
    let draft = Draft { session, present: &present, config, message };
    draft.check(&Origins::default())?;
    let mut answer = draft.publish(consent, Risk::Small).await?;
    if answer.json.get("number").is_none() {
        return Ok(answer);
    }
    answer.text.line("the key, shown this once:").line(secret.expose());
    answer.json["key"] = json!(secret.expose());
    answer.json["id"] = json!(name);
    Ok(answer)
}

fn find_organisation(config: &Config, label: &str) -> Result<Name, Failure> {
    let found = config.organisations.get(label);
    found.map(|organisation| organisation.name.clone()).ok_or_else(|| {
        let known: Vec<&str> = config.organisations.keys().map(Name::as_str).take(20).collect();
        Failure::new(
            format!("there is no organisation {label}"),
            format!("apply one first, or choose of: {}", known.join(" ")),
        )
    })
}

async fn withdraw(session: &Session, consent: Consent, key: &str) -> Result<Answer, Failure> {
    let config = session.published().await?.in_force();
    let record = find_key(&config, key)?;
    let mut text = Screen::default();
    let KeyRecord { name, organisation, hash, .. } = record;
    if record.withdrawn {
        text.line(format!("{name} of {organisation} is withdrawn already"));
        return Ok(Answer::done(text, json!({ "id": name, "withdrawn": true })));
    }
    let of_same = |other: &&KeyRecord| other.organisation == *organisation && !other.withdrawn;
    let left = config.keys.values().filter(of_same).count() - 1;
    text.line(format!("the key {name} of {organisation} is refused everywhere, for good"));
    text.line(format!("{organisation} is left with {left} keys"));
    if let Some(answer) = consent.withhold(Risk::Large, &text, &json!({ "withdraw": name })) {
        return Ok(answer);
    }
    let hash = KeyHash(*hash.as_bytes());
    let root = session.writer().edit(Edit::Withdraw([hash].into())).await?;
    let standing = wait_accepted(session, &root).await;
    let exit = standing.describe(&mut text);
    if exit == Exit::Pending {
        text.line(
            "until then callers with this key may still be served by entries that are cut off",
        );
    }
    Ok(Answer { text, json: json!({ "id": name, "standing": standing }), exit })
}

/// The record of an id or a whole key.
fn find_key<'a>(config: &'a Config, key: &str) -> Result<&'a KeyRecord, Failure> {
    let id = key.strip_prefix("cgk_").map_or(key, |rest| rest.split('_').next().unwrap_or(rest));
    config.keys.get(id).ok_or_else(|| {
        Failure::new("no key has this id", "find it with `key list`, by organisation")
    })
}

async fn list(session: &Session, organisation: Option<&str>) -> Result<Answer, Failure> {
    let config = session.published().await?.in_force();
    let wanted = |key: &&KeyRecord| organisation.is_none_or(|label| key.organisation == *label);
    let keys: Vec<&KeyRecord> = config.keys.values().filter(wanted).collect();

    let mut text = Screen::default();
    for key in &keys {
        let state = if key.withdrawn { "withdrawn" } else { "valid" };
        text.line(format!("{} {} {state}", key.name, key.organisation));
    }
    text.line(format!("{} keys", keys.len()));
    Ok(Answer::done(text, json!({ "keys": keys })))
}
