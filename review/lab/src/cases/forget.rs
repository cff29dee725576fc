//! A part of a prompt crashes each runner that begins to write an answer on it, and all hosts are killed
//! from time to time. Beside the cases: KNOWN-RED 41.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use super::{start_hosts, write_config};
use crate::{
    client::{new_id, note_end, sleep_until, stream, Attempt, End},
    http::{chunk, Request},
    runner::{begin_stream, unix_ms, Behaviour, Runner, SIGNATURE},
    Lab,
};

const EVENTS: u64 = 17;
const GAP: Duration = Duration::from_millis(30);
/// Time from the crash of a runner until it is back.
const BACK: Duration = Duration::from_secs(2);
const CONTACT_S: f64 = 3.0;
const LENGTH_S: f64 = 72.0;
/// When all hosts are killed; they start again 0.8 s later.
const KILLS_S: [f64; 3] = [21.0, 36.0, 51.0];
const RESTART_S: f64 = 0.8;
/// Time between two requests with the part.
const PAUSE_S: f64 = 5.0;
/// The part that crashes runners.
const POISON: &str = "badbad";

/// Crashes: time and attempt.
type Crashes = Arc<Mutex<Vec<(f64, String)>>>;

fn holds_poison(request: &Request) -> bool {
    let parts = request.header("x-prompt-prefix").unwrap_or_default();
    parts.split(',').any(|part| part.starts_with(POISON))
}

fn engine(lab: &Lab, crashes: Crashes) -> Behaviour {
    let (record, store) = (lab.record.clone(), lab.store.clone());
    let chunks = true;
    Arc::new(move |runner, request, out| {
        let last: u64 = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        record.note(&format!("runner {} runs {} after event {last}", runner.id(), request.id()));
        if chunks {
            begin_stream(request, out)?;
        } else {
            let id = request.id();
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {id}\r\n\
                 X-Response-Signature: {SIGNATURE}\r\nX-Weight-Versions: 1\r\nConnection: close\r\n\r\n"
            );
            out.write_all(head.as_bytes())?;
        }
        for number in last + 1..=EVENTS {
            thread::sleep(GAP);
            let event = format!("id: {number}\ndata: x\n\n");
            if chunks {
                chunk(out, event.as_bytes())?;
            } else {
                out.write_all(event.as_bytes())?;
            }
            if holds_poison(request) {
                record.note(&format!("runner {} begins to answer {} and crashes", runner.id(), request.id()));
                crashes.lock().unwrap().push((record.now(), request.id().to_owned()));
                runner.end();
                let (runner, store) = (runner.clone(), store.clone());
                thread::spawn(move || {
                    thread::sleep(BACK);
                    if runner.boot().is_ok() {
                        runner.register(&store, "ready", unix_ms(), 1);
                    }
                });
                return Err(io::Error::other("crashed"));
            }
        }
        if chunks {
            return chunk(out, b"");
        }
        // The answer ends with its connection.
        Err(io::Error::other("end of the answer"))
    })
}

