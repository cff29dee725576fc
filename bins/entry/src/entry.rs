//! Starting and stopping one entry.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use chervilgate_clients::{HttpEngine, HttpPlatform, HttpPool};
use chervilgate_clock::BootClock;
use chervilgate_coord::Event;
use chervilgate_driver::{AuthorityMessage, PeerListener, TcpProber, answer_probes};
use chervilgate_serve::{Limits, serve};
use chervilgate_telemetry::{Metrics, MetricsError};
use chervilgate_wire::{IdentityError, WireError};
use ractor::{Actor, ActorRef};
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle, time::sleep};

use crate::{
    admin_api::AdminApi,
    caller_api::CallerApi,
    host::{Dependencies, Host, Phase},
    registrar::refresh_interval,
    session::handle_peer_messages,
    settings::Settings,
    supervisor::{Supervisor, SupervisorMessage},
    tls::{CallerTls, TlsError, load_tls, reload_on_change},
    usage::UsageMessage,
};

/// Added to the refresh interval at shutdown, so that the leaving record reaches the other
/// entries.
const PROPAGATION_MARGIN: Duration = Duration::from_secs(3);

/// Time allowed for the final flush of usage, in milliseconds.
const FLUSH_TIMEOUT_MS: u64 = 10_000;
/// Time allowed for releasing the session.
const RELEASE_WAIT: Duration = Duration::from_millis(500);

/// Why an entry did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listening address cannot be bound.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The certificate for callers cannot be used.
    #[snafu(display("{source}"))]
    BadTls {
        /// The cause.
        source: TlsError,
    },
    /// The metrics socket cannot be opened.
    #[snafu(display("{source}"))]
    BadMetrics {
        /// The cause.
        source: MetricsError,
    },
    /// The certificate for peers cannot be used.
    #[snafu(display("cannot read the certificate for peers: {source}"))]
    BadIdentity {
        /// The cause.
        source: IdentityError,
    },
    /// The peer address cannot be bound.
    #[snafu(display("{source}"))]
    Peer {
        /// The cause.
        source: WireError,
    },
    /// The actors did not start.
    #[snafu(display("cannot start the actors: {source}"))]
    Spawn {
        /// The actor library's error.
        source: ractor::SpawnErr,
    },
}

/// A running entry.
pub struct Entry {
    host: Arc<Host>,
    supervisor: ActorRef<SupervisorMessage>,
    callers: JoinHandle<()>,
    admin: JoinHandle<()>,
    peers: JoinHandle<()>,
    probes: JoinHandle<()>,
}

impl Entry {
    /// Binds the listening addresses and starts the actors.
    ///
    /// # Errors
    /// If an address cannot be bound, a certificate cannot be used, or the actors do not start.
    pub async fn start(mut settings: Settings) -> Result<Entry, StartError> {
        let listener = listen(&mut settings.listen).await?;
        let admin = listen(&mut settings.admin).await?;
        let tls = settings.tls.as_ref().map(load_tls).transpose().context(BadTlsSnafu)?;
        let metrics = match settings.metrics {
            Some(addr) => Metrics::statsd(addr).context(BadMetricsSnafu)?,
            None => Metrics::disabled(),
        };
        let identity = settings.identity.load().context(BadIdentitySnafu)?;
        let peer_listener =
            PeerListener::open(settings.peer, &identity).await.context(PeerSnafu)?;
        settings.peer = peer_listener.addr;
        let platform = Arc::new(HttpPlatform::new(settings.platform));
        let deps = Dependencies {
            store: platform.clone(),
            hosts: platform,
            prober: Arc::new(TcpProber),
            sender: Arc::new(HttpPool::new()),
            engines: Arc::new(HttpEngine::new()),
            clock: Arc::new(BootClock),
        };
        let host = Host::new(settings, deps, peer_listener.peers, metrics);
        let peers = tokio::spawn(handle_peer_messages(host.clone(), peer_listener.incoming));
        let probed = host.clone();
        let current_incarnation = move || probed.node().incarnation;
        let probes = tokio::spawn(answer_probes(peer_listener.probe_listener, current_incarnation));
        let (supervisor, _) =
            Actor::spawn(None, Supervisor, host.clone()).await.context(SpawnSnafu)?;
        host.set_actors(|actors| actors.supervisor = Some(supervisor.clone()));
        log::info!(target: "entry", host = host.settings.host.as_str(),
            listen:% = host.settings.listen, admin:% = host.settings.admin; "entry started");
        let callers = serve_callers(&host, listener, tls);
        let admin = serve_admin_api(&host, admin);
        Ok(Entry { host, supervisor, callers, admin, peers, probes })
    }

