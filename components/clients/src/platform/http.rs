//! The platform's HTTP API.
//!
//! Objects stand under `/objects/KEY` with their version as the entity tag, so
//! conditional updates are `If-Match` and `If-None-Match`. `/objects?prefix=`
//! lists and `/watch?prefix=&after=` waits for changes.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use chervilgate_coord::{Change, Expect, Object, StoreCall, StoreReply, Version};
use hyper::{
    Method, Request, Response, StatusCode,
    header::{ETAG, HOST, IF_MATCH, IF_NONE_MATCH},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

use crate::{
    Body, HostEntry, HostList, HttpPool, HttpSender, ObjectStore, OrderReceipt, PlatformError,
    TargetOrder, TargetOrders, UsageReport, UsageReports,
    body::collect,
    platform::{ObjectsJson, WatchJson},
};

/// Time allowed for a call that does not wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time allowed for a watch; the platform answers sooner, if only with nothing.
const WATCH_TIMEOUT: Duration = Duration::from_secs(40);
/// The longest answer read, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// The platform at one address.
#[derive(Clone)]
pub struct HttpPlatform {
    addr: SocketAddr,
    pool: HttpPool,
}

struct Answer {
    status: StatusCode,
    version: Option<Version>,
    body: Bytes,
}

impl HttpPlatform {
    /// The platform at `addr`.
    pub fn new(addr: SocketAddr) -> HttpPlatform {
        HttpPlatform { addr, pool: HttpPool::new() }
    }

    async fn send(
        &self,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<Answer, PlatformError> {
        let exchange = async {
            let response = self.pool.send(self.addr, request).await.map_err(|error| {
                let reason = error.to_string();
                if error.not_run() {
                    return PlatformError::Refused { reason };
                }
                PlatformError::Unknown { reason }
            })?;
            read_answer(response).await
        };
        let late = || PlatformError::Unknown { reason: "no answer in time".to_owned() };
        timeout(limit, exchange).await.map_err(|_| late())?
    }

    fn request(&self, method: Method, path: &str) -> hyper::http::request::Builder {
        Request::builder().method(method).uri(path).header(HOST, self.addr.to_string())
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        content: &impl Serialize,
    ) -> Result<T, PlatformError> {
        let body = serde_json::to_vec(content).map_err(refused)?;
        let request = self.request(Method::POST, path).body(Bytes::from(body)).map_err(refused)?;
        let answer = self.send(request, CALL_TIMEOUT).await?;
        parse_answer(&answer)
    }

    async fn object_call(&self, call: &StoreCall) -> Result<StoreReply, PlatformError> {
        let (request, limit) = match call {
            StoreCall::Get { key } => (self.request(Method::GET, &object_path(key)), CALL_TIMEOUT),
            StoreCall::Put { key, expect, .. } => {
                let request = self.request(Method::PUT, &object_path(key));
                (condition(request, *expect), CALL_TIMEOUT)
            }
            StoreCall::Delete { key, version } => {
                let request = self.request(Method::DELETE, &object_path(key));
                (condition(request, Expect::At(*version)), CALL_TIMEOUT)
            }
            StoreCall::List { prefix } => {
                (self.request(Method::GET, &format!("/objects?prefix={prefix}")), CALL_TIMEOUT)
            }
            StoreCall::Watch { prefix, after } => {
                let path = format!("/watch?prefix={prefix}&after={}", after.0);
                (self.request(Method::GET, &path), WATCH_TIMEOUT)
            }
        };
        let content = match call {
            StoreCall::Put { value, .. } => Bytes::copy_from_slice(value),
            _ => Bytes::new(),
        };
        let request = request.body(content).map_err(refused)?;
        let answer = self.send(request, limit).await?;
        read_reply(call, &answer)
    }
}

#[async_trait]
impl ObjectStore for HttpPlatform {
    async fn call(&self, call: &StoreCall) -> StoreReply {
        match self.object_call(call).await {
            Ok(reply) => reply,
            Err(PlatformError::Refused { reason }) => {
                log::debug!(target: "platform", reason:%; "call refused");
                StoreReply::Refused
            }
            Err(PlatformError::Unknown { reason }) => {
                log::debug!(target: "platform", reason:%; "answer lost");
                StoreReply::Unknown
            }
        }
    }
}

#[async_trait]
impl HostList for HttpPlatform {
    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        let request = self.request(Method::GET, "/hosts").body(Bytes::new()).map_err(refused)?;
        let answer = self.send(request, CALL_TIMEOUT).await?;
        parse_answer(&answer)
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
    format!("/objects/{key}")
}

fn condition(
    request: hyper::http::request::Builder,
    expect: Expect,
) -> hyper::http::request::Builder {
    match expect {
        Expect::Absent => request.header(IF_NONE_MATCH, "*"),
        Expect::At(version) => request.header(IF_MATCH, format!("\"{}\"", version.0)),
    }
}

fn refused(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::Refused { reason: error.to_string() }
}

async fn read_answer(response: Response<Body>) -> Result<Answer, PlatformError> {
    let status = response.status();
    let version = response.headers().get(ETAG).and_then(read_tag);
    let body = collect(response.into_body(), ANSWER_LIMIT)
        .await
        .map_err(|error| PlatformError::Unknown { reason: error.to_string() })?;
    Ok(Answer { status, version, body })
}

fn read_tag(tag: &hyper::header::HeaderValue) -> Option<Version> {
    let digits = tag.to_str().ok()?.trim_matches('"');
    digits.parse().ok().map(Version)
}

fn parse_answer<T: DeserializeOwned>(answer: &Answer) -> Result<T, PlatformError> {
    if answer.status.is_server_error() {
        return Err(PlatformError::Refused { reason: answer.status.to_string() });
    }
    if !answer.status.is_success() {
        let text = String::from_utf8_lossy(&answer.body);
        return Err(PlatformError::Refused { reason: format!("{}: {text}", answer.status) });
    }
    serde_json::from_slice(&answer.body)
        .map_err(|error| PlatformError::Unknown { reason: error.to_string() })
}

fn read_reply(call: &StoreCall, answer: &Answer) -> Result<StoreReply, PlatformError> {
    match (call, answer.status) {
        (StoreCall::Get { key }, StatusCode::OK) => {
            Ok(StoreReply::Found(Some(read_object(key, answer)?)))
        }
        (StoreCall::Get { .. }, StatusCode::NOT_FOUND) => Ok(StoreReply::Found(None)),
        (StoreCall::Put { .. } | StoreCall::Delete { .. }, StatusCode::OK) => {
            Ok(StoreReply::Written(read_version(answer)?))
        }
        (
            StoreCall::Put { key, .. } | StoreCall::Delete { key, .. },
            StatusCode::PRECONDITION_FAILED,
        ) => {
            Ok(StoreReply::Conflict(answer.version.map(|_| read_object(key, answer)).transpose()?))
        }
        (StoreCall::List { .. }, StatusCode::OK) => read_list(answer),
        (StoreCall::Watch { .. }, StatusCode::OK) => read_changes(answer),
        (StoreCall::Watch { .. }, StatusCode::GONE) => Ok(StoreReply::Compacted),
        (_, status) => Err(refused(status)),
    }
}

fn read_version(answer: &Answer) -> Result<Version, PlatformError> {
    let missing = || PlatformError::Unknown { reason: "an answer without a version".to_owned() };
    answer.version.ok_or_else(missing)
}

fn read_object(key: &str, answer: &Answer) -> Result<Object, PlatformError> {
    let version = read_version(answer)?;
    Ok(Object { key: key.to_owned(), version, value: answer.body.to_vec() })
}

fn bad_value() -> PlatformError {
    PlatformError::Unknown { reason: "a value that is not hexadecimal".to_owned() }
}

fn read_list(answer: &Answer) -> Result<StoreReply, PlatformError> {
    let list: ObjectsJson = parse_answer(answer)?;
    let objects: Option<Vec<Object>> = list.objects.iter().map(|json| json.to_object()).collect();
    let objects = objects.ok_or_else(bad_value)?;
    Ok(StoreReply::Listed { objects, version: Version(list.version) })
}

fn read_changes(answer: &Answer) -> Result<StoreReply, PlatformError> {
    let watch: WatchJson = parse_answer(answer)?;
    let changes: Option<Vec<Change>> = watch.changes.iter().map(|json| json.to_change()).collect();
    let changes = changes.ok_or_else(bad_value)?;
    Ok(StoreReply::Changed { changes, version: Version(watch.version) })
}
