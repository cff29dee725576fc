//! Starts entries and the stand-ins that they run against.

use std::time::Duration;

use chervilgate_entry::{Entry, Settings};
use chervilgate_standins::{Caller, Deployment, EngineSpec};
use chervilgate_wire::CertificateAuthority;

/// Longest wait for a condition; normally it holds within milliseconds.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(30);

/// Settings with a deadline so long that no request is refused for it.
pub(crate) fn settings(
    deployment: &Deployment,
    authority: &CertificateAuthority,
    host: &str,
    zone: &str,
) -> Settings {
    let identity = authority.issue(host).expect("an identity");
    let mut settings = Settings::new(host, zone, deployment.platform.addr(), identity);
    settings.deadline = MAX_WAIT;
    settings
}

/// Starts an entry and waits until `/readyz` succeeds.
pub(crate) async fn start_entry(
    deployment: &Deployment,
    authority: &CertificateAuthority,
    host: &str,
    zone: &str,
) -> Entry {
    start_with(settings(deployment, authority, host, zone)).await
}

/// Starts an entry with these settings and waits until `/readyz` succeeds.
pub(crate) async fn start_with(settings: Settings) -> Entry {
    let entry = Entry::start(settings).await.expect("an entry");
    let caller = Caller::without_key();
    eventually(|| async {
        caller.get(entry.addr(), "/readyz").await.is_some_and(|answer| answer.status.is_success())
    })
    .await;
    entry
}

/// Polls until `condition` holds; panics after [`MAX_WAIT`].
pub(crate) async fn eventually<F: Future<Output = bool>>(mut condition: impl FnMut() -> F) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(MAX_WAIT, wait).await.expect("the condition holds in time");
}

/// Starts the stand-ins and publishes a configuration with one organisation.
pub(crate) async fn start_deployment() -> (Deployment, Caller) {
    let mut deployment = Deployment::start(3, 2, &EngineSpec::default()).expect("stand-ins");
    let (secret, _) = deployment.add_organisation("mtatsminda");
    deployment.publish().await.expect("published");
    (deployment, Caller::new(secret.expose()))
}
