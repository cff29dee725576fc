//! Running a request that has an idempotency key.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use chervilgate_clients::{
    Body,
    body::{collect, full},
};
use chervilgate_coord::claim::{Admission, Record, Scope, ScopedKey};
use hyper::{
    Request, Response,
    header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING},
    http::request::Parts,
};

use crate::{
    claims::{ClaimAnswer, ClaimMessage},
    host::Host,
    once::{OnceKey, PASSED_HEADER, from_record, to_failure, to_record},
    outcome::{Failure, Outcome},
    plain::PlainJob,
};

/// The longest answer passed on, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;
/// Added to the time for a claim before its keeper counts as lost, in milliseconds.
const CLAIM_MARGIN: u64 = 2_000;

/// Runs `job` unless its key says that it ran, or may have.
///
/// # Errors
/// The job's failure, or what is known of an earlier run.
pub(crate) async fn run_once(
    job: PlainJob,
    once: OnceKey,
    head: &Parts,
) -> Result<Response<Body>, Failure> {
    let Some(scope) = once.scope else {
        return run_claimed(job, &once).await;
    };
    let host = job.host.clone();
    if host.memory_id() != scope.keeper {
        return pass_on(&host, scope, head, job.call.body.clone()).await;
    }
    let organisation = job.organisation.clone().unwrap_or_default();
    run_remembered(job, once.scoped(scope, &organisation)).await
}

async fn run_remembered(job: PlainJob, key: ScopedKey) -> Result<Response<Body>, Failure> {
    let host = job.host.clone();
    let now = host.borders.clock.now();
    let admission = host
        .memory()
        .admit(now, &key)
        .map_err(|full| Failure::unavailable("too_many_keys", full.to_string()))?;
    match &admission {
        Admission::Run => {}
        Admission::Seen(Record::Ran(Some(bytes))) => {
            let again = from_record(bytes).ok_or_else(|| to_failure(&admission))?;
            return Ok(again.map(full));
        }
        _ => return Err(to_failure(&admission)),
    }
    // Should the caller leave now, the run goes on and its end is remembered.
    let running = tokio::spawn(run_to_end(job, key));
    running.await.unwrap_or_else(|_| Err(Failure::repeated("the run broke off")))
}

async fn run_to_end(job: PlainJob, key: ScopedKey) -> Result<Response<Body>, Failure> {
    let mut entry = Open { host: job.host.clone(), key: Some(key) };
    let response = match job.run().await {
        Ok(response) => response,
        Err(failure) if failure.outcome() == Outcome::NotRun => {
            entry.cancel();
            return Err(failure);
        }
        Err(failure) => {
            entry.finish(Record::Unknown);
            return Err(failure);
        }
    };
    let (head, body) = response.into_parts();
    let broken = |_| Failure::target(Outcome::Ran, "the answer broke off");
    let body = collect(body, ANSWER_LIMIT).await.map_err(broken)?;
    let head = Response::from_parts(head, ());
    entry.finish(to_record(&head, &body));
    Ok(head.map(|()| full(body)))
}

/// A remembered request that runs; one that is dropped unended is unknown.
struct Open {
    host: Arc<Host>,
    key: Option<ScopedKey>,
}

impl Open {
    fn finish(&mut self, record: Record) {
        if let Some(key) = self.key.take() {
            self.host.memory().finish(&key, record);
        }
    }

    fn cancel(&mut self) {
        if let Some(key) = self.key.take() {
            self.host.memory().cancel(&key);
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.finish(Record::Unknown);
    }
}

async fn run_claimed(job: PlainJob, once: &OnceKey) -> Result<Response<Body>, Failure> {
    let unclaimed = || Failure::repeated("no claim could be made; nothing was sent from here");
    let keeper = job.host.links().claims.ok_or_else(unclaimed)?;
    let organisation = job.organisation.clone().unwrap_or_default();
    let key = once.key.clone();
    let wait = u64::try_from(job.host.settings.service_deadline.as_millis()).unwrap_or(u64::MAX);
    let ask = |answer| ClaimMessage::Claim { organisation, key, answer };
    let answer = ractor::call_t!(keeper, ask, wait.saturating_add(CLAIM_MARGIN));
    match answer {
        Ok(ClaimAnswer::Run) => job.run().await,
        Ok(ClaimAnswer::Taken) => Err(Failure::repeated("the request was sent before")),
        Ok(ClaimAnswer::Refused) | Err(_) => Err(unclaimed()),
    }
}

/// Sends the request to the entry that remembers its key, once.
async fn pass_on(
    host: &Arc<Host>,
    scope: Scope,
    head: &Parts,
    body: Bytes,
) -> Result<Response<Body>, Failure> {
    let unknown = || Failure::repeated("the process that remembers the key cannot be asked");
    if head.headers.contains_key(PASSED_HEADER) {
        return Err(unknown());
    }
    let member = host.members.all().into_iter().find(|member| member.memory == scope.keeper);
    let addr = member.map(|member| member.address).ok_or_else(unknown)?;
    let request = copy_request(head, addr, body).ok_or_else(unknown)?;
    host.borders.sender.send(addr, request).await.map_err(|_| unknown())
}

fn copy_request(head: &Parts, addr: SocketAddr, body: Bytes) -> Option<Request<Bytes>> {
    let path = head.uri.path_and_query()?.as_str();
    let mut request = Request::builder().method(head.method.clone()).uri(path);
    for (name, value) in &head.headers {
        if ![HOST, CONTENT_LENGTH, TRANSFER_ENCODING].contains(name) {
            request = request.header(name, value);
        }
    }
    request.header(HOST, addr.to_string()).header(PASSED_HEADER, "1").body(body).ok()
}
