//! A fake platform: object store, list of hosts, target orders and usage reports.

mod api;
mod objects;
mod record;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use chervilgate_clients::HostEntry;
use tokio::sync::Notify;

use self::objects::ObjectTable;
pub use self::record::{PlatformFinding, PlatformRecord};
use crate::FakeServer;

/// Injected faults of the platform; the default has none.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlatformFaults {
    /// Refuses all calls with status 503.
    pub down: bool,
    /// Carries calls out, but breaks the connection before the answer.
    pub lose_answers: bool,
    /// Extra delay before each call.
    pub delay: Duration,
}

struct State {
    objects: ObjectTable,
    hosts: Vec<HostEntry>,
    faults: PlatformFaults,
    record: PlatformRecord,
}

struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A fake platform on a loopback port; dropping it stops it and breaks its connections.
pub struct PlatformServer {
    shared: Arc<Shared>,
    server: FakeServer,
}

impl PlatformServer {
    /// Starts an empty platform on `port`; zero picks a free one.
    pub fn start(port: u16) -> io::Result<PlatformServer> {
        let state = State {
            objects: ObjectTable::default(),
            hosts: Vec::new(),
            faults: PlatformFaults::default(),
            record: PlatformRecord::default(),
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Notify::new() });
        let handler = Arc::new(api::Api { shared: shared.clone() });
        let server = FakeServer::start(handler, port)?;
        Ok(PlatformServer { shared, server })
    }

    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces its injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.lock().faults = faults;
        self.shared.changed.notify_waiters();
    }

    /// Replaces the list of live hosts.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.shared.lock().hosts = hosts;
    }

    /// Clears the log of changes: watches from earlier versions get status 410 and have to
    /// list again.
    pub fn compact(&self) {
        self.shared.lock().objects.compact();
        self.shared.changed.notify_waiters();
    }

    /// A copy of what the platform has received so far.
    pub fn record(&self) -> PlatformRecord {
        self.shared.lock().record.clone()
    }
}
