//! Where a request would go now and why, without sending it.
//!
//! The answer comes from the functions that decide on callers' requests, in the order in which these are
//! called. Nothing is counted, claimed or drawn: where a refusal has a random part, its mean is used.

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;
use chervilgate_policy::Turn;
use serde::{Deserialize, Serialize};

use crate::{
    admission::{Applicant, Offer, Outlook},
    config::{Config, Org, Route},
    failure::Failure,
    fleet::{CapacityClaim, Comparison, Plan, TargetQuery},
    forward::{hold_failure, late_by},
    poison::part_fingerprints,
    protocol::{Prompt, PromptPart},
    quota::forecast::QuotaForecast,
    serve::{config_in_force, org_quota},
    state::{Shared, State},
};

/// What stands in place of random numbers from 0 to 1.
const MEAN_DRAW: f64 = 0.5;

/// A request to explain.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Question {
    /// Name of the route; by default one that leads to the service.
    route: Option<String>,
    /// Name of the service; needed if the route has several.
    service: Option<String>,
    /// Name of the organisation; none without an API key.
    organisation: Option<String>,
    prompt_tokens: u32,
    max_output: u32,
    /// Parts of the prompt; the last one belongs to this request alone.
    parts: Vec<Part>,
    time_limit_ms: Option<u64>,
}

#[derive(Debug, Clone, Deserialize)]
struct Part {
    /// Hexadecimal id.
    id: String,
    tokens: u32,
}

/// Where a request would go, and why.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Answer {
    host: String,
    config_version: u64,
    route: Arc<str>,
    service: Arc<str>,
    organisation: Option<Arc<str>>,
    priority: u8,
    /// `send`, `wait` or `refuse`.
    outcome: &'static str,
    /// The target that would send the response.
    target: Option<Arc<str>>,
    /// The target that would compute the prompt first; none if the same one does.
    prefill_target: Option<Arc<str>>,
    /// Predicted time until the first event.
    first_event_ms: Option<f64>,
    queue: Option<QueuePlace>,
    refusal: Option<Refusal>,
    quota: Option<QuotaForecast>,
    costs: Comparison,
}

/// Where a request would stand among those that wait.
#[derive(Debug, Clone, Copy, Serialize)]
struct QueuePlace {
    ahead: usize,
    wait_ms: f64,
}

impl From<Outlook> for QueuePlace {
    fn from(Outlook { ahead, wait }: Outlook) -> QueuePlace {
        QueuePlace { ahead, wait_ms: wait.as_secs_f64() * 1e3 }
    }
}

#[derive(Debug, Clone, Serialize)]
struct Refusal {
    reason: &'static str,
    status: u16,
    /// Time after which the caller may return; none if that would not help.
    retry_after_ms: Option<f64>,
    /// Number of waiting requests that come before it; none if it was not refused for them.
    ahead: Option<usize>,
}

impl Refusal {
    fn new(failure: Failure, ahead: Option<usize>) -> Refusal {
        Refusal {
            reason: failure.as_str(),
            status: failure.status().as_u16(),
            retry_after_ms: failure.retry_after().map(|span| span.as_secs_f64() * 1e3),
            ahead,
        }
    }
}

/// What becomes of a request.
enum Fate {
    Sent(Box<Plan>),
    Waits(Outlook),
    Refused(Failure, Option<usize>),
}

/// A request whose route, service and organisation are known.
struct Subject<'a> {
    route: &'a Arc<Route>,
    service: &'a Arc<str>,
    org: Option<&'a Org>,
    prompt: Prompt,
    priority: u8,
    wanted_until: Time,
    deadline: Time,
}

/// Explains a request.
///
/// # Errors
/// If it names something that the configuration does not have, or there is no configuration.
pub(crate) fn explain(shared: &Shared, question: &Question) -> Result<Answer, String> {
    let now = shared.now();
    let guard = shared.state();
    let state = &*guard;
    let config = config_in_force(state);
    let config = config
        .map_err(|_| "this host has no configuration or no list of targets yet".to_owned())?;
    let subject = subject(now, state, config, question)?;
    let Subject { route, service, org, ref prompt, priority, deadline, .. } = subject;
    let query = TargetQuery {
        service,
        prompt,
        exclude: &[],
        build: None,
        max_pause: config.max_pause(service).filter(|_| route.kind.is_stream()),
        runs_once: route.is_last_run(0),
    };
    let quota = org.and_then(|org| org_quota(shared, org, config.version)).map(|known| {
        let count = known.quota.count(prompt.tokens, prompt.max_output);
        state.quota.forecast(now, known.org, &known.quota, count, deadline, MEAN_DRAW)
    });
    let fate = match refused_first(now, state, config, &subject, quota.as_ref()) {
        Some(failure) => Fate::Refused(failure, None),
        None => fate(now, state, config, &subject, query),
    };
    let claim = config.latency_targets(service).map(|targets| CapacityClaim {
        targets,
        priority,
        time_left: route.latency_target,
        turn: Turn::Ordinary,
    });
    let costs = state.fleet.compare(now, &query, claim.as_ref());
    let mut answer = Answer {
        host: shared.settings.name.clone(),
        config_version: config.version,
        route: route.name.clone(),
        service: service.clone(),
        organisation: org.map(|org| org.name.clone()),
        priority,
        outcome: "refuse",
        target: None,
        prefill_target: None,
        first_event_ms: None,
        queue: None,
        refusal: None,
        quota,
        costs,
    };
    match fate {
        Fate::Sent(plan) => {
            answer.outcome = "send";
            answer.first_event_ms = Some(plan.predicted_time().as_secs_f64() * 1e3);
            answer.target = Some(plan.placement.id);
            answer.prefill_target = plan.prefill.map(|prefill| prefill.id);
        }
        Fate::Waits(outlook) => {
            answer.outcome = "wait";
            answer.queue = Some(outlook.into());
        }
        Fate::Refused(failure, ahead) => answer.refusal = Some(Refusal::new(failure, ahead)),
    }
    Ok(answer)
}

