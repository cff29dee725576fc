//! `status`: shows whether the deployment is healthy, what is wrong and what to do.

use chervilgate_clients::HostList;
use chervilgate_model::{Config, Name};
use chervilgate_publication::{PublishedState, read_published};
use serde::Serialize;
use serde_json::json;

use crate::{
    acceptance::change_status,
    admin::{AdminReply, ControllerState, DrainState, EntryState, query_all},
    context::Context,
    output::{Exit, Failure, Output},
    wrapped_text::WrappedText,
};

/// A problem and what to do about it.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct Problem {
    what: String,
    help: String,
}

pub(super) async fn run(context: &Context) -> Result<Output, Failure> {
    let entries = query_all(&context.pool, &context.settings.entries);
    let published = read_published(&context.platform);
    let controllers = query_all(&context.pool, &context.settings.controllers);
    let hosts = context.platform.hosts();
    let (replies, controllers, published, hosts) =
        tokio::join!(entries, controllers, published, hosts);

    let mut problems = Vec::new();
    let mut summary = WrappedText::default();
    match &published {
        Ok(published) => check_view(published, &replies, &mut summary, &mut problems),
        Err(error) => problems.push(new_problem(
            format!("configuration: {error}"),
            "callers are still served, changes have to wait: docs/operating/platform-outage.md",
        )),
    }
    check_entries(&replies, &mut summary, &mut problems);
    if !controllers.is_empty() {
        check_controllers(&controllers, &mut summary, &mut problems);
    }
    if let Ok(hosts) = &hosts {
        let leaving = hosts.iter().filter(|host| host.leaving).count();
        summary.push_line(format!("hosts    {} listed, {leaving} leaving", hosts.len()));
    }

    let mut text = WrappedText::default();
    match problems.len() {
        0 => text.push_line("WELL"),
        count => text.push_line(format!("NOT WELL: {count} found")),
    };
    text.append(summary);
    for Problem { what, help } in &problems {
        text.push_line(format!("! {what}")).push_line(format!("  do: {help}"));
    }
    let exit = if problems.is_empty() { Exit::Success } else { Exit::Unhealthy };
    let json = json!({
        "well": problems.is_empty(),
        "troubles": problems,
        "publication": published.as_ref().ok().and_then(|published| published.root.publication()),
        "entries": replies.iter().map(AdminReply::to_json).collect::<Vec<_>>(),
        "controllers": controllers.iter().map(AdminReply::to_json).collect::<Vec<_>>(),
    });
    Ok(Output { text, json, exit })
}

fn check_view(
    published: &PublishedState,
    replies: &[AdminReply<EntryState>],
    summary: &mut WrappedText,
    problems: &mut Vec<Problem>,
) {
    let Some(publication) = published.root.publication() else {
        problems.push(new_problem("nothing is published", "chervilgatectl apply FILES"));
        return;
    };
    let status = change_status(&published.root, replies);
    summary.push_line(format!(
        "config   #{}, view {}, held by {} of {} entries",
        publication.number, status.view, status.held, status.asked
    ));
    if !status.accepted {
        problems.push(new_problem(
            format!("view {} is not accepted yet", status.view),
            "wait a few seconds, then repair the entries listed here",
        ));
    }
    let config = published.effective_config();
    let withdrawn = config.keys.values().filter(|key| key.withdrawn).count();
    summary.push_line(format!(
        "targets  {} listed, {} draining",
        config.targets.len(),
        config.drains.len()
    ));
    summary.push_line(format!("keys     {}, {withdrawn} withdrawn", config.keys.len()));
    problems.extend(fully_drained_services(&config).map(|service| {
        new_problem(
            format!("each listed target of {service} is draining"),
            format!("chervilgatectl targets {service}, then undrain one"),
        )
    }));
}

/// Services whose listed targets are all draining.
fn fully_drained_services(config: &Config) -> impl Iterator<Item = &Name> {
    config.services.keys().filter(|service| {
        let mut listed = config.static_targets(service.as_str()).peekable();
        let any = listed.peek().is_some();
        any && listed.all(|target| config.is_draining(target.name.as_str()))
    })
}

fn check_entries(
    replies: &[AdminReply<EntryState>],
    summary: &mut WrappedText,
    problems: &mut Vec<Problem>,
) {
    let serving = replies.iter().filter(|reply| phase(reply) == Some("serving")).count();
    let silent = replies.iter().filter(|reply| reply.state.is_err()).count();
    let leaving = replies.len() - serving - silent;
    summary.push_line(format!("entries  {serving} serving, {leaving} leaving, {silent} silent"));
    for reply in replies {
        match &reply.state {
            Err(problem) => problems.push(new_problem(
                format!("entry {} is silent: {problem}", reply.addr),
                "callers use the others; docs/operating/host-replaced.md",
            )),
            Ok(state) if !state.view.fresh => problems.push(new_problem(
                format!("entry {} ({}) cannot confirm its view", state.host, reply.addr),
                "it rejects requests with an API key (not run); check its connection to the platform",
            )),
            Ok(_) => {}
        }
    }
}

fn check_controllers(
    replies: &[AdminReply<ControllerState>],
    summary: &mut WrappedText,
    problems: &mut Vec<Problem>,
) {
    let states = || replies.iter().filter_map(|reply| reply.state.as_ref().ok());
    let owned: usize = states().map(|state| state.owned.len()).sum();
    let silent = replies.len() - states().count();
    summary.push_line(format!(
        "control  {} up, {silent} silent, {owned} shards owned",
        states().count()
    ));
    for state in states() {
        for DrainState { target, waiting } in &state.draining {
            summary
                .push_line(format!("draining {target}, waiting for {} processes", waiting.len()));
        }
        summary
            .push_lines(state.quiet.iter().map(|name| format!("drained  {name}, may be stopped")));
        problems.extend(state.frozen.iter().map(|receiver| {
            new_problem(
                format!("{receiver} gets no orders until a former sender is known to have stopped"),
                "it keeps serving unchanged; see chervilgatectl release, docs/operating/frozen-engine.md",
            )
        }));
    }
    for reply in replies {
        if let Err(problem) = &reply.state {
            problems.push(new_problem(
                format!("controller {} is silent: {problem}", reply.addr),
                "others take its shards over; docs/operating/host-replaced.md",
            ));
        }
    }
}

fn phase(reply: &AdminReply<EntryState>) -> Option<&str> {
    reply.state.as_ref().ok().map(|state| state.phase.as_str())
}

fn new_problem(what: impl Into<String>, help: impl Into<String>) -> Problem {
    Problem { what: what.into(), help: help.into() }
}
