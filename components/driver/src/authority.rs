//! The actor around one process's authority.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use chervilgate_clients::{HostList, ObjectStore};
use chervilgate_clock::{Clock, Time};
use chervilgate_coord::{
    Action, Actions, Authority, AuthorityConfig, Epoch, Event, Node, Notice, Order, OrderReply,
    ReceiverId, ShardId,
    intent::{ReceiverRecord, Wish, WishError},
};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::{sync::mpsc, time::sleep};

use crate::{Alarm, Prober};

/// From one reading of the platform's list of hosts to the next.
const HOSTS_PERIOD: Duration = Duration::from_secs(10);

/// Sends orders to their receivers.
#[async_trait]
pub trait OrderSender: Send + Sync {
    /// Sends an order once, unless the clock shows `deadline` right before.
    async fn send(&self, order: &Order, deadline: Time) -> OrderReply;
}

/// What the actor is started with.
pub struct AuthorityArgs {
    /// What the machine is made of.
    pub config: AuthorityConfig,
    /// The platform's objects.
    pub store: Arc<dyn ObjectStore>,
    /// The platform's list of hosts.
    pub hosts: Arc<dyn HostList>,
    /// Whatever carries orders out.
    pub orders: Arc<dyn OrderSender>,
    /// Probes addresses of former owners.
    pub prober: Arc<dyn Prober>,
    /// The present time.
    pub clock: Arc<dyn Clock>,
    /// Takes what comes about.
    pub notices: mpsc::UnboundedSender<Notice>,
}

/// What the actor is told.
pub enum AuthorityMessage {
    /// Something has reached the process.
    Event(Event),
    /// An order is wanted.
    Order(Wish, RpcReplyPort<Result<(), WishError>>),
    /// Asks how things stand.
    Status(RpcReplyPort<AuthorityStatus>),
    /// Asks for the records of a shard's receivers.
    Records(ShardId, RpcReplyPort<Vec<(ReceiverId, ReceiverRecord)>>),
    /// Tells whether the process has something of its own under way.
    SetBusy(bool),
    /// Read the platform's list of hosts.
    ReadHosts,
}

/// A shard with the epoch that it is owned in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedShard {
    /// The shard.
    pub shard: ShardId,
    /// The epoch.
    pub epoch: Epoch,
}

/// How one process's authority stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuthorityStatus {
    /// When it ends unless renewed.
    pub until: Time,
    /// Shards that are owned now.
    pub owned: Vec<OwnedShard>,
    /// Processes whose sessions are live.
    pub members: Vec<Node>,
    /// Receivers that wait for proof about a former sender.
    pub frozen: Vec<ReceiverId>,
    /// Whether another process has ended this one's session.
    pub sealed: bool,
}

/// The actor's state.
pub struct AuthorityState {
    machine: Authority,
    borders: Borders,
    port: u16,
    alarm: Alarm,
}

struct Borders {
    store: Arc<dyn ObjectStore>,
    hosts: Arc<dyn HostList>,
    orders: Arc<dyn OrderSender>,
    prober: Arc<dyn Prober>,
    clock: Arc<dyn Clock>,
    notices: mpsc::UnboundedSender<Notice>,
}

/// Runs one process's authority.
pub struct AuthorityActor;

impl Actor for AuthorityActor {
    type Msg = AuthorityMessage;
    type State = AuthorityState;
    type Arguments = AuthorityArgs;

    async fn pre_start(
        &self,
        myself: ActorRef<AuthorityMessage>,
        args: AuthorityArgs,
    ) -> Result<AuthorityState, ActorProcessingErr> {
        let AuthorityArgs { config, store, hosts, orders, prober, clock, notices } = args;
        let port = config.node.addr.port();
        let trust_list = config.trust_list;
        let machine = Authority::new(config);
        let borders = Borders { store, hosts, orders, prober, clock, notices };
        myself.cast(AuthorityMessage::Event(Event::Wake))?;
        if trust_list {
            myself.cast(AuthorityMessage::ReadHosts)?;
        }
        Ok(AuthorityState { machine, borders, port, alarm: Alarm::default() })
    }

