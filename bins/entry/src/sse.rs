//! Server-sent events, as far as the OpenAI-compatible API uses them.

use bytes::{Buf, Bytes, BytesMut};

/// The longest event accepted, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event that is longer than any real one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EventTooLong;

/// Cuts a byte stream into events.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    buffer: BytesMut,
}

impl EventReader {
    /// Takes in the next bytes of the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event with its closing blank line, if it is all there.
    ///
    /// # Errors
    /// If an event grows past the limit.
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

/// The data of an event; none for a comment or another field.
pub(crate) fn event_data(event: &[u8]) -> Option<&[u8]> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(b"data:"))?;
    Some(line["data:".len()..].trim_ascii())
}
