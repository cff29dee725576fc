//! The chunks of a streamed completion.

use bytes::Bytes;
use serde_json::Value;

use crate::sse::event_data;

/// One parsed event of an engine's stream.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Chunk {
    /// Generated text: one token or several.
    Token(Value),
    /// The chunk with the finish reason.
    Finish(Value),
    /// Any other chunk, such as the first one, which holds only the role.
    Other(Value),
    /// The `[DONE]` event that ends the stream.
    Done,
    /// A comment, which engines send as a keep-alive.
    Comment,
    /// Data that is not JSON.
    Malformed,
}

impl Chunk {
    /// Parses one event, as returned by [`EventReader::next_event`](crate::sse::EventReader).
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

/// Serializes a chunk as an event, with its id replaced by the request id sent to the caller.
pub(crate) fn write_event(mut chunk: Value, id: &str) -> Bytes {
    if let Some(field) = chunk.get_mut("id") {
        *field = Value::from(id);
    }
    format!("data: {chunk}\n\n").into()
}

/// The `[DONE]` event that ends a stream.
pub(crate) fn done_event() -> Bytes {
    Bytes::from_static(b"data: [DONE]\n\n")
}
