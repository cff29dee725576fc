//! Error responses to callers.
//!
//! Each states whether the request ran, in a header and in a JSON body in the
//! error format of the OpenAI API.

use std::time::Duration;

use chervilgate_clients::{Body, body::full};
use chervilgate_telemetry::RequestOutcome;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde_json::json;

/// Carries the [`Outcome`] of the request.
pub(crate) const OUTCOME_HEADER: &str = "x-chervilgate-outcome";

/// Whether a request ran on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// No target started it.
    NotRun,
    /// A target ran it, perhaps not to completion.
    Ran,
    /// It is not known whether a target ran it.
    Unknown,
}

impl Outcome {
    /// The outcome counted in the request metric.
    pub(crate) fn to_request_end(self) -> RequestOutcome {
        match self {
            Outcome::NotRun => RequestOutcome::NotRun,
            Outcome::Ran => RequestOutcome::Ran,
            Outcome::Unknown => RequestOutcome::Unknown,
        }
    }

    /// The value in headers and bodies.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Ran => "ran",
            Outcome::Unknown => "unknown",
        }
    }
}

/// An error response to a caller.
#[derive(Debug, Clone)]
pub(crate) struct Failure {
    status: StatusCode,
    outcome: Outcome,
    kind: &'static str,
    code: &'static str,
    message: String,
    param: Option<String>,
    retry_after: Option<Duration>,
}

impl Failure {
    /// 400: the request is invalid; not run.
    pub(crate) fn invalid(code: &'static str, message: impl Into<String>) -> Failure {
        Failure::new(StatusCode::BAD_REQUEST, "invalid_request_error", code, message)
    }

    /// 401: the API key is missing, malformed, unknown or withdrawn; not run.
    pub(crate) fn unauthorized(message: impl Into<String>) -> Failure {
        Failure::new(StatusCode::UNAUTHORIZED, "authentication_error", "invalid_api_key", message)
    }

    /// 403: the organisation may not call the service; not run.
    pub(crate) fn forbidden(message: impl Into<String>) -> Failure {
        Failure::new(StatusCode::FORBIDDEN, "permission_error", "not_allowed", message)
    }

    /// 404: no such path or model; not run.
    pub(crate) fn not_found(code: &'static str, message: impl Into<String>) -> Failure {
        Failure::new(StatusCode::NOT_FOUND, "invalid_request_error", code, message)
    }

    /// 413: the body exceeds the limit; not run.
    pub(crate) fn too_large(message: impl Into<String>) -> Failure {
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        Failure::new(status, "invalid_request_error", "body_too_large", message)
    }

    /// 429: no capacity within the deadline; not run.
    pub(crate) fn overloaded(message: impl Into<String>, retry_after: Duration) -> Failure {
        let status = StatusCode::TOO_MANY_REQUESTS;
        let failure = Failure::new(status, "rate_limit_error", "overloaded", message);
        Failure { retry_after: Some(retry_after), ..failure }
    }

    /// 422: the same request made targets crash before; not run.
    pub(crate) fn quarantined(message: impl Into<String>, retry_after: Duration) -> Failure {
        let status = StatusCode::UNPROCESSABLE_ENTITY;
        let failure = Failure::new(status, "invalid_request_error", "quarantined", message);
        Failure { retry_after: Some(retry_after), ..failure }
    }

    /// 503: this host cannot serve the request now; not run.
    pub(crate) fn unavailable(code: &'static str, message: impl Into<String>) -> Failure {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let failure = Failure::new(status, "server_error", code, message);
        Failure { retry_after: Some(Duration::from_secs(1)), ..failure }
    }

    /// 409: the same request was sent before and may have run.
    pub(crate) fn sent_before(message: impl Into<String>) -> Failure {
        let status = StatusCode::CONFLICT;
        let failure = Failure::new(status, "invalid_request_error", "sent_before", message);
        Failure { outcome: Outcome::Unknown, ..failure }
    }

    /// 409: the same request ran before and its response is not stored.
    pub(crate) fn ran_before(message: impl Into<String>) -> Failure {
        Failure { outcome: Outcome::Ran, ..Failure::sent_before(message) }
    }

    /// 502: the target failed; `outcome` says whether the request ran.
    pub(crate) fn target_failed(outcome: Outcome, message: impl Into<String>) -> Failure {
        let failure =
            Failure::new(StatusCode::BAD_GATEWAY, "server_error", "target_failed", message);
        Failure { outcome, ..failure }
    }

    fn new(
        status: StatusCode,
        kind: &'static str,
        code: &'static str,
        message: impl Into<String>,
    ) -> Failure {
        let message = message.into();
        let outcome = Outcome::NotRun;
        Failure { status, outcome, kind, code, message, param: None, retry_after: None }
    }

    /// Sets the name of the invalid field or header.
    pub(crate) fn with_param(self, param: impl Into<String>) -> Failure {
        Failure { param: Some(param.into()), ..self }
    }

    pub(crate) fn outcome(&self) -> Outcome {
        self.outcome
    }

    pub(crate) fn message(&self) -> &str {
        &self.message
    }

    pub(crate) fn status(&self) -> StatusCode {
        self.status
    }

    /// The JSON body.
    pub(crate) fn to_json(&self) -> serde_json::Value {
        json!({ "error": {
            "message": self.message,
            "type": self.kind,
            "param": self.param,
            "code": self.code,
            "outcome": self.outcome.as_str(),
        } })
    }

    /// The HTTP response, with the outcome header and `Retry-After` if set.
    pub(crate) fn to_response(&self) -> Response<Body> {
        let mut response = Response::new(full(self.to_json().to_string()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(self.outcome.as_str()));
        if let Some(wait) = self.retry_after {
            let secs = wait.as_millis().div_ceil(1_000).max(1);
            if let Ok(value) = secs.to_string().parse() {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
