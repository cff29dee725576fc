//! What happens, step by step, and what is checked after each.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chervilgate_clients::{Engine, EngineOrder, HttpEngine, OrderOutcome, OrderRequest};
use chervilgate_coord::view::{Edit, KeyHash};
use chervilgate_standins::ServiceStandin;
use chervilgate_standins::{Caller, EngineFaults, EngineStandin, PlatformFaults, ServiceFaults};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{
    cast::{Cast, Error, eventually, placement},
    ledger::{Ledger, Promise},
    load::{Load, Tally, is_refused},
};

/// How long the load runs between two steps.
const STEP_TIME: Duration = Duration::from_millis(600);

/// Runs the demo.
pub(crate) async fn run() -> Result<Ledger, Error> {
    let mut ledger = Ledger::default();
    step("starting a platform, 6 engines, 3 plain services, 3 entries, 3 controllers");
    let mut cast = Cast::start().await?;
    let load = Load::start(&cast.callers[..2], cast.serving());
    sleep(STEP_TIME).await;

    use_keys(&cast, &mut ledger).await;
    refuse_truthfully(&cast, &mut ledger).await;
    publish_change(&mut cast, &mut ledger).await?;
    withdraw_key(&cast, &mut ledger).await?;
    drain_target(&cast, &load, &mut ledger).await?;
    break_engines(&mut cast, &load, &mut ledger).await;
    refuse_stale_order(&cast, &mut ledger).await;
    lose_platform(&cast, &load, &mut ledger).await;
    stop_entry(&mut cast, &load, &mut ledger).await?;
    kill_owner(&mut cast, &mut ledger).await?;
    let tally = load.stop().await;
    step("stopping the load; waiting for the usage reports");
    judge_load(&cast, &tally, &mut ledger);
    judge_usage(&cast, &mut ledger).await;
    judge_platform(&cast, &mut ledger);
    Ok(ledger)
}

fn step(text: &str) {
    println!("- {text}");
}

async fn use_keys(cast: &Cast, ledger: &mut Ledger) {
    step("calling with a good key, a bad one, none");
    let stranger = Caller::new("cgk_000000000000_0000");
    for entry in cast.serving() {
        let good = cast.callers[0].get(entry, "/v1/models").await;
        let good = good.is_some_and(|answer| answer.status.is_success());
        ledger.check(Promise::Keys, good, || format!("{entry}: a good key was refused"));
        for caller in [&stranger, &Caller::without_key()] {
            let bad = caller.chat(entry, "let me in", 3).await;
            let refused = bad.is_some_and(|answer| answer.status == 401 && is_refused(&answer));
            ledger.check(Promise::Keys, refused, || format!("{entry}: a bad key was honoured"));
        }
    }
}

/// A refused request has run on no target.
async fn refuse_truthfully(cast: &Cast, ledger: &mut Ledger) {
    let stranger = Caller::new("cgk_000000000000_0000");
    for entry in cast.serving() {
        let content = json!({ "booking": entry.to_string() });
        let answer = stranger.post(entry, "/svc/plugs/bookings", &content).await;
        let refused = answer.is_some_and(|answer| is_refused(&answer));
        let call = format!("POST /bookings {content}");
        let services = cast.deployment.services.iter().flatten();
        let ran = services.filter(|service| service.runs().contains_key(&call)).count();
        ledger.check(Promise::NotRun, refused && ran == 0, || format!("{content} ran {ran} times"));
    }
}

async fn publish_change(cast: &mut Cast, ledger: &mut Ledger) -> Result<(), Error> {
    step("publishing a change under load");
    cast.deployment.config.insert(placement(3));
    let root = cast.deployment.publish().await?;
    let entries: Vec<SocketAddr> =
        cast.entries.iter().flatten().map(|entry| entry.admin_addr()).collect();
    for admin in entries {
        let mut highest = 0;
        let reached = eventually(|| async { seen_seq(admin).await >= root.seq.0 }).await;
        ledger.check(Promise::Config, reached, || format!("{admin} did not adopt the change"));
        for _ in 0..5 {
            let seq = seen_seq(admin).await;
            ledger.check(Promise::Config, seq >= highest, || format!("{admin} went back to {seq}"));
            highest = highest.max(seq);
        }
    }
    Ok(())
}

