//! Parses server-sent events, limited to what the OpenAI API uses.

use bytes::{Buf, Bytes, BytesMut};

/// The longest event accepted, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event exceeds the length limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EventTooLong;

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    buffer: BytesMut,
}

impl EventReader {
    /// Appends bytes from the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete event, with its closing blank line; `None` if more bytes are needed.
    ///
    /// # Errors
    /// If an event exceeds the limit.
    pub(crate) fn next_event(&mut self) -> Result<Option<Bytes>, EventTooLong> {
        let end = find_end(&self.buffer);
        let Some(end) = end else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
            return Ok(None);
        };
        let event = self.buffer.copy_to_bytes(end);
        Ok(Some(event))
    }
}

fn find_end(buffer: &[u8]) -> Option<usize> {
    let plain = buffer.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = buffer.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    match (plain, crlf) {
        (Some(plain), Some(crlf)) => Some(plain.min(crlf)),
        (plain, crlf) => plain.or(crlf),
    }
}

/// The data of an event; `None` if it has no `data` field, as a comment.
pub(crate) fn event_data(event: &[u8]) -> Option<&[u8]> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(b"data:"))?;
    Some(line["data:".len()..].trim_ascii())
}
