//! Idempotency keys: requests that run at most once, however often they are sent.
//!
//! A caller sends such a request with an idempotency key and the scope from a
//! locate response. The scope identifies the process that remembers the key; if
//! another entry receives a resend, it forwards it to that process. Without a
//! scope, the request is claimed in the platform's store before it is
//! dispatched.

use std::fmt::Write;

use chervilgate_clock::Time;
use chervilgate_coord::{
    Incarnation,
    claim::{Admission, RequestState, Scope, ScopedKey},
    decode, encode,
};
use hyper::{HeaderMap, Response, StatusCode, header::CONTENT_TYPE};
use serde::{Deserialize, Serialize};

use crate::outcome::Failure;

/// Carries the idempotency key.
pub(crate) const KEY_HEADER: &str = "idempotency-key";
/// Carries the scope, which identifies the process that remembers the key.
pub(crate) const SCOPE_HEADER: &str = "x-chervilgate-scope";
/// Marks a request forwarded by another entry, so that it is not forwarded again.
pub(crate) const FORWARDED_HEADER: &str = "x-chervilgate-passed-on";
/// The longest key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// The longest response body that is stored, in bytes.
const MAX_STORED_BYTES: usize = 16 << 10;

/// A request's idempotency key and scope.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct IdempotencyKey {
    /// The key chosen by the caller.
    pub(crate) key: String,
    /// `None` if the caller sent no scope.
    pub(crate) scope: Option<Scope>,
}

/// A response stored for resends; `kind` is its content type.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct StoredResponse {
    status: u16,
    kind: Option<String>,
    body: Vec<u8>,
}

impl IdempotencyKey {
    /// Reads a request's key and scope; `None` if it has no key.
    ///
    /// # Errors
    /// If the key or the scope is malformed.
    pub(crate) fn read(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Failure> {
        let error = |name: &str, expected: &str| {
            Failure::invalid("invalid_header", format!("`{name}` must be {expected}"))
                .with_param(name)
        };
        let Some(key) = headers.get(KEY_HEADER) else {
            return Ok(None);
        };
        let key = key.to_str().ok().filter(|key| (1..=MAX_KEY_BYTES).contains(&key.len()));
        let key = key.ok_or_else(|| error(KEY_HEADER, "1 to 256 printable characters"))?;
        let scope = match headers.get(SCOPE_HEADER) {
            None => None,
            Some(scope) => {
                let scope = scope.to_str().ok().and_then(parse_scope);
                Some(scope.ok_or_else(|| error(SCOPE_HEADER, "a scope from a locate response"))?)
            }
        };
        Ok(Some(IdempotencyKey { key: key.to_owned(), scope }))
    }

    /// The key as stored: qualified by scope and organisation.
    pub(crate) fn scoped(&self, scope: Scope, organisation: &str) -> ScopedKey {
        ScopedKey { scope, organisation: organisation.to_owned(), key: self.key.clone() }
    }
}

/// Formats a scope as `KEEPER-PERIOD`, as callers send it.
pub(crate) fn format_scope(scope: Scope) -> String {
    let mut text = scope.keeper.to_string();
    let _ = write!(text, "-{}", scope.period);
    text
}

fn parse_scope(text: &str) -> Option<Scope> {
    let (keeper, period) = text.split_once('-')?;
    let keeper = Incarnation(u64::from_str_radix(keeper, 16).ok()?);
    Some(Scope { keeper, period: period.parse().ok()? })
}

/// The record of a completed request; without the response if that is too long.
pub(crate) fn to_record(head: &Response<()>, body: &[u8]) -> RequestState {
    if body.len() > MAX_STORED_BYTES {
        return RequestState::Ran(None);
    }
    let kind = head.headers().get(CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
    let status = head.status().as_u16();
    let stored = StoredResponse { status, kind: kind.map(str::to_owned), body: body.to_vec() };
    RequestState::Ran(Some(encode(&stored)))
}

/// The stored response; `None` if it cannot be decoded.
pub(crate) fn from_record(bytes: &[u8]) -> Option<Response<Vec<u8>>> {
    let stored: StoredResponse = decode(bytes).ok()?;
    let mut response = Response::builder().status(StatusCode::from_u16(stored.status).ok()?);
    if let Some(kind) = stored.kind {
        response = response.header(CONTENT_TYPE, kind);
    }
    response.body(stored.body).ok()
}

/// The error response for a request that is not admitted.
pub(crate) fn to_failure(admission: &Admission) -> Failure {
    match admission {
        Admission::Duplicate(RequestState::Running) => {
            Failure::sent_before("the same request is still running; retry later")
        }
        Admission::Duplicate(RequestState::Ran(_)) => {
            Failure::ran_before("the request has already run")
        }
        Admission::NotRun => {
            Failure::unavailable("scope_closed", "locate again and resend it in the new scope")
        }
        Admission::Duplicate(RequestState::Unknown) | Admission::Expired | Admission::Run => {
            Failure::sent_before("it is not known whether the request ran")
        }
    }
}

/// The scope that locate returns at `now`, or `None` once no new scopes are issued.
pub(crate) fn current_scope(
    idempotency: &mut chervilgate_coord::claim::IdempotencyKeys,
    now: Time,
) -> Option<String> {
    idempotency.scope(now).map(format_scope)
}
