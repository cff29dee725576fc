//! `status`: is it healthy, what is wrong, what can I do.

use chervilgate_clients::HostList;
use chervilgate_model::{Config, Name};
use chervilgate_publication::{Published, read_published};
use serde::Serialize;
use serde_json::json;

use crate::{
    accept::judge,
    answer::{Answer, Exit, Failure},
    entries::{Asked, ControllerState, DrainState, EntryState, ask_all},
    screen::Screen,
    session::Session,
};

/// Something wrong, and what helps.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct Trouble {
    what: String,
    help: String,
}

pub(super) async fn run(session: &Session) -> Result<Answer, Failure> {
    let entries = ask_all(&session.pool, &session.settings.entries);
    let published = read_published(&session.platform);
    let controllers = ask_all(&session.pool, &session.settings.controllers);
    let hosts = session.platform.hosts();
    let (asked, controllers, published, hosts) =
        tokio::join!(entries, controllers, published, hosts);

    let mut troubles = Vec::new();
    let mut facts = Screen::default();
    match &published {
        Ok(published) => look_at_view(published, &asked, &mut facts, &mut troubles),
        Err(error) => troubles.push(trouble(
            format!("configuration: {error}"),
            "callers are still served, changes have to wait: docs/operating/platform-outage.md",
        )),
    }
    look_at_entries(&asked, &mut facts, &mut troubles);
    if !controllers.is_empty() {
        look_at_controllers(&controllers, &mut facts, &mut troubles);
    }
    if let Ok(hosts) = &hosts {
        let leaving = hosts.iter().filter(|host| host.leaving).count();
        facts.line(format!("hosts    {} listed, {leaving} leaving", hosts.len()));
    }

    let mut text = Screen::default();
    match troubles.len() {
        0 => text.line("WELL"),
        count => text.line(format!("NOT WELL: {count} found")),
    };
    text.append(facts);
    for Trouble { what, help } in &troubles {
        text.line(format!("! {what}")).line(format!("  do: {help}"));
    }
    let exit = if troubles.is_empty() { Exit::Done } else { Exit::Unwell };
    let json = json!({
        "well": troubles.is_empty(),
        "troubles": troubles,
        "publication": published.as_ref().ok().and_then(|published| published.root.publication()),
        "entries": asked.iter().map(Asked::to_json).collect::<Vec<_>>(),
        "controllers": controllers.iter().map(Asked::to_json).collect::<Vec<_>>(),
    });
    Ok(Answer { text, json, exit })
}

fn look_at_view(
    published: &Published,
    asked: &[Asked<EntryState>],
    facts: &mut Screen,
    troubles: &mut Vec<Trouble>,
) {
    let Some(publication) = published.root.publication() else {
        troubles.push(trouble("nothing is published", "chervilgatectl apply FILES"));
        return;
    };
    let standing = judge(&published.root, asked);
    facts.line(format!(
        "config   #{}, view {}, held by {} of {} entries",
        publication.number, standing.view, standing.held, standing.asked
    ));
    if !standing.accepted {
        troubles.push(trouble(
            format!("view {} is not accepted yet", standing.view),
            "wait some seconds; then mend the entries named here",
        ));
    }
    let config = published.in_force();
    let withdrawn = config.keys.values().filter(|key| key.withdrawn).count();
    facts.line(format!(
        "targets  {} listed, {} draining",
        config.targets.len(),
        config.drains.len()
    ));
    facts.line(format!("keys     {}, {withdrawn} withdrawn", config.keys.len()));
    troubles.extend(unserved(&config).map(|service| {
        trouble(
            format!("each listed target of {service} is draining"),
            format!("chervilgatectl targets {service}, then undrain one"),
        )
    }));
}

/// Services whose listed targets are all draining.
fn unserved(config: &Config) -> impl Iterator<Item = &Name> {
    config.services.keys().filter(|service| {
        let mut listed = config.targets_of(service.as_str()).peekable();
        let any = listed.peek().is_some();
        any && listed.all(|target| config.is_draining(target.name.as_str()))
    })
}

fn look_at_entries(asked: &[Asked<EntryState>], facts: &mut Screen, troubles: &mut Vec<Trouble>) {
    let serving = asked.iter().filter(|asked| phase(asked) == Some("serving")).count();
    let silent = asked.iter().filter(|asked| asked.state.is_err()).count();
    let leaving = asked.len() - serving - silent;
    facts.line(format!("entries  {serving} serving, {leaving} leaving, {silent} silent"));
    for asked in asked {
        match &asked.state {
            Err(problem) => troubles.push(trouble(
                format!("entry {} is silent: {problem}", asked.addr),
                "callers use the others; docs/operating/host-replaced.md",
            )),
            Ok(state) if !state.view.fresh => troubles.push(trouble(
                format!("entry {} ({}) cannot confirm its view", state.host, asked.addr),
                "it refuses keyed work as not run; see that it reaches the platform",
            )),
            Ok(_) => {}
        }
    }
}

fn look_at_controllers(
    asked: &[Asked<ControllerState>],
    facts: &mut Screen,
    troubles: &mut Vec<Trouble>,
) {
    let states = || asked.iter().filter_map(|asked| asked.state.as_ref().ok());
    let owned: usize = states().map(|state| state.owned.len()).sum();
    let silent = asked.len() - states().count();
    facts.line(format!("control  {} up, {silent} silent, {owned} shards owned", states().count()));
    for state in states() {
        for DrainState { target, waiting } in &state.draining {
            facts.line(format!("draining {target}, waiting for {} processes", waiting.len()));
        }
        facts.lines(state.quiet.iter().map(|name| format!("drained  {name}, may be stopped")));
        troubles.extend(state.frozen.iter().map(|receiver| {
            trouble(
                format!("{receiver} gets no orders until a former sender is proved out"),
                "it serves as it is; chervilgatectl release, docs/operating/frozen-engine.md",
            )
        }));
    }
    for asked in asked {
        if let Err(problem) = &asked.state {
            troubles.push(trouble(
                format!("controller {} is silent: {problem}", asked.addr),
                "others take its shards over; docs/operating/host-replaced.md",
            ));
        }
    }
}

fn phase(asked: &Asked<EntryState>) -> Option<&str> {
    asked.state.as_ref().ok().map(|state| state.phase.as_str())
}

fn trouble(what: impl Into<String>, help: impl Into<String>) -> Trouble {
    Trouble { what: what.into(), help: help.into() }
}
