//! Hosts lose power together while a new software version of the runners begins to serve beside the old one.
//! `NEWER=0` leaves the new version out, for comparison.

#[path = "common.rs"]
mod common;

use std::{
    env,
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
const HOSTS: usize = 5;
/// Of these three lose power: a share of 0.6.
const LOST: usize = 3;
/// Time for which they are without power.
const DARK_TIME: Duration = Duration::from_millis(2_000);
/// Time from the loss to the first runner of the new version.
const RELEASE_DELAY: Duration = Duration::from_millis(700);
const CLIENTS_PER_HOST: usize = 8;
const EVENTS: u64 = 12;
const EVENT_TIME: Duration = Duration::from_millis(200);
/// `timeout_ms` of the route and the clients' time budget.
const BUDGET: Duration = Duration::from_millis(5_000);
/// Two seconds, four times the latency target or eight times `target_gap_ms`, whichever is longest.
const PATIENCE: Duration = Duration::from_millis(2_400);
const KEY: &str = "3fexd9dnn2ctnfzs989a";
const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r-ask","host":"ficu95.example","path_prefix":"/lohu930/","kind":"streaming","timeout_ms":5000,
  "target_latency_ms":600,"priority":2,"service":"huvo11a","attempts":2,"allow_anonymous":false,"sticky":true,
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
    fn start(stage: &'static str, version: &'static str, store: &Store, record: &Record) -> Runner {
        let id = format!("i-{:08x}", 0x7f3a_0000 + unique() as u32);
        let (own, record_of) = (id.clone(), record.clone());
        let server = Server::start("127.0.0.21", move |request, stream| {
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
            for number in last + 1..=EVENTS {
                thread::sleep(if number == last + 1 { Duration::from_millis(30) } else { EVENT_TIME });
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

/// How a client's try ended.
enum End {
    Whole,
    Refused(u16),
    /// No event for too long, or the connection broke.
    Left,
}

/// One try; `events` is the last event that the client holds.
fn try_stream(
    front: SocketAddr,
    id: &str,
    resumes: Option<&str>,
    prompt: &str,
    left: Duration,
    events: &mut u64,
) -> io::Result<End> {
    let resumes = resumes.map_or(String::new(), |first| format!("Last-Event-Id: {events}\r\nResumes: {first}\r\n"));
    let body = format!("{{\"prompt\":\"{prompt}\"}}");
    let request = format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\n{resumes}X-Model: m\r\n\
         X-Token-Counts: 1460,120\r\nX-Prompt-Prefix: {prompt}\r\nX-Deadline-Remaining-Ms: {}\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        left.as_millis(),
        body.len()
    );
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status: u16 = line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    if status != 200 {
        return Ok(if status == 0 { End::Left } else { End::Refused(status) });
    }
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(End::Left);
        }
        if let Some(number) = line.strip_prefix("id: ") {
            *events = number.trim().parse().unwrap_or(*events);
        }
        if line == "0\r\n" {
            return Ok(if *events == EVENTS { End::Whole } else { End::Left });
        }
    }
}

#[derive(Default, Debug, Clone)]
struct Counts {
    /// New streams at hosts that did not lose power, and those that began.
    new: usize,
    begun: usize,
    /// Streams that were taken up at such hosts, and those that went on.
    taken_up: usize,
    went_on: usize,
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
    let mut runners = Vec::new();
    for number in 0..8 {
        let stage = if number < 2 { "prefill" } else { "decode" };
        runners.push(Runner::start(stage, "v1", &store, &record));
    }
    let mut hosts: Vec<Host> = (0..HOSTS).map(|number| Host::prepare(&folder.0, number, platform.addr)).collect();
    hosts.iter_mut().for_each(|host| host.start(&record));
    await_ready(&hosts);
    // All hosts have been in touch for `contact_ms` before anything is sent.
    thread::sleep(Duration::from_millis(CONTACT_MS));
    let fronts: Vec<SocketAddr> = hosts.iter().map(|host| host.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let mut threads = Vec::new();
    for client in 0..HOSTS * CLIENTS_PER_HOST {
        let (fronts, record, stop, counts) = (fronts.clone(), record.clone(), stop.clone(), counts.clone());
        threads.push(thread::spawn(move || {
            let own = client % HOSTS;
            thread::sleep(Duration::from_millis(53 * client as u64));
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("a{client:03x}{number:05x}");
                let prompt = format!("5c1e07a2:800,91bd3f0{:x}:410,{:08x}:250", client % 8, unique() + 0x1000);
                let began = Instant::now();
                let mut events = 0;
                let end = try_stream(fronts[own], &id, None, &prompt, BUDGET, &mut events);
                let text = match &end {
                    Ok(End::Whole) => "whole".to_owned(),
                    Ok(End::Refused(status)) => status.to_string(),
                    _ => "left".to_owned(),
                };
                record.line(format!("client {client} {id} at {}: {text} after event {events}", fronts[own]));
                if own >= LOST {
                    let mut counts = counts.lock().unwrap();
                    counts.new += 1;
                    counts.begun += usize::from(events > 0);
                }
                let is_broken = !matches!(end, Ok(End::Whole | End::Refused(_)));
                let left = BUDGET.saturating_sub(began.elapsed());
                if is_broken && events > 0 && events < EVENTS && left > Duration::from_millis(300) {
                    // The client takes the stream up at an address that has not failed it.
                    let (before, again) = (events, format!("b{client:03x}{number:05x}"));
                    let front = fronts[LOST + client / HOSTS % (HOSTS - LOST)];
                    let end = try_stream(front, &again, Some(&id), &prompt, left, &mut events);
                    let text = match &end {
                        Ok(End::Whole) => "whole".to_owned(),
                        Ok(End::Refused(status)) => status.to_string(),
                        _ => "left".to_owned(),
                    };
                    record.line(format!(
                        "client {client} takes {id} up after event {before} as {again} at {front}: {text} after event {events}"
                    ));
                    let mut counts = counts.lock().unwrap();
                    counts.taken_up += 1;
                    counts.went_on += usize::from(events > before);
                }
                if is_broken {
                    thread::sleep(Duration::from_millis(1_000));
                }
            }
        }));
    }
    thread::sleep(Duration::from_millis(7_000));
    if has_trouble() {
        record.line("three of five hosts lose power");
        hosts[..LOST].iter().for_each(|host| signal(host, "STOP"));
    }
    let lost_at = Instant::now();
    thread::sleep(RELEASE_DELAY);
    if env::var("NEWER").as_deref() != Ok("0") {
        runners.push(Runner::start("decode", "v2", &store, &record));
        runners[7].drain(&store, &record);
    }
    thread::sleep(DARK_TIME.saturating_sub(lost_at.elapsed()));
    if has_trouble() {
        for host in &mut hosts[..LOST] {
            host.kill(&record);
            host.start(&record);
        }
    }
    thread::sleep(Duration::from_millis(4_000));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().ok();
    }
    let is_sound = hosts.iter_mut().all(Host::is_running);
    let refusals: Vec<String> = hosts[LOST..].iter().flat_map(|host| host.log_lines("unknown-build")).take(3).collect();
    refusals.iter().for_each(|line| record.line(format!("log of a host: {line}")));
    drop(hosts);
    let counts = counts.lock().unwrap().clone();
    let begun = counts.begun as f64 / counts.new.max(1) as f64;
    let went_on = counts.went_on as f64 / counts.taken_up.max(1) as f64;
    let holds = counts.taken_up < 12 || went_on >= begun / 2.0;
    record.line(format!(
        "LOST: of {} streams taken up at hosts that did not lose power {} went on, of {} new ones there {} began: {}",
        counts.taken_up,
        counts.went_on,
        counts.new,
        counts.begun,
        if holds { "held" } else { "broken" }
    ));
    record.save(&record_path());
    if !is_sound {
        cannot_run("a host has ended by itself");
    }
    holds
}