pub fn run(lab: &Lab) -> io::Result<bool> {
    write_config(lab);
    let (store, record) = (&lab.store, &lab.record);
    let crashes = Crashes::default();
    let entry = "\"service\":\"llm\",\"zone\":\"z-a\",\"slots\":64,\"stage\":\"decode\",\"version\":\"1.0\"";
    for number in 0..6 {
        let addr = lab.net.addr(100 + number, 8080);
        let runner = Runner::start(addr, &format!("i-{number}"), entry, engine(lab, crashes.clone()))?;
        runner.register(store, "ready", unix_ms(), 1);
    }
    let mut hosts = start_hosts(lab, 3)?;
    let fronts: Vec<_> = hosts.iter().map(|host| host.front).collect();
    let begin = Instant::now();
    let over = Arc::new(AtomicBool::new(false));
    let (short, whole) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    // Sound requests, which share their caller and the first part.
    let mut callers = Vec::new();
    for number in 0..6u64 {
        let (over, fronts, short, whole) = (over.clone(), fronts.clone(), short.clone(), whole.clone());
        let record = record.clone();
        callers.push(thread::spawn(move || {
            let mut turn = number;
            while !over.load(Ordering::SeqCst) {
                turn += 1;
                let (id, path) = (new_id(), format!("/ask/{number}"));
                let prefix = format!("5c1e07a2:350,{:x}:400,{:x}:710", 0x91 + number, 0x10000 * (number + 1) + turn);
                let attempt = Attempt {
                    id: &id,
                    method: "POST",
                    path: &path,
                    body: id.as_bytes(),
                    prompt: Some(("1460,17", &prefix)),
                    takes_up: None,
                    left: Duration::from_secs(6),
                };
                let mut events = 0;
                let addr = fronts[turn as usize % fronts.len()];
                record.note(&format!("sound request {id} sent to {addr}"));
                let end = stream(addr, &attempt, |_| events += 1);
                note_end(&record, &format!("sound request {id} with {events} of {EVENTS} events"), &end);
                let count = if end == End::Whole && events == EVENTS { &whole } else { &short };
                count.fetch_add(1, Ordering::SeqCst);
                thread::sleep(Duration::from_millis(150));
            }
        }));
    }
    let (mut number, mut early) = (0, 0);
    let mut kills = KILLS_S.iter().copied().filter(|_| lab.trouble).peekable();
    // From when all hosts are in touch again.
    let mut calm = vec![record.now()];
    while begin.elapsed().as_secs_f64() < LENGTH_S {
        // No two are alike but for the part.
        let (id, path) = (new_id(), format!("/ask/p{number}"));
        let prefix = format!("5c1e07a2:350,{POISON}:400,{:x}:710", 0x7000_0000 + number);
        let attempt = Attempt {
            id: &id,
            method: "POST",
            path: &path,
            body: id.as_bytes(),
            prompt: Some(("1460,17", &prefix)),
            takes_up: None,
            left: Duration::from_secs(6),
        };
        let addr = fronts[number % fronts.len()];
        record.note(&format!("a request with the part comes as {id} to {addr}"));
        let mut events = 0;
        let end = stream(addr, &attempt, |_| events += 1);
        note_end(record, &format!("{id} with {events} of {EVENTS} events"), &end);
        early += usize::from(end == End::Whole && events < EVENTS);
        number += 1;
        let next = PAUSE_S * number as f64;
        if let Some(at) = kills.next_if(|at| *at < next) {
            sleep_until(begin, at);
            hosts.iter_mut().for_each(|host| host.kill());
            record.note("all hosts were killed");
            sleep_until(begin, at + RESTART_S);
            for host in &mut hosts {
                host.spawn()?;
            }
            record.note("all hosts were started again");
            calm.push(record.now() + CONTACT_S);
        }
        sleep_until(begin, next);
    }
    over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let crashes = crashes.lock().unwrap();
    let (short, whole) = (short.load(Ordering::SeqCst), whole.load(Ordering::SeqCst));
    record.note(&format!(
        "{} crashes; {whole} sound streams were whole, {short} were not; {early} streams ended as complete before their last event",
        crashes.len()
    ));
    if whole == 0 {
        return Err(io::Error::other("no sound stream was whole"));
    }
    let Some((fifth, _)) = crashes.get(4) else { return Ok(false) };
    let in_touch = |at: f64| calm.iter().zip(calm.iter().skip(1)).all(|(_, next)| at < next - CONTACT_S - RESTART_S || at > *next);
    let late = crashes.iter().filter(|(at, _)| *at > fifth + CONTACT_S && in_touch(*at));
    let mut late: Vec<&str> = late.map(|(_, id)| id.as_str()).collect();
    late.dedup();
    record.note(&format!(
        "later than {CONTACT_S} s after the fifth crash at {fifth:.2}: {} requests with the part reached runners; three are allowed",
        late.len()
    ));
    Ok(late.len() > 3)
}
