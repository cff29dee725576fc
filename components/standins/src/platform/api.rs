//! The HTTP API of the fake platform.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use chervilgate_clients::{
    Body,
    body::{collect, empty, full},
    platform::{ObjectJson, ObjectsJson, WatchJson},
};
use chervilgate_coord::{Expect, Object, Version};
use chervilgate_serve::Handler;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::Incoming,
    header::{ETAG, IF_MATCH, IF_NONE_MATCH},
};
use percent_encoding::percent_decode_str;
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::{Instant, sleep, timeout_at};

use super::{Shared, objects::Conflict};

/// Longest request body and thus largest object value, in bytes.
const MAX_REQUEST_BYTES: usize = 1 << 20;
/// How long the store holds a watch open before it replies without changes.
const WATCH_HOLD_TIME: Duration = Duration::from_secs(20);

pub(super) struct Api {
    pub(super) shared: Arc<Shared>,
}

#[async_trait]
impl Handler for Api {
    async fn handle(&self, _peer: SocketAddr, request: Request<Incoming>) -> Response<Body> {
        let faults = self.shared.lock().faults;
        sleep(faults.delay).await;
        if faults.down {
            return reply_status(StatusCode::SERVICE_UNAVAILABLE);
        }
        self.shared.lock().record.calls += 1;
        let response = self.answer(request).await;
        if self.shared.lock().faults.lose_answers {
            return lost_answer();
        }
        response
    }
}

impl Api {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let query = form_urlencoded::parse(head.uri.query().unwrap_or_default().as_bytes());
        let query: BTreeMap<String, String> = query.into_owned().collect();
        let Ok(path) = percent_decode_str(head.uri.path()).decode_utf8() else {
            return reply_status(StatusCode::BAD_REQUEST);
        };
        let Ok(content) = collect(body, MAX_REQUEST_BYTES).await else {
            return reply_status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        if let Some(key) = path.strip_prefix("/objects/") {
            return self.object(&head.method, key, &head.headers, content);
        }
        match (&head.method, &*path) {
            (&Method::GET, "/objects") => self.list(&query),
            (&Method::GET, "/watch") => self.watch(&query).await,
            (&Method::GET, "/hosts") => json(&self.shared.lock().hosts),
            (&Method::POST, "/target-orders") => {
                self.post(&content, |record, order| record.add_order(order))
            }
            (&Method::POST, "/usage") => {
                self.post(&content, |record, report| record.add_usage(report))
            }
            _ => reply_status(StatusCode::NOT_FOUND),
        }
    }

    fn object(
        &self,
        method: &Method,
        key: &str,
        headers: &HeaderMap,
        content: Bytes,
    ) -> Response<Body> {
        let mut state = self.shared.lock();
        let written = match (method, read_condition(headers)) {
            (&Method::GET, _) => return reply_object(state.objects.get(key), StatusCode::OK),
            (&Method::PUT, Some(expect)) => state.objects.put(key, expect, content.to_vec()),
            (&Method::DELETE, Some(Expect::At(version))) => state.objects.delete(key, version),
            _ => return reply_status(StatusCode::BAD_REQUEST),
        };
        state.record.writes += 1;
        drop(state);
        match written {
            Ok(version) => {
                self.shared.changed.notify_waiters();
                versioned(StatusCode::OK, version, Bytes::new())
            }
            Err(Conflict(object)) => reply_object(object.as_ref(), StatusCode::PRECONDITION_FAILED),
        }
    }

    fn list(&self, query: &BTreeMap<String, String>) -> Response<Body> {
        let prefix = query.get("prefix").map_or("", String::as_str);
        let state = self.shared.lock();
        let objects = state.objects.list(prefix).map(ObjectJson::from_object).collect();
        json(&ObjectsJson { version: state.objects.version().revision, objects })
    }

    async fn watch(&self, query: &BTreeMap<String, String>) -> Response<Body> {
        let prefix = query.get("prefix").map_or("", String::as_str);
        let after = query.get("after").and_then(|after| after.parse().ok()).unwrap_or(0);
        let deadline = Instant::now() + WATCH_HOLD_TIME;
        loop {
            let changed = self.shared.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(response) = self.watch_response(prefix, Version::first_era(after)) {
                return response;
            }
            if timeout_at(deadline, changed).await.is_err() {
                let version = self.shared.lock().objects.version().revision;
                return json(&WatchJson { version, changes: Vec::new() });
            }
        }
    }

    fn watch_response(&self, prefix: &str, after: Version) -> Option<Response<Body>> {
        let state = self.shared.lock();
        if state.faults.down {
            return Some(reply_status(StatusCode::SERVICE_UNAVAILABLE));
        }
        let Some(changes) = state.objects.changes(prefix, after) else {
            return Some(reply_status(StatusCode::GONE));
        };
        if changes.is_empty() {
            return None;
        }
        let changes = changes.into_iter().map(ObjectJson::from_change).collect();
        Some(json(&WatchJson { version: state.objects.version().revision, changes }))
    }

    fn post<T: DeserializeOwned, A: Serialize>(
        &self,
        content: &Bytes,
        add: impl FnOnce(&mut super::PlatformRecord, T) -> A,
    ) -> Response<Body> {
        match serde_json::from_slice(content) {
            Ok(posted) => json(&add(&mut self.shared.lock().record, posted)),
            Err(error) => respond(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

fn read_condition(headers: &HeaderMap) -> Option<Expect> {
    if headers.get(IF_NONE_MATCH).is_some_and(|tag| tag == "*") {
        return Some(Expect::Absent);
    }
    let tag = headers.get(IF_MATCH)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok().map(|version| Expect::At(Version::first_era(version)))
}

fn reply_object(object: Option<&Object>, code: StatusCode) -> Response<Body> {
    match object {
        Some(object) => versioned(code, object.version, Bytes::copy_from_slice(&object.value)),
        None if code == StatusCode::OK => reply_status(StatusCode::NOT_FOUND),
        None => reply_status(code),
    }
}

fn versioned(code: StatusCode, version: Version, content: Bytes) -> Response<Body> {
    let mut response = respond(code, content);
    if let Ok(tag) = format!("\"{}\"", version.revision).parse() {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}

fn json(content: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(content) {
        Ok(bytes) => respond(StatusCode::OK, bytes),
        Err(error) => respond(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn reply_status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = code;
    response
}

fn respond(code: StatusCode, content: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(content));
    *response.status_mut() = code;
    response
}

/// A response that breaks the connection before any body is sent.
fn lost_answer() -> Response<Body> {
    crate::listen::broken_response(Vec::new())
}
