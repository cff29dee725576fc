//! Starting and stopping one controller.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use chervilgate_clients::{HttpEngine, HttpPlatform};
use chervilgate_clock::BootClock;
use chervilgate_coord::{
    AuthorityConfig, CallIds, Event, Guards, Incarnation, Node, Notice, Terms, Zone,
    drain::DrainMessage,
};
use chervilgate_driver::{
    AuthorityActor, AuthorityArgs, AuthorityMessage, Gate, TcpProber, answer_probes,
};
use chervilgate_serve::{Limits, serve};
use chervilgate_wire::{Ask, IdentityError, Incoming, Message, Peers, Reply, WireError};
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
    duty::{Board, DutyActor, DutyMessage, Tools, answer_drain},
    orders::Sender,
    settings::Settings,
    shards::all_shards,
};

/// Time allowed for a planned stop to hand the shards over.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// Why a controller did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The address is not to be had.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The certificate for peers is not usable.
    #[snafu(display("cannot read the certificate for peers: {source}"))]
    BadIdentity {
        /// What is wrong.
        source: IdentityError,
    },
    /// The address for peers is not to be had.
    #[snafu(display("{source}"))]
    Peer {
        /// What is wrong.
        source: WireError,
    },
    /// The actors did not start.
    #[snafu(display("cannot start the actors: {source}"))]
    Spawn {
        /// What ractor said.
        source: ractor::SpawnErr,
    },
}

/// Notes when an actor fails: its promises were given as this incarnation.
struct Supervisor;

impl Actor for Supervisor {
    type Msg = ();
    type State = watch::Sender<bool>;
    type Arguments = watch::Sender<bool>;

    async fn pre_start(
        &self,
        _myself: ActorRef<()>,
        end: watch::Sender<bool>,
    ) -> Result<watch::Sender<bool>, ActorProcessingErr> {
        Ok(end)
    }

    async fn handle_supervisor_evt(
        &self,
        _myself: ActorRef<()>,
        event: SupervisionEvent,
        end: &mut watch::Sender<bool>,
    ) -> Result<(), ActorProcessingErr> {
        if let SupervisionEvent::ActorFailed(_, error) = event {
            log::error!(target: "controller", error:%; "an actor failed");
            let _ = end.send(true);
        }
        Ok(())
    }
}

/// A running controller.
pub struct Controller {
    admin: SocketAddr,
    node: Node,
    authority: ActorRef<AuthorityMessage>,
    duty: ActorRef<DutyMessage>,
    peers: Peers,
    ended: watch::Receiver<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Controller {
    /// Starts a controller against the systems that its settings name.
    ///
    /// # Errors
    /// If an address cannot be listened on.
    pub async fn start(settings: Settings) -> Result<Controller, StartError> {
        let identity = settings.identity.load().context(BadIdentitySnafu)?;
        let gate = Gate::open(settings.peer, &identity).await.context(PeerSnafu)?;
        let addr = settings.admin;
        let listener = TcpListener::bind(addr).await.context(ListenSnafu { addr })?;
        let admin = listener.local_addr().context(ListenSnafu { addr })?;
        let node = Node {
            incarnation: Incarnation(rand::random()),
            addr: gate.addr,
            zone: Zone(settings.zone.clone()),
        };
        let probes = tokio::spawn(answer_probes(gate.probes, {
            let incarnation = node.incarnation;
            move || incarnation
        }));
        let (notices, received) = mpsc::unbounded_channel();
        let (end, ended) = watch::channel(false);
        let notices_task = tokio::spawn(follow_notices(received, end.clone()));
        let (supervisor, _) = Actor::spawn(None, Supervisor, end).await.context(SpawnSnafu)?;
        let platform = Arc::new(HttpPlatform::new(settings.platform));
        let args = authority_args(&settings, &node, &platform, notices);
        let (authority, _) = Actor::spawn(None, AuthorityActor, args).await.context(SpawnSnafu)?;
        let tools = Tools {
            store: platform,
            engines: Arc::new(HttpEngine::new()),
            prober: Arc::new(TcpProber),
            peers: gate.peers.clone(),
            clock: Arc::new(BootClock),
            authority: authority.clone(),
            usage_window: settings.usage_window,
            board: Board::default(),
        };
        let board = tools.board.clone();
        let (duty, _) = Actor::spawn_linked(None, DutyActor, tools, supervisor.get_cell())
            .await
            .context(SpawnSnafu)?;
        let peers_task = tokio::spawn(follow_peers(
            gate.incoming,
            gate.peers.clone(),
            node.clone(),
            duty.clone(),
        ));
        let handler = AdminApi {
            host: settings.host.clone(),
            incarnation: node.incarnation.to_string(),
            board,
        };
        let admin_task = tokio::spawn(serve_operators(listener, handler));
        log::info!(target: "controller", host = settings.host.as_str(), admin:%; "controller started");
        Ok(Controller {
            admin,
            node,
            authority,
            duty,
            peers: gate.peers,
            ended,
            tasks: vec![probes, notices_task, peers_task, admin_task],
        })
    }

    /// Where operators reach it.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin
    }

