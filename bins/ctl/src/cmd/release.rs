//! `release`: an operator confirms that a process has stopped for good.
//!
//! A receiver with an open order from a lost process gets no other order until it
//! is proven that the process has stopped. Where the system cannot prove that by
//! itself, the operator's confirmation takes the place of the proof.

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
    consent::{Consent, Risk},
    context::Context,
    output::{Exit, Failure, Output},
    wrapped_text::WrappedText,
};

/// A process with its session's state and the receivers of its open orders.
struct Sender {
    node: Node,
    state: Option<SessionState>,
    receivers: Vec<String>,
}

pub(super) async fn run(
    context: &Context,
    consent: Consent,
    incarnation: Option<&str>,
) -> Result<Output, Failure> {
    let senders = read_senders(context).await?;
    let Some(incarnation_text) = incarnation else { return Ok(list(&senders)) };
    let parsed = u64::from_str_radix(incarnation_text, 16).ok().map(Incarnation);
    let sender = parsed.and_then(|incarnation| senders.get(&incarnation)).ok_or_else(|| {
        Failure::new(
            format!("no process {incarnation_text} is known"),
            "`release` without a name lists those with orders under way",
        )
    })?;
    release(context, consent, sender).await
}

fn list(senders: &BTreeMap<Incarnation, Sender>) -> Output {
    let mut text = WrappedText::default();
    let mut rows = Vec::new();
    for sender in senders.values().filter(|sender| !sender.receivers.is_empty()) {
        describe(&mut text, sender);
        rows.push(json!({
            "incarnation": sender.node.incarnation.to_string(),
            "address": sender.node.addr,
            "zone": sender.node.zone.0,
            "receivers": sender.receivers,
        }));
    }
    text.push_line(format!("{} processes with orders under way", rows.len()));
    Output::done(text, json!({ "processes": rows }))
}

fn describe(text: &mut WrappedText, sender: &Sender) {
    let Node { incarnation, addr, zone } = &sender.node;
    let state = match sender.state {
        Some(SessionState::Live) => "live",
        Some(SessionState::Sealed) => "lapsed",
        Some(SessionState::Released) => "released",
        None => "gone",
    };
    text.push_line(format!("{incarnation} {addr} zone {} {state}", zone.0));
    text.push_lines(sender.receivers.iter().map(|receiver| format!("  order open: {receiver}")));
}

async fn release(context: &Context, consent: Consent, sender: &Sender) -> Result<Output, Failure> {
    let mut text = WrappedText::default();
    describe(&mut text, sender);
    if sender.state == Some(SessionState::Live) {
        return Err(Failure::new(
            "its session is live, so its orders are valid",
            "stop the process first; its orders are then taken over",
        ));
    }
    text.push_line("You confirm that this process has stopped and will send nothing more. Others then send its open orders.")
        .push_line("If it runs after all, a receiver may get two different orders.")
        .push_line("first shut down its host or check that the process has exited");
    let plan = json!({ "release": sender.node.incarnation.to_string() });
    if let Some(output) = consent.stop_unless_given(Risk::Large, &text, &plan) {
        return Ok(output);
    }
    let key = override_key(sender.node.incarnation);
    let value = context.settings.operator.clone().into_bytes();
    let call = StoreCall::Put { key, expect: Expect::Absent, value };
    match context.platform.call(&call).await {
        StoreReply::Written(_) | StoreReply::Conflict(Some(_)) => {
            text.push_line("released: its open orders are taken over within seconds");
            Ok(Output::done(text, plan))
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

async fn read_senders(context: &Context) -> Result<BTreeMap<Incarnation, Sender>, Failure> {
    let mut senders = BTreeMap::new();
    for (_, record) in read_objects::<SessionRecord>(context, SESSION_PREFIX).await? {
        let (node, state) = (record.node, Some(record.state));
        senders.insert(node.incarnation, Sender { node, state, receivers: Vec::new() });
    }
    for (receiver, record) in read_objects::<ReceiverRecord>(context, RECEIVER_PREFIX).await? {
        let Some(open) = record.open else { continue };
        let node = open.sender;
        let new_sender = || Sender { node: node.clone(), state: None, receivers: Vec::new() };
        senders.entry(node.incarnation).or_insert_with(new_sender).receivers.push(receiver);
    }
    Ok(senders)
}

/// Reads the objects whose keys start with `prefix`, with the rest of their keys.
/// Objects that cannot be decoded are skipped.
async fn read_objects<T: DeserializeOwned>(
    context: &Context,
    prefix: &str,
) -> Result<Vec<(String, T)>, Failure> {
    let call = StoreCall::List { prefix: prefix.to_owned() };
    let StoreReply::Listed { objects, .. } = context.platform.call(&call).await else {
        return Err(chervilgate_publication::ReadError::Store.into());
    };
    let decoded = objects.into_iter().filter_map(|object| {
        let name = object.key.strip_prefix(prefix)?.to_owned();
        Some((name, decode(&object.value).ok()?))
    });
    Ok(decoded.collect())
}
