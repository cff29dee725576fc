//! Runs requests that have an idempotency key.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use chervilgate_clients::{
    Body,
    body::{collect, full},
};
use chervilgate_coord::claim::{Admission, RequestState, Scope, ScopedKey};
use hyper::{
    Request, Response,
    header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING},
    http::request::Parts,
};

use crate::{
    claims::{ClaimMessage, ClaimOutcome},
    host::Host,
    idempotency::{FORWARDED_HEADER, IdempotencyKey, from_record, to_failure, to_record},
    outcome::{Failure, Outcome},
    plain_job::PlainJob,
};

/// The longest response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Time beyond the service deadline after which the claim actor counts as failed, in
/// milliseconds.
const CLAIM_MARGIN_MS: u64 = 2_000;

/// Runs `job` unless a request with its key ran or may have run.
///
/// # Errors
/// If the job fails, or what is known of the earlier run if its response is not stored.
pub(crate) async fn run_once(
    job: PlainJob,
    idempotency_key: IdempotencyKey,
    head: &Parts,
) -> Result<Response<Body>, Failure> {
    let Some(scope) = idempotency_key.scope else {
        return run_claimed(job, &idempotency_key).await;
    };
    let host = job.host.clone();
    if host.idempotency_id() != scope.keeper {
        return forward_to_scope_holder(&host, scope, head, job.template.body.clone()).await;
    }
    let organisation = job.organisation.clone().unwrap_or_default();
    run_in_scope(job, idempotency_key.scoped(scope, &organisation)).await
}

async fn run_in_scope(job: PlainJob, key: ScopedKey) -> Result<Response<Body>, Failure> {
    let host = job.host.clone();
    let now = host.deps.clock.now();
    let admission = host
        .idempotency()
        .admit(now, &key)
        .map_err(|full| Failure::unavailable("too_many_keys", full.to_string()))?;
    match &admission {
        Admission::Run => {}
        Admission::Duplicate(RequestState::Ran(Some(bytes))) => {
            let stored = from_record(bytes).ok_or_else(|| to_failure(&admission))?;
            return Ok(stored.map(full));
        }
        _ => return Err(to_failure(&admission)),
    }
    // A separate task, so that the run completes and is recorded if the caller disconnects.
    let running = tokio::spawn(run_to_end(job, key));
    running.await.unwrap_or_else(|_| Err(Failure::sent_before("the request was interrupted")))
}

async fn run_to_end(job: PlainJob, key: ScopedKey) -> Result<Response<Body>, Failure> {
    let mut guard = RecordGuard { host: job.host.clone(), key: Some(key) };
    let response = match job.run().await {
        Ok(response) => response,
        Err(failure) if failure.outcome() == Outcome::NotRun => {
            guard.cancel();
            return Err(failure);
        }
        Err(failure) => {
            guard.finish(RequestState::Unknown);
            return Err(failure);
        }
    };
    let (head, body) = response.into_parts();
    let broken = |_| Failure::target_failed(Outcome::Ran, "the target's response broke off");
    let body = collect(body, MAX_RESPONSE_BYTES).await.map_err(broken)?;
    let head = Response::from_parts(head, ());
    guard.finish(to_record(&head, &body));
    Ok(head.map(|()| full(body)))
}

/// Records a running request as `Unknown` if dropped before its end is recorded.
struct RecordGuard {
    host: Arc<Host>,
    key: Option<ScopedKey>,
}

impl RecordGuard {
    fn finish(&mut self, record: RequestState) {
        if let Some(key) = self.key.take() {
            self.host.idempotency().finish(&key, record);
        }
    }

    fn cancel(&mut self) {
        if let Some(key) = self.key.take() {
            self.host.idempotency().cancel(&key);
        }
    }
}

impl Drop for RecordGuard {
    fn drop(&mut self) {
        self.finish(RequestState::Unknown);
    }
}

async fn run_claimed(
    job: PlainJob,
    idempotency_key: &IdempotencyKey,
) -> Result<Response<Body>, Failure> {
    let not_claimed =
        || Failure::sent_before("the request could not be claimed; this host has not sent it");
    let actor = job.host.actors().claims.ok_or_else(not_claimed)?;
    let organisation = job.organisation.clone().unwrap_or_default();
    let key = idempotency_key.key.clone();
    let wait = u64::try_from(job.host.settings.service_deadline.as_millis()).unwrap_or(u64::MAX);
    let ask = |answer| ClaimMessage::Claim { organisation, key, answer };
    let answer = ractor::call_t!(actor, ask, wait.saturating_add(CLAIM_MARGIN_MS));
    match answer {
        Ok(ClaimOutcome::Claimed) => job.run().await,
        Ok(ClaimOutcome::Duplicate) => Err(Failure::sent_before("the request was sent before")),
        Ok(ClaimOutcome::Failed) | Err(_) => Err(not_claimed()),
    }
}

/// Forwards the request to the entry that remembers its key, unless it was already forwarded.
async fn forward_to_scope_holder(
    host: &Arc<Host>,
    scope: Scope,
    head: &Parts,
    body: Bytes,
) -> Result<Response<Body>, Failure> {
    let unknown = || Failure::sent_before("the process that remembers the key cannot be reached");
    if head.headers.contains_key(FORWARDED_HEADER) {
        return Err(unknown());
    }
    let member = host.members.all().into_iter().find(|member| member.memory == scope.keeper);
    let addr = member.map(|member| member.address).ok_or_else(unknown)?;
    let request = copy_request(head, addr, body).ok_or_else(unknown)?;
    host.deps.sender.send(addr, request).await.map_err(|_| unknown())
}

fn copy_request(head: &Parts, addr: SocketAddr, body: Bytes) -> Option<Request<Bytes>> {
    let path = head.uri.path_and_query()?.as_str();
    let mut request = Request::builder().method(head.method.clone()).uri(path);
    for (name, value) in &head.headers {
        if ![HOST, CONTENT_LENGTH, TRANSFER_ENCODING].contains(name) {
            request = request.header(name, value);
        }
    }
    request.header(HOST, addr.to_string()).header(FORWARDED_HEADER, "1").body(body).ok()
}
