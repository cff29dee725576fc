//! The platform: objects, hosts, target orders and usage reports.

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
pub use self::record::{PlatformRecord, UsageFinding};
use crate::Standin;

/// Faults of the platform; all off at first.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlatformFaults {
    /// Calls are refused with 503.
    pub down: bool,
    /// Calls take effect, but the connection breaks before the answer.
    pub lose_answers: bool,
    /// Each call takes this much longer.
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

/// The platform on a loopback port.
pub struct PlatformStandin {
    shared: Arc<Shared>,
    standin: Standin,
}

impl PlatformStandin {
    /// Starts an empty platform on `port`; zero picks a free one.
    pub fn start(port: u16) -> io::Result<PlatformStandin> {
        let state = State {
            objects: ObjectTable::default(),
            hosts: Vec::new(),
            faults: PlatformFaults::default(),
            record: PlatformRecord::default(),
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Notify::new() });
        let handler = Arc::new(api::Api { shared: shared.clone() });
        let standin = Standin::start(handler, port)?;
        Ok(PlatformStandin { shared, standin })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.standin.addr()
    }

    /// Sets its faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.lock().faults = faults;
        self.shared.changed.notify_waiters();
    }

    /// Replaces the list of hosts.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.shared.lock().hosts = hosts;
    }

    /// Forgets old changes, so that watches from before must list again.
    pub fn compact(&self) {
        self.shared.lock().objects.compact();
        self.shared.changed.notify_waiters();
    }

    /// What has reached the platform so far.
    pub fn record(&self) -> PlatformRecord {
        self.shared.lock().record.clone()
    }
}
