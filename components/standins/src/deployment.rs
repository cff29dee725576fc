//! A small test deployment of fake servers, with its configuration objects.

use std::{io, net::SocketAddr, time::Duration};

use chervilgate_clients::HttpPlatform;
use chervilgate_clock::BootClock;
use chervilgate_coord::view::{Edit, Root};
use chervilgate_model::{
    Access, Config, KeyRecord, Limits, Name, Object, Organisation, PricingClass, Role, Route,
    Secret, Service, ServiceKind, Target, TargetKind, issue_key,
};
use chervilgate_publication::{RootWriter, WriteError, read_published};
use smallvec::SmallVec;

use crate::{EngineServer, EngineSpec, PlatformServer, ServiceServer};

/// The zones that targets are assigned to in turn.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// Timeout for a publication.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);

/// A platform, engines of model `m1` and targets of the plain service `plugs`, spread
/// over three zones.
pub struct Deployment {
    /// The fake platform.
    pub platform: PlatformServer,
    /// The engines, by number; `None` for one that a test has stopped.
    pub engines: Vec<Option<EngineServer>>,
    /// Targets of the plain service, by number; `None` for one that a test has stopped.
    pub services: Vec<Option<ServiceServer>>,
    /// The configuration objects, as of the next publication.
    pub config: Config,
}

impl Deployment {
    /// Starts `engines` engines and `services` targets of the plain service.
    ///
    /// # Errors
    /// If a server can't be started, for example for want of a free port.
    pub fn start(engines: usize, services: usize, spec: &EngineSpec) -> io::Result<Deployment> {
        let platform = PlatformServer::start(0)?;
        let mut deployment = Deployment {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            config: Config::default(),
        };
        deployment.config.insert(Object::Service(model_service()));
        deployment.config.insert(Object::Service(plain_service()));
        for number in 0..engines {
            let engine = EngineServer::start(spec.clone(), 0)?;
            let kind = TargetKind::Engine;
            let target = target(&format!("engine-{number}"), number, engine.addr(), "chat", kind);
            deployment.config.insert(Object::Target(target));
            deployment.engines.push(Some(engine));
        }
        for number in 0..services {
            let service = ServiceServer::start(0)?;
            let kind = TargetKind::Service;
            let target = target(&format!("plugs-{number}"), number, service.addr(), "plugs", kind);
            deployment.config.insert(Object::Target(target));
            deployment.services.push(Some(service));
        }
        Ok(deployment)
    }

    /// Adds an organisation and one key for it to the configuration.
    pub fn add_organisation(&mut self, label: &str) -> (Secret, KeyRecord) {
        let organisation = Organisation { name: name(label), weight: 1, limits: Limits::default() };
        self.config.insert(Object::Organisation(organisation));
        let (secret, record) =
            issue_key(&name(label), |bytes| rand::Rng::fill_bytes(&mut rand::rng(), bytes));
        self.config.insert(Object::Key(record.clone()));
        (secret, record)
    }

    /// Publishes the configuration as an operator does.
    ///
    /// # Errors
    /// If the store can't be read or did not accept the publication.
    pub async fn publish(&self) -> Result<Root, WriteError> {
        let store = HttpPlatform::new(self.platform.addr());
        let writer = RootWriter::new(&store, &BootClock, PUBLISH_TIMEOUT, rand::random());
        let published = read_published(&store).await.map_err(|_| WriteError::NotApplied)?;
        writer.publish(published.manifest(), &self.config).await
    }

    /// Edits the published view, for example to withdraw a key.
    ///
    /// # Errors
    /// If the store did not accept the edit.
    pub async fn edit(&self, edit: Edit) -> Result<Root, WriteError> {
        let store = HttpPlatform::new(self.platform.addr());
        let writer = RootWriter::new(&store, &BootClock, PUBLISH_TIMEOUT, rand::random());
        writer.edit(edit).await
    }
}

/// Parses a name.
///
/// # Panics
/// If `text` is not a valid name.
pub fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

fn model_service() -> Service {
    Service {
        name: name("chat"),
        kind: ServiceKind::Model { model: name("m1") },
        prefix: Service::default_prefix(&name("chat")),
        open: SmallVec::new(),
        once: SmallVec::new(),
        access: Access::All,
        fallback: None,
    }
}

fn plain_service() -> Service {
    Service {
        name: name("plugs"),
        kind: ServiceKind::Plain,
        prefix: Service::default_prefix(&name("plugs")),
        open: route("GET /status").into_iter().collect(),
        once: route("POST /bookings").into_iter().collect(),
        access: Access::All,
        fallback: None,
    }
}

fn route(text: &str) -> Option<Route> {
    text.parse().ok()
}

fn target(
    label: &str,
    number: usize,
    address: SocketAddr,
    service: &str,
    kind: TargetKind,
) -> Target {
    Target {
        name: name(label),
        zone: name(ZONES[number % ZONES.len()]),
        address,
        service: name(service),
        kind,
        role: Role::Mixed,
        class: PricingClass::Steady,
        checks_fencing: true,
    }
}
