//! A runner leaves without a word while the store cuts off waiting watches.

use std::{
    io,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use super::{start_hosts, write_config};
use crate::{
    client::{new_id, plain, sleep_until, Attempt, End},
    runner::{succeed, unix_ms, Behaviour, Runner},
    Lab,
};

const DRAIN_S: f64 = 2.0;
/// Time for which the runner goes on serving after its entry was removed.
const SERVES_S: f64 = 2.1;

/// Time that a request takes; the site has 15 ms on the mean and up to 110.
const WORK: Duration = Duration::from_millis(40);

/// Arrivals at runners: time, runner, attempt.
type Arrivals = Arc<Mutex<Vec<(f64, String, String)>>>;

fn app(lab: &Lab, arrivals: Arrivals) -> Behaviour {
    let record = lab.record.clone();
    Arc::new(move |runner, request, out| {
        let now = record.now();
        record.note(&format!("runner {} runs {}", runner.id(), request.id()));
        arrivals.lock().unwrap().push((now, runner.id().to_owned(), request.id().to_owned()));
        thread::sleep(WORK);
        succeed(request, out, &[b'x'; 800])
    })
}

pub fn run(lab: &Lab) -> io::Result<bool> {
    write_config(lab);
    let (store, record) = (&lab.store, &lab.record);
    let arrivals = Arrivals::default();
    let entry = "\"service\":\"app\",\"zone\":\"z-a\",\"slots\":6,\"version\":\"1.0\"";
    let start = |number: u8| {
        let addr = lab.net.addr(100 + number, 8080);
        Runner::start(addr, &format!("i-{number}"), entry, app(lab, arrivals.clone()))
    };
    let runners = [start(0)?, start(1)?, start(2)?];
    runners.iter().for_each(|runner| runner.register(store, "ready", unix_ms(), 1));
    let hosts = start_hosts(lab, 3)?;
    let fronts: Vec<_> = hosts.iter().map(|host| host.front).collect();
    let over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(f64, String, End)>>> = Arc::default();
    let mut callers = Vec::new();
    for number in 0..30usize {
        let (over, fronts, sent, record) = (over.clone(), fronts.clone(), sent.clone(), record.clone());
        callers.push(thread::spawn(move || {
            while !over.load(Ordering::SeqCst) {
                let id = new_id();
                let body = id.as_bytes();
                let attempt = Attempt {
                    id: &id,
                    method: "POST",
                    path: "/book/1",
                    body,
                    prompt: None,
                    takes_up: None,
                    left: Duration::from_secs(1),
                };
                let at = record.now();
                let addr = fronts[number % fronts.len()];
                let (end, _) = plain(addr, &attempt);
                record.note(&format!("request {id}, sent at {at:.3} to {addr}, ended: {end:?}"));
                sent.lock().unwrap().push((at, id, end));
                thread::sleep(Duration::from_millis(40));
            }
        }));
    }
    thread::sleep(Duration::from_secs(4));

    // The new runner starts first.
    let until = Instant::now() + Duration::from_secs(20);
    // The store cuts watches off at any time; here while those of the config are young.
    while Instant::now() < until {
        let ages = store.waiting("config");
        if ages.iter().any(|age| *age < Duration::from_millis(300)) {
            break;
        }
        thread::sleep(Duration::from_millis(5));
    }
    let new = start(3)?;
    new.register(store, "ready", unix_ms(), 1);
    record.note("runner i-3 is ready");
    thread::sleep(Duration::from_millis(50));
    let removed_at = record.now();
    let removed = Instant::now();
    store.remove("servers", "i-0");
    record.note("the entry of runner i-0 is removed; it goes on serving for a while");
    thread::sleep(Duration::from_millis(250));
    if lab.trouble {
        store.cut_waiting_watches();
        record.note("the store cuts off the watches that wait");
    }
    sleep_until(removed, SERVES_S);
    runners[0].end();
    record.note("runner i-0 has exited");
    thread::sleep(Duration::from_secs(2));
    over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let sent = sent.lock().unwrap();
    let whole = sent.iter().filter(|(.., end)| *end == End::Whole).count();
    record.note(&format!("{} requests were sent, {whole} answered with success", sent.len()));
    if whole * 2 < sent.len() {
        return Err(io::Error::other("most requests failed"));
    }
    let (mut late, mut lost) = (0, 0);
    for (at, runner, id) in arrivals.lock().unwrap().iter() {
        if runner != "i-0" || *at < removed_at {
            continue;
        }
        let after = at - removed_at;
        let request = sent.iter().find(|(_, known, _)| known == id);
        let request = request.map(|(sent, _, end)| format!("sent {:.3} s after it, {end:?}", sent - removed_at));
        if after > DRAIN_S {
            late += 1;
            lost += usize::from(request_end(&sent, id) != Some(&End::Whole));
            record.note(&format!("{id} reached i-0 {after:.3} s after its removal; {request:?}"));
        }
    }
    record.note(&format!("{late} requests reached i-0 later than {DRAIN_S} s after its removal; {lost} of them were lost"));
    Ok(late > 0)
}

fn request_end<'a>(sent: &'a [(f64, String, End)], id: &str) -> Option<&'a End> {
    sent.iter().find(|(_, known, _)| known == id).map(|(.., end)| end)
}
