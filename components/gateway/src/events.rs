//! Splits event streams into complete events.

use bytes::{Bytes, BytesMut};

use crate::joining::{Position, Rejection};

/// Separates two events.
const EVENT_DELIMITER: &[u8] = b"\n\n";

/// Collects the bytes of a target's stream into complete events.
///
/// A target may fail in the middle of an event. The incomplete event is dropped, so
/// that another target can resume after the last complete one. The same holds from an event on that
/// is not the next one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    position: Position,
    rejection: Option<Rejection>,
}

impl EventSplitter {
    /// Expects what follows on the event `last_id` where streams count by one; none at the start of a
    /// stream.
    pub fn after(last_id: Option<u64>) -> EventSplitter {
        EventSplitter::at(Position::after(last_id).like_others(true))
    }

    /// Expects what follows on `position`.
    pub fn at(position: Position) -> EventSplitter {
        EventSplitter { position, ..EventSplitter::default() }
    }

    /// Where the stream is after the events that were returned.
    pub fn position(&self) -> &Position {
        &self.position
    }

    /// Why no further events are returned, if one was not the next.
    pub fn rejection(&self) -> Option<Rejection> {
        self.rejection
    }

    /// Number of buffered bytes of an incomplete event.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Appends bytes; returns the events that are now complete, up to the first that is not the next.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        if self.rejection.is_some() {
            return Bytes::new();
        }
        self.buffer.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.buffer) else { return Bytes::new() };
        let mut whole = self.buffer.split_to(end).freeze();
        let mut passed = 0;
        while let Some(length) = first_event_end(&whole[passed..]) {
            let event = &whole[passed..passed + length];
            if !is_comment(event)
                && let Err(rejection) = self.position.advance(event_id(event))
            {
                self.rejection = Some(rejection);
                break;
            }
            passed += length;
        }
        whole.truncate(passed);
        whole
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
