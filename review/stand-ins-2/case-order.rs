//! Streams go on at another software version at a machine that the platform's store turns away.
//!
//! Three servers of one service serve at version v1; all streams share a prompt part and so run at one
//! of them. For five seconds the store answers nothing to the first of two machines, and serves the other
//! one and the servers. Meanwhile the servers are released: the two idle ones start again under their ids
//! as v2 and write so to the store at once, then the one that serves the streams.

mod common;
mod engine;

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    thread,
    time::Duration,
};

use common::*;
use engine::Engine;

const STREAMS: usize = 6;
const EVENTS: u64 = 40;
const OUTAGE_MS: u64 = 5_000;
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
    let files = Folder::create("chervilgate-review-order");
    let store = Store::default();
    let cloud = Cloud::start("127.0.0.1");
    let trouble = has_trouble();
    store.put("config", "main", &config());
    let ids = ["i-a", "i-b", "i-c"];
    let addrs: Vec<SocketAddr> = (0..3).map(|_| free_addr("127.0.0.1")).collect();
    let born = unix_ms();
    let mut engines: Vec<Engine> = Vec::new();
    for (id, addr) in ids.iter().zip(&addrs) {
        engines.push(Engine::start(&record, *addr, id, "v1"));
        store.put("servers", id, &entry(*addr, "v1", born, 1));
    }
    let ports = [store.listen("127.0.0.1"), store.listen("127.0.0.1")];
    let hosts: Vec<Host> = [machine_ip(0), machine_ip(1)]
        .iter()
        .zip(&ports)
        .enumerate()
        .map(|(index, (ip, port))| {
            let name = format!("front-{}", index + 1);
            Host::start(&files.0, &name, ip, "z-a", port.server.addr, cloud.server.addr)
        })
        .collect();
    hosts.iter().for_each(|host| host.await_ready(Duration::from_secs(20)));
    sleep_ms(3_000);
    record.line("hosts are ready");

    let fronts: Vec<SocketAddr> = hosts.iter().map(|host| host.front).collect();
    let clients: Vec<_> = (0..STREAMS)
        .map(|index| {
            sleep_ms(40);
            let (record, fronts) = (record.clone(), fronts.clone());
            thread::spawn(move || stream(&record, &fronts, index))
        })
        .collect();
    sleep_ms(600);
    let counts: Vec<usize> = engines.iter().map(|engine| engine.runs.lock().unwrap().len()).collect();
    record.line(&format!("streams at each server: {counts:?}"));
    let serving = (0..3).max_by_key(|index| counts[*index]).unwrap();
    if trouble {
        record.line("the store answers nothing to front-1 from here on");
        ports[0].set_mode(SILENT);
    }
    sleep_ms(200);
    // The idle servers first.
    let idle: Vec<usize> = (0..3).filter(|index| counts[*index] == 0).collect();
    if idle.is_empty() {
        cannot_run("no server is idle");
    }
    // A server that starts writes its entry at once.
    let mut released = 0;
    for index in idle.into_iter().chain([serving]) {
        record.line(&format!("server {} ends", ids[index]));
        engines[index].server.end();
        sleep_ms(DOWN_MS);
        engines[index] = Engine::start(&record, addrs[index], ids[index], "v2");
        record.line(&format!("server {} starts again as v2", ids[index]));
        store.put("servers", ids[index], &entry(addrs[index], "v2", unix_ms(), 1));
        released += 1;
        sleep_ms(500);
    }
    if trouble {
        sleep_ms(OUTAGE_MS - 200 - 800 * released);
        record.line("the store answers front-1 again");
        ports[0].heal();
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
    drop(hosts);
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

/// Sends a stream request, and takes the stream up once at the other machine if it breaks off.
fn stream(record: &Record, fronts: &[SocketAddr], index: usize) -> Seen {
    let mut seen = Seen::default();
    let mut origin: Option<String> = None;
    for attempt in 0..2 {
        let id = attempt_id();
        seen.tries += 1;
        let front = fronts[attempt % fronts.len()];
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
         x-token-counts: 3000,{EVENTS}\r\nx-prompt-prefix: 5c1e07a2:2900,{index:x}aa:100\r\n\
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
