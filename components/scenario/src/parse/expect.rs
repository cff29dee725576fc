//! Parser of `expect` statements.

use chervilgate_clock::Time;
use winnow::{
    ModalResult, Parser,
    combinator::{alt, fail, opt, preceded, repeat},
    error::{StrContext, StrContextValue},
};

use crate::{
    parse::token::{duration, ident, listed, name, number, word},
    script::{Condition, RequestOutcome},
};

const SUBJECTS: &str = "request, config, key, target, engine, zone, usage or strikes";

/// `request r1 ran 1 times`, `key k1 withdrawn by 20s`, ...
pub(super) fn condition(input: &mut &str) -> ModalResult<Condition> {
    let wants = StrContext::Expected(StrContextValue::Description(SUBJECTS));
    let subject = ident.context(wants.clone()).parse_next(input)?;
    match subject {
        "request" => request.parse_next(input),
        "config" => config.parse_next(input),
        "key" => key.parse_next(input),
        "target" => target.parse_next(input),
        "engine" => {
            let target = name("an engine").parse_next(input)?;
            let role = preceded((word("in"), word("role")), name("a role")).parse_next(input)?;
            Ok(Condition::Role { target, role })
        }
        "zone" => {
            let zone = name("a zone").parse_next(input)?;
            let times = preceded(word("ordered"), times).parse_next(input)?;
            Ok(Condition::Ordered { zone, times })
        }
        "usage" => usage.parse_next(input),
        "strikes" => word("met").value(Condition::AllFaultsInjected).parse_next(input),
        _ => fail.context(wants).parse_next(input),
    }
}

fn count(input: &mut &str) -> ModalResult<usize> {
    number.try_map(usize::try_from).parse_next(input)
}

fn times(input: &mut &str) -> ModalResult<usize> {
    let (count, _) = (count, word("times")).parse_next(input)?;
    Ok(count)
}

fn instant(input: &mut &str) -> ModalResult<Time> {
    duration.map(|span| Time::ZERO + span).parse_next(input)
}

fn by(input: &mut &str) -> ModalResult<Option<Time>> {
    opt(preceded(word("by"), instant)).parse_next(input)
}

fn after(input: &mut &str) -> ModalResult<Option<Time>> {
    opt(preceded(word("after"), instant)).parse_next(input)
}

fn request(input: &mut &str) -> ModalResult<Condition> {
    let request = name("a request").parse_next(input)?;
    if opt(word("ran")).parse_next(input)?.is_some() {
        return Ok(Condition::Ran { request, times: times(input)? });
    }
    let outcome = alt((
        word("answered").value(RequestOutcome::Answered),
        (word("not"), word("run")).value(RequestOutcome::NotRun),
        word("unknown").value(RequestOutcome::Unknown),
        word("unanswered").value(RequestOutcome::NoResponse),
    ))
    .parse_next(input)?;
    Ok(Condition::Ended { request, outcome })
}

fn config(input: &mut &str) -> ModalResult<Condition> {
    let config = name("a configuration").parse_next(input)?;
    if opt(word("conflicts")).parse_next(input)?.is_some() {
        let objects = preceded(word("on"), repeat(1.., listed)).parse_next(input)?;
        return Ok(Condition::Conflict { config, objects });
    }
    if opt((word("not"), word("accepted"))).parse_next(input)?.is_some() {
        return Ok(Condition::Unaccepted { config });
    }
    if opt((word("in"), word("force"))).parse_next(input)?.is_some() {
        return Ok(Condition::InForce { config });
    }
    let _ = word("accepted").parse_next(input)?;
    Ok(Condition::Accepted { config, by: by(input)? })
}

fn key(input: &mut &str) -> ModalResult<Condition> {
    let key = name("a key").parse_next(input)?;
    if opt((word("not"), word("withdrawn"))).parse_next(input)?.is_some() {
        return Ok(Condition::NotWithdrawn { key });
    }
    if opt(word("refused")).parse_next(input)?.is_some() {
        let from = preceded(word("from"), instant).parse_next(input)?;
        return Ok(Condition::Refused { key, from });
    }
    if opt(word("served")).parse_next(input)?.is_some() {
        let from = preceded(word("from"), instant).parse_next(input)?;
        let to = preceded(word("until"), instant).parse_next(input)?;
        return Ok(Condition::Served { key, from, to });
    }
    let _ = word("withdrawn").parse_next(input)?;
    let (by, after) = (by, after).parse_next(input)?;
    Ok(Condition::Withdrawn { key, by, after })
}

fn target(input: &mut &str) -> ModalResult<Condition> {
    let target = name("a target").parse_next(input)?;
    if opt((word("not"), word("stopped"))).parse_next(input)?.is_some() {
        return Ok(Condition::NotStopped { target });
    }
    let _ = word("stopped").parse_next(input)?;
    let (by, after) = (by, after).parse_next(input)?;
    Ok(Condition::Stopped { target, by, after })
}

fn usage(input: &mut &str) -> ModalResult<Condition> {
    if opt(word("reported")).parse_next(input)?.is_some() {
        let (windows, _) = (count, word("windows")).parse_next(input)?;
        return Ok(Condition::Reported { windows });
    }
    let _ = word("billed").parse_next(input)?;
    let missing = opt(preceded(word("missing"), count)).parse_next(input)?;
    Ok(Condition::Billed { missing: missing.unwrap_or(0) })
}
