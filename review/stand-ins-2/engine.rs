//! Stand-in of a model server: streams events that name the software version which wrote them.
#![allow(dead_code)]

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
};

use crate::common::{Message, Record, Server, read_message, sleep_ms, write_message};

/// Time between two events of a stream.
pub const EVENT_MS: u64 = 100;

/// One start of a server.
pub struct Engine {
    pub server: Server,
    pub runs: Arc<Mutex<Vec<String>>>,
}

impl Engine {
    /// Starts a server `id` of this software version at `addr`, whose events have the ids 1, 2 and so on.
    pub fn start(record: &Arc<Record>, addr: SocketAddr, id: &str, version: &str) -> Engine {
        Engine::start_counting(record, addr, id, version, 1)
    }

    /// The same with ids that increase by `step`.
    pub fn start_counting(
        record: &Arc<Record>,
        addr: SocketAddr,
        id: &str,
        version: &str,
        step: u64,
    ) -> Engine {
        let runs: Arc<Mutex<Vec<String>>> = Arc::default();
        let (record, id, version) = (record.clone(), id.to_owned(), version.to_owned());
        let seen = runs.clone();
        let handler = move |stream: TcpStream| {
            let Ok(mut writer) = stream.try_clone() else { return };
            let mut reader = BufReader::new(stream);
            while let Some((request, true)) = read_message(&mut reader) {
                if !answer(&record, &request, &mut writer, &id, &version, step, &seen) {
                    return;
                }
            }
        };
        Engine { server: Server::start(addr, Arc::new(handler)), runs }
    }
}

fn answer(
    record: &Record,
    request: &Message,
    writer: &mut TcpStream,
    id: &str,
    version: &str,
    step: u64,
    runs: &Mutex<Vec<String>>,
) -> bool {
    if request.path().starts_with("/health") {
        return write_message(writer, "HTTP/1.1 200 OK", &[("x-instance-id", id)], b"");
    }
    let Some(attempt) = request.header("x-attempt-id").map(str::to_owned) else {
        return write_message(writer, "HTTP/1.1 400 x", &[("x-not-executed", "1")], b"");
    };
    if request.header("x-expected-instance").is_some_and(|expected| expected != id) {
        let headers = [("x-attempt-id", attempt.as_str()), ("x-not-executed", "1")];
        return write_message(writer, "HTTP/1.1 421 x", &headers, b"");
    }
    let last = request.header("last-event-id").and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let counts = request.header("x-token-counts").unwrap_or("1,10");
    let all = counts.split(',').nth(1).and_then(|text| text.parse::<u64>().ok()).unwrap_or(10);
    let done = last / step;
    runs.lock().unwrap().push(attempt.clone());
    record.line(&format!("server {id} ({version}) runs {attempt} from event {}", done + 1));
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-attempt-id: {attempt}\r\n\
         x-response-signature: sig.{id}.{attempt}\r\nx-weight-versions: 1\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    if writer.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for number in done + 1..=all {
        sleep_ms(EVENT_MS);
        let event = format!("id: {}\ndata: {version}\n\n", number * step);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if writer.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
    }
    writer.write_all(b"0\r\n\r\n").is_ok()
}
