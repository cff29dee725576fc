//! A runner ends and starts again under its id, with another software version.

use std::{
    io,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use super::{start_hosts, write_config};
use crate::{
    client::{new_id, note_end, sleep_until, stream, Attempt, End},
    http::chunk,
    runner::{begin_stream, unix_ms, Behaviour, Runner},
    Lab,
};

const STREAMS: usize = 60;
const EVENTS: u64 = 25;
const GAP: Duration = Duration::from_millis(200);
const BUDGET: Duration = Duration::from_secs(6);
const ENDS_S: f64 = 1.5;
/// From the end of the runner to its next start, and from then until its entry is written.
const BACK_S: f64 = 1.8;
const WRITES_S: f64 = 0.4;

pub fn run(lab: &Lab) -> io::Result<bool> {
    write_config(lab);
    let (store, record) = (&lab.store, &lab.record);
    let seen: Arc<Mutex<Vec<Vec<String>>>> = Arc::new(Mutex::new(vec![Vec::new(); STREAMS]));
    let engine = |version: Arc<Mutex<&'static str>>| -> Behaviour {
        let record = record.clone();
        Arc::new(move |runner, request, out| {
            let version = *version.lock().unwrap();
            let last: u64 = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
            record.note(&format!("runner {} ({version}) runs {} after event {last}", runner.id(), request.id()));
            begin_stream(request, out)?;
            for number in last + 1..=EVENTS {
                thread::sleep(GAP);
                chunk(out, format!("id: {number}\ndata: {version}\n\n").as_bytes())?;
            }
            chunk(out, b"")
        })
    };
    let entry = |version: &str| {
        format!("\"service\":\"llm\",\"zone\":\"z-a\",\"slots\":64,\"stage\":\"decode\",\"version\":\"{version}\"")
    };
    let version = Arc::new(Mutex::new("1.0"));
    let old = Runner::start(lab.net.addr(100, 8080), "i-1", &entry("1.0"), engine(version.clone()))?;
    old.register(store, "ready", unix_ms(), 1);
    let mut others = Vec::new();
    for number in 0..5 {
        let version = Arc::new(Mutex::new("1.1"));
        let other = Runner::start(lab.net.addr(101 + number, 8080), &format!("i-{}", number + 2), &entry("1.1"), engine(version))?;
        other.register(store, "ready", unix_ms(), 1);
        others.push(other);
    }
    let hosts = start_hosts(lab, 3)?;
    let fronts: Vec<_> = hosts.iter().map(|host| host.front).collect();
    let begin = Instant::now();
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, fronts, seen) = (record.clone(), fronts.clone(), seen.clone());
            thread::spawn(move || {
                let (mut last, mut first_id) = (0, None);
                let mut turn = number;
                let path = format!("/ask/{number}");
                let prefix = format!("5c1e07a2:350,{:x}:1110", 0x9000 + number);
                while begin.elapsed() < BUDGET {
                    let id = new_id();
                    let resumes: Option<String> = first_id.clone();
                    let attempt = Attempt {
                        id: &id,
                        method: "POST",
                        path: &path,
                        body: b"question",
                        prompt: Some(("1460,25", &prefix)),
                        takes_up: resumes.as_deref().map(|resumes| (last, resumes)),
                        left: BUDGET.saturating_sub(begin.elapsed()),
                    };
                    let addr = fronts[turn % fronts.len()];
                    record.note(&format!("caller {number} sends {id} to {addr}, last event {last}, resumes {resumes:?}"));
                    let end = stream(addr, &attempt, |event| {
                        first_id.get_or_insert(id.clone());
                        last = event.id;
                        seen.lock().unwrap()[number].push(event.data);
                    });
                    note_end(&record, &format!("caller {number}: {id}, last event {last},"), &end);
                    if end == End::Whole {
                        return;
                    }
                    turn += 1;
                    thread::sleep(Duration::from_millis(400 + 7 * number as u64));
                }
            })
        })
        .collect();
    sleep_until(begin, ENDS_S);
    if lab.trouble {
        old.end();
        record.note("runner i-1 has ended");
        sleep_until(begin, ENDS_S + BACK_S);
        *version.lock().unwrap() = "1.1";
        old.boot()?;
        record.note("runner i-1 has started again, with version 1.1");
        sleep_until(begin, ENDS_S + BACK_S + WRITES_S);
        let spec = format!(
            "{{{},\"address\":\"{}\",\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":{},\"sequence\":1}}",
            entry("1.1"), lab.net.addr(100, 8080), unix_ms()
        );
        store.put("servers", "i-1", &spec);
        record.note("runner i-1 has written its entry");
    }
    for caller in callers {
        let _ = caller.join();
    }
    let seen = seen.lock().unwrap();
    let mut mixed = 0;
    for (number, versions) in seen.iter().enumerate() {
        let count = |version: &str| versions.iter().filter(|known| *known == version).count();
        let (old, new) = (count("1.0"), count("1.1"));
        record.note(&format!("caller {number} holds {old} events of version 1.0 and {new} of 1.1"));
        mixed += usize::from(old > 0 && new > 0);
    }
    record.note(&format!("{mixed} streams hold events of both versions; two are allowed"));
    Ok(mixed > 2)
}
