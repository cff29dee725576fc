//! A host stands still while two runners are released in place: they drain, end, and start again under their
//! ids at their addresses with a new software version.

#[path = "common.rs"]
mod common;

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    process::Command,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::*;

/// `contact_ms` of the settings.
const CONTACT_MS: u64 = 3_000;
const HOSTS: usize = 3;
/// Time for which the host stands still.
const FREEZE_TIME: Duration = Duration::from_millis(3_900);
/// Time for which a draining runner serves on: `drain_ms` and a little longer.
const DRAIN_TIME: Duration = Duration::from_millis(2_050);
/// Time until a runner that has ended is back.
const START_TIME: Duration = Duration::from_millis(600);
/// Time from the release of one runner to that of the next.
const RELEASE_GAP: Duration = Duration::from_millis(1_000);
const LONG_STREAMS: usize = 27;
const LONG_EVENTS: u64 = 17;
const SHORT_EVENTS: u64 = 4;
const EVENT_TIME: Duration = Duration::from_millis(200);
/// `timeout_ms` of the route and the clients' time budget.
const BUDGET: Duration = Duration::from_millis(8_000);
/// Two seconds, four times the latency target or eight times `target_gap_ms`, whichever is longest.
const PATIENCE: Duration = Duration::from_millis(4_800);
const KEY: &str = "3fexd9dnn2ctnfzs989a";
const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r-ask","host":"ficu95.example","path_prefix":"/lohu930/","kind":"streaming","timeout_ms":8000,
  "target_latency_ms":1200,"priority":2,"service":"huvo11a","attempts":2,"allow_anonymous":false,"sticky":true,
  "resumable":true,"target_gap_ms":250}],
 "services":[{"name":"huvo11a","health_check_path":"/health","connection_limit":370,"protocol":"h1","tls":false,
  "engine":{"slots":64,"kv_cache_tokens":550176,"kv_bytes":327680,"link_mbps":3800000.0,"moves":true,"backups":true,
  "stride":10,"most":12,"handle_retention_s":5.0,"stage_switch_s":3.0,"pin_ms":4000.0,"hold_ms":2000.0,
  "models":[{"name":"m"}]}}],
 "limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"hule930","api_keys":["3fexd9dnn2ctnfzs989a"],"priority":1}]}"#;

fn entry(addr: SocketAddr, stage: &str, version: &str, state: &str, sequence: u64, born: u64) -> String {
    format!(
        "{{\"service\":\"huvo11a\",\"address\":\"{addr}\",\"zone\":\"rijeka\",\"version\":\"{version}\",\
         \"slots\":64,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"stage\":\"{stage}\",\
         \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\"born\":{born}}}"
    )
}

/// A runner that serves and has announced itself.
struct Runner {
    id: String,
    stage: &'static str,
    version: &'static str,
    born: u64,
    server: Server,
}

impl Runner {
    fn start(
        id: &str,
        addr: SocketAddr,
        stage: &'static str,
        version: &'static str,
        store: &Store,
        record: &Record,
    ) -> Runner {
        let id = id.to_owned();
        let (own, record_of) = (id.clone(), record.clone());
        let server = Server::start_at(addr, move |request, stream| {
            if request.target == "/health" {
                return stream.write_all(&answer("200 OK", &[("X-Instance-Id", own.clone())], b""));
            }
            if request.target.starts_with("/api/") {
                return stream.write_all(&answer("200 OK", &[], b"{}"));
            }
            let attempt = request.header("x-attempt-id").unwrap_or_default();
            let echo = ("X-Attempt-Id", attempt.clone());
            let is_own = request.header("x-expected-instance").is_none_or(|expected| expected == own);
            let wanted = request.header("x-serving-stage").unwrap_or("decode".into());
            if !is_own || wanted != stage {
                let id = ("X-Instance-Id", own.clone());
                return stream.write_all(&answer("421 Misdirected Request", &[echo, id], b""));
            }
            if stage == "prefill" {
                thread::sleep(Duration::from_millis(20));
                let body = format!("{{\"cache_handle\":\"{:012x}\",\"tokens\":1460,\"version\":1}}", unique());
                let kind = ("Content-Type", "application/json".to_owned());
                return stream.write_all(&answer("200 OK", &[echo, kind], body.as_bytes()));
            }
            let last = request.header("last-event-id").and_then(|last| last.parse::<u64>().ok()).unwrap_or(0);
            record_of.line(format!("runner {own} ({version}) runs {attempt} after event {last}"));
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: {own}.{attempt}\r\n\
                 X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            stream.write_all(head.as_bytes())?;
            let is_long = request.target.ends_with("/long");
            let (events, time) =
                if is_long { (LONG_EVENTS, EVENT_TIME) } else { (SHORT_EVENTS, Duration::from_millis(20)) };
            for number in last + 1..=events {
                thread::sleep(if number == last + 1 { Duration::from_millis(30) } else { time });
                let event = format!("id: {number}\ndata: {version}\n\n");
                stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            }
            stream.write_all(b"0\r\n\r\n")
        });
        let born = unix_ms();
        store.put("servers", &id, &entry(server.addr, stage, version, "ready", 1, born));
        record.line(format!("runner {id} ({stage}, {version}) is ready at {}", server.addr));
        Runner { id, stage, version, born, server }
    }

    fn drain(&self, store: &Store, record: &Record) {
        let entry = entry(self.server.addr, self.stage, self.version, "draining", 2, self.born);
        store.put("servers", &self.id, &entry);
        record.line(format!("runner {} ({}) is draining", self.id, self.version));
    }
}

