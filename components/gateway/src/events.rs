//! Splits event streams into complete events.

use bytes::{Bytes, BytesMut};

/// Separates two events.
const EVENT_DELIMITER: &[u8] = b"\n\n";

/// Collects the bytes of a target's stream into complete events.
///
/// A target may fail in the middle of an event. The incomplete event is dropped, so
/// that another target can resume after the last complete one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<u64>,
    has_events: bool,
}

impl EventSplitter {
    /// Skips events with an id up to `last_id`; none skips nothing.
    pub fn after(last_id: Option<u64>) -> EventSplitter {
        EventSplitter { last_id, ..EventSplitter::default() }
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether an event was returned; a comment is none.
    pub fn has_events(&self) -> bool {
        self.has_events
    }

    /// Number of buffered bytes of an incomplete event.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Appends bytes; returns the events that are now complete and were not seen
    /// before.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.buffer) else { return Bytes::new() };
        let whole = self.buffer.split_to(end).freeze();
        let mut out = BytesMut::with_capacity(whole.len());
        let mut start = 0;
        while let Some(length) = first_event_end(&whole[start..]) {
            let event = &whole[start..start + length];
            start += length;
            let number = event_id(event);
            if number.is_some() && number <= self.last_id {
                continue;
            }
            self.last_id = number.or(self.last_id);
            self.has_events |= !is_comment(event);
            out.extend_from_slice(event);
        }
        out.freeze()
    }
}

/// End of the first complete event.
fn first_event_end(bytes: &[u8]) -> Option<usize> {
    let at = bytes.windows(EVENT_DELIMITER.len()).position(|window| window == EVENT_DELIMITER)?;
    Some(at + EVENT_DELIMITER.len())
}

/// End of the last complete event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let at = bytes.windows(EVENT_DELIMITER.len()).rposition(|window| window == EVENT_DELIMITER)?;
    Some(at + EVENT_DELIMITER.len())
}

/// Whether all lines are comments.
fn is_comment(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').all(|line| line.is_empty() || line.starts_with(b":"))
}

/// The numeric `id` field of an event, if it has one.
fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
