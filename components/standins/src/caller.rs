//! An HTTP client that calls an entry as an organisation's application does.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use chervilgate_clients::{HttpPool, HttpSender};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Method, Request, StatusCode,
    header::{AUTHORIZATION, HOST},
};
use serde_json::{Value, json};

use crate::text::answer_text;

/// Longest answer body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Timeout for a whole answer, body included.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends requests to any entry, all with the same key or without one.
#[derive(Clone)]
pub struct Caller {
    key: Option<String>,
    pool: HttpPool,
}

/// A received answer with its body, which may be incomplete.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// The part of the body that was read.
    pub body: Bytes,
    /// Whether the body was read to its end, within the size limit.
    pub complete: bool,
}

impl Answer {
    /// The body as JSON; null if it isn't valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The `x-chervilgate-outcome` header: whether a failed request ran.
    pub fn outcome(&self) -> Option<&str> {
        self.headers.get("x-chervilgate-outcome")?.to_str().ok()
    }

    /// The text of a streamed chat; `None` if it doesn't end with `[DONE]`.
    pub fn streamed_text(&self) -> Option<String> {
        let text = String::from_utf8_lossy(&self.body);
        let data: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
        let (last, chunks) = data.split_last()?;
        if *last != "[DONE]" {
            return None;
        }
        let chunks = chunks.iter().filter_map(|chunk| serde_json::from_str::<Value>(chunk).ok());
        let texts = chunks.filter_map(|chunk| {
            chunk["choices"][0]["delta"]["content"].as_str().map(str::to_owned)
        });
        Some(texts.collect())
    }

    /// Whether this is the whole streamed answer to `prompt`, `tokens` tokens long.
    pub fn matches_chat(&self, prompt: &str, tokens: u64) -> bool {
        self.streamed_text().is_some_and(|text| text == answer_text(prompt, tokens))
    }
}

impl Caller {
    /// Creates a caller that sends `key` as its bearer token.
    pub fn new(key: &str) -> Caller {
        Caller { key: Some(key.to_owned()), pool: HttpPool::comparing_ids() }
    }

    /// Creates a caller without a key.
    pub fn without_key() -> Caller {
        Caller { key: None, pool: HttpPool::comparing_ids() }
    }

    /// Sends a GET request; `None` if no answer arrived.
    pub async fn get(&self, entry: SocketAddr, path: &str) -> Option<Answer> {
        self.send(entry, Method::GET, path, &[], Bytes::new()).await
    }

    /// Sends a POST request with JSON; `None` if no answer arrived.
    pub async fn post(&self, entry: SocketAddr, path: &str, content: &Value) -> Option<Answer> {
        self.send(entry, Method::POST, path, &[], content.to_string().into()).await
    }

    /// Requests a streamed chat of model `m1`; `None` if no answer arrived.
    pub async fn chat(&self, entry: SocketAddr, prompt: &str, tokens: u64) -> Option<Answer> {
        let content = json!({
            "model": "m1", "stream": true, "max_tokens": tokens,
            "messages": [{ "role": "user", "content": prompt }],
        });
        self.post(entry, "/v1/chat/completions", &content).await
    }

    /// Sends a request; `None` if no answer arrived in time.
    pub async fn send(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Option<Answer> {
        let mut request =
            Request::builder().method(method).uri(path).header(HOST, entry.to_string());
        if let Some(key) = &self.key {
            request = request.header(AUTHORIZATION, format!("Bearer {key}"));
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(body).ok()?;
        tokio::time::timeout(ANSWER_TIMEOUT, self.exchange(entry, request)).await.ok()?
    }

    async fn exchange(&self, entry: SocketAddr, request: Request<Bytes>) -> Option<Answer> {
        let response = self.pool.send(entry, request).await.ok()?;
        let (head, mut body) = response.into_parts();
        let mut read = Vec::new();
        let mut complete = true;
        while let Some(frame) = body.frame().await {
            match frame.map(|frame| frame.into_data()) {
                Ok(Ok(bytes)) if read.len() + bytes.len() <= MAX_RESPONSE_BYTES => {
                    read.extend_from_slice(&bytes);
                }
                Ok(Err(_)) => {}
                _ => {
                    complete = false;
                    break;
                }
            }
        }
        Some(Answer { status: head.status, headers: head.headers, body: read.into(), complete })
    }
}
