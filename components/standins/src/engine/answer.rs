//! Requests and answers in the format of the OpenAI-compatible API.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;

use crate::text::{answer_text, count_tokens, token_at};

/// Tokens generated if a request has no limit.
const DEFAULT_TOKENS: u64 = 16;

/// The fields of a request that the fake engine reads.
#[derive(Debug, Deserialize)]
pub(super) struct CompletionRequest {
    pub(super) model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(default)]
    pub(super) resume_from: u64,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

impl CompletionRequest {
    pub(super) fn prompt(&self) -> String {
        if let Some(prompt) = &self.prompt {
            return prompt.clone();
        }
        let contents: Vec<&str> = self.messages.iter().map(|message| &*message.content).collect();
        contents.join("\n")
    }

    pub(super) fn tokens(&self) -> u64 {
        self.max_completion_tokens.or(self.max_tokens).unwrap_or(DEFAULT_TOKENS)
    }

    pub(super) fn is_chat(&self) -> bool {
        self.prompt.is_none()
    }

    /// The server-sent event of one token.
    pub(super) fn token_event(&self, id: &str, index: u64) -> Bytes {
        let text = token_at(&self.prompt(), index);
        let choice = if self.is_chat() {
            json!({ "index": 0, "delta": { "content": text }, "finish_reason": null })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": null })
        };
        self.event(id, choice)
    }

    /// The last chunk of a stream and its `[DONE]` event.
    pub(super) fn last_events(&self, id: &str) -> Bytes {
        let choice = if self.is_chat() {
            json!({ "index": 0, "delta": {}, "finish_reason": "length" })
        } else {
            json!({ "index": 0, "text": "", "finish_reason": "length" })
        };
        let mut events = self.event(id, choice).to_vec();
        events.extend_from_slice(b"data: [DONE]\n\n");
        events.into()
    }

    /// The body of an answer that isn't streamed.
    pub(super) fn full_body(&self, id: &str) -> Bytes {
        let prompt = self.prompt();
        let text = answer_text(&prompt, self.tokens());
        let choice = if self.is_chat() {
            let message = json!({ "role": "assistant", "content": text });
            json!({ "index": 0, "message": message, "finish_reason": "length" })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": "length" })
        };
        let usage = json!({
            "prompt_tokens": count_tokens(&prompt),
            "completion_tokens": self.tokens(),
            "total_tokens": count_tokens(&prompt) + self.tokens(),
        });
        let object = if self.is_chat() { "chat.completion" } else { "text_completion" };
        let answer = json!({
            "id": id, "object": object, "created": 0, "model": self.model,
            "choices": [choice], "usage": usage,
        });
        answer.to_string().into()
    }

    fn event(&self, id: &str, choice: serde_json::Value) -> Bytes {
        let object = if self.is_chat() { "chat.completion.chunk" } else { "text_completion" };
        let chunk = json!({
            "id": id, "object": object, "created": 0, "model": self.model, "choices": [choice],
        });
        format!("data: {chunk}\n\n").into()
    }
}
