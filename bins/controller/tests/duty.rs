//! Controllers against the stand-ins: orders, usage reports, takeover.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_controller::{Controller, Settings};
use chervilgate_coord::view::Edit;
use chervilgate_entry::{Entry, Settings as EntrySettings};
use chervilgate_model::{Object, Placement, ZoneCount};
use chervilgate_standins::{Caller, Deployment, EngineSpec, ZONES, name};
use chervilgate_wire::Authority;

/// Longest wait for a condition that comes about in seconds.
const PATIENCE: Duration = Duration::from_secs(60);

async fn eventually<F: Future<Output = bool>>(mut condition: impl FnMut() -> F) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(PATIENCE, wait).await.expect("the condition comes about");
}

async fn start_controllers(
    deployment: &Deployment,
    authority: &Authority,
    count: usize,
) -> Vec<Controller> {
    let mut controllers = Vec::new();
    for (number, zone) in ZONES.iter().cycle().take(count).enumerate() {
        let identity = authority.issue(&format!("c{number}")).expect("an identity");
        let platform = deployment.platform.addr();
        let mut settings = Settings::new(&format!("c{number}"), zone, platform, identity);
        settings.usage_window = Duration::from_secs(2);
        controllers.push(Controller::start(settings).await.expect("a controller"));
    }
    controllers
}

async fn start_entry(
    deployment: &Deployment,
    authority: &Authority,
    host: &str,
    zone: &str,
) -> Entry {
    let identity = authority.issue(host).expect("an identity");
    let mut settings = EntrySettings::new(host, zone, deployment.platform.addr(), identity);
    settings.deadline = PATIENCE;
    settings.locate_ttl = Duration::ZERO;
    Entry::start(settings).await.expect("an entry")
}

async fn state_of(controller: &Controller) -> serde_json::Value {
    let answer = Caller::without_key().get(controller.admin_addr(), "/admin/state").await;
    answer.map(|answer| answer.json()).unwrap_or_default()
}

async fn owned_by(controllers: &[Controller]) -> usize {
    let mut owned = 0;
    for controller in controllers {
        owned += state_of(controller).await["owned"].as_array().map_or(0, Vec::len);
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
    let authority = Authority::generate().expect("an authority");
    deployment.config.insert(placement(2));
    deployment.publish().await.expect("published");
    let mut controllers = start_controllers(&deployment, &authority, 3).await;
    // Sessions of processes that own nothing must not stand in anyone's way.
    let mut entries = Vec::new();
    for zone in ZONES.iter().chain(&ZONES).chain(&ZONES) {
        let host = format!("h{}", entries.len());
        entries.push(start_entry(&deployment, &authority, &host, zone).await);
    }
    let granted = |count: u32| {
        let orders = deployment.platform.record().orders;
        let zones = orders.values().filter(|order| !order.cheap && order.count == count);
        zones.map(|order| order.zone.clone()).collect::<std::collections::BTreeSet<_>>().len()
    };

    eventually(|| async { granted(2) == ZONES.len() }).await;
    let ordered = deployment.platform.record().orders.len();
    for owner in controllers.drain(1..) {
        owner.kill();
    }
    deployment.config.insert(placement(3));
    deployment.publish().await.expect("published");
    eventually(|| async { granted(3) == ZONES.len() }).await;

    let record = deployment.platform.record();
    assert_eq!(ordered, 2 * ZONES.len());
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
    let authority = Authority::generate().expect("an authority");
    deployment.publish().await.expect("published");
    let controllers = start_controllers(&deployment, &authority, 3).await;
    let entry = start_entry(&deployment, &authority, "h1", "a").await;
    let _mirror = start_entry(&deployment, &authority, "h2", "b").await;
    let caller = Caller::new(secret.expose());
    eventually(|| async {
        let answer = caller.get(entry.addr(), "/readyz").await;
        answer.is_some_and(|answer| answer.status.is_success())
            && owned_by(&controllers).await == 48
    })
    .await;

    for number in 0..10 {
        let prompt = format!("plug {number}");
        let answer = caller.chat(entry.addr(), &prompt, 7).await.expect("an answer");
        assert!(answer.is_chat(&prompt, 7));
    }
    entry.stop().await;
    let tokens = || {
        let record = deployment.platform.record();
        record.usage.iter().map(|report| report.output_tokens).sum::<u64>()
    };
    eventually(|| async { tokens() >= 70 }).await;

    let record = deployment.platform.record();
    assert_eq!(tokens(), 70);
    assert_eq!(record.usage.iter().map(|report| report.requests).sum::<u64>(), 10);
    assert!(record.findings.is_empty(), "{:?}", record.findings);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_target_is_told_as_quiet_once_nothing_runs_there() {
    let mut deployment = Deployment::start(2, 0, &EngineSpec::default()).expect("stand-ins");
    let (secret, _) = deployment.add_organisation("jadranska");
    let authority = Authority::generate().expect("an authority");
    deployment.publish().await.expect("published");
    let controllers = start_controllers(&deployment, &authority, 2).await;
    let entry = start_entry(&deployment, &authority, "h1", "a").await;
    let caller = Caller::new(secret.expose());
    eventually(|| async {
        caller.get(entry.addr(), "/readyz").await.is_some_and(|answer| answer.status.is_success())
    })
    .await;

    deployment.edit(Edit::Drain("engine-0".to_owned())).await.expect("drained");
    eventually(|| async {
        let mut quiet = false;
        for controller in &controllers {
            let state = state_of(controller).await;
            quiet |=
                state["quiet"].as_array().is_some_and(|list| list.contains(&"engine-0".into()));
        }
        quiet
    })
    .await;
    let before = deployment.engines[0].as_ref().map(|engine| engine.record().runs.len());
    for number in 0..20 {
        let answer = caller.chat(entry.addr(), &format!("after {number}"), 3).await;
        assert!(answer.is_some_and(|answer| answer.is_chat(&format!("after {number}"), 3)));
    }
    let after = deployment.engines[0].as_ref().map(|engine| engine.record().runs.len());

    assert_eq!(before, after);
}
