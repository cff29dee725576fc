//! Client for streamed chat completions that checks each answer byte for byte.

use std::time::{Duration, Instant};

use bytes::Bytes;
use chervilgate_standins::answer_text;
use futures_util::StreamExt;
use http_body_util::{BodyDataStream, Full};
use hyper::{
    Request, Uri,
    header::{AUTHORIZATION, CONTENT_TYPE},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::Deserialize;
use serde_json::json;

/// Maximum time for a complete answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends chat completion requests to one URL over pooled connections.
#[derive(Debug, Clone)]
pub struct ChatClient {
    client: Client<HttpConnector, Full<Bytes>>,
    uri: Uri,
    key: Option<String>,
    model: String,
}

/// Token latencies of one answer.
#[derive(Debug, Clone)]
pub struct TokenTiming {
    /// Time from the request to the first token.
    pub first_token: Duration,
    /// Times between consecutive tokens.
    pub gaps: Vec<Duration>,
}

/// Why a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    /// No answer came, or it broke off or timed out.
    Broken,
    /// The status of the response was not a success.
    Refused,
    /// The answer differs from the expected one.
    Wrong,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    delta: Delta,
}

#[derive(Debug, Deserialize)]
struct Delta {
    #[serde(default)]
    content: String,
}

/// Parser of an event stream, with the answer received so far.
#[derive(Debug, Default)]
struct EventReader {
    buffer: Vec<u8>,
    text: String,
    times: Vec<Instant>,
    done: bool,
}

impl ChatClient {
    /// A client of the system at base URL `url`, such as `http://127.0.0.1:8080`.
    ///
    /// # Errors
    ///
    /// If `url` is not a valid URL.
    pub fn new(
        url: &str,
        key: Option<String>,
        model: &str,
    ) -> Result<ChatClient, hyper::http::uri::InvalidUri> {
        let uri = format!("{}/v1/chat/completions", url.trim_end_matches('/')).parse()?;
        let client = Client::builder(TokioExecutor::new()).build_http();
        Ok(ChatClient { client, uri, key, model: model.to_owned() })
    }

    /// Requests a streamed answer of `tokens` tokens to `prompt` and checks it.
    ///
    /// # Errors
    ///
    /// A [`Failure`] if the expected answer did not arrive completely.
    pub async fn chat(&self, prompt: &str, tokens: u64) -> Result<TokenTiming, Failure> {
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, self.request_answer(prompt, tokens));
        answer.await.unwrap_or(Err(Failure::Broken))
    }

    async fn request_answer(&self, prompt: &str, tokens: u64) -> Result<TokenTiming, Failure> {
        let sent = Instant::now();
        let request = self.request(prompt, tokens).ok_or(Failure::Broken)?;
        let response = self.client.request(request).await.map_err(|_| Failure::Broken)?;
        if !response.status().is_success() {
            return Err(Failure::Refused);
        }
        let mut reader = EventReader::default();
        let mut body = BodyDataStream::new(response.into_body());
        while let Some(data) = body.next().await {
            reader.push(&data.map_err(|_| Failure::Broken)?)?;
        }
        reader.finish(sent, &answer_text(prompt, tokens))
    }

    fn request(&self, prompt: &str, tokens: u64) -> Option<Request<Full<Bytes>>> {
        let content = json!({
            "model": self.model, "stream": true, "max_tokens": tokens,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let mut request = Request::post(&self.uri).header(CONTENT_TYPE, "application/json");
        if let Some(key) = &self.key {
            request = request.header(AUTHORIZATION, format!("Bearer {key}"));
        }
        request.body(Full::from(content.to_string())).ok()
    }
}

impl EventReader {
    fn push(&mut self, data: &[u8]) -> Result<(), Failure> {
        self.buffer.extend_from_slice(data);
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            self.handle_event(&event[..end])?;
        }
        Ok(())
    }

    fn handle_event(&mut self, event: &[u8]) -> Result<(), Failure> {
        let Some(data) = event.strip_prefix(b"data: ") else { return Ok(()) };
        if data == b"[DONE]" {
            self.done = true;
            return Ok(());
        }
        let chunk: Chunk = serde_json::from_slice(data).map_err(|_| Failure::Wrong)?;
        let content = chunk.choices.first().map(|choice| &*choice.delta.content);
        if let Some(content) = content.filter(|content| !content.is_empty()) {
            self.text.push_str(content);
            self.times.push(Instant::now());
        }
        Ok(())
    }

    fn finish(self, sent: Instant, expected: &str) -> Result<TokenTiming, Failure> {
        if !self.done {
            return Err(Failure::Broken);
        }
        if self.text != expected {
            return Err(Failure::Wrong);
        }
        let first_token = self.times.first().ok_or(Failure::Wrong)?.duration_since(sent);
        let gaps = self.times.windows(2).map(|pair| pair[1].duration_since(pair[0])).collect();
        Ok(TokenTiming { first_token, gaps })
    }
}
