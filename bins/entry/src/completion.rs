//! Parsing and checking of completion requests.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use bytes::Bytes;
use chervilgate_policy::{BLOCK_TOKENS, BlockHash};
use serde_json::{Map, Value};

use crate::outcome::Failure;

/// Average bytes of text per token, for estimating prompt length.
const BYTES_PER_TOKEN: usize = 4;
/// Output length assumed for a request without a limit, in tokens.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;
/// The largest output limit accepted, in tokens.
const MAX_OUTPUT_TOKENS: u64 = 1 << 20;

/// The two completion APIs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Interface {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl Interface {
    pub(crate) fn path(self) -> &'static str {
        match self {
            Interface::Chat => "/v1/chat/completions",
            Interface::Text => "/v1/completions",
        }
    }

    fn prompt_field(self) -> &'static str {
        match self {
            Interface::Chat => "messages",
            Interface::Text => "prompt",
        }
    }
}

/// A checked completion request.
#[derive(Debug, Clone)]
pub(crate) struct Completion {
    pub interface: Interface,
    /// The model asked for.
    pub model: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Prompt length, estimated in tokens.
    pub prompt_tokens: u32,
    /// Largest output length, in tokens.
    pub max_output: u32,
    /// One hash per full block of the prompt, each over the prompt up to the block's end.
    pub prefix: Arc<[BlockHash]>,
    fields: Map<String, Value>,
}

impl Completion {
    /// Parses and checks a request's body.
    ///
    /// # Errors
    /// If it is not JSON or a field is missing or wrong; the failure names the field.
    pub(crate) fn read(interface: Interface, body: &[u8]) -> Result<Completion, Failure> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|error| Failure::invalid("invalid_json", format!("invalid JSON: {error}")))?;
        let Value::Object(fields) = value else {
            return Err(Failure::invalid("invalid_json", "the body must be a JSON object"));
        };
        let model = read_model(&fields)?;
        let stream = read_flag(&fields, "stream")?;
        let text = prompt_text(interface, &fields)?;
        let max_output = read_max_output_tokens(&fields)?;
        let prompt_tokens = u32::try_from(text.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX).max(1);
        let prefix = hash_prefix(&text);
        Ok(Completion { interface, model, stream, prompt_tokens, max_output, prefix, fields })
    }

    /// Hash of the whole request, by which repeated crashes are traced to one request.
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        Value::Object(self.fields.clone()).to_string().hash(&mut hasher);
        hasher.finish()
    }

    /// The body to send to an engine that serves `version`.
    ///
    /// With `resume_from` above zero, the engine skips that many output tokens.
    pub(crate) fn to_body(&self, version: &str, resume_from: u64) -> Bytes {
        let mut fields = self.fields.clone();
        fields.insert("model".to_owned(), Value::from(version));
        if resume_from > 0 {
            fields.insert("resume_from".to_owned(), Value::from(resume_from));
        }
        Value::Object(fields).to_string().into()
    }
}

fn invalid_field(field: &str, expected: &str) -> Failure {
    Failure::invalid("invalid_value", format!("`{field}` must be {expected}")).with_param(field)
}

fn read_model(fields: &Map<String, Value>) -> Result<String, Failure> {
    let model = fields.get("model").and_then(Value::as_str);
    model.map(str::to_owned).ok_or_else(|| invalid_field("model", "the name of a model"))
}

fn read_flag(fields: &Map<String, Value>, name: &str) -> Result<bool, Failure> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(invalid_field(name, "true or false")),
    }
}

fn read_max_output_tokens(fields: &Map<String, Value>) -> Result<u32, Failure> {
    for name in ["max_completion_tokens", "max_tokens"] {
        let Some(value) = fields.get(name).filter(|value| !value.is_null()) else {
            continue;
        };
        let tokens = value.as_u64().filter(|tokens| (1..=MAX_OUTPUT_TOKENS).contains(tokens));
        let tokens = tokens.and_then(|tokens| u32::try_from(tokens).ok());
        return tokens.ok_or_else(|| {
            invalid_field(name, &format!("a whole number from 1 to {MAX_OUTPUT_TOKENS}"))
        });
    }
    Ok(DEFAULT_OUTPUT_TOKENS)
}

fn prompt_text(interface: Interface, fields: &Map<String, Value>) -> Result<String, Failure> {
    let field = interface.prompt_field();
    let value = fields.get(field);
    let text = match interface {
        Interface::Text => value.and_then(Value::as_str).map(str::to_owned),
        Interface::Chat => value.and_then(Value::as_array).and_then(|list| messages_text(list)),
    };
    let expected = match interface {
        Interface::Text => "a string",
        Interface::Chat => "a list of messages, each with a `role` and its `content`",
    };
    text.filter(|text| !text.is_empty()).ok_or_else(|| invalid_field(field, expected))
}

fn messages_text(messages: &[Value]) -> Option<String> {
    let mut text = String::new();
    for message in messages {
        text.push_str(message["role"].as_str()?);
        text.push('\n');
        match &message["content"] {
            Value::String(content) => text.push_str(content),
            Value::Null => {}
            other => text.push_str(&other.to_string()),
        }
        text.push('\n');
    }
    Some(text)
}

fn hash_prefix(text: &str) -> Arc<[BlockHash]> {
    let block = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;
    let mut hasher = DefaultHasher::new();
    let blocks = text.as_bytes().chunks_exact(block).map(|bytes| {
        bytes.hash(&mut hasher);
        BlockHash(hasher.finish())
    });
    blocks.collect()
}
