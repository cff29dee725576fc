//! `hosts`: lists the entries' states, and the hosts that only the platform lists.

use std::net::IpAddr;

use chervilgate_clients::HostList;
use serde_json::json;

use crate::{
    admin::{AdminReply, EntryState, query_all},
    context::Context,
    output::{Failure, Output},
    wrapped_text::WrappedText,
};

pub(super) async fn run(context: &Context) -> Result<Output, Failure> {
    let replies = query_all(&context.pool, &context.settings.entries).await;
    let listed = context.platform.hosts().await;

    let mut text = WrappedText::default();
    text.push_lines(replies.iter().map(describe));
    match &listed {
        Ok(hosts) => {
            let missing = hosts.iter().filter(|host| !is_queried(&replies, host.addr));
            text.push_lines(missing.map(|host| {
                let leaving = if host.leaving { ", leaving" } else { "" };
                format!("{} {} listed by the platform, not queried{leaving}", host.name, host.addr)
            }));
        }
        Err(error) => drop(text.push_line(format!("cannot list the platform's hosts: {error}"))),
    }
    let entries: Vec<_> = replies.iter().map(AdminReply::to_json).collect();
    let json = json!({ "entries": entries, "listed": listed.ok() });
    Ok(Output::done(text, json))
}

fn describe(reply: &AdminReply<EntryState>) -> String {
    match &reply.state {
        Ok(state) => {
            let fresh = if state.view.fresh { "" } else { ", view not fresh" };
            format!(
                "{} {} zone {} {}, view {}{fresh}",
                state.host, reply.addr, state.zone, state.phase, state.view.seq
            )
        }
        Err(problem) => format!("? {} SILENT: {problem}", reply.addr),
    }
}

fn is_queried(replies: &[AdminReply<EntryState>], addr: IpAddr) -> bool {
    replies.iter().any(|reply| reply.addr.ip() == addr)
}
