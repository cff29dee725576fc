//! `hosts`: the platform's list beside what entries say.

use std::net::IpAddr;

use chervilgate_clients::HostList;
use serde_json::json;

use crate::{
    answer::{Answer, Failure},
    entries::{Asked, EntryState, ask_all},
    screen::Screen,
    session::Session,
};

pub(super) async fn run(session: &Session) -> Result<Answer, Failure> {
    let asked = ask_all(&session.pool, &session.settings.entries).await;
    let listed = session.platform.hosts().await;

    let mut text = Screen::default();
    text.lines(asked.iter().map(describe));
    match &listed {
        Ok(hosts) => {
            let missing = hosts.iter().filter(|host| !is_asked(&asked, host.addr));
            text.lines(missing.map(|host| {
                let leaving = if host.leaving { ", leaving" } else { "" };
                format!("{} {} listed only{leaving}", host.name, host.addr)
            }));
        }
        Err(error) => drop(text.line(format!("the platform's list: {error}"))),
    }
    let entries: Vec<_> = asked.iter().map(Asked::to_json).collect();
    let json = json!({ "entries": entries, "listed": listed.ok() });
    Ok(Answer::done(text, json))
}

fn describe(asked: &Asked<EntryState>) -> String {
    match &asked.state {
        Ok(state) => {
            let fresh = if state.view.fresh { "" } else { ", view not fresh" };
            format!(
                "{} {} zone {} {}, view {}{fresh}",
                state.host, asked.addr, state.zone, state.phase, state.view.seq
            )
        }
        Err(problem) => format!("? {} SILENT: {problem}", asked.addr),
    }
}

fn is_asked(asked: &[Asked<EntryState>], addr: IpAddr) -> bool {
    asked.iter().any(|asked| asked.addr.ip() == addr)
}