    /// The address that callers connect to, with the port that was bound.
    pub fn addr(&self) -> SocketAddr {
        self.host.settings.listen
    }

    /// The address of the admin API, with the port that was bound.
    pub fn admin_addr(&self) -> SocketAddr {
        self.host.settings.admin
    }

    /// Shuts down without cutting off a request.
    ///
    /// Waits until the locate responses that list this host have expired, then
    /// accepts no new connections and finishes the running requests.
    pub async fn stop(mut self) {
        log::info!(target: "entry", "leaving");
        self.host.advance_phase(Phase::Leaving);
        self.host.idempotency().close();
        let propagation = refresh_interval(self.host.members.all().len()) + PROPAGATION_MARGIN;
        sleep(self.host.settings.locate_ttl + propagation).await;
        log::info!(target: "entry", "finishing running requests");
        self.host.advance_phase(Phase::Finishing);
        self.host.idempotency().seal();
        let _ = (&mut self.callers).await;
        self.release().await;
        self.supervisor.stop(None);
        self.admin.abort();
        self.peers.abort();
        self.probes.abort();
        self.host.peers.close();
        log::info!(target: "entry", "stopped");
    }

    /// Stops at once without releasing anything, as a killed process does; for tests.
    pub fn kill(self) {
        self.callers.abort();
        self.admin.abort();
        self.peers.abort();
        self.probes.abort();
        self.supervisor.kill();
        self.host.peers.close();
    }

    /// Flushes usage and releases the session, so that other processes need not wait
    /// for it to expire.
    async fn release(&self) {
        let actors = self.host.actors();
        if let Some(usage) = actors.usage
            && ractor::call_t!(usage, UsageMessage::Flush, FLUSH_TIMEOUT_MS).is_err()
        {
            log::warn!(target: "entry", "usage not flushed in time; its mirror will store it");
        }
        if let Some(authority) = actors.authority {
            let _ = authority.cast(AuthorityMessage::SetBusy(false));
            let _ = authority.cast(AuthorityMessage::Event(Event::Stop));
            sleep(RELEASE_WAIT).await;
        }
    }
}

async fn listen(addr: &mut SocketAddr) -> Result<TcpListener, StartError> {
    let wanted = *addr;
    let listener = TcpListener::bind(wanted).await.context(ListenSnafu { addr: wanted })?;
    *addr = listener.local_addr().context(ListenSnafu { addr: wanted })?;
    Ok(listener)
}

fn serve_callers(host: &Arc<Host>, listener: TcpListener, tls: CallerTls) -> JoinHandle<()> {
    let files = host.settings.tls.clone();
    let handler = Arc::new(CallerApi::new(host.clone()));
    let mut phase = host.phase();
    let (stop, stopped) = watch::channel(false);
    let (tls_sender, tls_receiver) = watch::channel(tls);
    tokio::spawn(async move {
        let reload = async {
            match files {
                Some(files) => reload_on_change(files, tls_sender).await,
                None => std::future::pending().await,
            }
        };
        let watch_phase = async {
            let _ = phase.wait_for(|phase| *phase == Phase::Finishing).await;
            let _ = stop.send(true);
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = serve(listener, handler, Limits::default(), tls_receiver, stopped) => {}
            () = watch_phase => {}
            () = reload => {}
        }
    })
}

fn serve_admin_api(host: &Arc<Host>, listener: TcpListener) -> JoinHandle<()> {
    let handler = Arc::new(AdminApi::new(host.clone()));
    tokio::spawn(async move {
        let (_keep_stop, stop) = watch::channel(false);
        let (_no_tls, tls) = watch::channel(None);
        serve(listener, handler, Limits::default(), tls, stop).await;
    })
}
