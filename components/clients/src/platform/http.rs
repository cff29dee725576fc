//! HTTP client of the platform.
//!
//! An object is at `/objects/KEY`, with its version as the entity tag; conditional
//! updates use `If-Match` and `If-None-Match`. `/objects?prefix=` lists objects and
//! `/watch?prefix=&after=` waits for changes.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use chervilgate_coord::{Change, Expect, Object, StoreCall, StoreReply, Version};
use hyper::{
    Method, Request, Response, StatusCode,
    header::{ETAG, HOST, IF_MATCH, IF_NONE_MATCH},
};
use percent_encoding::{AsciiSet, PercentEncode, utf8_percent_encode};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

use crate::{
    Body, HostEntry, HostList, HttpPool, HttpSender, ObjectStore, OrderReceipt, PlatformError,
    TargetOrder, TargetOrders, UsageReport, UsageReports,
    body::collect,
    encoding::ENCODED,
    no_effect::had_no_effect,
    platform::{ObjectsJson, WatchJson},
};

/// Timeout for every call except a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for a watch. The platform responds earlier, with no changes if there are none.
const WATCH_TIMEOUT: Duration = Duration::from_secs(40);
/// Longest response body accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Characters of a key that are percent-encoded; a slash separates its parts.
const ENCODED_IN_KEYS: AsciiSet = ENCODED.remove(b'/');

/// A client of one platform address. Clones share the connection pool.
#[derive(Clone)]
pub struct HttpPlatform {
    addr: SocketAddr,
    pool: HttpPool,
}

struct ApiResponse {
    status: StatusCode,
    version: Option<Version>,
    body: Bytes,
}

impl HttpPlatform {
    /// A client of the platform at `addr`.
    pub fn new(addr: SocketAddr) -> HttpPlatform {
        HttpPlatform { addr, pool: HttpPool::new() }
    }

    async fn send(
        &self,
        request: Request<Bytes>,
        time_limit: Duration,
    ) -> Result<ApiResponse, PlatformError> {
        let exchange = async {
            let response = self.pool.send(self.addr, request).await.map_err(|error| {
                let reason = error.to_string();
                if error.not_run() {
                    return PlatformError::Refused { reason };
                }
                PlatformError::Unknown { reason }
            })?;
            read_response(response).await
        };
        timeout(time_limit, exchange).await.map_err(|_| {
            self.pool.distrust(self.addr);
            PlatformError::Unknown { reason: "timed out".to_owned() }
        })?
    }

    fn request(&self, method: Method, path: &str) -> hyper::http::request::Builder {
        Request::builder().method(method).uri(path).header(HOST, self.addr.to_string())
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        content: &impl Serialize,
    ) -> Result<T, PlatformError> {
        let body = serde_json::to_vec(content).map_err(refused_error)?;
        let request =
            self.request(Method::POST, path).body(Bytes::from(body)).map_err(refused_error)?;
        let response = self.send(request, CALL_TIMEOUT).await?;
        parse_json(&response)
    }

    async fn send_store_call(&self, call: &StoreCall) -> Result<StoreReply, PlatformError> {
        let (request, time_limit) = match call {
            StoreCall::Get { key } => (self.request(Method::GET, &object_path(key)), CALL_TIMEOUT),
            StoreCall::Put { key, expect, .. } => {
                let request = self.request(Method::PUT, &object_path(key));
                (with_precondition(request, *expect), CALL_TIMEOUT)
            }
            StoreCall::Delete { key, version } => {
                let request = self.request(Method::DELETE, &object_path(key));
                (with_precondition(request, Expect::At(*version)), CALL_TIMEOUT)
            }
            StoreCall::List { prefix } => {
                let path = format!("/objects?prefix={}", encode(prefix));
                (self.request(Method::GET, &path), CALL_TIMEOUT)
            }
            StoreCall::Watch { prefix, after } => {
                let path = format!("/watch?prefix={}&after={}", encode(prefix), after.revision);
                (self.request(Method::GET, &path), WATCH_TIMEOUT)
            }
        };
        let content = match call {
            StoreCall::Put { value, .. } => Bytes::copy_from_slice(value),
            _ => Bytes::new(),
        };
        let request = request.body(content).map_err(refused_error)?;
        let response = self.send(request, time_limit).await?;
        parse_reply(call, &response)
    }
}

#[async_trait]
impl ObjectStore for HttpPlatform {
    async fn call(&self, call: &StoreCall) -> StoreReply {
        match self.send_store_call(call).await {
            Ok(reply) => reply,
            Err(PlatformError::Refused { reason }) => {
                log::debug!(target: "platform", reason:%; "platform call failed without effect");
                StoreReply::Refused
            }
            Err(PlatformError::Unknown { reason }) => {
                log::debug!(target: "platform", reason:%; "no usable response from the platform");
                StoreReply::Unknown
            }
        }
    }
}

#[async_trait]
impl HostList for HttpPlatform {
    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        let request =
            self.request(Method::GET, "/hosts").body(Bytes::new()).map_err(refused_error)?;
        let response = self.send(request, CALL_TIMEOUT).await?;
        parse_json(&response)
    }
}

