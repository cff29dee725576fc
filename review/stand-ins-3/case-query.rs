//! A plain request that crashes each runner which begins to run it, and that differs from sound requests
//! of its caller in the query alone.

#[path = "common.rs"]
mod common;

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, atomic::{AtomicBool, Ordering}},
    thread,
    time::Duration,
};

use common::*;

/// `contact_ms` of the settings.
const CONTACT_MS: u64 = 3_000;
/// Time until a crashed runner is back, under a new id.
const DOWN_TIME: Duration = Duration::from_millis(2_000);
/// Three status report intervals, after which the entry of a silent runner is removed.
const SILENT_TIME: Duration = Duration::from_millis(3_600);
/// Time for which a runner works on a sound request.
const WORK_TIME: Duration = Duration::from_millis(60);
/// Time from one try of the request that crashes runners to the next.
const AGAIN: Duration = Duration::from_millis(4_000);
const TRIES: usize = 12;
const RUNNERS: usize = 3;
const HOSTS: usize = 3;
const KEY: &str = "3fexd9dnn2ctnfzs989a";
const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r-status","host":"ficu95.example","path_prefix":"/cufi504/","kind":"safe","timeout_ms":1000,
  "target_latency_ms":100,"priority":2,"service":"wuno96b","attempts":2,"allow_anonymous":false},
 {"name":"r-book","host":"ficu95.example","path_prefix":"/puxa403/","kind":"non_idempotent","timeout_ms":1000,
  "target_latency_ms":100,"priority":2,"service":"wuno96b","attempts":1,"allow_anonymous":false}],
 "services":[{"name":"wuno96b","health_check_path":"/health","connection_limit":110,"protocol":"h1","tls":false}],
 "limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"hule930","api_keys":["3fexd9dnn2ctnfzs989a"],"priority":1}]}"#;

/// What reached the runners.
#[derive(Default)]
struct Seen {
    /// Times at which the request that crashes runners reached one.
    arrivals: Vec<u64>,
    /// Times at which it crashed one.
    crashes: Vec<u64>,
}

/// One runner, which is started again after each crash.
fn run_runner(number: usize, store: Store, record: Record, seen: Arc<Mutex<Seen>>, stop: Arc<AtomicBool>) {
    let mut last: Option<String> = None;
    while !stop.load(Ordering::SeqCst) {
        let id = format!("i-{:08x}", 0x7f3a_0000 + unique() as u32 * 64 + number as u32);
        let crashed = Arc::new(AtomicBool::new(false));
        let (own, mark, record_of, seen_of) = (id.clone(), crashed.clone(), record.clone(), seen.clone());
        let server = Server::start("127.0.0.21", move |request, stream| {
            let attempt = request.header("x-attempt-id").unwrap_or_default();
            let echo = ("X-Attempt-Id", attempt.clone());
            if mark.load(Ordering::SeqCst) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            if request.target == "/health" {
                return stream.write_all(&answer("200 OK", &[("X-Instance-Id", own.clone())], b""));
            }
            if request.header("x-expected-instance").is_some_and(|expected| expected != own) {
                let id = ("X-Instance-Id", own.clone());
                return stream.write_all(&answer("421 Misdirected Request", &[echo, id], b""));
            }
            if request.target.ends_with("week=crash") {
                seen_of.lock().unwrap().arrivals.push(record_of.ms());
                record_of.line(format!("runner {own} gets {attempt} {} {}", request.method, request.target));
                if has_trouble() {
                    seen_of.lock().unwrap().crashes.push(record_of.ms());
                    record_of.line(format!("runner {own} crashes"));
                    mark.store(true, Ordering::SeqCst);
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
            }
            thread::sleep(WORK_TIME);
            if mark.load(Ordering::SeqCst) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let receipt = ("X-Response-Signature", format!("{own}.{attempt}"));
            stream.write_all(&answer("200 OK", &[echo, receipt], b"plugs"))
        });
        let entry = format!(
            "{{\"service\":\"wuno96b\",\"address\":\"{}\",\"zone\":\"rijeka\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":{}}}",
            server.addr,
            unix_ms()
        );
        store.put("servers", &id, &entry);
        record.line(format!("runner {id} serves at {}", server.addr));
        while !crashed.load(Ordering::SeqCst) && !stop.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        server.end();
        last = Some(id);
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let (store, gone) = (store.clone(), last.clone().unwrap_or_default());
        thread::spawn(move || {
            thread::sleep(SILENT_TIME);
            store.delete("servers", &gone);
        });
        thread::sleep(DOWN_TIME);
    }
    if let Some(id) = last {
        record.line(format!("runner {id} ended"));
    }
}

