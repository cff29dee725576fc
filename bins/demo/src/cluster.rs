//! The deployment of the demo: three zones, each with an entry and a controller.

use std::time::Duration;

use chervilgate_controller::{Controller, Settings as ControllerSettings};
use chervilgate_entry::{Entry, Settings as EntrySettings};
use chervilgate_model::{Object, Placement, ZoneCount};
use chervilgate_standins::{Caller, Deployment, EngineSpec, ZONES, name};
use chervilgate_wire::CertificateAuthority;

/// Length of a usage window.
const USAGE_WINDOW: Duration = Duration::from_secs(3);
/// How long callers keep a located address.
const LOCATE_TTL: Duration = Duration::from_secs(1);
/// Time to the first token after which an entry no longer starts a request.
const DEADLINE: Duration = Duration::from_secs(10);
/// Longest wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Any error that ends the demo early.
pub(crate) type Error = Box<dyn std::error::Error + Send + Sync>;

/// All processes of the demo, and the keys of its callers.
pub(crate) struct Cluster {
    /// Stand-ins for the platform, the engines and the plain services.
    pub(crate) deployment: Deployment,
    /// Issues the certificates of entries and controllers.
    pub(crate) authority: CertificateAuthority,
    /// The entries, in the order of `ZONES`; `None` while one is stopped.
    pub(crate) entries: Vec<Option<Entry>>,
    /// The controllers, in the order of `ZONES`; `None` once one is killed.
    pub(crate) controllers: Vec<Option<Controller>>,
    /// One caller for each organisation.
    pub(crate) callers: Vec<Caller>,
    /// The callers' key records, in the same order; needed to withdraw a key.
    pub(crate) records: Vec<chervilgate_model::KeyRecord>,
}

impl Cluster {
    /// Starts all processes and waits until the entries are ready.
    pub(crate) async fn start() -> Result<Cluster, Error> {
        let spec = EngineSpec { token_time: Duration::from_millis(5), ..EngineSpec::default() };
        let mut deployment = Deployment::start(6, 3, &spec)?;
        let mut callers = Vec::new();
        let mut records = Vec::new();
        for organisation in ["mtatsminda", "jadranska", "short-lived"] {
            let (secret, record) = deployment.add_organisation(organisation);
            callers.push(Caller::new(secret.expose()));
            records.push(record);
        }
        deployment.config.insert(placement(2));
        deployment.publish().await?;
        let authority = CertificateAuthority::generate()?;
        let (entries, controllers) = (Vec::new(), Vec::new());
        let mut cluster = Cluster { deployment, authority, entries, controllers, callers, records };
        for zone in ZONES {
            let entry = cluster.start_entry(zone).await?;
            cluster.entries.push(Some(entry));
            let controller = cluster.start_controller(zone).await?;
            cluster.controllers.push(Some(controller));
        }
        cluster.wait_ready().await;
        Ok(cluster)
    }

    /// Starts an entry in `zone`.
    pub(crate) async fn start_entry(&self, zone: &str) -> Result<Entry, Error> {
        let host = format!("host-{zone}");
        let identity = self.authority.issue(&host)?;
        let platform = self.deployment.platform.addr();
        let mut settings = EntrySettings::new(&host, zone, platform, identity);
        settings.deadline = DEADLINE;
        settings.locate_ttl = LOCATE_TTL;
        Ok(Entry::start(settings).await?)
    }

    async fn start_controller(&self, zone: &str) -> Result<Controller, Error> {
        let host = format!("host-{zone}");
        let identity = self.authority.issue(&host)?;
        let platform = self.deployment.platform.addr();
        let mut settings = ControllerSettings::new(&host, zone, platform, identity);
        settings.usage_window = USAGE_WINDOW;
        Ok(Controller::start(settings).await?)
    }

    /// Addresses of the running entries.
    pub(crate) fn serving(&self) -> Vec<std::net::SocketAddr> {
        self.entries.iter().flatten().map(Entry::addr).collect()
    }

    async fn wait_ready(&self) {
        for entry in self.serving() {
            let caller = Caller::without_key();
            eventually(|| async {
                let answer = caller.get(entry, "/readyz").await;
                answer.is_some_and(|answer| answer.status.is_success())
            })
            .await;
        }
    }
}

/// The placement of the model service, with `count` engines in each zone.
pub(crate) fn placement(count: u32) -> Object {
    let zones = ZONES.iter().map(|zone| (name(zone), ZoneCount { steady: count, cheap: 0 }));
    Object::Placement(Placement {
        name: name("chat-main"),
        service: name("chat"),
        version: None,
        zones: zones.collect(),
        checks_fencing: true,
    })
}

/// Waits until a condition holds; `false` if it does not within `WAIT_TIMEOUT`.
pub(crate) async fn eventually<F: Future<Output = bool>>(mut condition: impl FnMut() -> F) -> bool {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait).await.is_ok()
}
