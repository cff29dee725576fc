//! The steps of the demo, and the checks after each.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chervilgate_clients::{Engine, EngineOrder, HttpEngine, OrderOutcome, OrderRequest};
use chervilgate_coord::view::{Edit, KeyHash};
use chervilgate_standins::ServiceServer;
use chervilgate_standins::{Caller, EngineFaults, EngineServer, PlatformFaults, ServiceFaults};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{
    cluster::{Cluster, Error, eventually, placement},
    guarantees::{Guarantee, GuaranteeReport},
    load::{Load, Tally, is_refused},
};

/// Time for which the load runs between two steps.
const STEP_DURATION: Duration = Duration::from_millis(600);

/// Runs the demo.
pub(crate) async fn run() -> Result<GuaranteeReport, Error> {
    let mut report = GuaranteeReport::default();
    step("starting a platform, 6 engines, 3 plain services, 3 entries, 3 controllers");
    let mut cluster = Cluster::start().await?;
    let load = Load::start(&cluster.callers[..2], cluster.serving());
    sleep(STEP_DURATION).await;

    check_keys(&cluster, &mut report).await;
    check_refusals(&cluster, &mut report).await;
    publish_change(&mut cluster, &mut report).await?;
    withdraw_key(&cluster, &mut report).await?;
    drain_target(&cluster, &load, &mut report).await?;
    inject_engine_faults(&mut cluster, &load, &mut report).await;
    send_stale_order(&cluster, &mut report).await;
    stop_platform(&cluster, &load, &mut report).await;
    stop_entry(&mut cluster, &load, &mut report).await?;
    kill_controller(&mut cluster, &mut report).await?;
    let tally = load.stop().await;
    step("stopping the load; waiting for the usage reports");
    check_load(&cluster, &tally, &mut report);
    check_usage(&cluster, &mut report).await;
    check_platform(&cluster, &mut report);
    Ok(report)
}

fn step(text: &str) {
    println!("- {text}");
}

async fn check_keys(cluster: &Cluster, report: &mut GuaranteeReport) {
    step("calling with a good key, a bad one, none");
    let unknown_caller = Caller::new("cgk_000000000000_0000");
    for entry in cluster.serving() {
        let accepted = cluster.callers[0].get(entry, "/v1/models").await;
        let accepted = accepted.is_some_and(|answer| answer.status.is_success());
        report.check(Guarantee::Keys, accepted, || format!("{entry}: a valid key was refused"));
        for caller in [&unknown_caller, &Caller::without_key()] {
            let response = caller.chat(entry, "let me in", 3).await;
            let refused =
                response.is_some_and(|answer| answer.status == 401 && is_refused(&answer));
            report.check(Guarantee::Keys, refused, || {
                format!("{entry}: an invalid key was accepted")
            });
        }
    }
}

/// Checks that a request refused as not run has run on no target.
async fn check_refusals(cluster: &Cluster, report: &mut GuaranteeReport) {
    let unknown_caller = Caller::new("cgk_000000000000_0000");
    for entry in cluster.serving() {
        let content = json!({ "booking": entry.to_string() });
        let answer = unknown_caller.post(entry, "/svc/plugs/bookings", &content).await;
        let refused = answer.is_some_and(|answer| is_refused(&answer));
        let call = format!("POST /bookings {content}");
        let services = cluster.deployment.services.iter().flatten();
        let ran = services.filter(|service| service.runs().contains_key(&call)).count();
        report
            .check(Guarantee::NotRun, refused && ran == 0, || format!("{content} ran {ran} times"));
    }
}

async fn publish_change(cluster: &mut Cluster, report: &mut GuaranteeReport) -> Result<(), Error> {
    step("publishing a change under load");
    cluster.deployment.config.insert(placement(3));
    let root = cluster.deployment.publish().await?;
    let entries: Vec<SocketAddr> =
        cluster.entries.iter().flatten().map(|entry| entry.admin_addr()).collect();
    for admin in entries {
        let mut highest = 0;
        let reached = eventually(|| async { read_view_seq(admin).await >= root.seq.0 }).await;
        report.check(Guarantee::Config, reached, || format!("{admin} did not adopt the change"));
        for _ in 0..5 {
            let seq = read_view_seq(admin).await;
            report
                .check(Guarantee::Config, seq >= highest, || format!("{admin} went back to {seq}"));
            highest = highest.max(seq);
        }
    }
    Ok(())
}