fn request(method: &str, target: &str, id: &str) -> String {
    let length = if method == "POST" { "Content-Length: 2\r\n" } else { "" };
    let body = if method == "POST" { "{}" } else { "" };
    format!(
        "{method} {target} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Remaining-Ms: 1000\r\nAuthorization: Bearer {KEY}\r\n{length}\r\n{body}"
    )
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
    let stop = Arc::new(AtomicBool::new(false));
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let mut threads = Vec::new();
    for number in 0..RUNNERS {
        let (store, record, seen, stop) = (store.clone(), record.clone(), seen.clone(), stop.clone());
        threads.push(thread::spawn(move || run_runner(number, store, record, seen, stop)));
    }
    let mut hosts: Vec<Host> = (0..HOSTS).map(|number| Host::prepare(&folder.0, number, platform.addr)).collect();
    hosts.iter_mut().for_each(|host| host.start(&record));
    await_ready(&hosts);
    // All hosts have been in touch for `contact_ms` before anything is sent.
    thread::sleep(Duration::from_millis(CONTACT_MS));
    let fronts: Vec<_> = hosts.iter().map(|host| host.front).collect();
    let counts: Arc<Mutex<std::collections::BTreeMap<String, usize>>> = Arc::default();
    for client in 0..3 * HOSTS {
        let books = client >= HOSTS;
        let (front, record, stop, counts) = (fronts[client % HOSTS], record.clone(), stop.clone(), counts.clone());
        threads.push(thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("a{client:02x}{number:06x}");
                let (method, target) = match 1 + number % 4 {
                    // Bookings, which may run once at most.
                    _ if books => ("POST", format!("/puxa403/{number}/2f")),
                    week if std::env::var_os("APART").is_some() => ("GET", format!("/cufi504/other/2f?week={week}")),
                    week => ("GET", format!("/cufi504/fi50/2f?week={week}")),
                };
                let got = call(front, request(method, &target, &id).as_bytes(), Duration::from_secs(3));
                let got = got.map_or_else(|error| error.kind().to_string(), |answer| answer.status.to_string());
                *counts.lock().unwrap().entry(format!("{method} {got}")).or_default() += 1;
                record.line(format!("client {client} {method} {target} {id}: {got}"));
                thread::sleep(Duration::from_millis(85));
            }
        }));
    }
    for number in 0..TRIES {
        thread::sleep(AGAIN);
        let id = format!("bad{number:05x}");
        let front = fronts[number % HOSTS];
        let target = "/cufi504/fi50/2f?week=crash";
        record.line(format!("client again sends GET {target} {id} to {front}"));
        let got = call(front, request("GET", target, &id).as_bytes(), Duration::from_secs(3));
        let got = got.map_or_else(|error| error.kind().to_string(), |answer| answer.status.to_string());
        record.line(format!("client again {id}: {got}"));
    }
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().ok();
    }
    let is_sound = hosts.iter_mut().all(Host::is_running);
    drop(hosts);
    let (arrivals, crashes) = {
        let seen = seen.lock().unwrap();
        (seen.arrivals.clone(), seen.crashes.clone())
    };
    let third = crashes.get(2).copied();
    let late: Vec<u64> = third.map_or_else(Vec::new, |third| {
        arrivals.iter().copied().filter(|at| *at > third + CONTACT_MS).collect()
    });
    record.line(format!("clients' answers: {:?}", counts.lock().unwrap()));
    record.line(format!("arrivals of the request: {arrivals:?}; crashes: {}", crashes.len()));
    let holds = late.len() <= 3;
    record.line(format!(
        "BUDGET: third crash at {third:?}; {} arrivals later than contact_ms after it (3 may): {}",
        late.len(),
        if holds { "held" } else { "broken" }
    ));
    record.save(&record_path());
    if !is_sound {
        cannot_run("a host has ended by itself");
    }
    holds
}
