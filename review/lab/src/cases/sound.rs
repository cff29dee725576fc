//! A part of a prompt crashes runners whose streams have neither a length nor chunks, and then one runner
//! crashes for another reason.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use super::{start_hosts, write_config};
use crate::{
    client::{new_id, note_end, sleep_until, stream, Attempt},
    http::Request,
    runner::{unix_ms, Behaviour, Runner, SIGNATURE},
    Lab,
};

const EVENTS: u64 = 17;
/// Time until the first event, and from each to the next.
const FIRST: Duration = Duration::from_millis(300);
const GAP: Duration = Duration::from_millis(30);
/// Time from the crash of a runner until it is back.
const BACK: Duration = Duration::from_secs(2);
const CONTACT_S: f64 = 3.0;
/// When one runner crashes for another reason, and when the traffic ends.
const CRASH_S: f64 = 18.0;
const LENGTH_S: f64 = 50.0;
/// The part that crashes runners, and the time between two requests with it.
const POISON: &str = "badbad";
const PAUSE_S: f64 = 3.0;

/// Crashes by the part: time and attempt.
type Crashes = Arc<Mutex<Vec<(f64, String)>>>;

fn holds_poison(request: &Request) -> bool {
    let parts = request.header("x-prompt-prefix").unwrap_or_default();
    parts.split(',').any(|part| part.starts_with(POISON))
}

fn crash(lab_store: &crate::store::Store, runner: &Runner) {
    runner.end();
    let (runner, store) = (runner.clone(), lab_store.clone());
    thread::spawn(move || {
        thread::sleep(BACK);
        if runner.boot().is_ok() {
            runner.register(&store, "ready", unix_ms(), 1);
        }
    });
}

/// Requests that began to run, by attempt.
type Begun = Arc<Mutex<std::collections::HashSet<String>>>;

fn engine(lab: &Lab, crashes: Crashes, begun: Begun) -> Behaviour {
    let (record, store, trouble) = (lab.record.clone(), lab.store.clone(), lab.trouble);
    // For comparison only: the same with chunks.
    let chunks = std::env::var_os("CHUNKS").is_some();
    Arc::new(move |runner, request, out| {
        let id = request.id();
        let last: u64 = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        runner.count_waiting(1);
        thread::sleep(FIRST);
        runner.count_waiting(-1);
        if !runner.is_up() {
            return Err(io::Error::other("crashed"));
        }
        record.note(&format!("runner {} runs {id} after event {last}", runner.id()));
        begun.lock().unwrap().insert(id.to_owned());
        let framing = if chunks { "Transfer-Encoding: chunked" } else { "Connection: close" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {id}\r\n\
             X-Response-Signature: {SIGNATURE}\r\nX-Weight-Versions: 1\r\n{framing}\r\n\r\n"
        );
        out.write_all(head.as_bytes())?;
        let mut send = |text: &str| -> io::Result<()> {
            if chunks {
                return crate::http::chunk(out, text.as_bytes());
            }
            out.write_all(text.as_bytes())
        };
        for number in last + 1..=EVENTS {
            if number > last + 1 {
                thread::sleep(GAP);
            }
            if holds_poison(request) && trouble {
                // It stops in the middle of its first event.
                send(&format!("id: {number}\nda"))?;
                record.note(&format!("runner {} begins to answer {id} and crashes", runner.id()));
                crashes.lock().unwrap().push((record.now(), id.to_owned()));
                thread::sleep(Duration::from_millis(5));
                crash(&store, runner);
                return Err(io::Error::other("crashed"));
            }
            send(&format!("id: {number}\ndata: x\n\n"))?;
        }
        if chunks {
            return crate::http::chunk(out, b"");
        }
        // The answer ends with its connection.
        Err(io::Error::other("end of the answer"))
    })
}

pub fn run(lab: &Lab) -> io::Result<bool> {
    write_config(lab);
    let (store, record) = (&lab.store, &lab.record);
    let (crashes, begun) = (Crashes::default(), Begun::default());
    let entry = "\"service\":\"llm\",\"zone\":\"z-a\",\"slots\":64,\"stage\":\"decode\",\"version\":\"1.0\"";
    let mut runners = Vec::new();
    for number in 0..6 {
        let addr = lab.net.addr(100 + number, 8080);
        let runner = Runner::start(addr, &format!("i-{number}"), entry, engine(lab, crashes.clone(), begun.clone()))?;
        runner.register(store, "ready", unix_ms(), 1);
        runners.push(runner);
    }
    let hosts = start_hosts(lab, 3)?;
    let fronts: Vec<_> = hosts.iter().map(|host| host.front).collect();
    let begin = Instant::now();
    let start = record.now();
    let over = Arc::new(AtomicBool::new(false));
    // Sound requests, which share their caller and the first part: time and attempt.
    let sent: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
    let mut callers = Vec::new();
    for number in 0..18u64 {
        let (over, fronts, sent, record) = (over.clone(), fronts.clone(), sent.clone(), record.clone());
        callers.push(thread::spawn(move || {
            let mut turn = number;
            thread::sleep(Duration::from_millis(47 * number));
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
                let addr = fronts[turn as usize % fronts.len()];
                record.note(&format!("sound request {id} sent to {addr}"));
                sent.lock().unwrap().push((record.now(), id.clone()));
                let end = stream(addr, &attempt, |_| {});
                note_end(&record, &format!("sound request {id}"), &end);
                thread::sleep(Duration::from_millis(200));
            }
        }));
    }
    let (mut number, mut crashed) = (0, !lab.trouble);
    sleep_until(begin, 6.0);
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
        let end = stream(addr, &attempt, |_| {});
        note_end(record, &id, &end);
        number += 1;
        let next = 6.0 + PAUSE_S * number as f64;
        if !crashed && CRASH_S < next {
            sleep_until(begin, CRASH_S);
            // The one of the six that reads most prompts at this moment.
            let Some(busiest) = runners.iter().max_by_key(|runner| runner.waiting()) else { break };
            record.note(&format!(
                "runner {} crashes for another reason; it reads {} prompts",
                busiest.id(),
                busiest.waiting()
            ));
            crash(store, busiest);
            crashed = true;
        }
        sleep_until(begin, next);
    }
    over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let (crashes, begun, sent) = (crashes.lock().unwrap(), begun.lock().unwrap(), sent.lock().unwrap());
    let share = |from: f64, until: f64| {
        let of = sent.iter().filter(|(at, _)| *at >= from && *at < until);
        let (mut all, mut began) = (0, 0);
        for (_, id) in of {
            all += 1;
            began += usize::from(begun.contains(id));
        }
        (began, all)
    };
    let (before, before_all) = share(start, start + 5.5);
    record.note(&format!("before: {before} of {before_all} sound requests began"));
    if before_all < 20 || before * 2 < before_all {
        return Err(io::Error::other("sound requests do not begin"));
    }
    let last = crashes.iter().map(|(at, _)| *at).take(5).last();
    // Later than 2 x contact_ms after the last crash by the part, and as long after the other crash.
    let from = last.unwrap_or(start).max(start + CRASH_S) + 2.0 * CONTACT_S;
    let (after, after_all) = share(from, start + LENGTH_S);
    let (now, other) = (before as f64 / before_all as f64, after as f64 / after_all.max(1) as f64);
    record.note(&format!(
        "{} crashes by the part; from {from:.2} on: {after} of {after_all} sound requests began ({other:.2}, before {now:.2})",
        crashes.len()
    ));
    Ok(after_all >= 20 && other < now / 2.0)
}