async fn withdraw_key(cast: &Cast, ledger: &mut Ledger) -> Result<(), Error> {
    step("withdrawing a key whose caller goes on calling");
    let caller = &cast.callers[2];
    let entry = cast.serving()[0];
    let before = caller.chat(entry, "still valid", 3).await;
    let honoured = before.is_some_and(|answer| answer.is_chat("still valid", 3));
    ledger.check(Promise::Keys, honoured, || "a valid key was refused".to_owned());
    let hash = KeyHash(*cast.records[2].hash.as_bytes());
    cast.deployment.edit(Edit::Withdraw([hash].into())).await?;
    for entry in cast.serving() {
        let refused = eventually(|| async {
            let answer = caller.chat(entry, "no longer valid", 3).await;
            answer.is_some_and(|answer| answer.status == 401 && is_refused(&answer))
        })
        .await;
        ledger.check(Promise::Keys, refused, || format!("{entry} honours a withdrawn key"));
    }
    Ok(())
}

async fn drain_target(cast: &Cast, load: &Load, ledger: &mut Ledger) -> Result<(), Error> {
    step("draining an engine under load");
    let broken = load.tally().broken.len();
    cast.deployment.edit(Edit::Drain("engine-0".to_owned())).await?;
    let admins: Vec<SocketAddr> =
        cast.controllers.iter().flatten().map(|controller| controller.admin_addr()).collect();
    let quiet = eventually(|| async {
        let mut quiet = false;
        for admin in &admins {
            let state = read_state(*admin).await;
            let list = state["quiet"].as_array().cloned().unwrap_or_default();
            quiet |= list.contains(&"engine-0".into());
        }
        quiet
    })
    .await;
    ledger.check(Promise::Drain, quiet, || "the drain did not end".to_owned());
    let before = runs_of(cast.deployment.engines[0].as_ref());
    sleep(2 * STEP_TIME).await;
    let after = runs_of(cast.deployment.engines[0].as_ref());
    ledger.check(Promise::Drain, before == after, || format!("{} new runs", after - before));
    let cut = load.tally().broken;
    ledger.check(Promise::Change, cut.len() == broken, || format!("{:?}", &cut[broken..]));
    Ok(())
}

async fn break_engines(cast: &mut Cast, load: &Load, ledger: &mut Ledger) {
    step("breaking streams, crossing answers, killing an engine mid-stream");
    if let Some(engine) = &cast.deployment.engines[1] {
        engine.set_faults(EngineFaults { break_after: Some(4), ..EngineFaults::default() });
    }
    if let Some(engine) = &cast.deployment.engines[2] {
        engine.set_faults(EngineFaults { cross_answers: true, ..EngineFaults::default() });
    }
    for service in cast.deployment.services.iter().flatten().take(1) {
        service.set_faults(ServiceFaults { lose_answers: true, ..ServiceFaults::default() });
    }
    sleep(STEP_TIME).await;
    heal(cast);
    sleep(STEP_TIME).await;
    cast.deployment.engines[3] = None;
    sleep(2 * STEP_TIME).await;
    let whole = load.tally().whole;
    sleep(STEP_TIME).await;
    let more = load.tally().whole;
    ledger.check(Promise::Whole, more > whole, || "no answer after the engines' faults".to_owned());
}

fn heal(cast: &Cast) {
    for engine in cast.deployment.engines.iter().flatten() {
        engine.set_faults(EngineFaults::default());
    }
    for service in cast.deployment.services.iter().flatten() {
        service.set_faults(ServiceFaults::default());
    }
}

async fn refuse_stale_order(cast: &Cast, ledger: &mut Ledger) {
    step("sending an engine an order with an old fencing token");
    let Some(engine) = &cast.deployment.engines[4] else {
        return;
    };
    let order = |id: &str, epoch: u64, role: &str| OrderRequest {
        id: id.to_owned(),
        epoch,
        order: EngineOrder::ChangeRole { role: role.to_owned() },
    };
    let client = HttpEngine::new();
    let new = client.order(engine.addr(), &order("new", 9, "mixed")).await;
    ledger.check(Promise::Fencing, matches!(new, Ok(OrderOutcome::Done)), || format!("{new:?}"));
    let old = client.order(engine.addr(), &order("old", 8, "prefill")).await;
    ledger.check(Promise::Fencing, matches!(old, Ok(OrderOutcome::Fenced)), || format!("{old:?}"));
    let again = client.order(engine.addr(), &order("new", 9, "mixed")).await;
    let repeated = matches!(again, Ok(OrderOutcome::Repeated));
    ledger.check(Promise::Conflict, repeated, || format!("{again:?}"));
}