#[async_trait]
impl TargetOrders for HttpPlatform {
    async fn order(&self, order: &TargetOrder) -> Result<OrderReceipt, PlatformError> {
        self.post("/target-orders", order).await
    }
}

#[async_trait]
impl UsageReports for HttpPlatform {
    async fn report(&self, report: &UsageReport) -> Result<(), PlatformError> {
        self.post("/usage", report).await
    }
}

fn object_path(key: &str) -> String {
    format!("/objects/{}", encode(key))
}

/// Percent-encodes a key or a prefix.
fn encode(key: &str) -> PercentEncode<'_> {
    utf8_percent_encode(key, &ENCODED_IN_KEYS)
}

fn with_precondition(
    request: hyper::http::request::Builder,
    expect: Expect,
) -> hyper::http::request::Builder {
    match expect {
        Expect::Absent => request.header(IF_NONE_MATCH, "*"),
        Expect::At(version) => request.header(IF_MATCH, format!("\"{}\"", version.revision)),
    }
}

fn refused_error(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::Refused { reason: error.to_string() }
}

/// The error for a response whose status is no success of its call.
fn status_error(response: &ApiResponse) -> PlatformError {
    let reason = format!("{}: {}", response.status, String::from_utf8_lossy(&response.body));
    if had_no_effect(response.status) {
        return PlatformError::Refused { reason };
    }
    PlatformError::Unknown { reason }
}

async fn read_response(response: Response<Body>) -> Result<ApiResponse, PlatformError> {
    let status = response.status();
    let version = response.headers().get(ETAG).and_then(parse_etag);
    let body = collect(response.into_body(), MAX_RESPONSE_BYTES)
        .await
        .map_err(|error| PlatformError::Unknown { reason: error.to_string() })?;
    Ok(ApiResponse { status, version, body })
}

fn parse_etag(tag: &hyper::header::HeaderValue) -> Option<Version> {
    let digits = tag.to_str().ok()?.trim_matches('"');
    digits.parse().ok().map(Version::first_era)
}

fn parse_json<T: DeserializeOwned>(response: &ApiResponse) -> Result<T, PlatformError> {
    if !response.status.is_success() {
        return Err(status_error(response));
    }
    serde_json::from_slice(&response.body)
        .map_err(|error| PlatformError::Unknown { reason: error.to_string() })
}

fn parse_reply(call: &StoreCall, response: &ApiResponse) -> Result<StoreReply, PlatformError> {
    match (call, response.status) {
        (StoreCall::Get { key }, StatusCode::OK) => {
            Ok(StoreReply::Found(Some(object_from(key, response)?)))
        }
        (StoreCall::Get { .. }, StatusCode::NOT_FOUND) => Ok(StoreReply::Found(None)),
        (StoreCall::Put { .. } | StoreCall::Delete { .. }, StatusCode::OK) => {
            Ok(StoreReply::Written(version_of(response)?))
        }
        (
            StoreCall::Put { key, .. } | StoreCall::Delete { key, .. },
            StatusCode::PRECONDITION_FAILED,
        ) => Ok(StoreReply::Conflict(
            response.version.map(|_| object_from(key, response)).transpose()?,
        )),
        (StoreCall::List { .. }, StatusCode::OK) => parse_list(response),
        (StoreCall::Watch { .. }, StatusCode::OK) => parse_changes(response),
        (StoreCall::Watch { .. }, StatusCode::GONE) => Ok(StoreReply::Compacted),
        _ => Err(status_error(response)),
    }
}

fn version_of(response: &ApiResponse) -> Result<Version, PlatformError> {
    let missing =
        || PlatformError::Unknown { reason: "the response has no ETag with a version".to_owned() };
    response.version.ok_or_else(missing)
}

fn object_from(key: &str, response: &ApiResponse) -> Result<Object, PlatformError> {
    let version = version_of(response)?;
    Ok(Object { key: key.to_owned(), version, value: response.body.to_vec() })
}

fn invalid_value() -> PlatformError {
    PlatformError::Unknown { reason: "an object value is not hexadecimal".to_owned() }
}

fn parse_list(response: &ApiResponse) -> Result<StoreReply, PlatformError> {
    let list: ObjectsJson = parse_json(response)?;
    let objects: Option<Vec<Object>> = list.objects.iter().map(|json| json.to_object()).collect();
    let objects = objects.ok_or_else(invalid_value)?;
    Ok(StoreReply::Listed { objects, version: Version::first_era(list.version) })
}

fn parse_changes(response: &ApiResponse) -> Result<StoreReply, PlatformError> {
    let watch: WatchJson = parse_json(response)?;
    let changes: Option<Vec<Change>> = watch.changes.iter().map(|json| json.to_change()).collect();
    let changes = changes.ok_or_else(invalid_value)?;
    Ok(StoreReply::Changed { changes, version: Version::first_era(watch.version) })
}