async fn withdraw_key(cluster: &Cluster, report: &mut GuaranteeReport) -> Result<(), Error> {
    step("withdrawing a key whose caller goes on calling");
    let caller = &cluster.callers[2];
    let entry = cluster.serving()[0];
    let before = caller.chat(entry, "still valid", 3).await;
    let accepted_before = before.is_some_and(|answer| answer.matches_chat("still valid", 3));
    report.check(Guarantee::Keys, accepted_before, || "a valid key was refused".to_owned());
    let hash = KeyHash(*cluster.records[2].hash.as_bytes());
    cluster.deployment.edit(Edit::Withdraw([hash].into())).await?;
    for entry in cluster.serving() {
        let refused = eventually(|| async {
            let answer = caller.chat(entry, "no longer valid", 3).await;
            answer.is_some_and(|answer| answer.status == 401 && is_refused(&answer))
        })
        .await;
        report.check(Guarantee::Keys, refused, || format!("{entry} accepts a withdrawn key"));
    }
    Ok(())
}

async fn drain_target(
    cluster: &Cluster,
    load: &Load,
    report: &mut GuaranteeReport,
) -> Result<(), Error> {
    step("draining an engine under load");
    let count_before = load.tally().failures.len();
    cluster.deployment.edit(Edit::Drain("engine-0".to_owned())).await?;
    let admins: Vec<SocketAddr> =
        cluster.controllers.iter().flatten().map(|controller| controller.admin_addr()).collect();
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
    report.check(Guarantee::Drain, quiet, || "the drain did not end".to_owned());
    let before = count_runs(cluster.deployment.engines[0].as_ref());
    sleep(2 * STEP_DURATION).await;
    let after = count_runs(cluster.deployment.engines[0].as_ref());
    report.check(Guarantee::Drain, before == after, || format!("{} new runs", after - before));
    let failed_chats = load.tally().failures;
    report.check(Guarantee::PlannedChange, failed_chats.len() == count_before, || {
        format!("{:?}", &failed_chats[count_before..])
    });
    Ok(())
}

async fn inject_engine_faults(cluster: &mut Cluster, load: &Load, report: &mut GuaranteeReport) {
    step("breaking streams, crossing answers, killing an engine mid-stream");
    if let Some(engine) = &cluster.deployment.engines[1] {
        engine.set_faults(EngineFaults { break_after: Some(4), ..EngineFaults::default() });
    }
    if let Some(engine) = &cluster.deployment.engines[2] {
        engine.set_faults(EngineFaults { wrong_id: true, ..EngineFaults::default() });
    }
    for service in cluster.deployment.services.iter().flatten().take(1) {
        service.set_faults(ServiceFaults { lose_answers: true, ..ServiceFaults::default() });
    }
    sleep(STEP_DURATION).await;
    clear_faults(cluster);
    sleep(STEP_DURATION).await;
    cluster.deployment.engines[3] = None;
    sleep(2 * STEP_DURATION).await;
    let complete = load.tally().complete;
    sleep(STEP_DURATION).await;
    let more = load.tally().complete;
    report.check(Guarantee::CompleteAnswer, more > complete, || {
        "no answer after the engines' faults".to_owned()
    });
}

fn clear_faults(cluster: &Cluster) {
    for engine in cluster.deployment.engines.iter().flatten() {
        engine.set_faults(EngineFaults::default());
    }
    for service in cluster.deployment.services.iter().flatten() {
        service.set_faults(ServiceFaults::default());
    }
}

async fn send_stale_order(cluster: &Cluster, report: &mut GuaranteeReport) {
    step("sending an engine an order with an old fencing token");
    let Some(engine) = &cluster.deployment.engines[4] else {
        return;
    };
    let order = |id: &str, epoch: u64, role: &str| OrderRequest {
        id: id.to_owned(),
        epoch,
        order: EngineOrder::ChangeRole { role: role.to_owned() },
    };
    let client = HttpEngine::new();
    let new = client.order(engine.addr(), &order("new", 9, "mixed")).await;
    report.check(Guarantee::Fencing, matches!(new, Ok(OrderOutcome::Done)), || format!("{new:?}"));
    let old = client.order(engine.addr(), &order("old", 8, "prefill")).await;
    report
        .check(Guarantee::Fencing, matches!(old, Ok(OrderOutcome::Fenced)), || format!("{old:?}"));
    let again = client.order(engine.addr(), &order("new", 9, "mixed")).await;
    let repeated = matches!(again, Ok(OrderOutcome::Repeated));
    report.check(Guarantee::OrderConflict, repeated, || format!("{again:?}"));
}

async fn stop_platform(cluster: &Cluster, load: &Load, report: &mut GuaranteeReport) {
    step("making the platform unavailable for longer than the maximum age of a view");
    cluster
        .deployment
        .platform
        .set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    sleep(Duration::from_secs(5)).await;
    let complete = load.tally().complete;
    sleep(2 * STEP_DURATION).await;
    let more = load.tally().complete;
    report.check(Guarantee::CompleteAnswer, more > complete, || {
        "no answers while the platform is unavailable".to_owned()
    });
    cluster.deployment.platform.set_faults(PlatformFaults::default());
}