/// Looks up what a question names.
fn subject<'a>(
    now: Time,
    state: &State,
    config: &'a Config,
    question: &Question,
) -> Result<Subject<'a>, String> {
    let Question { route: name, service, organisation, .. } = question;
    let leads = |route: &&Arc<Route>| {
        name.as_ref().is_none_or(|name| *route.name == **name)
            && service
                .as_ref()
                .is_none_or(|service| route.services.iter().any(|(known, _)| **known == **service))
    };
    if name.is_none() && service.is_none() {
        return Err("neither route nor service is named".to_owned());
    }
    let route = config.routes().filter(leads).min_by(|a, b| a.name.cmp(&b.name));
    let route = route.ok_or_else(|| {
        format!("configuration {} has no such route to this service", config.version)
    })?;
    let mut services = route.services.iter().map(|(known, _)| known);
    let service = match service {
        Some(service) => services.find(|known| ***known == **service),
        None if services.len() > 1 => {
            let names: Vec<&str> = services.map(|known| &**known).collect();
            return Err(format!("route splits requests: name one of {}", names.join(", ")));
        }
        None => services.next(),
    };
    let service = service.ok_or_else(|| "the route has no service".to_owned())?;
    let org = match organisation {
        Some(name) => Some(config.org(name).ok_or_else(|| {
            format!("configuration {} has no organisation {name}", config.version)
        })?),
        None => None,
    };
    let parts = question.parts.iter().map(|part| {
        let id = u64::from_str_radix(&part.id, 16);
        let id = id.map_err(|error| format!("id {:?} of a part: {error}", part.id))?;
        Ok(PromptPart { id, tokens: part.tokens })
    });
    let prompt = Prompt {
        tokens: question.prompt_tokens,
        max_output: question.max_output,
        parts: parts.collect::<Result<_, String>>()?,
    };
    let time_limit = question.time_limit_ms.map_or(route.timeout, Duration::from_millis);
    let wanted_until = now + time_limit.min(route.timeout);
    Ok(Subject {
        route,
        service,
        org,
        prompt,
        priority: org.and_then(|org| org.priority).unwrap_or(route.priority),
        wanted_until,
        deadline: state.stop.map_or(wanted_until, |stop| wanted_until.min(stop.answer_by)),
    })
}

/// Why a request is refused before its targets are chosen; none if it is not.
fn refused_first(
    now: Time,
    state: &State,
    config: &Config,
    subject: &Subject<'_>,
    quota: Option<&QuotaForecast>,
) -> Option<Failure> {
    let Subject { route, service, org, prompt, wanted_until, deadline, .. } = subject;
    if org.is_none() && config.keys.is_some() && !route.allow_anonymous {
        return Some(Failure::UnknownKey);
    }
    if org.is_some() && !state.view.is_fresh(now) {
        return Some(Failure::StaleView);
    }
    if now >= *deadline {
        return Some(Failure::Expired);
    }
    if state.stop.is_some_and(|stop| !stop.may_begin(now, route.kind, *wanted_until)) {
        return Some(Failure::Stopping);
    }
    let org = org.map(|org| &*org.name);
    let parts = part_fingerprints(service, org, prompt);
    let poison = state.poison.parts_verdict(now, &parts);
    poison.map(Failure::from).or_else(|| quota?.failure)
}

/// What becomes of a request that is within its quota.
fn fate(
    now: Time,
    state: &State,
    config: &Config,
    subject: &Subject<'_>,
    query: TargetQuery<'_>,
) -> Fate {
    let Subject { route, service, org, priority, deadline, .. } = subject;
    let plan = match config.latency_targets(service) {
        None => state.fleet.place(now, &query).map(Box::new),
        Some(targets) => {
            let applicant = Applicant {
                query,
                org: org.map(|org| &*org.name),
                priority: *priority,
                arrived_at: now,
                on_time_by: now + route.latency_target,
                deadline: *deadline,
                bytes: 0,
            };
            match state.admission.forecast(now, &state.fleet, targets, &applicant, MEAN_DRAW) {
                (Offer::Send(plan), _) => Some(plan),
                (Offer::NoTarget, _) => None,
                (Offer::Wait(_), outlook) => return Fate::Waits(outlook),
                (Offer::Refuse(yielded), _) => {
                    let failure = Failure::Yielded(yielded.retry_after);
                    return Fate::Refused(failure, Some(yielded.ahead));
                }
            }
        }
    };
    let Some(plan) = plan else {
        let held = state.fleet.wait_for_target(now, service, None);
        let held = held.map(|(hold, wait)| hold_failure(hold, wait, MEAN_DRAW));
        return Fate::Refused(held.unwrap_or(Failure::NoTarget), None);
    };
    match late_by(now, *deadline, plan.predicted_time()) {
        Some(late) => {
            let span = late + deadline.since(now).mul_f64(MEAN_DRAW);
            Fate::Refused(Failure::Late(span), None)
        }
        None => Fate::Sent(plan),
    }
}
