//! Streams go on at another software version after a drill of the platform's store.
//!
//! Three servers of one service serve at version v1. Two of them are released: they start again under
//! their ids as v2. Then a second machine is added. The store comes back from a copy that is some seconds
//! old and shows the two servers as v1. Before they have written again, the third server is released, too.

mod common;
mod engine;

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

use common::*;
use engine::Engine;

const STREAMS: usize = 24;
const EVENTS: u64 = 40;
const AWAY_MS: u64 = 300;
/// Time after the return of the store in which the operator and the servers write again.
const REWRITE_MS: u64 = 1_500;
const DOWN_MS: u64 = 300;

/// What one client saw of its stream.
#[derive(Default)]
struct Seen {
    events: Vec<(u64, String)>,
    tries: usize,
    is_complete: bool,
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let record = Record::create(&folder.join("record.txt"));
    let files = Folder::create("chervilgate-review-drill");
    let (store, cloud) = (Store::default(), Cloud::start("127.0.0.1"));
    store.put("config", "main", &config());
    let ids = ["i-a", "i-b", "i-c"];
    let addrs: Vec<SocketAddr> = (0..3).map(|_| free_addr("127.0.0.1")).collect();
    let mut versions = ["v1"; 3];
    let mut born = [unix_ms(); 3];
    let mut engines: Vec<Engine> = Vec::new();
    for (index, id) in ids.iter().enumerate() {
        engines.push(Engine::start(&record, addrs[index], id, versions[index]));
        store.put("servers", id, &entry(addrs[index], versions[index], born[index], 1));
    }
    let ports = [store.listen("127.0.0.1"), store.listen("127.0.0.1")];
    let start = |name: &str, ip: &str, port: usize| {
        let host = Host::start(
            &files.0,
            name,
            ip,
            "z-a",
            ports[port].server.addr,
            cloud.server.addr,
        );
        host.await_ready(Duration::from_secs(20));
        record.line(&format!("{name} is ready"));
        host
    };
    let first = start("front-1", &machine_ip(0), 0);
    sleep_ms(2_000);

    record.line("the copy is made here");
    let copy = store.copy();
    let copied_at = Instant::now();
    for index in [1, 2] {
        sleep_ms(500);
        record.line(&format!("server {} ends", ids[index]));
        engines[index].server.end();
        sleep_ms(DOWN_MS);
        (versions[index], born[index]) = ("v2", unix_ms());
        engines[index] = Engine::start(&record, addrs[index], ids[index], "v2");
        record.line(&format!("server {} starts again as v2", ids[index]));
        store.put("servers", ids[index], &entry(addrs[index], "v2", born[index], 1));
    }
    let second = start("front-2", &machine_ip(1), 1);
    sleep_ms(800);
    let front = second.front;
    let clients: Vec<_> = (0..STREAMS)
        .map(|index| {
            sleep_ms(10);
            let record = record.clone();
            thread::spawn(move || stream(&record, front, index))
        })
        .collect();
    sleep_ms(600);
    if has_trouble() {
        let age = copied_at.elapsed().as_millis();
        record.line(&format!("the store is away, and comes back from the copy, {age} ms old"));
        ports.iter().for_each(|port| port.set_mode(SILENT));
        sleep_ms(AWAY_MS);
        store.restore(&copy);
        ports.iter().for_each(StorePort::heal);
        record.line("the store is back");
    } else {
        sleep_ms(AWAY_MS);
    }
    let back_at = Instant::now();
    sleep_ms(700);
    let count = engines[0].runs.lock().unwrap().len();
    record.line(&format!("server i-a ends, which runs {count} streams as v1"));
    engines[0].server.end();
    sleep_ms(DOWN_MS);
    (versions[0], born[0]) = ("v2", unix_ms());
    engines[0] = Engine::start(&record, addrs[0], ids[0], "v2");
    record.line("server i-a starts again as v2");
    sleep_ms(REWRITE_MS.saturating_sub(back_at.elapsed().as_millis() as u64));
    record.line("the operator and the servers write again");
    store.put("config", "main", &config());
    for (index, id) in ids.iter().enumerate() {
        store.put("servers", id, &entry(addrs[index], versions[index], born[index], 2));
    }
    let seen: Vec<Seen> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let mut mixed = 0;
    for (index, seen) in seen.iter().enumerate() {
        let mut versions: Vec<&str> = seen.events.iter().map(|(_, version)| &**version).collect();
        versions.dedup();
        record.line(&format!(
            "stream {index}: {} events in {} tries, versions {versions:?}, complete: {}",
            seen.events.len(),
            seen.tries,
            seen.is_complete
        ));
        mixed += usize::from(versions.len() > 1);
    }
    record.line(&format!("{mixed} streams hold events of two versions; more than two break ORDER"));
    if count < 3 {
        cannot_run("fewer than three streams ran at server i-a");
    }
    drop((first, second));
    drop(files);
    std::process::exit(i32::from(mixed > 2));
}