/// A stream as its client saw it: how it ended, and the version of each event.
struct Seen {
    end: String,
    versions: Vec<String>,
}

fn ask(front: SocketAddr, id: &str, kind: &str, own: u64) -> Seen {
    let mut seen = Seen { end: "cut".to_owned(), versions: Vec::new() };
    if let Err(error) = try_ask(front, id, kind, own, &mut seen) {
        seen.end = error.kind().to_string();
    }
    seen
}

fn try_ask(front: SocketAddr, id: &str, kind: &str, own: u64, seen: &mut Seen) -> io::Result<()> {
    let prompt = format!("5c1e07a2:13300,{own:08x}:3720");
    let body = format!("{{\"prompt\":\"{prompt}\"}}");
    let request = format!(
        "POST /lohu930/{kind} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Counts: 17020,240\r\nX-Prompt-Prefix: {prompt}\r\nX-Deadline-Remaining-Ms: {}\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        BUDGET.as_millis(),
        body.len()
    );
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    if line.split(' ').nth(1) != Some("200") {
        seen.end = line.trim().to_owned();
        return Ok(());
    }
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        if let Some(version) = line.strip_prefix("data: ") {
            seen.versions.push(version.trim().to_owned());
        }
        if line == "0\r\n" {
            seen.end = "whole".to_owned();
            return Ok(());
        }
    }
}

fn signal(host: &Host, name: &str) {
    let Some(pid) = host.pid() else { return };
    let sent = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid}")]).status();
    if !sent.is_ok_and(|status| status.success()) {
        cannot_run("signal not sent");
    }
}

fn main() {
    exit_with(run);
}

fn run() -> bool {
    let record = Record::new();
    let folder = Folder::new();
    let store = Store::default();
    store.put("config", "main", CONFIG);
    let platform = store.serve("127.0.0.10", &record);
    let ip = "127.0.0.21";
    let mut runners = Vec::new();
    for number in 0..5 {
        let stage = if number < 2 { "prefill" } else { "decode" };
        let addr = SocketAddr::new(ip.parse().expect("an address"), free_port(ip));
        runners.push(Runner::start(&format!("i-7f3a91c{number}"), addr, stage, "v1", &store, &record));
    }
    let mut hosts: Vec<Host> = (0..HOSTS).map(|number| Host::prepare(&folder.0, number, platform.addr)).collect();
    hosts.iter_mut().for_each(|host| host.start(&record));
    await_ready(&hosts);
    thread::sleep(Duration::from_millis(CONTACT_MS));
    let fronts: Vec<SocketAddr> = hosts.iter().map(|host| host.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for client in 0..4 {
        let (front, record, stop) = (fronts[1 + client % 2], record.clone(), stop.clone());
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let number = unique();
                let id = format!("b{number:07x}");
                let seen = ask(front, &id, "short", 0x10_0000 + number);
                record.line(format!("client {id} at {front}: {}, {} events", seen.end, seen.versions.len()));
                thread::sleep(Duration::from_millis(150));
            }
        }));
    }
    thread::sleep(Duration::from_millis(2_000));
    let joined: Arc<Mutex<usize>> = Arc::default();
    let mut long = Vec::new();
    for number in 0..LONG_STREAMS as u64 {
        let (front, record, joined) = (fronts[0], record.clone(), joined.clone());
        long.push(thread::spawn(move || {
            let id = format!("a{number:07x}");
            let seen = ask(front, &id, "long", 0x20_0000 + number);
            let count = |version: &str| seen.versions.iter().filter(|known| *known == version).count();
            let (old, new) = (count("v1"), count("v2"));
            record.line(format!("client {id} at {front}: {}, events of v1: {old}, of v2: {new}", seen.end));
            *joined.lock().unwrap() += usize::from(old > 0 && new > 0);
        }));
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_millis(300));
    if has_trouble() {
        signal(&hosts[0], "STOP");
        record.line("a host stands still");
    }
    let frozen_at = Instant::now();
    // Two decode runners are released in place.
    let mut releases = Vec::new();
    for (number, runner) in runners.drain(2..4).enumerate() {
        let (store, record) = (store.clone(), record.clone());
        releases.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(50) + RELEASE_GAP * number as u32);
            runner.drain(&store, &record);
            thread::sleep(DRAIN_TIME);
            runner.server.end();
            record.line(format!("runner {} ends", runner.id));
            thread::sleep(START_TIME);
            Runner::start(&runner.id, runner.server.addr, runner.stage, "v2", &store, &record)
        }));
    }
    thread::sleep(FREEZE_TIME.saturating_sub(frozen_at.elapsed()));
    if has_trouble() {
        signal(&hosts[0], "CONT");
        record.line("the host goes on");
    }
    for thread in long {
        thread.join().ok();
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().ok();
    }
    let released: Vec<Runner> = releases.into_iter().filter_map(|thread| thread.join().ok()).collect();
    let is_sound = hosts.iter_mut().all(Host::is_running);
    drop(hosts);
    drop(released);
    let joined = *joined.lock().unwrap();
    let holds = joined <= 2;
    record.line(format!(
        "ORDER: {joined} of {LONG_STREAMS} streams hold events of two versions in one answer: {}",
        if holds { "held" } else { "broken" }
    ));
    record.save(&record_path());
    if !is_sound {
        cannot_run("a host has ended by itself");
    }
    holds
}
