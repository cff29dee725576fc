//! Error responses that the gateway generates itself.

use std::time::Duration;

use chervilgate_clients::{Body, body::empty};
use hyper::{
    Response, StatusCode,
    header::{CONNECTION, HeaderValue, RETRY_AFTER},
};

use crate::{poison::PoisonVerdict, protocol::Protocol};

/// Why the gateway rejects a request or reports an error for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// A header is missing or invalid.
    Malformed,
    /// No route matches the host name and path.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The body exceeds the configured limit.
    BodyTooLarge,
    /// The caller's connection broke while the body was read.
    BrokenBody,
    /// This host holds as many bytes of request bodies as it may.
    NoMemory,
    /// There is no configuration yet, or it is too old to trust a key.
    StaleView,
    /// No usable target runs the service.
    NoTarget,
    /// The targets refused the request for lack of capacity.
    TargetsFull,
    /// The limits of all targets are reached; the caller may retry after this time.
    Limited(Duration),
    /// All targets have asked for rest; the caller may retry after this time.
    Resting(Duration),
    /// Nobody can tell which software version began the stream; another host may.
    UnknownBuild,
    /// No target serves with the software version that began the stream.
    BuildGone,
    /// The organisation's quota is used up; the caller may retry after this time.
    OverQuota(Duration),
    /// No owner of the organisation's quota has answered; the request may be within it.
    QuotaUnknown,
    /// No target can start the request before its deadline; the caller may retry after
    /// this time.
    Late(Duration),
    /// Targets have no capacity beside that for requests that come before this one; the caller may retry
    /// after this time.
    Yielded(Duration),
    /// The deadline passed before the request was sent to a target.
    Expired,
    /// The caller closed its connection before the request was sent to a target.
    CallerLeft,
    /// This host stops before it could answer, and the request was not sent to a target.
    Stopping,
    /// The deadline passed after the request was sent; it may have run.
    TimedOut,
    /// Earlier attempts at the request failed repeatedly, so it may be crashing the
    /// targets.
    PoisonRequest,
    /// A part of the prompt crashes targets; the request is refused for this time.
    PoisonPart(Duration),
    /// A target failed during the request; it may have run.
    TargetFailed,
}

impl From<PoisonVerdict> for Failure {
    fn from(verdict: PoisonVerdict) -> Failure {
        match verdict {
            PoisonVerdict::Request => Failure::PoisonRequest,
            PoisonVerdict::Part(span) => Failure::PoisonPart(span),
        }
    }
}

impl Failure {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Failure::Malformed | Failure::BrokenBody => StatusCode::BAD_REQUEST,
            Failure::NoRoute => StatusCode::NOT_FOUND,
            Failure::UnknownKey => StatusCode::UNAUTHORIZED,
            Failure::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Failure::OverQuota(_) => StatusCode::TOO_MANY_REQUESTS,
            Failure::QuotaUnknown
            | Failure::StaleView
            | Failure::NoMemory
            | Failure::NoTarget
            | Failure::TargetsFull
            | Failure::Late(_)
            | Failure::Yielded(_)
            | Failure::Limited(_)
            | Failure::Resting(_)
            | Failure::UnknownBuild
            | Failure::BuildGone
            | Failure::PoisonPart(_)
            | Failure::Expired
            | Failure::CallerLeft
            | Failure::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Failure::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Failure::TargetFailed | Failure::PoisonRequest => StatusCode::BAD_GATEWAY,
        }
    }

    /// Whether the request has not run and will not.
    pub(crate) fn is_not_run(self) -> bool {
        self.status() == StatusCode::SERVICE_UNAVAILABLE
    }

    /// Value of the `Retry-After` header; none if a retry would not help.
    pub(crate) fn retry_after(self) -> Option<Duration> {
        match self {
            Failure::StaleView => Some(Duration::from_millis(500)),
            Failure::NoTarget => Some(Duration::from_millis(500)),
            Failure::UnknownBuild | Failure::BuildGone => Some(Duration::from_millis(500)),
            Failure::TargetsFull | Failure::NoMemory => Some(Duration::from_millis(250)),
            Failure::QuotaUnknown => Some(Duration::from_millis(300)),
            Failure::OverQuota(span)
            | Failure::Late(span)
            | Failure::Yielded(span)
            | Failure::Limited(span)
            | Failure::Resting(span)
            | Failure::PoisonPart(span) => Some(span),
            Failure::Expired | Failure::CallerLeft | Failure::Stopping => {
                Some(Duration::from_millis(100))
            }
            _ => None,
        }
    }

    /// The name in log lines and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Failure::Malformed => "malformed",
            Failure::NoRoute => "no-route",
            Failure::UnknownKey => "unknown-key",
            Failure::BodyTooLarge => "too-long",
            Failure::BrokenBody => "broken-body",
            Failure::NoMemory => "no-memory",
            Failure::StaleView => "stale-view",
            Failure::NoTarget => "no-target",
            Failure::TargetsFull => "full",
            Failure::OverQuota(_) => "over-quota",
            Failure::QuotaUnknown => "quota-unknown",
            Failure::Late(_) => "late",
            Failure::Yielded(_) => "yielded",
            Failure::Limited(_) => "limited",
            Failure::Resting(_) => "resting",
            Failure::UnknownBuild => "unknown-build",
            Failure::BuildGone => "build-gone",
            Failure::Expired => "expired",
            Failure::CallerLeft => "caller-left",
            Failure::Stopping => "stopping",
            Failure::TimedOut => "timed-out",
            Failure::PoisonRequest => "suspect",
            Failure::PoisonPart(_) => "poison-part",
            Failure::TargetFailed => "broken",
        }
    }

    /// Builds the error response to request `id`.
    pub(crate) fn to_response(self, protocol: &dyn Protocol, id: &str) -> Response<Body> {
        let mut response = Response::new(empty());
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        if let Some(span) = self.retry_after() {
            let text = format!("{:.2}", span.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        if matches!(self, Failure::BrokenBody | Failure::BodyTooLarge | Failure::NoMemory) {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        protocol.mark_response(id, headers);
        response
    }
}
