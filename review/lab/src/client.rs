//! Callers.

use std::{
    io,
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use crate::{
    http::{send, Response},
    record::Record,
};

pub const HOST_NAME: &str = "h.example";

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A new id of an attempt.
pub fn new_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// One attempt of a caller.
pub struct Attempt<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub body: &'a [u8],
    /// X-Token-Counts and X-Prompt-Prefix.
    pub prompt: Option<(&'a str, &'a str)>,
    /// Last-Event-Id and Resumes.
    pub takes_up: Option<(u64, &'a str)>,
    pub left: Duration,
}

impl Attempt<'_> {
    pub fn send(&self, addr: SocketAddr) -> io::Result<Response> {
        let left = self.left.as_millis().to_string();
        let mut headers = vec![
            ("Host", HOST_NAME),
            ("X-Attempt-Id", self.id),
            ("X-Deadline-Remaining-Ms", &left),
            ("Authorization", "Bearer k1"),
        ];
        if let Some((counts, prefix)) = self.prompt {
            headers.push(("X-Model", "m"));
            headers.push(("X-Token-Counts", counts));
            headers.push(("X-Prompt-Prefix", prefix));
        }
        let last = self.takes_up.map(|(last, _)| last.to_string()).unwrap_or_default();
        if let Some((_, resumes)) = self.takes_up {
            headers.push(("Last-Event-Id", &last));
            headers.push(("Resumes", resumes));
        }
        send(addr, self.method, self.path, &headers, self.body, self.left)
    }
}

/// How an attempt at a stream ended.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// The answer came to its good end.
    Whole,
    /// An answer that is no success.
    Status(u16),
    /// The connection ended without a complete answer.
    Cut(String),
    /// No answer at all.
    NoAnswer(String),
}

/// An event of a stream: its id and its data.
pub struct Event {
    pub id: u64,
    pub data: String,
}

/// Runs one attempt at a stream; `seen` gets each event as it comes.
pub fn stream(addr: SocketAddr, attempt: &Attempt<'_>, mut seen: impl FnMut(Event)) -> End {
    let mut response = match attempt.send(addr) {
        Ok(response) => response,
        Err(error) => return End::NoAnswer(error.to_string()),
    };
    if response.status != 200 {
        let status = response.status;
        let _ = response.rest();
        return End::Status(status);
    }
    let mut buffer = String::new();
    loop {
        match response.next() {
            Ok(Some(bytes)) => buffer.push_str(&String::from_utf8_lossy(&bytes)),
            Ok(None) => return End::Whole,
            Err(error) => return End::Cut(error.to_string()),
        }
        while let Some(end) = buffer.find("\n\n") {
            let text: String = buffer.drain(..end + 2).collect();
            let field = |name: &str| {
                text.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_default().trim().to_owned()
            };
            seen(Event { id: field("id:").parse().unwrap_or(0), data: field("data:") });
        }
    }
}

/// Sends a plain request and reads its whole answer.
pub fn plain(addr: SocketAddr, attempt: &Attempt<'_>) -> (End, Vec<u8>) {
    let mut response = match attempt.send(addr) {
        Ok(response) => response,
        Err(error) => return (End::NoAnswer(error.to_string()), Vec::new()),
    };
    let status = response.status;
    match response.rest() {
        Ok(_) if status != 200 => (End::Status(status), Vec::new()),
        Ok(body) if response.header("x-response-signature").is_some() => (End::Whole, body),
        Ok(_) => (End::Cut("success without a receipt".into()), Vec::new()),
        Err(error) => (End::Cut(error.to_string()), Vec::new()),
    }
}

/// Sleeps until so many seconds after `start`.
pub fn sleep_until(start: Instant, seconds: f64) {
    let due = start + Duration::from_secs_f64(seconds.max(0.0));
    std::thread::sleep(due.saturating_duration_since(Instant::now()));
}

pub fn note_end(record: &Record, what: &str, end: &End) {
    record.note(&format!("{what} ended: {end:?}"));
}
