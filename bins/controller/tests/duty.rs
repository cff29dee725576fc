//! Tests of controllers against stand-ins of the platform and engines: target orders, takeover,
//! usage reports and drains.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_controller::{Controller, Settings};
use chervilgate_coord::view::Edit;
use chervilgate_entry::{Entry, Settings as EntrySettings};
use chervilgate_model::{Object, Placement, ZoneCount};
use chervilgate_standins::{Caller, Deployment, EngineSpec, ZONES, name};
use chervilgate_wire::CertificateAuthority;

/// Timeout of conditions that normally hold within seconds.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

async fn wait_until<F: Future<Output = bool>>(mut condition: impl FnMut() -> F) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(CONDITION_TIMEOUT, wait)
        .await
        .expect("condition holds before the timeout");
}

async fn start_controllers(
    deployment: &Deployment,
    authority: &CertificateAuthority,
    count: usize,
) -> Vec<Controller> {
    let mut controllers = Vec::new();
    for (number, zone) in ZONES.iter().cycle().take(count).enumerate() {
        let identity = authority.issue(&format!("c{number}")).expect("issue a certificate");
        let platform = deployment.platform.addr();
        let mut settings = Settings::new(&format!("c{number}"), zone, platform, identity);
        settings.usage_window = Duration::from_secs(2);
        controllers.push(Controller::start(settings).await.expect("start a controller"));
    }
    controllers
}

async fn start_entry(
    deployment: &Deployment,
    authority: &CertificateAuthority,
    host: &str,
    zone: &str,
) -> Entry {
    let identity = authority.issue(host).expect("issue a certificate");
    let mut settings = EntrySettings::new(host, zone, deployment.platform.addr(), identity);
    settings.deadline = CONDITION_TIMEOUT;
    settings.locate_ttl = Duration::ZERO;
    Entry::start(settings).await.expect("start an entry")
}

async fn admin_state(controller: &Controller) -> serde_json::Value {
    let answer = Caller::without_key().get(controller.admin_addr(), "/admin/state").await;
    answer.map(|answer| answer.json()).unwrap_or_default()
}

/// Number of shards that all controllers own together.
async fn count_owned(controllers: &[Controller]) -> usize {
    let mut owned = 0;
    for controller in controllers {
        owned += admin_state(controller).await["owned"].as_array().map_or(0, Vec::len);
    }
    owned
}

fn placement(count: u32) -> Object {
    let zones = ZONES.iter().map(|zone| (name(zone), ZoneCount { steady: count, cheap: 0 }));
    Object::Placement(Placement {
        name: name("chat-main"),
        service: name("chat"),
        version: None,
        zones: zones.collect::<BTreeMap<_, _>>(),
        checks_fencing: true,
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn placements_are_ordered_once_and_again_after_the_owner_is_gone() {
    let mut deployment = Deployment::start(1, 0, &EngineSpec::default()).expect("stand-ins");
    let authority = CertificateAuthority::generate().expect("generate an authority");
    deployment.config.insert(placement(2));
    deployment.publish().await.expect("published");
    let mut controllers = start_controllers(&deployment, &authority, 3).await;
    // Sessions of processes that own no shards must not block orders or the takeover.
    let mut entries = Vec::new();
    for zone in ZONES.iter().chain(&ZONES).chain(&ZONES) {
        let host = format!("h{}", entries.len());
        entries.push(start_entry(&deployment, &authority, &host, zone).await);
    }
    let ordered_zones = |count: u32| {
        let orders = deployment.platform.record().orders;
        let zones = orders.values().filter(|order| !order.cheap && order.count == count);
        zones.map(|order| order.zone.clone()).collect::<std::collections::BTreeSet<_>>().len()
    };

    wait_until(|| async { ordered_zones(2) == ZONES.len() }).await;
    let first_orders = deployment.platform.record().orders.len();
    for owner in controllers.drain(1..) {
        owner.kill();
    }
    deployment.config.insert(placement(3));
    deployment.publish().await.expect("published");
    wait_until(|| async { ordered_zones(3) == ZONES.len() }).await;

    let record = deployment.platform.record();
    assert_eq!(first_orders, 2 * ZONES.len());
    assert_eq!(record.orders.len(), 3 * ZONES.len());
    assert!(record.findings.is_empty(), "{:?}", record.findings);
    for controller in controllers {
        controller.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn usage_is_reported_whole_and_once() {
    let mut deployment = Deployment::start(2, 0, &EngineSpec::default()).expect("stand-ins");
    let (secret, _) = deployment.add_organisation("jadranska");
    let authority = CertificateAuthority::generate().expect("generate an authority");
    deployment.publish().await.expect("published");
    let controllers = start_controllers(&deployment, &authority, 3).await;
    let entry = start_entry(&deployment, &authority, "h1", "a").await;
    let _mirror = start_entry(&deployment, &authority, "h2", "b").await;
    let caller = Caller::new(secret.expose());
    wait_until(|| async {
        let answer = caller.get(entry.addr(), "/readyz").await;
        answer.is_some_and(|answer| answer.status.is_success())
            && count_owned(&controllers).await == 48
    })
    .await;

    for number in 0..10 {
        let prompt = format!("plug {number}");
        let answer = caller.chat(entry.addr(), &prompt, 7).await.expect("receive an answer");
        assert!(answer.matches_chat(&prompt, 7));
    }
    entry.stop().await;
    let reported_tokens = || {
        let record = deployment.platform.record();
        record.usage.iter().map(|report| report.output_tokens).sum::<u64>()
    };
    wait_until(|| async { reported_tokens() >= 70 }).await;

    let record = deployment.platform.record();
    assert_eq!(reported_tokens(), 70);
    assert_eq!(record.usage.iter().map(|report| report.requests).sum::<u64>(), 10);
    assert!(record.findings.is_empty(), "{:?}", record.findings);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_target_is_reported_quiet_once_nothing_runs_there() {
    let mut deployment = Deployment::start(2, 0, &EngineSpec::default()).expect("stand-ins");
    let (secret, _) = deployment.add_organisation("jadranska");
    let authority = CertificateAuthority::generate().expect("generate an authority");
    deployment.publish().await.expect("published");
    let controllers = start_controllers(&deployment, &authority, 2).await;
    let entry = start_entry(&deployment, &authority, "h1", "a").await;
    let caller = Caller::new(secret.expose());
    wait_until(|| async {
        caller.get(entry.addr(), "/readyz").await.is_some_and(|answer| answer.status.is_success())
    })
    .await;

    deployment.edit(Edit::Drain("engine-0".to_owned())).await.expect("drained");
    wait_until(|| async {
        let mut quiet = false;
        for controller in &controllers {
            let state = admin_state(controller).await;
            quiet |=
                state["quiet"].as_array().is_some_and(|list| list.contains(&"engine-0".into()));
        }
        quiet
    })
    .await;
    let runs_before = deployment.engines[0].as_ref().map(|engine| engine.record().runs.len());
    for number in 0..20 {
        let answer = caller.chat(entry.addr(), &format!("after {number}"), 3).await;
        assert!(answer.is_some_and(|answer| answer.matches_chat(&format!("after {number}"), 3)));
    }
    let runs_after = deployment.engines[0].as_ref().map(|engine| engine.record().runs.len());

    assert_eq!(runs_before, runs_after);
}