async fn lose_platform(cast: &Cast, load: &Load, ledger: &mut Ledger) {
    step("taking the platform away for longer than a view stays fresh");
    cast.deployment.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    sleep(Duration::from_secs(5)).await;
    let whole = load.tally().whole;
    sleep(2 * STEP_TIME).await;
    let more = load.tally().whole;
    ledger
        .check(Promise::Whole, more > whole, || "no answers while the platform is away".to_owned());
    cast.deployment.platform.set_faults(PlatformFaults::default());
}

async fn stop_entry(cast: &mut Cast, load: &Load, ledger: &mut Ledger) -> Result<(), Error> {
    step("stopping an entry gracefully under load, then starting its successor");
    let broken = load.tally().broken.len();
    let Some(entry) = cast.entries[2].take() else {
        return Ok(());
    };
    let staying = cast.serving();
    let stopping = tokio::spawn(entry.stop());
    sleep(Duration::from_secs(1)).await;
    load.set_entries(staying);
    stopping.await?;
    let cut = load.tally().broken;
    ledger.check(Promise::Stop, cut.len() == broken, || format!("{:?}", &cut[broken..]));
    let successor = cast.start_entry("c").await?;
    cast.entries[2] = Some(successor);
    Ok(())
}

async fn kill_owner(cast: &mut Cast, ledger: &mut Ledger) -> Result<(), Error> {
    step("killing a controller; the others take its shards over");
    if let Some(controller) = cast.controllers[0].take() {
        controller.kill();
    }
    cast.deployment.config.insert(placement(4));
    cast.deployment.publish().await?;
    let platform = &cast.deployment.platform;
    let ordered = eventually(|| async {
        let orders = platform.record().orders;
        let new = orders.values().filter(|order| order.count == 4);
        let zones: std::collections::BTreeSet<_> = new.map(|order| order.zone.clone()).collect();
        zones.len() == chervilgate_standins::ZONES.len()
    })
    .await;
    ledger.check(Promise::Targets, ordered, || "a zone's orders were not taken over".to_owned());
    Ok(())
}

fn judge_load(cast: &Cast, tally: &Tally, ledger: &mut Ledger) {
    for _ in 0..tally.whole {
        ledger.check(Promise::Whole, true, String::new);
    }
    for broken in &tally.broken {
        ledger.check(Promise::Whole, false, || broken.clone());
    }
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for service in cast.deployment.services.iter().flatten() {
        for (call, count) in service.runs() {
            *runs.entry(call).or_default() += count;
        }
    }
    for (content, told) in &tally.bookings {
        let ran = runs.get(&format!("POST /bookings {content}")).copied().unwrap_or(0);
        ledger.check(Promise::Once, ran <= 1, || format!("{content} ran {ran} times"));
        if told.as_deref() == Some("not-run") {
            ledger.check(Promise::NotRun, ran == 0, || format!("{content} ran {ran} times"));
        }
    }
    let services = cast.deployment.services.iter().flatten().map(ServiceStandin::keys_seen);
    let engines = cast.deployment.engines.iter().flatten();
    let seen: u64 = services.chain(engines.map(|engine| engine.record().keys_seen)).sum();
    ledger.check(Promise::Keys, seen == 0, || format!("targets saw {seen} keys"));
    println!(
        "  {} whole answers, {} refused as not run, {} bookings",
        tally.whole,
        tally.refused,
        tally.bookings.len()
    );
}

async fn judge_usage(cast: &Cast, ledger: &mut Ledger) {
    let platform = &cast.deployment.platform;
    let reported = eventually(|| async { platform.record().usage.len() >= 2 }).await;
    ledger.check(Promise::Usage, reported, || "no usage was reported".to_owned());
    let record = platform.record();
    for report in &record.usage {
        let whole = report.requests > 0;
        ledger.check(Promise::Usage, whole, || format!("{report:?}"));
    }
}

fn judge_platform(cast: &Cast, ledger: &mut Ledger) {
    let record = cast.deployment.platform.record();
    let clean = record.findings.is_empty();
    ledger.check(Promise::Targets, clean, || format!("{:?}", record.findings));
    ledger.check(Promise::Usage, clean, || format!("{:?}", record.findings));
}

async fn read_state(admin: SocketAddr) -> Value {
    let answer = Caller::without_key().get(admin, "/admin/state").await;
    answer.map(|answer| answer.json()).unwrap_or_default()
}

async fn seen_seq(admin: SocketAddr) -> u64 {
    read_state(admin).await["view"]["seq"].as_u64().unwrap_or(0)
}

fn runs_of(engine: Option<&EngineStandin>) -> usize {
    engine.map_or(0, |engine| engine.record().runs.len())
}
