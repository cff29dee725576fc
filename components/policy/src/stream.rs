//! Open streams and their resumption after a crash.
//!
//! A stream keeps the text already sent to its caller, so that another engine can
//! go on behind it. That text is bounded over all streams: above a high watermark
//! the longest texts are dropped until a low one is reached. A stream without its
//! text is replayed from the start instead, and a filter drops the tokens that
//! were sent already, provided that they are the same again.
//!
//! Tokens carry the number of their attempt and their place in the output. What a
//! former attempt sends late is dropped, so no token is sent twice.

use std::{
    collections::{BTreeSet, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
};

use crate::Ticket;

#[cfg(test)]
mod tests;

/// Share of the limit to which texts are dropped, as a fraction.
const LOW_WATERMARK: (usize, usize) = (3, 4);

/// One attempt at a stream, counted from zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct AttemptNo(pub u32);

/// What to do with a token that an engine sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// Pass it on to the caller.
    Send,
    /// Drop it: sent already, or from a former attempt.
    Drop,
    /// Break the attempt: tokens are missing, or a replay differs.
    Break,
}

/// How another engine takes a broken stream up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Resume {
    /// Behind the text sent so far; its first token is number `sent`.
    Continue {
        /// The new attempt.
        attempt: AttemptNo,
        /// Tokens sent.
        sent: u32,
        /// Their text.
        text: String,
    },
    /// From the start; the first `sent` tokens are dropped.
    Replay {
        /// The new attempt.
        attempt: AttemptNo,
        /// Tokens sent.
        sent: u32,
    },
}

#[derive(Debug, Default)]
struct Stream {
    attempt: AttemptNo,
    sent: u32,
    /// Hash over the tokens sent.
    hash: DefaultHasher,
    text: Option<String>,
    replay: Option<Replay>,
}

/// Tokens seen again so far.
#[derive(Debug, Default)]
struct Replay {
    seen: u32,
    hash: DefaultHasher,
}

/// All open streams of one host.
#[derive(Debug)]
pub struct Streams {
    limit: usize,
    held: usize,
    open: HashMap<Ticket, Stream>,
    /// Streams that hold text, by its length.
    texts: BTreeSet<(usize, Ticket)>,
}

impl Streams {
    /// No streams; their texts may take `limit` bytes together.
    pub fn new(limit: usize) -> Streams {
        Streams { limit, held: 0, open: HashMap::new(), texts: BTreeSet::new() }
    }

    /// Bytes of text held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Opens a stream.
    pub fn open(&mut self, ticket: Ticket) -> AttemptNo {
        self.close(ticket);
        let stream = Stream { text: Some(String::new()), ..Stream::default() };
        self.open.insert(ticket, stream);
        self.texts.insert((0, ticket));
        AttemptNo::default()
    }

    /// Takes in token number `index` of an attempt, counted from the output's start.
    pub fn token(
        &mut self,
        ticket: Ticket,
        attempt: AttemptNo,
        index: u32,
        text: &str,
    ) -> Delivery {
        let Some(stream) = self.open.get_mut(&ticket) else { return Delivery::Drop };
        if attempt != stream.attempt {
            return Delivery::Drop;
        }
        if index < stream.sent {
            return stream.see_again(index, text);
        }
        if index > stream.sent || stream.replay.is_some() {
            return Delivery::Break;
        }
        stream.sent += 1;
        text.hash(&mut stream.hash);
        if let Some(held) = &mut stream.text {
            self.texts.remove(&(held.len(), ticket));
            held.push_str(text);
            self.texts.insert((held.len(), ticket));
            self.held += text.len();
        }
        if self.held > self.limit {
            self.drop_texts();
        }
        Delivery::Send
    }

    /// Ends the current attempt and tells how to go on; none if the stream is closed.
    pub fn resume(&mut self, ticket: Ticket) -> Option<Resume> {
        let stream = self.open.get_mut(&ticket)?;
        stream.attempt.0 += 1;
        let (attempt, sent) = (stream.attempt, stream.sent);
        let Some(text) = stream.text.clone() else {
            stream.replay = (sent > 0).then(Replay::default);
            return Some(Resume::Replay { attempt, sent });
        };
        Some(Resume::Continue { attempt, sent, text })
    }

    /// Closes a stream: it ended, or its caller left. False if it was not open.
    pub fn close(&mut self, ticket: Ticket) -> bool {
        let Some(stream) = self.open.remove(&ticket) else { return false };
        if let Some(text) = stream.text {
            self.texts.remove(&(text.len(), ticket));
            self.held -= text.len();
        }
        true
    }

    fn drop_texts(&mut self) {
        let (part, whole) = LOW_WATERMARK;
        while self.held > self.limit / whole * part {
            let Some((length, ticket)) = self.texts.pop_last() else { return };
            self.held -= length;
            if let Some(stream) = self.open.get_mut(&ticket) {
                stream.text = None;
            }
        }
    }
}

impl Stream {
    /// Compares a replayed token with what was sent.
    fn see_again(&mut self, index: u32, text: &str) -> Delivery {
        let Some(replay) = &mut self.replay else { return Delivery::Drop };
        if index != replay.seen {
            return Delivery::Break;
        }
        replay.seen += 1;
        text.hash(&mut replay.hash);
        if replay.seen < self.sent {
            return Delivery::Drop;
        }
        let same = replay.hash.finish() == self.hash.finish();
        if !same {
            return Delivery::Break;
        }
        self.replay = None;
        Delivery::Drop
    }
}
