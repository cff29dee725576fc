//! `release`: an operator vouches that a process has stopped for good.
//!
//! Orders that a lost process may still be sending keep their receivers as
//! they are until it is proved out. Where no proof comes by itself, this is it.

use std::collections::BTreeMap;

use chervilgate_clients::ObjectStore;
use chervilgate_coord::{
    Expect, Incarnation, Node, StoreCall, StoreReply, decode,
    intent::{RECEIVER_PREFIX, ReceiverRecord},
    override_key,
    session::{SESSION_PREFIX, SessionRecord, SessionState},
};
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::{
    answer::{Answer, Exit, Failure},
    consent::{Consent, Risk},
    screen::Screen,
    session::Session,
};

/// A process that may have orders under way.
struct Holder {
    node: Node,
    state: Option<SessionState>,
    receivers: Vec<String>,
}

pub(super) async fn run(
    session: &Session,
    consent: Consent,
    incarnation: Option<&str>,
) -> Result<Answer, Failure> {
    let holders = read_holders(session).await?;
    let Some(label) = incarnation else { return Ok(list(&holders)) };
    let parsed = u64::from_str_radix(label, 16).ok().map(Incarnation);
    let holder = parsed.and_then(|incarnation| holders.get(&incarnation)).ok_or_else(|| {
        Failure::new(
            format!("no process {label} is known"),
            "`release` without a name lists those with orders under way",
        )
    })?;
    release(session, consent, holder).await
}

fn list(holders: &BTreeMap<Incarnation, Holder>) -> Answer {
    let mut text = Screen::default();
    let mut rows = Vec::new();
    for holder in holders.values().filter(|holder| !holder.receivers.is_empty()) {
        describe(&mut text, holder);
        rows.push(json!({
            "incarnation": holder.node.incarnation.to_string(),
            "address": holder.node.addr,
            "zone": holder.node.zone.0,
            "receivers": holder.receivers,
        }));
    }
    text.line(format!("{} processes with orders under way", rows.len()));
    Answer::done(text, json!({ "processes": rows }))
}

fn describe(text: &mut Screen, holder: &Holder) {
    let Node { incarnation, addr, zone } = &holder.node;
    let state = match holder.state {
        Some(SessionState::Live) => "live",
        Some(SessionState::Sealed) => "lapsed",
        Some(SessionState::Released) => "released",
        None => "gone",
    };
    text.line(format!("{incarnation} {addr} zone {} {state}", zone.0));
    text.lines(holder.receivers.iter().map(|receiver| format!("  order open: {receiver}")));
}

async fn release(session: &Session, consent: Consent, holder: &Holder) -> Result<Answer, Failure> {
    let mut text = Screen::default();
    describe(&mut text, holder);
    if holder.state == Some(SessionState::Live) {
        return Err(Failure::new(
            "its session is live: it runs, and its orders count",
            "stop the process first; its orders are then taken over",
        ));
    }
    text.line("You vouch that this process has stopped and will send nothing more. Others then send what it left open.")
        .line("If it runs after all, a receiver may get two different orders.")
        .line("make sure: switch off its host, or see that its process is gone");
    let plan = json!({ "release": holder.node.incarnation.to_string() });
    if let Some(answer) = consent.withhold(Risk::Large, &text, &plan) {
        return Ok(answer);
    }
    let key = override_key(holder.node.incarnation);
    let value = session.settings.operator.clone().into_bytes();
    let call = StoreCall::Put { key, expect: Expect::Absent, value };
    match session.platform.call(&call).await {
        StoreReply::Written(_) | StoreReply::Conflict(Some(_)) => {
            text.line("released: its open orders are taken over within seconds");
            Ok(Answer::done(text, plan))
        }
        StoreReply::Unknown => Err(Failure::with_exit(
            Exit::Pending,
            "the platform's store did not answer; it may be released",
            "run this command again: a second release changes nothing",
        )),
        _ => Err(Failure::new(
            "the platform's store does not answer; nothing was changed",
            "try again once `status` shows the store up",
        )),
    }
}

async fn read_holders(session: &Session) -> Result<BTreeMap<Incarnation, Holder>, Failure> {
    let mut holders = BTreeMap::new();
    for (_, record) in read::<SessionRecord>(session, SESSION_PREFIX).await? {
        let (node, state) = (record.node, Some(record.state));
        holders.insert(node.incarnation, Holder { node, state, receivers: Vec::new() });
    }
    for (receiver, record) in read::<ReceiverRecord>(session, RECEIVER_PREFIX).await? {
        let Some(open) = record.open else { continue };
        let node = open.sender;
        let fresh = || Holder { node: node.clone(), state: None, receivers: Vec::new() };
        holders.entry(node.incarnation).or_insert_with(fresh).receivers.push(receiver);
    }
    Ok(holders)
}

/// The objects below `prefix` that decode, by the rest of their names.
async fn read<T: DeserializeOwned>(
    session: &Session,
    prefix: &str,
) -> Result<Vec<(String, T)>, Failure> {
    let call = StoreCall::List { prefix: prefix.to_owned() };
    let StoreReply::Listed { objects, .. } = session.platform.call(&call).await else {
        return Err(chervilgate_publication::ReadError::Store.into());
    };
    let decoded = objects.into_iter().filter_map(|object| {
        let name = object.key.strip_prefix(prefix)?.to_owned();
        Some((name, decode(&object.value).ok()?))
    });
    Ok(decoded.collect())
}