async fn stop_entry(
    cluster: &mut Cluster,
    load: &Load,
    report: &mut GuaranteeReport,
) -> Result<(), Error> {
    step("stopping an entry gracefully under load, then starting its replacement");
    let count_before = load.tally().failures.len();
    let Some(entry) = cluster.entries[2].take() else {
        return Ok(());
    };
    let remaining = cluster.serving();
    let stopping = tokio::spawn(entry.stop());
    sleep(Duration::from_secs(1)).await;
    load.set_entries(remaining);
    stopping.await?;
    let failed_chats = load.tally().failures;
    report.check(Guarantee::PlannedStop, failed_chats.len() == count_before, || {
        format!("{:?}", &failed_chats[count_before..])
    });
    let replacement = cluster.start_entry("c").await?;
    cluster.entries[2] = Some(replacement);
    Ok(())
}

async fn kill_controller(cluster: &mut Cluster, report: &mut GuaranteeReport) -> Result<(), Error> {
    step("killing a controller; the others take its shards over");
    if let Some(controller) = cluster.controllers[0].take() {
        controller.kill();
    }
    cluster.deployment.config.insert(placement(4));
    cluster.deployment.publish().await?;
    let platform = &cluster.deployment.platform;
    let ordered = eventually(|| async {
        let orders = platform.record().orders;
        let new = orders.values().filter(|order| order.count == 4);
        let zones: std::collections::BTreeSet<_> = new.map(|order| order.zone.clone()).collect();
        zones.len() == chervilgate_standins::ZONES.len()
    })
    .await;
    report.check(Guarantee::Targets, ordered, || "a zone's orders were not taken over".to_owned());
    Ok(())
}

fn check_load(cluster: &Cluster, tally: &Tally, report: &mut GuaranteeReport) {
    for _ in 0..tally.complete {
        report.check(Guarantee::CompleteAnswer, true, String::new);
    }
    for failure in &tally.failures {
        report.check(Guarantee::CompleteAnswer, false, || failure.clone());
    }
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for service in cluster.deployment.services.iter().flatten() {
        for (call, count) in service.runs() {
            *runs.entry(call).or_default() += count;
        }
    }
    for (content, reported_outcome) in &tally.bookings {
        let ran = runs.get(&format!("POST /bookings {content}")).copied().unwrap_or(0);
        report.check(Guarantee::AtMostOnce, ran <= 1, || format!("{content} ran {ran} times"));
        if reported_outcome.as_deref() == Some("not-run") {
            report.check(Guarantee::NotRun, ran == 0, || format!("{content} ran {ran} times"));
        }
    }
    let services = cluster.deployment.services.iter().flatten().map(ServiceServer::keys_seen);
    let engines = cluster.deployment.engines.iter().flatten();
    let keys_received: u64 = services.chain(engines.map(|engine| engine.record().keys_seen)).sum();
    report
        .check(Guarantee::Keys, keys_received == 0, || format!("targets saw {keys_received} keys"));
    println!(
        "  {} whole answers, {} refused as not run, {} bookings",
        tally.complete,
        tally.refused,
        tally.bookings.len()
    );
}

async fn check_usage(cluster: &Cluster, guarantees: &mut GuaranteeReport) {
    let platform = &cluster.deployment.platform;
    let reported = eventually(|| async { platform.record().usage.len() >= 2 }).await;
    guarantees.check(Guarantee::Usage, reported, || "no usage was reported".to_owned());
    let record = platform.record();
    for report in &record.usage {
        let has_requests = report.requests > 0;
        guarantees.check(Guarantee::Usage, has_requests, || format!("{report:?}"));
    }
}

fn check_platform(cluster: &Cluster, report: &mut GuaranteeReport) {
    let record = cluster.deployment.platform.record();
    let no_findings = record.findings.is_empty();
    report.check(Guarantee::Targets, no_findings, || format!("{:?}", record.findings));
    report.check(Guarantee::Usage, no_findings, || format!("{:?}", record.findings));
}

async fn read_state(admin: SocketAddr) -> Value {
    let answer = Caller::without_key().get(admin, "/admin/state").await;
    answer.map(|answer| answer.json()).unwrap_or_default()
}

async fn read_view_seq(admin: SocketAddr) -> u64 {
    read_state(admin).await["view"]["seq"].as_u64().unwrap_or(0)
}

fn count_runs(engine: Option<&EngineServer>) -> usize {
    engine.map_or(0, |engine| engine.record().runs.len())
}