    /// This process as others know it.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Waits until this incarnation is over without having been stopped.
    ///
    /// Others have ended its session, or an actor has failed; whoever runs the
    /// controller starts it anew.
    pub async fn wait_ended(&mut self) {
        let _ = self.ended.wait_for(|ended| *ended).await;
    }

    /// Finishes open orders, hands the shards over and ends the session.
    pub async fn stop(mut self) {
        log::info!(target: "controller", "handing the shards over");
        self.duty.stop(None);
        let _ = self.authority.cast(AuthorityMessage::Event(Event::Stop));
        if timeout(STOP_TIMEOUT, self.ended.wait_for(|ended| *ended)).await.is_err() {
            log::warn!(target: "controller", "stopping before the session has ended");
        }
        self.end();
        log::info!(target: "controller", "stopped");
    }

    /// Ends at once, as a killed process does.
    pub fn kill(self) {
        self.end();
    }

    fn end(&self) {
        self.duty.kill();
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
    let orders = Sender {
        engines: Arc::new(HttpEngine::new()),
        targets: platform.clone(),
        usage: platform.clone(),
        clock: Arc::new(BootClock),
    };
    AuthorityArgs {
        config: AuthorityConfig {
            node: node.clone(),
            shards: all_shards(),
            terms: Terms::default(),
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

async fn follow_notices(mut notices: mpsc::UnboundedReceiver<Notice>, end: watch::Sender<bool>) {
    while let Some(notice) = notices.recv().await {
        match notice {
            Notice::Gained { shard, epoch } => {
                log::info!(target: "authority", shard:%, epoch = epoch.0; "shard gained");
            }
            Notice::Lost { shard } => log::info!(target: "authority", shard:%; "shard lost"),
            Notice::Frozen { receiver, sender } => {
                log::warn!(target: "authority", receiver:%, sender:%;
                    "no orders until the former sender is proved out");
            }
            Notice::Ended => {
                let _ = end.send(true);
            }
            other => log::debug!(target: "authority", notice:? = other; "authority moved on"),
        }
    }
}

async fn follow_peers(
    mut incoming: mpsc::Receiver<Incoming>,
    peers: Peers,
    node: Node,
    duty: ActorRef<DutyMessage>,
) {
    while let Some(incoming) = incoming.recv().await {
        match incoming {
            Incoming::Told { from, message: Message::Drain(DrainMessage::Ask(ask)) } => {
                peers.tell(from, &Message::Drain(answer_drain(ask, node.incarnation)));
            }
            Incoming::Told {
                message: Message::Drain(DrainMessage::Holds { drain, by }), ..
            } => {
                let _ = duty.cast(DutyMessage::Holds(drain, by));
            }
            Incoming::Told { .. } => {}
            Incoming::Asked { ask: Ask::Incarnation, answer, .. } => {
                let _ = answer.send(Reply::Incarnation(node.incarnation.0));
            }
        }
    }
}

async fn serve_operators(listener: TcpListener, handler: AdminApi) {
    let (_keep_stop, stop) = watch::channel(false);
    let (_no_tls, tls) = watch::channel(None);
    serve(listener, Arc::new(handler), Limits::default(), tls, stop).await;
}
