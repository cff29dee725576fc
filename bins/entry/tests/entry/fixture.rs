//! Entries against the stand-ins.

use std::time::Duration;

use chervilgate_entry::{Entry, Settings};
use chervilgate_standins::{Caller, Deployment, EngineSpec};
use chervilgate_wire::Authority;

/// Longest wait for a condition that comes about in milliseconds.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);

/// Settings of an entry that refuses nothing for being late.
pub(crate) fn settings(
    deployment: &Deployment,
    authority: &Authority,
    host: &str,
    zone: &str,
) -> Settings {
    let identity = authority.issue(host).expect("an identity");
    let mut settings = Settings::new(host, zone, deployment.platform.addr(), identity);
    settings.deadline = PATIENCE;
    settings
}

/// Starts an entry and waits until it is ready.
pub(crate) async fn start_entry(
    deployment: &Deployment,
    authority: &Authority,
    host: &str,
    zone: &str,
) -> Entry {
    let settings = settings(deployment, authority, host, zone);
    let entry = Entry::start(settings).await.expect("an entry");
    let caller = Caller::without_key();
    eventually(|| async {
        caller.get(entry.addr(), "/readyz").await.is_some_and(|answer| answer.status.is_success())
    })
    .await;
    entry
}

/// Waits for a condition.
pub(crate) async fn eventually<F: Future<Output = bool>>(mut condition: impl FnMut() -> F) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, wait).await.expect("the condition comes about");
}

/// Starts the stand-ins with one organisation.
pub(crate) async fn start_deployment() -> (Deployment, Caller) {
    let mut deployment = Deployment::start(3, 2, &EngineSpec::default()).expect("stand-ins");
    let (secret, _) = deployment.add_organisation("mtatsminda");
    deployment.publish().await.expect("published");
    (deployment, Caller::new(secret.expose()))
}
