//! Sends one attempt of a request to a target.

use std::net::SocketAddr;

use bytes::Bytes;
use chervilgate_clients::{Body, ConnectionHandle, SendError};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    header::{CONTENT_TYPE, HOST, HeaderValue},
};

use crate::{host::Host, outcome::Outcome};

/// Carries the attempt id; a response with another id is dropped.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// The parts of a request that are the same in each attempt.
#[derive(Debug, Clone)]
pub(crate) struct RequestTemplate {
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The caller's headers that may be forwarded.
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A failed attempt.
#[derive(Debug, Clone)]
pub(crate) struct AttemptError {
    /// Whether the target ran the request.
    pub outcome: Outcome,
    /// Whether the target failed after it was sent the request, which may have made it crash.
    pub crashed: bool,
    pub reason: String,
}

/// Sends one attempt and returns once the response head arrives.
///
/// # Errors
/// If no response comes, or it carries the id of another attempt.
pub(crate) async fn send_attempt(
    host: &Host,
    addr: SocketAddr,
    template: &RequestTemplate,
    id: &str,
) -> Result<Response<Body>, AttemptError> {
    let request = build_request(addr, template, id).map_err(|error| AttemptError {
        outcome: Outcome::NotRun,
        crashed: false,
        reason: error.to_string(),
    })?;
    let response = host.deps.sender.send(addr, request).await.map_err(send_error)?;
    let mismatched = response.headers().get(REQUEST_ID_HEADER).is_some_and(|found| found != id);
    if mismatched {
        log::warn!(target: "attempt", addr:%, id; "dropped an answer to another request");
        if let Some(connection) = response.extensions().get::<ConnectionHandle>() {
            connection.discard();
        }
        let reason = "the response has the id of another attempt".to_owned();
        return Err(AttemptError { outcome: Outcome::Unknown, crashed: false, reason });
    }
    Ok(response)
}

/// Whether the status means that the engine refused the request.
pub(crate) fn engine_refused(status: StatusCode) -> bool {
    status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE
}

/// What a refusal says about its attempt.
///
/// A refusal without an id may be a late answer to another attempt on the same connection, so
/// it does not rule out that the engine runs this one.
pub(crate) fn refusal_outcome(refusal: &Response<Body>) -> Outcome {
    if refusal.headers().contains_key(REQUEST_ID_HEADER) {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    }
}

fn send_error(error: SendError) -> AttemptError {
    let crashed = !error.not_run();
    let outcome = if crashed { Outcome::Unknown } else { Outcome::NotRun };
    AttemptError { outcome, crashed, reason: error.to_string() }
}

fn build_request(
    addr: SocketAddr,
    template: &RequestTemplate,
    id: &str,
) -> Result<Request<Bytes>, hyper::http::Error> {
    let mut request = Request::builder()
        .method(template.method.clone())
        .uri(template.path.as_str())
        .header(HOST, addr.to_string())
        .header(REQUEST_ID_HEADER, id)
        .body(template.body.clone())?;
    let headers = request.headers_mut();
    for (name, value) in &template.headers {
        if name.as_str() != REQUEST_ID_HEADER {
            headers.append(name, value.clone());
        }
    }
    if !headers.contains_key(CONTENT_TYPE) && !template.body.is_empty() {
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    Ok(request)
}
