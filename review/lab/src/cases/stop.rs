//! A host is stopped by SIGTERM while callers still hold its address.

use std::{
    io,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use super::{start_hosts, write_config};
use crate::{
    client::{new_id, note_end, sleep_until, stream, Attempt, End},
    host::SIGTERM,
    http::chunk,
    runner::{begin_stream, unix_ms, Behaviour, Runner},
    Lab,
};

/// A stream as the sheet of the site has them on the mean: 17 events, each well within the pause of
/// 250 ms that it allows.
const EVENTS: u64 = 17;
const GAP: Duration = Duration::from_millis(200);
const BUDGET: Duration = Duration::from_secs(6);

fn engine(lab: &Lab) -> Behaviour {
    let record = lab.record.clone();
    Arc::new(move |runner, request, out| {
        let last: u64 = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        record.note(&format!("runner {} runs {}", runner.id(), request.id()));
        begin_stream(request, out)?;
        for number in last + 1..=EVENTS {
            thread::sleep(GAP);
            if let Err(error) = chunk(out, format!("id: {number}\ndata: x\n\n").as_bytes()) {
                record.note(&format!("runner {}: {} was given up at event {number}", runner.id(), request.id()));
                return Err(error);
            }
        }
        record.note(&format!("runner {} has finished {}", runner.id(), request.id()));
        chunk(out, b"")
    })
}

pub fn run(lab: &Lab) -> io::Result<bool> {
    write_config(lab);
    let (store, record) = (&lab.store, &lab.record);
    let entry = "\"service\":\"llm\",\"zone\":\"z-a\",\"slots\":64,\"stage\":\"decode\",\"version\":\"1.0\"";
    for number in 0..3 {
        let addr = lab.net.addr(100 + number, 8080);
        let runner = Runner::start(addr, &format!("i-{number}"), entry, engine(lab))?;
        runner.register(store, "ready", unix_ms(), 1);
    }
    let hosts = start_hosts(lab, 3)?;
    let stopped = hosts[0].front;

    let (addrs, ttl) = hosts[0].resolve()?;
    let resolved = Instant::now();
    record.note(&format!("the directory gives {addrs:?} for {ttl} s; some callers keep that for {} s", 3.0 * ttl));
    if !addrs.contains(&stopped) || ttl < 1.5 {
        return Err(io::Error::other("the directory does not name the host for long enough"));
    }
    thread::sleep(Duration::from_millis(50));
    if lab.trouble {
        hosts[0].signal(SIGTERM);
        record.note(&format!("SIGTERM to {} ({stopped})", hosts[0].name));
    }
    let signalled = Instant::now();
    let lost = Arc::new(Mutex::new((0, 0)));
    let mut callers = Vec::new();
    for number in 0..14 {
        // The callers that keep the answer for three times as long pick any of its addresses; those
        // that pick the host that stops are of interest.
        let at = 3.2 + 0.18 * f64::from(number);
        if resolved.elapsed().as_secs_f64().max(at) >= 3.0 * ttl {
            break;
        }
        let (record, lost, addrs) = (record.clone(), lost.clone(), addrs.clone());
        callers.push(thread::spawn(move || {
            sleep_until(signalled, at);
            let addr = if number % 3 == 2 { addrs[(number as usize) % addrs.len()] } else { stopped };
            let id = new_id();
            let prefix = format!("5c1e07a2:350,{:x}:1110", 0x9000 + number);
            let path = format!("/ask/{number}");
            let attempt = Attempt {
                id: &id,
                method: "POST",
                path: &path,
                body: b"question",
                prompt: Some(("1460,17", &prefix)),
                takes_up: None,
                left: BUDGET,
            };
            let sent = Instant::now();
            record.note(&format!("caller {number} sends {id} to {addr}"));
            let mut events = 0;
            let end = stream(addr, &attempt, |_| events += 1);
            let took = sent.elapsed().as_secs_f64();
            note_end(&record, &format!("caller {number}: {id} after {took:.2} s with {events} of {EVENTS} events"), &end);
            let mut counts = lost.lock().unwrap();
            counts.1 += usize::from(end == End::Whole);
            // Sent later than 3 s after SIGTERM, passed on to a runner that went on with its work, and
            // well inside the time budget and the route's timeout.
            if addr == stopped && events > 0 && matches!(end, End::Cut(_)) && took < 5.5 {
                counts.0 += 1;
            }
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    let (cut, whole) = *lost.lock().unwrap();
    record.note(&format!("{cut} requests were passed on and cut without a complete answer; {whole} streams were whole"));
    if !lab.trouble && whole == 0 {
        return Err(io::Error::other("no stream was whole"));
    }
    Ok(cut > 0)
}
