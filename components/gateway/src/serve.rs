//! Handles callers' requests: authentication, routing and the response.

use std::{
    future::pending,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
};

use async_trait::async_trait;
use chervilgate_clients::{Body, BodyError};
use chervilgate_clock::Time;
use chervilgate_policy::{Charge, Fingerprint, Trial};
use chervilgate_serve::{Handler, HeldBytes};
use hyper::{
    Request, Response,
    body::Incoming,
    header::{CONNECTION, HOST, HeaderValue},
    http::{request::Parts, uri::PathAndQuery},
};
use tokio::time::timeout;

use crate::{
    body::{ReadError, read_body},
    caller_request::{Caller, CallerRequest},
    config::{Config, Org, Route, org_hash},
    failure::Failure,
    forward::forward,
    identity::{RequestContent, RequestIdentity, header_digest},
    poison::{PoisonVerdict, SharedParts, part_fingerprints},
    progress::{OpenRequest, Progress, Stage},
    protocol::RequestHead,
    quota::{OrgQuota, admit::admit as admit_quota},
    state::{Shared, State},
    stopping::Stop,
    stream::stream,
};

/// HTTP handler for callers' requests.
pub(crate) struct CallerHandler {
    pub(crate) shared: Arc<Shared>,
}

#[async_trait]
impl Handler for CallerHandler {
    async fn handle(&self, _peer: SocketAddr, request: Request<Incoming>) -> Response<Body> {
        let started = self.shared.now();
        let sent = Arc::<AtomicU32>::default();
        let (head, body) = request.into_parts();
        let request_head = self.shared.protocol.parse_request(&head.headers);
        let id =
            request_head.as_ref().map_or("", |request_head| request_head.id.as_str()).to_owned();
        let progress = Progress::default();
        let mut open = OpenRequest {
            shared: self.shared.clone(),
            id: id.clone(),
            started,
            progress: progress.clone(),
            sent: sent.clone(),
            is_answered: false,
        };
        let result = match request_head {
            Ok(request_head) => tokio::select! {
                // An answer that is ready goes out.
                biased;
                result = self.serve_request(started, head, body, request_head, &sent, &progress) => result,
                () = self.shared.wait_to_answer() => Err(unfinished(&sent)),
            },
            Err(error) => {
                log::info!(target: "gateway", error:%; "request headers invalid");
                Err(Failure::Malformed)
            }
        };
        if let Err(Failure::CallerLeft) = result {
            // Nobody waits for an answer; the server ends the connection.
            return pending().await;
        }
        open.is_answered = true;
        let elapsed = self.shared.now().since(started).as_millis() as u64;
        let sent = sent.load(Ordering::Relaxed);
        let mut response = match result {
            Ok(response) => {
                let status = response.status().as_u16();
                log::info!(target: "gateway", id, status, sent, ms = elapsed; "answered");
                self.shared.metrics.count_end("answered");
                response
            }
            Err(failure) => {
                let reason = failure.as_str();
                let config = self.shared.state().view.version();
                if let Failure::OverQuota(_) = failure {
                    // There is a limited line for it; a caller far over its quota sends many.
                    log::debug!(target: "gateway", id, reason, sent, ms = elapsed, config; "failed");
                } else {
                    log::warn!(target: "gateway", id, reason, sent, ms = elapsed, config; "failed");
                }
                self.shared.metrics.count_end(reason);
                failure.to_response(&*self.shared.protocol, &id)
            }
        };
        if self.shared.state().leaving {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn held_bytes(&self) -> Option<Arc<dyn HeldBytes>> {
        Some(self.shared.stream_buffers.budget())
    }
}

/// Route and organisation of an accepted request.
struct Admitted {
    route: Arc<Route>,
    config_version: u64,
    org: Option<Org>,
    body_limit: usize,
}

impl CallerHandler {
    async fn serve_request(
        &self,
        started: Time,
        head: Parts,
        body: Incoming,
        request_head: RequestHead,
        sent: &Arc<AtomicU32>,
        progress: &Progress,
    ) -> Result<Response<Body>, Failure> {
        let Admitted { route, config_version, org, body_limit } =
            self.admit(started, &head, &request_head)?;
        let time_limit = request_head.timeout.unwrap_or(route.timeout).min(route.timeout);
        let wanted_until = started + time_limit;
        let stop = self.shared.state().stop;
        let time_limit = stop.map_or(time_limit, |at| time_limit.min(at.answer_by.since(started)));
        let read = read_body(body, body_limit, &self.shared.body_budget);
        let (body, body_memory) = match timeout(time_limit, read).await {
            Ok(Ok(body)) => body,
            Ok(Err(ReadError::OverBudget)) => {
                self.shared.metrics.count_memory_refused("bodies");
                return Err(Failure::NoMemory);
            }
            Ok(Err(ReadError::Body(BodyError::TooLong { .. }))) => {
                return Err(Failure::BodyTooLarge);
            }
            Ok(Err(ReadError::Body(_))) => return Err(Failure::BrokenBody),
            Err(_) => return Err(Failure::Expired),
        };
        // The configuration may have changed while the body was read.
        let Admitted { org: rechecked, config_version: quota_version, .. } =
            self.admit(self.shared.now(), &head, &request_head)?;
        let org = org.and(rechecked);
        // The stop may have begun while the body was read.
        let stop = self.shared.state().stop;
        if let Some(stop) = stop {
            check_stop(stop, self.shared.now(), &request_head.id, &route, wanted_until)?;
        }
        let deadline = stop.map_or(wanted_until, |stop| wanted_until.min(stop.answer_by));
        let is_cut = deadline < wanted_until;
        let service = route.pick_service(rand::random()).cloned().ok_or(Failure::NoTarget)?;
        self.shared.count_request(&service);
        let priority = org.as_ref().and_then(|org| org.priority).unwrap_or(route.priority);
        let path = head.uri.path_and_query().cloned().unwrap_or(PathAndQuery::from_static("/"));
        let org_name = org.as_ref().map(|org| &*org.name);
        let content = RequestContent {
            method: head.method.as_str(),
            host: &route.host,
            path: path.as_str(),
            org: org_name,
            body: &body,
        };
        let headers = head.headers.iter();
        let headers = headers.filter(|(name, _)| self.shared.protocol.identifies(name));
        let headers = header_digest(headers);
        let fingerprint = RequestIdentity { content, headers, service: &service }.fingerprint();
        let parts = part_fingerprints(&service, org_name, &request_head.prompt);
        let computed = Arc::<AtomicBool>::default();
        let trial = check_poison(&self.shared, &request_head.id, fingerprint, &parts)?;
        let trial = trial.map(|trial| OpenTrial {
            shared: self.shared.clone(),
            fingerprint,
            trial,
            sent: sent.clone(),
            computed: computed.clone(),
        });
        let quota = org.as_ref().and_then(|org| org_quota(&self.shared, org, quota_version));
        let charge = match &quota {
            Some(quota) => {
                progress.set(Stage::Quota);
                let prompt = &request_head.prompt;
                let count = quota.quota.count(prompt.tokens, prompt.max_output);
                admit_quota(&self.shared, &request_head.id, quota, count, deadline).await?
            }
            None => Charge::default(),
        };
        let max_pause = {
            let state = self.shared.state();
            state.view.config().and_then(|config| config.max_pause(&service))
        };
        let call = CallerRequest {
            fingerprint,
            trial: trial.as_ref().map(|open| open.trial),
            parts,
            max_pause,
            method: head.method,
            path,
            body,
            _body_memory: body_memory,
            cutoff: head.extensions.get().cloned(),
            ask: request_head,
            route,
            config_version,
            service,
            org: org.map(|org| org.name),
            priority,
            arrived_at: started,
            deadline,
            wanted_until,
            sent: sent.clone(),
            answered_over: Default::default(),
            computed_apart: computed.clone(),
            wait_count: Default::default(),
            caller: Caller::new(head.extensions.get().cloned()),
            progress: progress.clone(),
            headers: head.headers,
        };
        let is_stream = call.route.kind.is_stream();
        let result = if is_stream {
            stream(&self.shared, call).await
        } else {
            forward(&self.shared, &call).await
        };
        if let (Some(quota), Err(failure)) = (&quota, &result)
            && failure.is_not_run()
            && sent.load(Ordering::Relaxed) == 0
            && !computed.load(Ordering::Relaxed)
        {
            let now = self.shared.now();
            self.shared.state().quota.put_back(now, quota.org, &charge);
        }
        let response = match result {
            // Another host has time for it.
            Err(Failure::Late(_) | Failure::Yielded(_) | Failure::Expired) if is_cut => {
                return Err(Failure::Stopping);
            }
            result => result?,
        };
        self.shared.metrics.observe_response(is_stream, self.shared.now().since(started));
        Ok(response)
    }

    fn admit(
        &self,
        now: Time,
        head: &Parts,
        request_head: &RequestHead,
    ) -> Result<Admitted, Failure> {
        let state = self.shared.state();
        let config = config_in_force(&state)?;
        let host = head.headers.get(HOST).and_then(|value| value.to_str().ok());
        let host = host.or_else(|| head.uri.host()).ok_or(Failure::Malformed)?;
        let fresh = state.view.is_fresh(now);
        // A configuration that is old, or known to have a successor, may lack a route or key that
        // was added since.
        let is_current = fresh && !state.reads.config.is_behind();
        let unknown = |failure| if is_current { failure } else { Failure::StaleView };
        let route = config.route(host, head.uri.path());
        let route = route.ok_or_else(|| unknown(Failure::NoRoute))?.clone();
        let org = authenticate(config, &route, request_head).map_err(unknown)?;
        if org.is_some() && !fresh {
            return Err(Failure::StaleView);
        }
        Ok(Admitted {
            route,
            config_version: config.version,
            org,
            body_limit: config.limits.max_body_bytes,
        })
    }
}

/// Refuses a request that crashes targets or may do so, unless this is its trial.
fn check_poison(
    shared: &Shared,
    id: &str,
    fingerprint: Fingerprint,
    parts: &SharedParts,
) -> Result<Option<Trial>, Failure> {
    let now = shared.now();
    let state = &mut *shared.state();
    let Some(verdict) = state.poison.verdict(now, fingerprint, parts) else { return Ok(None) };
    if verdict != PoisonVerdict::Request {
        return Err(verdict.into());
    }
    let request = format!("{:016x}", fingerprint.digest);
    let runs = state.poison.run_count(now, fingerprint);
    let rank = state.membership.rank(now, fingerprint.digest, &[]);
    let Some(trial) = state.poison.begin_trial(now, fingerprint, parts, rank) else {
        log::info!(target: "gateway", id, request, runs; "request refused for its failed runs");
        return Err(verdict.into());
    };
    log::info!(target: "gateway", id, request, runs; "refused request is tried again");
    Ok(Some(trial))
}

/// The trial of a refused request. Dropping it lets another begin, unless the request was sent.
struct OpenTrial {
    shared: Arc<Shared>,
    fingerprint: Fingerprint,
    trial: Trial,
    sent: Arc<AtomicU32>,
    computed: Arc<AtomicBool>,
}

impl Drop for OpenTrial {
    fn drop(&mut self) {
        if self.sent.load(Ordering::Relaxed) == 0 && !self.computed.load(Ordering::Relaxed) {
            self.shared.state().poison.cancel_trial(self.fingerprint);
        }
    }
}

/// The configuration by which requests are served.
pub(crate) fn config_in_force(state: &State) -> Result<&Config, Failure> {
    state
        .view
        .config()
        .filter(|_| state.targets_listed)
        .map(|config| &**config)
        .ok_or(Failure::StaleView)
}

/// The quota of `org`; none if it has none, or if quotas are not enforced.
pub(crate) fn org_quota(shared: &Shared, org: &Org, config_version: u64) -> Option<OrgQuota> {
    shared.settings.bounds.quota?;
    let (quota, name) = (org.quota?, org.name.clone());
    Some(OrgQuota { org: org_hash(&name), name, quota, config_version })
}

/// Refuses a request that a stop may cut. Of those begun in spite of that, the log line tells what is
/// cut as the host ends.
fn check_stop(
    stop: Stop,
    now: Time,
    id: &str,
    route: &Route,
    wanted_until: Time,
) -> Result<(), Failure> {
    if wanted_until <= stop.answer_by {
        return Ok(());
    }
    let stopping = now.since(stop.since).as_millis() as u64;
    let left = stop.answer_by.since(now).as_millis() as u64;
    let wanted = wanted_until.since(now).as_millis() as u64;
    if !stop.may_begin(now, route.kind, wanted_until) {
        log::info!(target: "gateway", id, stopping, wanted, left; "may not end before this host stops");
        return Err(Failure::Stopping);
    }
    log::info!(target: "gateway", id, stopping, wanted, left; "begins though this host stops");
    Ok(())
}

/// The failure of a request that was not finished when this host stopped.
fn unfinished(sent: &AtomicU32) -> Failure {
    if sent.load(Ordering::Relaxed) > 0 { Failure::TimedOut } else { Failure::Stopping }
}

/// The organisation that the request's API key belongs to.
fn authenticate(
    config: &Config,
    route: &Route,
    request_head: &RequestHead,
) -> Result<Option<Org>, Failure> {
    let Some(keys) = &config.keys else { return Ok(None) };
    let org = request_head.key.as_ref().and_then(|key| keys.get(key)).cloned();
    if org.is_none() && !route.allow_anonymous {
        return Err(Failure::UnknownKey);
    }
    Ok(org)
}
