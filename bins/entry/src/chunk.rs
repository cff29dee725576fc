//! The chunks of a streamed completion.

use bytes::Bytes;
use serde_json::Value;

use crate::sse::event_data;

/// What one event of an engine's stream means.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Chunk {
    /// A token, or a few.
    Token(Value),
    /// The last chunk with content of its own, such as the finish reason.
    Finish(Value),
    /// Any other chunk, such as the opening role.
    Other(Value),
    /// The end mark of the stream.
    Done,
    /// A comment, kept to hold the connection open.
    Comment,
    /// Data that is no chunk.
    Malformed,
}

impl Chunk {
    /// Reads one event.
    pub(crate) fn read(event: &[u8]) -> Chunk {
        let Some(data) = event_data(event) else {
            return Chunk::Comment;
        };
        if data == b"[DONE]" {
            return Chunk::Done;
        }
        let Ok(value) = serde_json::from_slice::<Value>(data) else {
            return Chunk::Malformed;
        };
        let choice = &value["choices"][0];
        if choice["finish_reason"].is_string() {
            return Chunk::Finish(value);
        }
        if has_text(&choice["delta"]["content"]) || has_text(&choice["text"]) {
            return Chunk::Token(value);
        }
        Chunk::Other(value)
    }
}

fn has_text(value: &Value) -> bool {
    value.as_str().is_some_and(|text| !text.is_empty())
}

/// The event of a chunk, under the id that the caller knows the answer by.
pub(crate) fn write_event(mut chunk: Value, id: &str) -> Bytes {
    if let Some(field) = chunk.get_mut("id") {
        *field = Value::from(id);
    }
    format!("data: {chunk}\n\n").into()
}

/// The end mark of a stream.
pub(crate) fn done_event() -> Bytes {
    Bytes::from_static(b"data: [DONE]\n\n")
}
