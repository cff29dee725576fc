//! Answers of the gateway's own.

use std::time::Duration;

use chervilgate_clients::{Body, body::empty};
use hyper::{
    Response, StatusCode,
    header::{CONNECTION, HeaderValue, RETRY_AFTER},
};

use crate::protocol::Protocol;

/// Why a request gets an answer of the gateway's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The request's head is unusable.
    Malformed,
    /// No route covers it.
    NoRoute,
    /// Its key is not known.
    UnknownKey,
    /// Its body is longer than is allowed.
    TooLong,
    /// Its body broke off.
    BrokenBody,
    /// The configuration is not known, or too old to trust a key.
    StaleView,
    /// No target serves its service.
    NoTarget,
    /// No target has room for it.
    Full,
    /// No target can begin with it in its time; it is to come back after this span.
    Late(Duration),
    /// Its time ran out before it was sent.
    Expired,
    /// Its time ran out; it may have run.
    TimedOut,
    /// It broke the targets that ran it.
    Suspect,
    /// A target broke off; it may have run.
    Broken,
}

impl Failure {
    fn status(self) -> StatusCode {
        match self {
            Failure::Malformed | Failure::BrokenBody => StatusCode::BAD_REQUEST,
            Failure::NoRoute => StatusCode::NOT_FOUND,
            Failure::UnknownKey => StatusCode::UNAUTHORIZED,
            Failure::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Failure::StaleView
            | Failure::NoTarget
            | Failure::Full
            | Failure::Late(_)
            | Failure::Expired => StatusCode::SERVICE_UNAVAILABLE,
            Failure::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Failure::Broken | Failure::Suspect => StatusCode::BAD_GATEWAY,
        }
    }

    /// When a new attempt may be worth it.
    fn retry_after(self) -> Option<Duration> {
        match self {
            Failure::StaleView => Some(Duration::from_millis(500)),
            Failure::NoTarget => Some(Duration::from_millis(500)),
            Failure::Full => Some(Duration::from_millis(250)),
            Failure::Late(span) => Some(span),
            Failure::Expired => Some(Duration::from_millis(100)),
            _ => None,
        }
    }

    /// The name in log lines.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Failure::Malformed => "malformed",
            Failure::NoRoute => "no-route",
            Failure::UnknownKey => "unknown-key",
            Failure::TooLong => "too-long",
            Failure::BrokenBody => "broken-body",
            Failure::StaleView => "stale-view",
            Failure::NoTarget => "no-target",
            Failure::Full => "full",
            Failure::Late(_) => "late",
            Failure::Expired => "expired",
            Failure::TimedOut => "timed-out",
            Failure::Suspect => "suspect",
            Failure::Broken => "broken",
        }
    }

    /// The answer to the request `id`.
    pub(crate) fn answer(self, protocol: &dyn Protocol, id: &str) -> Response<Body> {
        let mut response = Response::new(empty());
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        if let Some(span) = self.retry_after() {
            let text = format!("{:.2}", span.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        if self == Failure::BrokenBody || self == Failure::TooLong {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        protocol.mark(id, headers);
        response
    }
}
