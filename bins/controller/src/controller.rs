//! Starts and stops a controller.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use chervilgate_clients::{HttpEngine, HttpPlatform};
use chervilgate_clock::BootClock;
use chervilgate_coord::{
    AuthorityConfig, CallIds, Event, Guards, Incarnation, Node, Notice, Timings, Zone,
    drain::DrainMessage,
};
use chervilgate_driver::{
    AuthorityActor, AuthorityArgs, AuthorityMessage, PeerListener, TcpProber, answer_probes,
};
use chervilgate_serve::{Limits, serve};
use chervilgate_wire::{IdentityError, Incoming, Message, PeerRequest, Peers, Reply, WireError};
use ractor::{Actor, ActorProcessingErr, ActorRef, SupervisionEvent};
use snafu::{ResultExt, Snafu};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::JoinHandle,
    time::timeout,
};

use crate::{
    admin_api::AdminApi,
    orders::OrderDispatcher,
    settings::Settings,
    shards::all_shards,
    worker::{ShardWorker, SharedStatus, WorkerArgs, WorkerMessage, confirm_drain},
};

/// Time limit for handing the shards over at a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// Why a controller could not be started.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The address of the admin API cannot be listened on.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Listen {
        /// The address from the settings.
        addr: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The certificate for connections to peers is not usable.
    #[snafu(display("cannot read the certificate for peers: {source}"))]
    BadIdentity {
        /// The error in the certificate or its key.
        source: IdentityError,
    },
    /// The address for peers cannot be listened on.
    #[snafu(display("{source}"))]
    Peer {
        /// The error, which names the address.
        source: WireError,
    },
    /// An actor did not start.
    #[snafu(display("cannot start the actors: {source}"))]
    Spawn {
        /// The error of ractor.
        source: ractor::SpawnErr,
    },
}

/// Ends this incarnation when a linked actor fails.
///
/// The failed actor made its commitments to other processes as this incarnation, so it
/// cannot be restarted within it.
struct Supervisor;

impl Actor for Supervisor {
    type Msg = ();
    type State = watch::Sender<bool>;
    type Arguments = watch::Sender<bool>;

    async fn pre_start(
        &self,
        _myself: ActorRef<()>,
        ended_tx: watch::Sender<bool>,
    ) -> Result<watch::Sender<bool>, ActorProcessingErr> {
        Ok(ended_tx)
    }

    async fn handle_supervisor_evt(
        &self,
        _myself: ActorRef<()>,
        event: SupervisionEvent,
        ended_tx: &mut watch::Sender<bool>,
    ) -> Result<(), ActorProcessingErr> {
        if let SupervisionEvent::ActorFailed(_, error) = event {
            log::error!(target: "controller", error:%; "an actor failed; ending this incarnation");
            let _ = ended_tx.send(true);
        }
        Ok(())
    }
}

/// A running controller.
pub struct Controller {
    admin: SocketAddr,
    node: Node,
    authority: ActorRef<AuthorityMessage>,
    worker: ActorRef<WorkerMessage>,
    peers: Peers,
    ended: watch::Receiver<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Controller {
    /// Starts a controller that uses the platform named in the settings.
    ///
    /// # Errors
    /// [`StartError`] if the certificate is not usable, an address cannot be listened on or
    /// an actor does not start.
    pub async fn start(settings: Settings) -> Result<Controller, StartError> {
        let identity = settings.identity.load().context(BadIdentitySnafu)?;
        let peer_listener =
            PeerListener::open(settings.peer, &identity).await.context(PeerSnafu)?;
        let addr = settings.admin;
        let listener = TcpListener::bind(addr).await.context(ListenSnafu { addr })?;
        let admin = listener.local_addr().context(ListenSnafu { addr })?;
        let node = Node {
            incarnation: Incarnation(rand::random()),
            addr: peer_listener.addr,
            zone: Zone(settings.zone.clone()),
        };
        let probes = tokio::spawn(answer_probes(peer_listener.probe_listener, {
            let incarnation = node.incarnation;
            move || incarnation
        }));
        let (notices, notices_rx) = mpsc::unbounded_channel();
        let (ended_tx, ended) = watch::channel(false);
        let notices_task = tokio::spawn(handle_notices(notices_rx, ended_tx.clone()));
        let (supervisor, _) = Actor::spawn(None, Supervisor, ended_tx).await.context(SpawnSnafu)?;
        let platform = Arc::new(HttpPlatform::new(settings.platform));
        let args = authority_args(&settings, &node, &platform, notices);
        let (authority, _) = Actor::spawn(None, AuthorityActor, args).await.context(SpawnSnafu)?;
        let worker_args = WorkerArgs {
            store: platform,
            engines: Arc::new(HttpEngine::new()),
            prober: Arc::new(TcpProber),
            peers: peer_listener.peers.clone(),
            clock: Arc::new(BootClock),
            authority: authority.clone(),
            usage_window: settings.usage_window,
            status: SharedStatus::default(),
        };
        let status = worker_args.status.clone();
        let (worker, _) =
            Actor::spawn_linked(None, ShardWorker, worker_args, supervisor.get_cell())
                .await
                .context(SpawnSnafu)?;
        let peers_task = tokio::spawn(handle_peer_messages(
            peer_listener.incoming,
            peer_listener.peers.clone(),
            node.clone(),
            worker.clone(),
        ));
        let handler = AdminApi {
            host: settings.host.clone(),
            incarnation: node.incarnation.to_string(),
            status,
        };
        let admin_task = tokio::spawn(serve_admin(listener, handler));
        log::info!(target: "controller", host = settings.host.as_str(), admin:%;
            "controller started");
        Ok(Controller {
            admin,
            node,
            authority,
            worker,
            peers: peer_listener.peers,
            ended,
            tasks: vec![probes, notices_task, peers_task, admin_task],
        })
    }

    /// Address of the admin API.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin
    }

