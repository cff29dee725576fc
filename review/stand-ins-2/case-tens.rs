//! Streams whose events count by tens, taken up at other machines after theirs was killed.
//!
//! Three servers of one version name each event by the tokens up to it: 10, 20, 30 and so on. The process
//! of one of three machines is killed while streams go through it. Its clients take them up at the two
//! others, each with the id of the last event that it holds, and other clients begin new ones there.

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

const STREAMS: usize = 16;
const EVENTS: u64 = 40;
/// Time budget of a stream over all tries of its client, as the longest of the site's sheet.
const BUDGET: Duration = Duration::from_millis(6_000);

/// What one client saw of its stream.
#[derive(Default)]
struct Seen {
    events: Vec<(u64, String)>,
    origin: String,
    began_at: Option<Instant>,
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let record = Record::create(&folder.join("record.txt"));
    let files = Folder::create("chervilgate-review-tens");
    let (store, cloud) = (Store::default(), Cloud::start("127.0.0.1"));
    let trouble = has_trouble();
    // For comparison: STEP=1 counts the events one by one.
    let step = std::env::var("STEP").ok().and_then(|text| text.parse().ok()).unwrap_or(10);
    store.put("config", "main", &config());
    let mut engines = Vec::new();
    for id in ["i-a", "i-b", "i-c"] {
        let addr = free_addr("127.0.0.1");
        engines.push(Engine::start_counting(&record, addr, id, "v1", step));
        store.put("servers", id, &entry(addr, "v1"));
    }
    let port = store.listen("127.0.0.1");
    let mut hosts: Vec<Host> = [machine_ip(0), machine_ip(1), machine_ip(2)]
        .iter()
        .enumerate()
        .map(|(index, ip)| {
            let name = format!("front-{}", index + 1);
            Host::start(&files.0, &name, ip, "z-a", port.server.addr, cloud.server.addr)
        })
        .collect();
    hosts.iter().for_each(|host| host.await_ready(Duration::from_secs(20)));
    sleep_ms(4_000);
    record.line("hosts are ready");

    let fronts: Vec<SocketAddr> = hosts.iter().map(|host| host.front).collect();
    let clients: Vec<_> = (0..STREAMS)
        .map(|index| {
            sleep_ms(10);
            let (record, front) = (record.clone(), fronts[2]);
            thread::spawn(move || {
                let mut seen = Seen { began_at: Some(Instant::now()), ..Seen::default() };
                let id = attempt_id();
                let keep = if has_trouble() { Duration::from_millis(4_000) } else { BUDGET };
                let status = one_try(front, &id, index, &mut seen, keep, BUDGET);
                let count = seen.events.len();
                record.line(&format!("client {index}: {id} got {status} and {count} events"));
                seen.origin = id;
                seen
            })
        })
        .collect();
    sleep_ms(1_000);
    if trouble {
        record.line("front-3 is killed");
        hosts[2].kill();
    }
    let seen: Vec<Seen> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let tries: Vec<_> = seen
        .into_iter()
        .filter(|seen| seen.events.len() < EVENTS as usize)
        .enumerate()
        .map(|(index, mut seen)| {
            let (record, fronts) = (record.clone(), fronts[..2].to_vec());
            thread::spawn(move || take_up(&record, &fronts, index, &mut seen))
        })
        .collect();
    let new: Vec<_> = (0..STREAMS)
        .map(|index| {
            sleep_ms(5);
            let (record, front) = (record.clone(), fronts[index % 2]);
            thread::spawn(move || {
                let (mut seen, id) = (Seen::default(), attempt_id());
                let keep = Duration::from_millis(600);
                let status = one_try(front, &id, 100 + index, &mut seen, keep, BUDGET);
                let count = seen.events.len();
                record.line(&format!("new client {index}: {id} got {status} and {count} events"));
                count > 0
            })
        })
        .collect();
    let tries: Vec<Option<bool>> = tries.into_iter().map(|client| client.join().unwrap()).collect();
    let begun = new.into_iter().map(|client| client.join().unwrap()).filter(|begun| *begun).count();
    let taken: Vec<bool> = tries.into_iter().flatten().collect();
    let went_on = taken.iter().filter(|went_on| **went_on).count();
    record.line(&format!(
        "{went_on} of {} streams that were taken up went on; {begun} of {STREAMS} new streams began",
        taken.len()
    ));
    if trouble && taken.len() < 12 {
        cannot_run("fewer than 12 streams were taken up");
    }
    let share = went_on as f64 / taken.len().max(1) as f64;
    let is_broken = taken.len() >= 12 && share < 0.5 * begun as f64 / STREAMS as f64;
    record.line(if is_broken { "LOST is broken" } else { "LOST holds" });
    drop(hosts);
    drop(files);
    std::process::exit(i32::from(is_broken));
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

fn entry(addr: SocketAddr, version: &str) -> String {
    format!(
        r#"{{"service":"llm","address":"{addr}","zone":"z-a","version":"{version}","slots":64,
        "state":"ready","stage":"decode","cold_remaining_ms":0,"sequence":1,"born":{}}}"#,
        unix_ms()
    )
}

/// Takes a stream up. None if there was nothing to take up or no time left; else whether it went on.
/// After a refusal the client heeds Retry-After, up to a third of its time, and tries again elsewhere.
fn take_up(record: &Record, fronts: &[SocketAddr], index: usize, seen: &mut Seen) -> Option<bool> {
    let before = seen.events.len();
    if before == 0 {
        return None;
    }
    let mut is_tried = false;
    for attempt in 1..=3 {
        let Some(left) = BUDGET.checked_sub(seen.began_at?.elapsed()) else { break };
        let (id, front) = (attempt_id(), fronts[(index + attempt) % fronts.len()]);
        is_tried = true;
        let status = one_try(front, &id, index, seen, Duration::from_millis(500), left);
        let (count, ms) = (seen.events.len() - before, left.as_millis());
        record.line(&format!(
            "client {index}: {id} takes {} up after event {before} with {ms} ms left at {front}: \
             {status}, {count} events",
            seen.origin
        ));
        if count > 0 {
            return Some(true);
        }
        thread::sleep(Duration::from_millis(500).min(left / 3));
    }
    is_tried.then_some(false)
}

/// Sends a request and reads events until `keep` is over.
fn one_try(
    front: SocketAddr,
    id: &str,
    index: usize,
    seen: &mut Seen,
    keep: Duration,
    left: Duration,
) -> u16 {
    let end = Instant::now() + keep;
    let Ok(mut connection) = TcpStream::connect(front) else { return 0 };
    let _ = connection.set_read_timeout(Some(Duration::from_millis(500)));
    let mut text = format!(
        "POST /s/{index} HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: {id}\r\nx-model: m\r\n\
         x-token-counts: 3000,{EVENTS}\r\nx-prompt-prefix: {index:x}c1:2900,{index:x}aa:100\r\n\
         x-deadline-remaining-ms: {}\r\nauthorization: Bearer k1\r\ncontent-length: 2\r\n",
        left.as_millis()
    );
    if let Some((last, _)) = seen.events.last() {
        text.push_str(&format!("last-event-id: {last}\r\nresumes: {}\r\n", seen.origin));
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
    while Instant::now() < end
        && let Some(chunk) = read_chunk(&mut reader)
        && !chunk.is_empty()
    {
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
