//! A request crashes each runner that begins to answer it.

use std::{
    io,
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
    runner::{begin_stream, unix_ms, Behaviour, Runner},
    store::Store,
    Lab,
};

const EVENTS: u64 = 17;
const GAP: Duration = Duration::from_millis(30);
/// Time from the crash of a runner until it is back.
const BACK: Duration = Duration::from_secs(2);
const CONTACT_S: f64 = 3.0;
const LENGTH_S: f64 = 40.0;
const POISON_PATH: &str = "/ask/poison";

/// What the runners saw of the request that crashes them: time, runner and attempt.
#[derive(Default)]
struct Crashes(Mutex<Vec<(f64, String)>>);

fn engine(lab: &Lab, crashes: Arc<Crashes>) -> Behaviour {
    let (record, store, trouble) = (lab.record.clone(), lab.store.clone(), lab.trouble);
    Arc::new(move |runner, request, out| {
        let last: u64 = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        record.note(&format!("runner {} runs {} after event {last}", runner.id(), request.id()));
        // For comparison only: a crash before the first byte.
        let is_early = std::env::var_os("EARLY").is_some() && request.path() == POISON_PATH;
        if !is_early {
            begin_stream(request, out)?;
            thread::sleep(GAP);
            chunk(out, format!("id: {}\ndata: x\n\n", last + 1).as_bytes())?;
        }
        if request.path() == POISON_PATH && trouble {
            record.note(&format!("runner {} begins to answer {} and crashes", runner.id(), request.id()));
            crashes.0.lock().unwrap().push((record.now(), request.id().to_owned()));
            crash(runner, &store, request);
            return Err(io::Error::other("crashed"));
        }
        for number in last + 2..=EVENTS {
            thread::sleep(GAP);
            chunk(out, format!("id: {number}\ndata: x\n\n").as_bytes())?;
        }
        chunk(out, b"")
    })
}

/// Ends the runner, which is back after some seconds as a new start under its id.
fn crash(runner: &Runner, store: &Store, _: &Request) {
    runner.end();
    let (runner, store) = (runner.clone(), store.clone());
    thread::spawn(move || {
        thread::sleep(BACK);
        if runner.boot().is_ok() {
            runner.register(&store, "ready", unix_ms(), 1);
        }
    });
}

pub fn run(lab: &Lab) -> io::Result<bool> {
    write_config(lab);
    let (store, record) = (&lab.store, &lab.record);
    let crashes = Arc::new(Crashes::default());
    let entry = "\"service\":\"llm\",\"zone\":\"z-a\",\"slots\":64,\"stage\":\"decode\",\"version\":\"1.0\"";
    for number in 0..6 {
        let addr = lab.net.addr(100 + number, 8080);
        let runner = Runner::start(addr, &format!("i-{number}"), entry, engine(lab, crashes.clone()))?;
        runner.register(store, "ready", unix_ms(), 1);
    }
    let hosts = start_hosts(lab, 3)?;
    let fronts: Vec<_> = hosts.iter().map(|host| host.front).collect();
    let begin = Instant::now();
    let over = Arc::new(AtomicBool::new(false));
    let (cut, whole) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));

    // Sound requests of the same caller, which share the first part of the prompt.
    let mut callers = Vec::new();
    for number in 0..6u64 {
        let (over, fronts, cut, whole) = (over.clone(), fronts.clone(), cut.clone(), whole.clone());
        let record = record.clone();
        callers.push(thread::spawn(move || {
            let mut turn = number;
            while !over.load(Ordering::SeqCst) {
                turn += 1;
                let (id, path) = (new_id(), format!("/ask/{number}-{turn}"));
                let prefix = format!("5c1e07a2:350,{:x}:1110", 0x10000 * (number + 1) + turn);
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
                let end = stream(addr, &attempt, |_| {});
                note_end(&record, &format!("sound request {id}"), &end);
                if end == End::Whole {
                    whole.fetch_add(1, Ordering::SeqCst);
                } else {
                    cut.fetch_add(1, Ordering::SeqCst);
                }
                thread::sleep(Duration::from_millis(150));
            }
        }));
    }
    let mut number = 0;
    while begin.elapsed().as_secs_f64() < LENGTH_S {
        // The same request again: path, caller and body are alike.
        let id = new_id();
        let attempt = Attempt {
            id: &id,
            method: "POST",
            path: POISON_PATH,
            body: b"the question that crashes",
            prompt: Some(("1460,17", "5c1e07a2:350,badbad:1110")),
            takes_up: None,
            left: Duration::from_secs(6),
        };
        let addr = fronts[number % fronts.len()];
        record.note(&format!("the crashing request comes as {id} to {addr}"));
        let end = stream(addr, &attempt, |_| {});
        note_end(record, &id, &end);
        number += 1;
        sleep_until(begin, 2.0 * number as f64);
    }
    over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let crashes = crashes.0.lock().unwrap();
    let (cut, whole) = (cut.load(Ordering::SeqCst), whole.load(Ordering::SeqCst));
    record.note(&format!("{} crashes; {whole} sound streams were whole, {cut} were not", crashes.len()));
    if whole == 0 {
        return Err(io::Error::other("no sound stream was whole"));
    }
    let Some((third, _)) = crashes.get(2) else { return Ok(false) };
    let mut late: Vec<&str> =
        crashes.iter().filter(|(at, _)| *at > third + CONTACT_S).map(|(_, id)| id.as_str()).collect();
    let arrivals = late.len();
    late.dedup();
    record.note(&format!(
        "later than {CONTACT_S} s after the third crash at {third:.2}: {} attempts reached runners, \
         {arrivals} runners crashed; three are allowed",
        late.len()
    ));
    Ok(late.len() > 3)
}