    /// Incarnation, peer address and availability zone of this process.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Waits until this incarnation ends without having been stopped.
    ///
    /// That happens when another process ends its session or an actor fails. The caller
    /// then starts a new controller.
    pub async fn wait_ended(&mut self) {
        let _ = self.ended.wait_for(|ended| *ended).await;
    }

    /// Finishes open orders, hands the shards over to other controllers and ends the session.
    pub async fn stop(mut self) {
        log::info!(target: "controller", "stopping: handing the shards over");
        self.worker.stop(None);
        let _ = self.authority.cast(AuthorityMessage::Event(Event::Stop));
        if timeout(STOP_TIMEOUT, self.ended.wait_for(|ended| *ended)).await.is_err() {
            log::warn!(target: "controller",
                "the session has not ended within the time limit; stopping anyway");
        }
        self.shut_down();
        log::info!(target: "controller", "stopped");
    }

    /// Stops at once without handing anything over, as a killed process does.
    pub fn kill(self) {
        self.shut_down();
    }

    fn shut_down(&self) {
        self.worker.kill();
        self.authority.kill();
        for task in &self.tasks {
            task.abort();
        }
        self.peers.close();
    }
}

fn authority_args(
    settings: &Settings,
    node: &Node,
    platform: &Arc<HttpPlatform>,
    notices: mpsc::UnboundedSender<Notice>,
) -> AuthorityArgs {
    let orders = OrderDispatcher {
        engines: Arc::new(HttpEngine::new()),
        targets: platform.clone(),
        usage: platform.clone(),
        clock: Arc::new(BootClock),
    };
    AuthorityArgs {
        config: AuthorityConfig {
            node: node.clone(),
            shards: all_shards(),
            terms: Timings::default(),
            guards: Guards::default(),
            trust_list: settings.trust_list,
            seed: rand::random(),
            calls: CallIds::from(0),
        },
        store: platform.clone(),
        hosts: platform.clone(),
        orders: Arc::new(orders),
        prober: Arc::new(TcpProber),
        clock: Arc::new(BootClock),
        notices,
    }
}

async fn handle_notices(
    mut notices: mpsc::UnboundedReceiver<Notice>,
    ended_tx: watch::Sender<bool>,
) {
    while let Some(notice) = notices.recv().await {
        match notice {
            Notice::Gained { shard, epoch } => {
                log::info!(target: "authority", shard:%, epoch = epoch.0; "shard acquired");
            }
            Notice::Lost { shard } => log::info!(target: "authority", shard:%; "shard lost"),
            Notice::Frozen { receiver, sender } => {
                log::warn!(target: "authority", receiver:%, sender:%;
                    "receiver gets no orders until its former sender is proved to have stopped");
            }
            Notice::Ended => {
                let _ = ended_tx.send(true);
            }
            other => log::debug!(target: "authority", notice:? = other; "authority notice"),
        }
    }
}

async fn handle_peer_messages(
    mut incoming: mpsc::Receiver<Incoming>,
    peers: Peers,
    node: Node,
    worker: ActorRef<WorkerMessage>,
) {
    while let Some(incoming) = incoming.recv().await {
        match incoming {
            Incoming::Message { from, message: Message::Drain(DrainMessage::Ask(ask)) } => {
                peers.send(from, &Message::Drain(confirm_drain(ask, node.incarnation)));
            }
            Incoming::Message {
                message: Message::Drain(DrainMessage::Holds { drain, by }),
                ..
            } => {
                let _ = worker.cast(WorkerMessage::DrainConfirmed(drain, by));
            }
            Incoming::Message { .. } => {}
            Incoming::Request { request: PeerRequest::Incarnation, reply, .. } => {
                let _ = reply.send(Reply::Incarnation(node.incarnation.0));
            }
        }
    }
}

async fn serve_admin(listener: TcpListener, handler: AdminApi) {
    let (_keep_stop, stop) = watch::channel(false);
    let (_no_tls, tls) = watch::channel(None);
    serve(listener, Arc::new(handler), Limits::default(), tls, stop).await;
}