fn config() -> String {
    r#"{"version":7,"routes":[{"name":"r1","host":"h.example","path_prefix":"/s/","service":"llm",
    "kind":"streaming","resumable":true,"timeout_ms":6000,"target_latency_ms":600,"target_gap_ms":250,
    "attempts":2,"priority":1,"sticky":true,"allow_anonymous":false}],
    "services":[{"name":"llm","health_check_path":"/health","connection_limit":370,
    "engine":{"slots":64,"kv_cache_tokens":505550,"handle_retention_s":10,"stage_switch_s":3}}],
    "tenants":[{"name":"t1","api_keys":["k1"]}],
    "limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000}}"#
        .to_owned()
}

fn entry(addr: SocketAddr, version: &str, born: u64, sequence: u64) -> String {
    format!(
        r#"{{"service":"llm","address":"{addr}","zone":"z-a","version":"{version}","slots":64,
        "state":"ready","stage":"decode","cold_remaining_ms":0,"sequence":{sequence},"born":{born}}}"#
    )
}

/// Sends a stream request, and takes the stream up once if it breaks off.
fn stream(record: &Record, front: SocketAddr, index: usize) -> Seen {
    let mut seen = Seen::default();
    let mut origin: Option<String> = None;
    for _ in 0..2 {
        let id = attempt_id();
        seen.tries += 1;
        let before = seen.events.len();
        record.line(&format!("client {index} sends {id} to {front}, after event {before}"));
        let status = one_try(front, &id, index, origin.as_deref(), &mut seen);
        let (count, done) = (seen.events.len() - before, seen.is_complete);
        record.line(&format!("client {index}: {id} got {status}, {count} events, complete: {done}"));
        if seen.is_complete {
            return seen;
        }
        if origin.is_none() && count > 0 {
            origin = Some(id);
        }
        sleep_ms(50);
    }
    seen
}

fn one_try(front: SocketAddr, id: &str, index: usize, origin: Option<&str>, seen: &mut Seen) -> u16 {
    let Ok(mut connection) = TcpStream::connect(front) else { return 0 };
    let _ = connection.set_read_timeout(Some(Duration::from_secs(2)));
    let last = seen.events.last().map(|(number, _)| *number);
    let mut text = format!(
        "POST /s/{index} HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: {id}\r\nx-model: m\r\n\
         x-token-counts: 3000,{EVENTS}\r\nx-prompt-prefix: {index:x}c1:2900,{index:x}aa:100\r\n\
         x-deadline-remaining-ms: 6000\r\nauthorization: Bearer k1\r\ncontent-length: 2\r\n"
    );
    if let (Some(last), Some(origin)) = (last, origin) {
        text.push_str(&format!("last-event-id: {last}\r\nresumes: {origin}\r\n"));
    }
    text.push_str("\r\nhi");
    if connection.write_all(text.as_bytes()).is_err() {
        return 0;
    }
    let mut reader = BufReader::new(connection);
    let Some(head) = read_head(&mut reader) else { return 0 };
    if head.status() != 200 {
        return head.status();
    }
    let mut buffer = String::new();
    while let Some(chunk) = read_chunk(&mut reader) {
        if chunk.is_empty() {
            seen.is_complete = true;
            break;
        }
        buffer.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = buffer.find("\n\n") {
            let event: String = buffer.drain(..end + 2).collect();
            let field = |name: &str| {
                event.lines().find_map(|line| line.strip_prefix(name)).unwrap_or("").to_owned()
            };
            seen.events.push((field("id: ").parse().unwrap_or(0), field("data: ")));
        }
    }
    head.status()
}
