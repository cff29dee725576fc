//! All hosts are killed while the last runners of a software version leave.

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

const STREAMS: usize = 24;
const EVENTS: u64 = 25;
const GAP: Duration = Duration::from_millis(200);
const BUDGET: Duration = Duration::from_secs(6);
/// When the two runners of the old version exit: 2 s after the store has accepted that they drain, and
/// a little longer.
const EXITS_S: [f64; 2] = [2.6, 3.6];
const KILL_S: f64 = 3.3;
/// From the kill of a process to its next start.
const RESTART_S: f64 = 0.8;

fn engine(lab: &Lab, version: &'static str) -> Behaviour {
    let record = lab.record.clone();
    Arc::new(move |runner, request, out| {
        let last: u64 = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        record.note(&format!("runner {} ({version}) runs {} after event {last}", runner.id(), request.id()));
        begin_stream(request, out)?;
        for number in last + 1..=EVENTS {
            thread::sleep(GAP);
            chunk(out, format!("id: {number}\ndata: {version}\n\n").as_bytes())?;
        }
        chunk(out, b"")
    })
}

fn exit(lab: &Lab, runner: &Runner) {
    runner.end();
    lab.store.remove("servers", runner.id());
    lab.record.note(&format!("runner {} has exited; its entry is removed", runner.id()));
}

pub fn run(lab: &Lab) -> io::Result<bool> {
    write_config(lab);
    let (store, record) = (&lab.store, &lab.record);
    let entry = |version: &str| {
        format!("\"service\":\"llm\",\"zone\":\"z-a\",\"slots\":64,\"stage\":\"decode\",\"version\":\"{version}\"")
    };
    let start = |machine: u8, id: &str, version: &'static str| {
        Runner::start(lab.net.addr(machine, 8080), id, &entry(version), engine(lab, version))
    };
    // Two versions serve side by side.
    let old = [start(100, "i-old-1", "1.0")?, start(101, "i-old-2", "1.0")?];
    let mut new = vec![start(102, "i-1", "1.1")?, start(103, "i-2", "1.1")?, start(104, "i-3", "1.1")?];
    let born = unix_ms();
    old.iter().chain(&new).for_each(|runner| runner.register(store, "ready", born, 1));
    let mut hosts = start_hosts(lab, 3)?;
    let fronts: Vec<_> = hosts.iter().map(|host| host.front).collect();

    let begin = Instant::now();
    let seen: Arc<Mutex<Vec<Vec<String>>>> = Arc::new(Mutex::new(vec![Vec::new(); STREAMS]));
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
                    // The next try goes to another host.
                    turn += 1;
                    thread::sleep(Duration::from_millis(400));
                }
            })
        })
        .collect();

    // A release of two in five, one at a time: the new one starts first, the old one drains and exits.
    for (number, runner) in old.iter().enumerate() {
        sleep_until(begin, 0.2 + number as f64);
        let next = start(105 + number as u8, &format!("i-new-{number}"), "1.1")?;
        next.register(store, "ready", unix_ms(), 1);
        record.note(&format!("runner {} of version 1.1 is ready", next.id()));
        new.push(next);
        sleep_until(begin, 0.4 + number as f64);
        runner.register(store, "draining", born, 2);
        record.note(&format!("runner {} of version 1.0 is draining", runner.id()));
    }
    sleep_until(begin, EXITS_S[0]);
    exit(lab, &old[0]);
    sleep_until(begin, KILL_S);
    if lab.trouble {
        hosts.iter_mut().for_each(|host| host.kill());
        record.note("all hosts were killed");
    }
    sleep_until(begin, EXITS_S[1]);
    exit(lab, &old[1]);
    if lab.trouble {
        sleep_until(begin, KILL_S + RESTART_S);
        for host in &mut hosts {
            host.spawn()?;
        }
        record.note("all hosts were started again");
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
    if seen.iter().all(|versions| versions.is_empty()) {
        return Err(io::Error::other("no stream began"));
    }
    Ok(mixed > 2)
}