    async fn handle(
        &self,
        myself: ActorRef<AuthorityMessage>,
        message: AuthorityMessage,
        state: &mut AuthorityState,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.borders.clock.now();
        match message {
            AuthorityMessage::Event(event) => {
                let actions = state.machine.handle(now, event);
                state.carry_out(&myself, actions);
            }
            AuthorityMessage::Order(wish, answer) => {
                let ordered = state.machine.order(now, wish);
                let _ = answer.send(ordered.as_ref().map(|_| ()).map_err(|error| *error));
                state.carry_out(&myself, ordered.unwrap_or_default());
            }
            AuthorityMessage::Status(answer) => {
                let _ = answer.send(state.status(now));
            }
            AuthorityMessage::Records(shard, answer) => {
                let records = state.machine.records(&shard);
                let _ =
                    answer.send(records.map(|(id, record)| (id.clone(), record.clone())).collect());
            }
            AuthorityMessage::SetBusy(busy) => state.machine.set_busy(busy),
            AuthorityMessage::ReadHosts => state.read_hosts(&myself),
        }
        let wake = AuthorityMessage::Event(Event::Wake);
        state.alarm.set(now, state.machine.wake_at(), &myself, wake);
        Ok(())
    }
}

impl AuthorityState {
    fn status(&self, now: Time) -> AuthorityStatus {
        let owned = self.machine.owned(now);
        AuthorityStatus {
            until: self.machine.until(),
            owned: owned.map(|(shard, epoch)| OwnedShard { shard: shard.clone(), epoch }).collect(),
            members: self.machine.members(now).cloned().collect(),
            frozen: self.machine.frozen().cloned().collect(),
            sealed: self.machine.is_sealed(),
        }
    }

    fn carry_out(&self, myself: &ActorRef<AuthorityMessage>, actions: Actions) {
        for action in actions {
            self.act(myself, action);
        }
    }

    fn act(&self, myself: &ActorRef<AuthorityMessage>, action: Action) {
        let myself = myself.clone();
        match action {
            Action::Store { id, step, call } => {
                log::trace!(target: "authority", step:%; "calling the store");
                let store = self.borders.store.clone();
                tokio::spawn(async move {
                    let reply = store.call(&call).await;
                    let _ = myself.cast(AuthorityMessage::Event(Event::Reply { id, reply }));
                });
            }
            Action::Send { id, step, order, deadline } => {
                log::info!(target: "authority", step:%, order:% = order.id; "sending an order");
                let orders = self.borders.orders.clone();
                tokio::spawn(async move {
                    let reply = orders.send(&order, deadline).await;
                    let _ = myself.cast(AuthorityMessage::Event(Event::Answer { id, reply }));
                });
            }
            Action::Probe { id, step, addr } => {
                log::info!(target: "authority", step:%, addr:%; "probing a former owner");
                let prober = self.borders.prober.clone();
                tokio::spawn(async move {
                    let reply = prober.probe(addr).await;
                    let _ = myself.cast(AuthorityMessage::Event(Event::Probed { id, reply }));
                });
            }
            Action::Notice(notice) => {
                let _ = self.borders.notices.send(notice);
            }
        }
    }

    /// Reads the list of hosts; all of them use the same port for their peers.
    fn read_hosts(&self, myself: &ActorRef<AuthorityMessage>) {
        let (hosts, myself) = (self.borders.hosts.clone(), myself.clone());
        let port = self.port;
        tokio::spawn(async move {
            if let Ok(list) = hosts.hosts().await {
                let addrs = list.iter().map(|host| SocketAddr::new(host.addr, port)).collect();
                let _ = myself.cast(AuthorityMessage::Event(Event::Hosts(addrs)));
            }
            sleep(HOSTS_PERIOD).await;
            let _ = myself.cast(AuthorityMessage::ReadHosts);
        });
    }
}
