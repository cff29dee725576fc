//! Event streams, cut into whole events.

use bytes::{Bytes, BytesMut};

/// Ends an event.
const END: &[u8] = b"\n\n";

/// Collects the bytes of one target's stream into whole events.
///
/// A target may break off inside an event; what it sent of that one is dropped,
/// so that another target can go on after the last whole one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
    last: Option<u64>,
}

impl EventSplitter {
    /// Nothing seen, or all events up to number `last`.
    pub fn after(last: Option<u64>) -> EventSplitter {
        EventSplitter { rest: BytesMut::new(), last }
    }

    /// The number of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Bytes of an event that is not whole.
    pub fn rest(&self) -> usize {
        self.rest.len()
    }

    /// Takes in bytes; returns the events that are whole now and not seen before.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.rest.extend_from_slice(bytes);
        let Some(end) = find_last(&self.rest) else { return Bytes::new() };
        let whole = self.rest.split_to(end).freeze();
        let mut out = BytesMut::with_capacity(whole.len());
        let mut start = 0;
        while let Some(length) = find(&whole[start..]) {
            let event = &whole[start..start + length];
            start += length;
            let number = number(event);
            if number.is_some() && number <= self.last {
                continue;
            }
            self.last = number.or(self.last);
            out.extend_from_slice(event);
        }
        out.freeze()
    }
}

/// Where the first event ends.
fn find(bytes: &[u8]) -> Option<usize> {
    let at = bytes.windows(END.len()).position(|window| window == END)?;
    Some(at + END.len())
}

/// Where the last whole event ends.
fn find_last(bytes: &[u8]) -> Option<usize> {
    let at = bytes.windows(END.len()).rposition(|window| window == END)?;
    Some(at + END.len())
}

/// The number of an event, if it has one.
fn number(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
