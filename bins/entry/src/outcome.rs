//! What a caller is told when its request gets no ordinary answer.
//!
//! Each failure says what became of the request, in a header and in a JSON
//! body of the form that clients of the OpenAI-compatible API read.

use std::time::Duration;

use chervilgate_clients::{Body, body::full};
use chervilgate_telemetry::RequestEnd;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde_json::json;

/// Says what became of the request.
pub(crate) const OUTCOME_HEADER: &str = "x-chervilgate-outcome";

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// No target began it.
    NotRun,
    /// A target ran it, if not to a usable end.
    Ran,
    /// Whether a target ran it is not known.
    Unknown,
}

impl Outcome {
    /// How its metric is tagged.
    pub(crate) fn to_request_end(self) -> RequestEnd {
        match self {
            Outcome::NotRun => RequestEnd::NotRun,
            Outcome::Ran => RequestEnd::Ran,
            Outcome::Unknown => RequestEnd::Unknown,
        }
    }

    /// Its text in headers and bodies.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Ran => "ran",
            Outcome::Unknown => "unknown",
        }
    }
}

/// A failure as the caller sees it.
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
    /// A failure that is the caller's to mend; nothing ran.
    pub(crate) fn invalid(code: &'static str, message: impl Into<String>) -> Failure {
        Failure::new(StatusCode::BAD_REQUEST, "invalid_request_error", code, message)
    }

    /// A missing, unknown or withdrawn key; nothing ran.
    pub(crate) fn unauthorized(message: impl Into<String>) -> Failure {
        Failure::new(StatusCode::UNAUTHORIZED, "authentication_error", "invalid_api_key", message)
    }

    /// A key without the right to this; nothing ran.
    pub(crate) fn forbidden(message: impl Into<String>) -> Failure {
        Failure::new(StatusCode::FORBIDDEN, "permission_error", "not_allowed", message)
    }

    /// Nothing is there; nothing ran.
    pub(crate) fn not_found(code: &'static str, message: impl Into<String>) -> Failure {
        Failure::new(StatusCode::NOT_FOUND, "invalid_request_error", code, message)
    }

    /// A body over the limit; nothing ran.
    pub(crate) fn too_large(message: impl Into<String>) -> Failure {
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        Failure::new(status, "invalid_request_error", "body_too_large", message)
    }

    /// No room within the deadline; nothing ran.
    pub(crate) fn overloaded(message: impl Into<String>, retry_after: Duration) -> Failure {
        let status = StatusCode::TOO_MANY_REQUESTS;
        let failure = Failure::new(status, "rate_limit_error", "overloaded", message);
        Failure { retry_after: Some(retry_after), ..failure }
    }

    /// The request is barred because it made targets crash; nothing ran.
    pub(crate) fn quarantined(message: impl Into<String>, retry_after: Duration) -> Failure {
        let status = StatusCode::UNPROCESSABLE_ENTITY;
        let failure = Failure::new(status, "invalid_request_error", "quarantined", message);
        Failure { retry_after: Some(retry_after), ..failure }
    }

    /// This host cannot serve at present; nothing ran.
    pub(crate) fn unavailable(code: &'static str, message: impl Into<String>) -> Failure {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let failure = Failure::new(status, "server_error", code, message);
        Failure { retry_after: Some(Duration::from_secs(1)), ..failure }
    }

    /// The same request was sent before, and nobody can say how it ended.
    pub(crate) fn sent_before(message: impl Into<String>) -> Failure {
        let status = StatusCode::CONFLICT;
        let failure = Failure::new(status, "invalid_request_error", "sent_before", message);
        Failure { outcome: Outcome::Unknown, ..failure }
    }

    /// The same request ran before, and its answer is not kept.
    pub(crate) fn ran_before(message: impl Into<String>) -> Failure {
        Failure { outcome: Outcome::Ran, ..Failure::sent_before(message) }
    }

    /// The target failed; `outcome` says what became of the request.
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

    /// Names the field that is wrong.
    pub(crate) fn with_param(self, param: impl Into<String>) -> Failure {
        Failure { param: Some(param.into()), ..self }
    }

    /// What became of the request.
    pub(crate) fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// What went wrong.
    pub(crate) fn message(&self) -> &str {
        &self.message
    }

    /// The status that the caller sees.
    pub(crate) fn status(&self) -> StatusCode {
        self.status
    }

    /// The JSON that the caller sees.
    pub(crate) fn to_json(&self) -> serde_json::Value {
        json!({ "error": {
            "message": self.message,
            "type": self.kind,
            "param": self.param,
            "code": self.code,
            "outcome": self.outcome.as_str(),
        } })
    }

    /// The whole response.
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
