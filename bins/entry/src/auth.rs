//! Authentication of callers, and removal of credentials from forwarded requests.

use chervilgate_clock::Time;
use chervilgate_model::{KeyError, KeyRecord, Name, Service};
use hyper::{
    HeaderMap, Uri,
    header::{
        AUTHORIZATION, CONNECTION, CONTENT_LENGTH, COOKIE, HOST, HeaderName, PROXY_AUTHORIZATION,
        TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};

use crate::{outcome::Failure, view::ViewState};

/// Carries the API key for clients that cannot set `Authorization`.
const API_KEY_HEADER: HeaderName = HeaderName::from_static("x-api-key");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that are not forwarded: credentials, and those of this connection.
const STRIPPED_HEADERS: [HeaderName; 12] = [
    AUTHORIZATION,
    PROXY_AUTHORIZATION,
    API_KEY_HEADER,
    COOKIE,
    HOST,
    CONNECTION,
    KEEP_ALIVE,
    CONTENT_LENGTH,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// The API key in a request's headers, if any.
pub(crate) fn presented_key(headers: &HeaderMap) -> Option<&str> {
    if let Some(value) = headers.get(AUTHORIZATION) {
        let text = value.to_str().ok()?;
        let (scheme, key) = text.split_once(' ')?;
        return scheme.eq_ignore_ascii_case("bearer").then_some(key.trim());
    }
    headers.get(API_KEY_HEADER)?.to_str().ok()
}

/// Finds the record of the API key that a request carries.
///
/// # Errors
/// If the view is not fresh at `now`, or the key is missing, malformed, unknown or withdrawn.
pub(crate) fn authorize<'a>(
    now: Time,
    state: &'a ViewState,
    headers: &HeaderMap,
) -> Result<&'a KeyRecord, Failure> {
    if !state.is_fresh(now) {
        let message = "this host cannot confirm which keys are valid; try another";
        return Err(Failure::unavailable("view_not_fresh", message));
    }
    let Some(key) = presented_key(headers) else {
        return Err(Failure::unauthorized("no key: send `Authorization: Bearer KEY`"));
    };
    match state.view.config.verify_key(key) {
        Ok(record) if state.is_withdrawn(record) => {
            Err(Failure::unauthorized("the key has been withdrawn"))
        }
        Ok(record) => Ok(record),
        Err(KeyError::Withdrawn) => Err(Failure::unauthorized("the key has been withdrawn")),
        Err(KeyError::Unknown) => Err(Failure::unauthorized("the key is unknown")),
        Err(KeyError::Malformed) => Err(Failure::unauthorized("the key is malformed")),
    }
}

/// Checks that `organisation` may call `service`.
///
/// # Errors
/// If the service does not admit the organisation.
pub(crate) fn check_access(service: &Service, organisation: &Name) -> Result<(), Failure> {
    if service.allows(organisation) {
        return Ok(());
    }
    Err(Failure::forbidden(format!("{organisation} may not call {}", service.name)))
}

/// The headers forwarded to a target.
///
/// Leaves out hop-by-hop headers and every header whose value contains the API key.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let key = presented_key(headers);
    let connection_headers: Vec<&str> = connection_options(headers).collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let stripped =
            STRIPPED_HEADERS.contains(name) || connection_headers.contains(&name.as_str());
        let leaks = key.is_some_and(|key| contains(value.as_bytes(), key.as_bytes()));
        if !stripped && !leaks {
            kept.append(name, value.clone());
        }
    }
    kept
}

/// Checks that the request's URI does not contain its API key.
///
/// # Errors
/// If it does, since URIs are forwarded to targets and logged.
pub(crate) fn check_uri(uri: &Uri, headers: &HeaderMap) -> Result<(), Failure> {
    let Some(key) = presented_key(headers) else {
        return Ok(());
    };
    if !contains(uri.to_string().as_bytes(), key.as_bytes()) {
        return Ok(());
    }
    Err(Failure::invalid("key_in_address", "the request URI must not contain the API key"))
}

fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let values = headers.get_all(CONNECTION).into_iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).map(str::trim)
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    !part.is_empty() && text.windows(part.len()).any(|window| window == part)
}
