//! One attempt at one target.

use std::net::SocketAddr;

use bytes::Bytes;
use chervilgate_clients::{Body, SendError};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    header::{CONTENT_TYPE, HOST, HeaderValue},
};

use crate::{host::Host, outcome::Outcome};

/// Carries the id of the attempt; an answer must come back with it.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// What goes to a target.
#[derive(Debug, Clone)]
pub(crate) struct RequestTemplate {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers that may go on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Why an attempt gave no usable response.
#[derive(Debug, Clone)]
pub(crate) struct AttemptError {
    /// What became of the request there.
    pub outcome: Outcome,
    /// Whether the target broke off: the request may have made it crash.
    pub crashed: bool,
    /// What went wrong.
    pub reason: String,
}

/// Sends one attempt; the answer must carry the attempt's own id, if any.
///
/// # Errors
/// If no response came, or another attempt's.
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
        let reason = "the target answered another request".to_owned();
        return Err(AttemptError { outcome: Outcome::Unknown, crashed: false, reason });
    }
    Ok(response)
}

/// Whether the engine itself says that it did not run the request.
pub(crate) fn engine_refused(status: StatusCode) -> bool {
    status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE
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
