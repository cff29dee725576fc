//! Requests that run at most once, however often their caller sends them.
//!
//! A caller names such a request with an idempotency key, and with the scope
//! that locate handed out. The scope says which process remembers the key: a
//! resend through another entry is passed on to it. Without a scope the request
//! is claimed in the platform before it is dispatched.

use std::fmt::Write;

use chervilgate_clock::Time;
use chervilgate_coord::{
    Incarnation,
    claim::{Admission, Record, Scope, ScopedKey},
    decode, encode,
};
use hyper::{HeaderMap, Response, StatusCode, header::CONTENT_TYPE};
use serde::{Deserialize, Serialize};

use crate::outcome::Failure;

/// Names a request that must run at most once.
pub(crate) const KEY_HEADER: &str = "idempotency-key";
/// Names the process that remembers the key.
pub(crate) const SCOPE_HEADER: &str = "x-chervilgate-scope";
/// Marks a request that another entry has passed on.
pub(crate) const FORWARDED_HEADER: &str = "x-chervilgate-passed-on";
/// The longest key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// The longest answer that is remembered, in bytes.
const MAX_STORED_BYTES: usize = 16 << 10;

/// A request's idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct IdempotencyKey {
    /// The caller's key.
    pub(crate) key: String,
    /// The scope, if the caller named one.
    pub(crate) scope: Option<Scope>,
}

/// An answer as it is remembered.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct StoredResponse {
    status: u16,
    kind: Option<String>,
    body: Vec<u8>,
}

impl IdempotencyKey {
    /// Reads the key of a request; none if it has none.
    ///
    /// # Errors
    /// If key or scope are not of the form that they must have.
    pub(crate) fn read(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Failure> {
        let invalid = |name: &str, expected: &str| {
            Failure::invalid("invalid_header", format!("`{name}` must be {expected}"))
                .with_param(name)
        };
        let Some(key) = headers.get(KEY_HEADER) else {
            return Ok(None);
        };
        let key = key.to_str().ok().filter(|key| (1..=MAX_KEY_BYTES).contains(&key.len()));
        let key = key.ok_or_else(|| invalid(KEY_HEADER, "1 to 256 printable characters"))?;
        let scope = match headers.get(SCOPE_HEADER) {
            None => None,
            Some(scope) => {
                let scope = scope.to_str().ok().and_then(parse_scope);
                Some(scope.ok_or_else(|| invalid(SCOPE_HEADER, "a scope that locate handed out"))?)
            }
        };
        Ok(Some(IdempotencyKey { key: key.to_owned(), scope }))
    }

    /// The key within `scope`.
    pub(crate) fn scoped(&self, scope: Scope, organisation: &str) -> ScopedKey {
        ScopedKey { scope, organisation: organisation.to_owned(), key: self.key.clone() }
    }
}

/// A scope as callers see it.
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

/// What to remember of an answered request.
pub(crate) fn to_record(head: &Response<()>, body: &[u8]) -> Record {
    if body.len() > MAX_STORED_BYTES {
        return Record::Ran(None);
    }
    let kind = head.headers().get(CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
    let status = head.status().as_u16();
    let stored = StoredResponse { status, kind: kind.map(str::to_owned), body: body.to_vec() };
    Record::Ran(Some(encode(&stored)))
}

/// The answer that is remembered, if it can be given again.
pub(crate) fn from_record(bytes: &[u8]) -> Option<Response<Vec<u8>>> {
    let stored: StoredResponse = decode(bytes).ok()?;
    let mut response = Response::builder().status(StatusCode::from_u16(stored.status).ok()?);
    if let Some(kind) = stored.kind {
        response = response.header(CONTENT_TYPE, kind);
    }
    response.body(stored.body).ok()
}

/// What a caller is told of a request that is not run now.
pub(crate) fn to_failure(admission: &Admission) -> Failure {
    match admission {
        Admission::Seen(Record::Running) => {
            Failure::sent_before("the same request is running; ask again")
        }
        Admission::Seen(Record::Ran(_)) => Failure::ran_before("the request ran before"),
        Admission::NotRun => {
            Failure::unavailable("scope_closed", "locate again and send it in the new scope")
        }
        Admission::Seen(Record::Unknown) | Admission::Forgotten | Admission::Run => {
            Failure::sent_before("whether the request ran is not known")
        }
    }
}

/// The present time and the memory's answer to it, for locate.
pub(crate) fn current_scope(
    idempotency: &mut chervilgate_coord::claim::Memory,
    now: Time,
) -> Option<String> {
    idempotency.scope(now).map(format_scope)
}
