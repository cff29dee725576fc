//! Parser of the events in `at` statements.

use winnow::{
    ModalResult, Parser,
    combinator::{alt, fail, opt, preceded, repeat, terminated},
    error::{StrContext, StrContextValue},
    token::{take_till, take_while},
};

use crate::{
    parse::token::{duration, ident, listed, name, word},
    script::{EventKind, RepeatPolicy, Request},
};

const KINDS: &str = "request, resend, traffic, publish, rollback, withdraw, drain, role, reclaim, \
    kill, vanish, replace, pause, partition, split, cut, store, compact, stop or strike";

pub(super) fn event_kind(input: &mut &str) -> ModalResult<EventKind> {
    let wants = StrContext::Expected(StrContextValue::Description(KINDS));
    let verb = ident.context(wants.clone()).parse_next(input)?;
    match verb {
        "request" => request.parse_next(input),
        "resend" => resend.parse_next(input),
        "traffic" => traffic.parse_next(input),
        "publish" => publish.parse_next(input),
        "rollback" => {
            let config = preceded(word("to"), name("a configuration")).parse_next(input)?;
            Ok(EventKind::Rollback { config, entry: through(input)? })
        }
        "withdraw" => {
            let key = name("a key").parse_next(input)?;
            Ok(EventKind::Withdraw { key, entry: through(input)? })
        }
        "drain" => {
            let target = name("a target").parse_next(input)?;
            Ok(EventKind::Drain { target, entry: through(input)? })
        }
        "role" => {
            let target = name("an engine").parse_next(input)?;
            let role = name("a role").parse_next(input)?;
            Ok(EventKind::Role { target, role })
        }
        "reclaim" => {
            let zone = name("a zone").parse_next(input)?;
            Ok(EventKind::Reclaim { zone })
        }
        "kill" => Ok(EventKind::Kill { name: name("a host or target").parse_next(input)? }),
        "vanish" => Ok(EventKind::Vanish { name: name("a host or target").parse_next(input)? }),
        "replace" => Ok(EventKind::Replace { name: name("an entry").parse_next(input)? }),
        "pause" => {
            let name = name("an entry").parse_next(input)?;
            let span = preceded(word("for"), duration).parse_next(input)?;
            Ok(EventKind::Pause { name, duration: span })
        }
        "partition" => {
            let name = name("an entry").parse_next(input)?;
            let span = preceded(word("for"), duration).parse_next(input)?;
            Ok(EventKind::Partition { name, duration: span })
        }
        "split" => {
            let side = repeat(1.., listed).parse_next(input)?;
            let _ = (word("from"), word("others")).parse_next(input)?;
            let span = preceded(word("for"), duration).parse_next(input)?;
            Ok(EventKind::Split { side, duration: span })
        }
        "cut" => {
            let names = repeat(1.., listed).parse_next(input)?;
            let _ = (word("from"), word("store")).parse_next(input)?;
            let span = preceded(word("for"), duration).parse_next(input)?;
            Ok(EventKind::CutStore { names, duration: span })
        }
        "store" => store.parse_next(input),
        "compact" => Ok(EventKind::Compact),
        "stop" => Ok(EventKind::Stop { name: name("an entry").parse_next(input)? }),
        "strike" => strike.parse_next(input),
        _ => fail.context(wants).parse_next(input),
    }
}

fn through(input: &mut &str) -> ModalResult<String> {
    preceded(word("through"), name("an entry")).parse_next(input)
}

/// `request r1 with key-1 through e1 on g1 g2 taking 2s once scoped`
fn request(input: &mut &str) -> ModalResult<EventKind> {
    let name = name("a request").parse_next(input)?;
    let key = opt(preceded(word("with"), super::name("a key"))).parse_next(input)?;
    let entry = through(input)?;
    let targets = preceded(word("on"), repeat(1.., listed)).parse_next(input)?;
    let run_time = opt(preceded(word("taking"), duration)).parse_next(input)?.unwrap_or_default();
    let once = preceded(
        word("once"),
        alt((
            word("scoped").value(RepeatPolicy::Scoped),
            word("unscoped").value(RepeatPolicy::Unscoped),
        )),
    );
    let repeat = opt(once).parse_next(input)?.unwrap_or(RepeatPolicy::Unlimited);
    Ok(EventKind::Request { request: Request { name, key, targets, run_time, repeat }, entry })
}

fn resend(input: &mut &str) -> ModalResult<EventKind> {
    let request = name("a request").parse_next(input)?;
    Ok(EventKind::Resend { request, entry: through(input)? })
}

/// `traffic with key-1 on g1 g2 every 500ms for 60s`
fn traffic(input: &mut &str) -> ModalResult<EventKind> {
    let key = preceded(word("with"), name("a key")).parse_next(input)?;
    let targets = preceded(word("on"), repeat(1.., listed)).parse_next(input)?;
    let period = preceded(word("every"), duration).parse_next(input)?;
    let span = preceded(word("for"), duration).parse_next(input)?;
    Ok(EventKind::Traffic { key, targets, period, duration: span })
}

/// `publish c2 from c1 through e1 setting a=1 b=2`
fn publish(input: &mut &str) -> ModalResult<EventKind> {
    let config = name("a configuration").parse_next(input)?;
    let base = opt(preceded(word("from"), name("a configuration"))).parse_next(input)?;
    let entry = through(input)?;
    let settings = preceded(word("setting"), repeat(1.., assignment));
    let sets: Option<Vec<(String, String)>> = opt(settings).parse_next(input)?;
    Ok(EventKind::Publish { config, base, sets: sets.unwrap_or_default(), entry })
}

fn assignment(input: &mut &str) -> ModalResult<(String, String)> {
    let (object, value) = (terminated(listed, "="), ident).parse_next(input)?;
    Ok((object, value.to_owned()))
}

fn store(input: &mut &str) -> ModalResult<EventKind> {
    let slow = alt((word("down").value(false), word("slow").value(true))).parse_next(input)?;
    let span = preceded(word("for"), duration).parse_next(input)?;
    Ok(if slow {
        EventKind::StoreSlow { duration: span }
    } else {
        EventKind::StoreDown { duration: span }
    })
}

/// `strike PausedBefore on Order.send of e1`
fn strike(input: &mut &str) -> ModalResult<EventKind> {
    let fault = name("a fault").parse_next(input)?;
    let _ = (word("on"), winnow::ascii::space1).parse_next(input)?;
    let protocol = take_while(1.., |c: char| c.is_ascii_alphabetic());
    let quoted = ('"', take_till(1.., '"'), '"').map(|(_, label, _)| label);
    let label = alt((quoted, ident)).map(str::to_owned);
    let step: (&str, String) = (terminated(protocol, "."), label)
        .context(StrContext::Expected(StrContextValue::Description(
            "a step such as View.\"read blob\"",
        )))
        .parse_next(input)?;
    let entry = opt(preceded(word("of"), name("an entry"))).parse_next(input)?;
    Ok(EventKind::InjectFault { fault, step: format!("{}.{}", step.0, step.1), entry })
}
