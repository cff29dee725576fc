//! One host: its listeners, its tasks, and its stop.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use chervilgate_clients::{ObjectStore, TargetOrders, WindowReports};
use chervilgate_serve::{Handler, Limits, serve};
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{Notify, watch},
    task::JoinHandle,
    time::sleep,
};

use crate::{
    directory::Directory,
    duty::{Duties, keep_sheet},
    gossip,
    protocol::{Decoder, Protocol},
    serve::Callers,
    settings::HostSettings,
    state::Shared,
    watch::{ConfigPart, TargetPart, follow, keep_membership},
};

/// Share of the time to stop in which callers are still accepted: some use an
/// answer of the directory for three times as long as it is to be kept.
const ACCEPT_SHARE: f64 = 0.8;

/// Share of the time to stop by which the process has to end.
const END_SHARE: f64 = 0.97;

/// File descriptors kept for other uses than callers' connections.
const OTHER_DESCRIPTORS: usize = 1_500;

/// Why a host cannot run.
#[derive(Debug, Snafu)]
pub enum HostError {
    /// An address cannot be listened at.
    #[snafu(display("cannot listen at {addr} for {purpose}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What it is for.
        purpose: &'static str,
        /// What the system said.
        source: io::Error,
    },
}

/// The systems around a host.
pub struct Outside {
    /// Headers of callers and targets.
    pub protocol: Arc<dyn Protocol>,
    /// Objects that others write to the store.
    pub decoder: Arc<dyn Decoder>,
    /// The store.
    pub store: Arc<dyn ObjectStore>,
    /// Log lines left out so far.
    pub lines_lost: fn() -> u64,
    /// What one host at a time does; none if there is no such duty.
    pub duties: Option<DutyCalls>,
}

/// The calls of one host at a time.
pub struct DutyCalls {
    /// Takes usage reports.
    pub reports: Arc<dyn WindowReports>,
    /// Takes orders for targets.
    pub orders: Arc<dyn TargetOrders>,
}

/// A running host.
pub struct Host {
    shared: Arc<Shared>,
    membership: Arc<Notify>,
    stop: watch::Sender<bool>,
    listeners: Vec<JoinHandle<()>>,
}

impl Host {
    /// Starts the listeners and tasks of one host.
    ///
    /// # Errors
    /// If an address cannot be listened at.
    pub async fn start(settings: HostSettings, outside: Outside) -> Result<Host, HostError> {
        let Outside { protocol, decoder, store, lines_lost, duties } = outside;
        let prefix = decoder.target_prefix().to_owned();
        let config = decoder.config_prefix().to_owned();
        let shared = Arc::new(Shared::new(settings, protocol, decoder, store, lines_lost));
        let (stop, stopped) = watch::channel(false);
        let callers: Arc<dyn Handler> = Arc::new(Callers { shared: shared.clone() });
        let directory: Arc<dyn Handler> = Arc::new(Directory { shared: shared.clone() });
        let addrs = [
            (Some(shared.settings.callers), "callers", callers),
            (Some(shared.settings.ready), "readiness", directory.clone()),
            (shared.settings.metrics, "metrics", directory.clone()),
            (shared.settings.directory, "the directory", directory),
        ];
        let connections = shared.settings.descriptors.saturating_sub(OTHER_DESCRIPTORS).max(64);
        let mut listeners = Vec::new();
        for (addr, purpose, handler) in addrs {
            let Some(addr) = addr else { continue };
            let listener = TcpListener::bind(addr).await.context(ListenSnafu { addr, purpose })?;
            let limits = Limits { connections, head_timeout: HEAD_TIMEOUT, ..Limits::default() };
            let (_, no_tls) = watch::channel(None);
            let serving = serve(listener, handler, limits, no_tls, stopped.clone());
            listeners.push(tokio::spawn(serving));
        }
        let addr = shared.settings.gossip;
        let socket =
            UdpSocket::bind(addr).await.context(ListenSnafu { addr, purpose: "other hosts" })?;
        let socket = Arc::new(socket);
        tokio::spawn(gossip::tell(shared.clone(), socket.clone()));
        let membership = Arc::new(Notify::new());
        tokio::spawn(gossip::hear(shared.clone(), socket.clone(), membership.clone()));
        tokio::spawn(follow(shared.clone(), Box::new(ConfigPart { prefix: config })));
        tokio::spawn(follow(shared.clone(), Box::new(TargetPart { prefix })));
        tokio::spawn(keep_membership(shared.clone(), membership.clone()));
        if let Some(DutyCalls { reports, orders }) = duties {
            tokio::spawn(gossip::tell_counts(shared.clone(), socket));
            tokio::spawn(keep_sheet(shared.clone()));
            tokio::spawn(Duties::new(shared.clone(), reports, orders).run());
        }
        log::info!(target: "host", name = shared.settings.name, boot = shared.boot; "started");
        Ok(Host { shared, membership, stop, listeners })
    }

    /// Leaves the directory, serves callers until they have moved, and finishes what
    /// runs.
    pub async fn stop(self) {
        log::info!(target: "host", "stopping");
        let grace = self.shared.settings.bounds.grace;
        self.shared.state().leaving = true;
        self.membership.notify_one();
        let accept = grace.mul_f64(ACCEPT_SHARE);
        sleep(accept).await;
        self.stop.send_replace(true);
        let finish = async {
            for listener in self.listeners {
                // A listener that panicked has nothing left to finish.
                listener.await.ok();
            }
        };
        if tokio::time::timeout(grace.mul_f64(END_SHARE) - accept, finish).await.is_err() {
            log::warn!(target: "host", "stopped with open connections");
        }
        log::info!(target: "host", "stopped");
    }
}

/// Time for which a connection may be idle or send a head; above what the operators
/// allow callers, who close first.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
