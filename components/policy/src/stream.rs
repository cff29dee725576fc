//! Open output streams and how they resume after a crash.
//!
//! The text sent to the caller is buffered, so that another engine can continue after it. The
//! buffers of all streams together are bounded: above the limit, the longest texts are
//! dropped until a low watermark is reached. A stream without its text is replayed from the
//! start; tokens that were already sent are discarded, provided that the replay produces the
//! same tokens.
//!
//! Tokens carry their attempt number and their position in the output. Late tokens of an
//! earlier attempt are discarded, so no token is sent twice.

use std::{
    collections::{BTreeSet, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
};

use crate::Ticket;

#[cfg(test)]
mod tests;

/// Low watermark of buffered text, as a fraction of the limit.
const LOW_WATERMARK: (usize, usize) = (3, 4);

/// Number of an attempt at a stream, starting at zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct AttemptNo(pub u32);

/// What to do with a token received from an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// Send it to the caller.
    Send,
    /// Discard it: it was already sent, or is from an earlier attempt.
    Discard,
    /// Abort the attempt: tokens are missing, or a replay differs.
    Abort,
}

/// How to resume an interrupted stream on another engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Resume {
    /// Continue after the text sent so far; the next token has index `sent`.
    Continue {
        /// The new attempt.
        attempt: AttemptNo,
        /// Tokens sent.
        sent: u32,
        /// Text of these tokens.
        text: String,
    },
    /// Replay from the start; the first `sent` tokens are discarded.
    Replay {
        /// The new attempt.
        attempt: AttemptNo,
        /// Tokens sent.
        sent: u32,
    },
}

#[derive(Debug, Default)]
struct OpenStream {
    attempt: AttemptNo,
    sent: u32,
    /// Hash of all tokens sent.
    hash: DefaultHasher,
    /// Text of these tokens; `None` once dropped to limit memory.
    text: Option<String>,
    replay: Option<Replay>,
}

/// Progress of a replay through the tokens already sent.
#[derive(Debug, Default)]
struct Replay {
    checked: u32,
    hash: DefaultHasher,
}

/// The open streams of one host.
#[derive(Debug)]
pub struct StreamTable {
    max_bytes: usize,
    buffered_bytes: usize,
    streams: HashMap<Ticket, OpenStream>,
    /// Streams with buffered text, by its length in bytes.
    by_text_len: BTreeSet<(usize, Ticket)>,
}

impl StreamTable {
    /// Creates an empty table that buffers at most `max_bytes` bytes of text.
    pub fn new(max_bytes: usize) -> StreamTable {
        StreamTable {
            max_bytes,
            buffered_bytes: 0,
            streams: HashMap::new(),
            by_text_len: BTreeSet::new(),
        }
    }

    /// Total size of the buffered text, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Opens a stream, replacing one with the same ticket.
    pub fn open(&mut self, ticket: Ticket) -> AttemptNo {
        self.close(ticket);
        let stream = OpenStream { text: Some(String::new()), ..OpenStream::default() };
        self.streams.insert(ticket, stream);
        self.by_text_len.insert((0, ticket));
        AttemptNo::default()
    }

    /// Handles token number `index` of the output, received from `attempt`.
    pub fn on_token(
        &mut self,
        ticket: Ticket,
        attempt: AttemptNo,
        index: u32,
        text: &str,
    ) -> Delivery {
        let Some(stream) = self.streams.get_mut(&ticket) else { return Delivery::Discard };
        if attempt != stream.attempt {
            return Delivery::Discard;
        }
        if index < stream.sent {
            return stream.check_replayed(index, text);
        }
        if index > stream.sent || stream.replay.is_some() {
            return Delivery::Abort;
        }
        stream.sent += 1;
        text.hash(&mut stream.hash);
        if let Some(buffered) = &mut stream.text {
            self.by_text_len.remove(&(buffered.len(), ticket));
            buffered.push_str(text);
            self.by_text_len.insert((buffered.len(), ticket));
            self.buffered_bytes += text.len();
        }
        if self.buffered_bytes > self.max_bytes {
            self.drop_longest_texts();
        }
        Delivery::Send
    }

    /// Starts a new attempt and returns how to resume; `None` if the stream is not open.
    pub fn resume(&mut self, ticket: Ticket) -> Option<Resume> {
        let stream = self.streams.get_mut(&ticket)?;
        stream.attempt.0 += 1;
        let (attempt, sent) = (stream.attempt, stream.sent);
        let Some(text) = stream.text.clone() else {
            stream.replay = (sent > 0).then(Replay::default);
            return Some(Resume::Replay { attempt, sent });
        };
        Some(Resume::Continue { attempt, sent, text })
    }

    /// Closes a stream that ended or whose caller disconnected. False if it was not open.
    pub fn close(&mut self, ticket: Ticket) -> bool {
        let Some(stream) = self.streams.remove(&ticket) else { return false };
        if let Some(text) = stream.text {
            self.by_text_len.remove(&(text.len(), ticket));
            self.buffered_bytes -= text.len();
        }
        true
    }

    fn drop_longest_texts(&mut self) {
        let (part, whole) = LOW_WATERMARK;
        while self.buffered_bytes > self.max_bytes / whole * part {
            let Some((length, ticket)) = self.by_text_len.pop_last() else { return };
            self.buffered_bytes -= length;
            if let Some(stream) = self.streams.get_mut(&ticket) {
                stream.text = None;
            }
        }
    }
}

impl OpenStream {
    /// Checks a replayed token against the tokens already sent.
    fn check_replayed(&mut self, index: u32, text: &str) -> Delivery {
        let Some(replay) = &mut self.replay else { return Delivery::Discard };
        if index != replay.checked {
            return Delivery::Abort;
        }
        replay.checked += 1;
        text.hash(&mut replay.hash);
        if replay.checked < self.sent {
            return Delivery::Discard;
        }
        let matches = replay.hash.finish() == self.hash.finish();
        if !matches {
            return Delivery::Abort;
        }
        self.replay = None;
        Delivery::Discard
    }
}
