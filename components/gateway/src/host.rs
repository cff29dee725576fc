//! Starts and stops the listeners and background tasks of a host.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use chervilgate_clients::{ObjectStore, TargetOrders, WindowReports};
use chervilgate_clock::Time;
use chervilgate_policy::QUOTA_PARTITIONS;
use chervilgate_serve::{Handler, Limits, serve};
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{Notify, watch},
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{
    directory::Directory,
    duty::{Duties, maintain_usage_sheet},
    gossip,
    metrics::LostLines,
    protocol::{Decoder, Protocol},
    quota::task::{PartitionTask, maintain_quotas},
    run_end::watch_closed,
    serve::CallerHandler,
    settings::HostSettings,
    state::Shared,
    stopping::{ANSWER_SHARE, Stop},
    waiting::serve_waiting,
    watch::{
        ConfigWatch, TargetWatch, confirm_target_list, maintain_announcements,
        maintain_build_record, maintain_crash_record, maintain_membership, maintain_stream_record,
        watch_prefix,
    },
};

/// Share of the grace period during which new connections are accepted: some callers
/// cache an address list for three times its TTL.
const ACCEPT_SHARE: f64 = 0.8;

/// Share of the grace period after which the host stops even if connections are open.
const FINISH_SHARE: f64 = 0.97;

/// File descriptors reserved for uses other than callers' connections.
const RESERVED_DESCRIPTORS: usize = 1_500;

/// Why a host cannot start.
#[derive(Debug, Snafu)]
pub enum HostError {
    /// A socket cannot be bound.
    #[snafu(display("cannot listen on {addr} for {purpose}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What the socket is for.
        purpose: &'static str,
        /// The operating system's error.
        source: io::Error,
    },
}

/// The external systems that a host uses.
pub struct Dependencies {
    /// Reads and writes the headers of callers and targets.
    pub protocol: Arc<dyn Protocol>,
    /// Decodes the stored objects that others write.
    pub decoder: Arc<dyn Decoder>,
    /// The platform's object store.
    pub store: Arc<dyn ObjectStore>,
    /// Returns the numbers of log lines dropped so far.
    pub lines_lost: fn() -> LostLines,
    /// Version and revision of the program, for the log and the metrics.
    pub build: &'static str,
    /// Time since 1970 by this machine's clock.
    pub time_of_day: Duration,
    /// Clients for the lease holder's duties; none if this host takes no duties.
    pub duties: Option<DutyClients>,
}

/// Clients that only the lease holder uses.
pub struct DutyClients {
    /// Receives usage reports.
    pub reports: Arc<dyn WindowReports>,
    /// Receives orders for targets.
    pub orders: Arc<dyn TargetOrders>,
}

/// A running host; [`Host::stop`] shuts it down.
pub struct Host {
    shared: Arc<Shared>,
    refresh_membership: Arc<Notify>,
    stop: watch::Sender<bool>,
    listeners: Vec<JoinHandle<()>>,
}

impl Host {
    /// Starts the listeners and background tasks.
    ///
    /// # Errors
    /// If a socket cannot be bound.
    pub async fn start(
        settings: HostSettings,
        dependencies: Dependencies,
    ) -> Result<Host, HostError> {
        let Dependencies { protocol, decoder, store, lines_lost, build, time_of_day, duties } =
            dependencies;
        let prefix = decoder.target_prefix().to_owned();
        let config = decoder.config_prefix().to_owned();
        let shared =
            Arc::new(Shared::new(settings, protocol, decoder, store, lines_lost, time_of_day));
        shared.metrics.set_build(build);
        let (stop, stopped) = watch::channel(false);
        let callers: Arc<dyn Handler> = Arc::new(CallerHandler { shared: shared.clone() });
        let directory = |explains| Arc::new(Directory { shared: shared.clone(), explains });
        let (operators, directory): (Arc<dyn Handler>, Arc<dyn Handler>) =
            (directory(true), directory(false));
        let addrs = [
            (Some(shared.settings.caller_addr), "callers", callers),
            (Some(shared.settings.readiness_addr), "readiness", directory.clone()),
            (shared.settings.metrics_addr, "metrics", operators),
            (shared.settings.directory_addr, "the directory", directory),
        ];
        let connections =
            shared.settings.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(64);
        let mut listeners = Vec::new();
        for (addr, purpose, handler) in addrs {
            let Some(addr) = addr else { continue };
            let listener = TcpListener::bind(addr).await.context(ListenSnafu { addr, purpose })?;
            let stall_timeout = Some(STALL_TIMEOUT);
            let limits = Limits {
                connections,
                head_timeout: HEAD_TIMEOUT,
                stall_timeout,
                ..Limits::default()
            };
            let (_, no_tls) = watch::channel(None);
            let serving = serve(listener, handler, limits, no_tls, stopped.clone());
            listeners.push(tokio::spawn(serving));
        }
        let addr = shared.settings.gossip_addr;
        let socket =
            UdpSocket::bind(addr).await.context(ListenSnafu { addr, purpose: "other hosts" })?;
        let socket = Arc::new(socket);
        if shared.settings.bounds.quota.is_some() && shared.quota_socket.set(socket.clone()).is_ok()
        {
            tokio::spawn(maintain_quotas(shared.clone()));
            for partition in 0..QUOTA_PARTITIONS {
                let task = PartitionTask::new(shared.clone(), socket.clone(), partition);
                tokio::spawn(task.run());
            }
        }
        tokio::spawn(gossip::send_work(shared.clone(), socket.clone()));
        let refresh_membership = Arc::new(Notify::new());
        tokio::spawn(serve_waiting(shared.clone()));
        tokio::spawn(watch_closed(shared.clone()));
        tokio::spawn(gossip::send_speeds(shared.clone(), socket.clone()));
        tokio::spawn(gossip::send_origins(shared.clone(), socket.clone()));
        tokio::spawn(gossip::send_store_era(shared.clone(), socket.clone()));
        tokio::spawn(gossip::send_latest_changes(shared.clone(), socket.clone()));
        tokio::spawn(gossip::pass_changes(shared.clone(), socket.clone()));
        tokio::spawn(gossip::request_changes(shared.clone(), socket.clone()));
        tokio::spawn(gossip::request_confirmations(shared.clone(), socket.clone()));
        tokio::spawn(gossip::receive(shared.clone(), socket.clone(), refresh_membership.clone()));
        tokio::spawn(watch_prefix(shared.clone(), Box::new(ConfigWatch { prefix: config })));
        tokio::spawn(watch_prefix(shared.clone(), Box::new(TargetWatch { prefix })));
        tokio::spawn(confirm_target_list(shared.clone()));
        tokio::spawn(maintain_build_record(shared.clone()));
        tokio::spawn(maintain_crash_record(shared.clone()));
        tokio::spawn(maintain_stream_record(shared.clone()));
        tokio::spawn(maintain_announcements(shared.clone()));
        tokio::spawn(maintain_membership(shared.clone(), refresh_membership.clone()));
        if let Some(DutyClients { reports, orders }) = duties {
            tokio::spawn(gossip::send_counts(shared.clone(), socket));
            tokio::spawn(maintain_usage_sheet(shared.clone()));
            tokio::spawn(Duties::new(shared.clone(), reports, orders).run());
        }
        let (name, boot) = (&shared.settings.name, shared.boot);
        log::info!(target: "host", name, boot, build; "started");
        Ok(Host { shared, refresh_membership, stop, listeners })
    }

    /// Leaves the address lists, serves callers until they have moved to other hosts,
    /// and finishes the requests in flight. Those that targets do not finish in time are answered
    /// with an error before their connections close.
    pub async fn stop(self) {
        log::info!(target: "host", "stopping");
        let grace = self.shared.settings.bounds.grace_period;
        let (accept, answer) = (grace.mul_f64(ACCEPT_SHARE), grace.mul_f64(ANSWER_SHARE));
        self.start_leaving(self.shared.now(), grace);
        self.refresh_membership.notify_one();
        sleep(accept).await;
        self.stop.send_replace(true);
        let finish = async {
            for listener in self.listeners {
                // A listener that panicked has nothing left to finish.
                listener.await.ok();
            }
        };
        tokio::pin!(finish);
        if timeout(answer - accept, &mut finish).await.is_err() {
            self.shared.answer_now.send_replace(true);
            if timeout(grace.mul_f64(FINISH_SHARE) - answer, finish).await.is_err() {
                log::warn!(target: "host", "stopped with open connections");
            }
        }
        log::info!(target: "host", "stopped");
    }

    /// Stops being offered to callers, and begins only what may end within `grace`.
    fn start_leaving(&self, now: Time, grace: Duration) {
        let mut state = self.shared.state();
        state.leaving = true;
        state.stop = Some(Stop::new(now, grace));
        state.origins.hand_over(now);
        self.shared.origins_due.notify_one();
    }
}

/// Timeout for receiving request headers, which also limits idle time. It is longer than
/// the idle time configured for callers, so that callers close idle connections first.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout for a caller that takes nothing of its response: as long as an idle connection is kept, and
/// several times the time limit of requests.
const STALL_TIMEOUT: Duration = Duration::from_secs(60);
