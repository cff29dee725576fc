//! Actor that runs the session, shard ownership and orders of one process.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use chervilgate_clients::{HostList, ObjectStore};
use chervilgate_clock::{Clock, Time};
use chervilgate_coord::{
    Action, Actions, Authority, AuthorityConfig, Epoch, Event, Node, Notice, Order, OrderReply,
    ReceiverId, ShardId,
    intent::{NewOrder, OrderError, ReceiverRecord},
};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::{sync::mpsc, time::sleep};

use crate::{Prober, WakeTimer};

/// Interval between two reads of the platform's list of hosts.
const HOSTS_POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Sends orders to their receivers.
#[async_trait]
pub trait OrderSender: Send + Sync {
    /// Sends an order at most once. Reads the clock right before, and sends nothing once
    /// `deadline` has passed.
    async fn send(&self, order: &Order, deadline: Time) -> OrderReply;
}

/// Start arguments of the [`AuthorityActor`].
pub struct AuthorityArgs {
    /// Configuration of the state machine.
    pub config: AuthorityConfig,
    /// The platform's object store.
    pub store: Arc<dyn ObjectStore>,
    /// The platform's list of hosts.
    pub hosts: Arc<dyn HostList>,
    /// Sends orders to their receivers.
    pub orders: Arc<dyn OrderSender>,
    /// Probes the addresses of former shard owners for liveness.
    pub prober: Arc<dyn Prober>,
    /// Source of the current time.
    pub clock: Arc<dyn Clock>,
    /// Receives the notices of the state machine.
    pub notices: mpsc::UnboundedSender<Notice>,
}

/// A message to the [`AuthorityActor`].
pub enum AuthorityMessage {
    /// An event for the state machine.
    Event(Event),
    /// Requests an order; the reply says whether it was accepted for sending.
    Order(NewOrder, RpcReplyPort<Result<(), OrderError>>),
    /// Requests the current status.
    Status(RpcReplyPort<AuthorityStatus>),
    /// Requests the records of the receivers of a shard.
    Records(ShardId, RpcReplyPort<Vec<(ReceiverId, ReceiverRecord)>>),
    /// Sets whether the process has work in progress. Its session is not released meanwhile.
    SetBusy(bool),
    /// Triggers a read of the platform's list of hosts.
    ReadHosts,
}

/// A shard owned by this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedShard {
    /// The id of the shard.
    pub shard: ShardId,
    /// The epoch of the ownership, used as fencing token.
    pub epoch: Epoch,
}

/// Status of a process's session and shards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuthorityStatus {
    /// When the session expires unless it is renewed.
    pub expires_at: Time,
    /// Shards that the process owns.
    pub owned: Vec<OwnedShard>,
    /// Processes with a live session.
    pub members: Vec<Node>,
    /// Receivers that wait for proof that a former sender has stopped.
    pub frozen: Vec<ReceiverId>,
    /// Whether another process has ended the session of this one.
    pub sealed: bool,
}

/// State of the [`AuthorityActor`].
pub struct AuthorityState {
    machine: Authority,
    deps: Dependencies,
    port: u16,
    wake_timer: WakeTimer,
}

/// The clients through which actions are executed.
struct Dependencies {
    store: Arc<dyn ObjectStore>,
    hosts: Arc<dyn HostList>,
    orders: Arc<dyn OrderSender>,
    prober: Arc<dyn Prober>,
    clock: Arc<dyn Clock>,
    notices: mpsc::UnboundedSender<Notice>,
}

/// Runs the state machine of one process's session, shards and orders.
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
        let deps = Dependencies { store, hosts, orders, prober, clock, notices };
        myself.cast(AuthorityMessage::Event(Event::Wake))?;
        if trust_list {
            myself.cast(AuthorityMessage::ReadHosts)?;
        }
        Ok(AuthorityState { machine, deps, port, wake_timer: WakeTimer::default() })
    }

    async fn handle(
        &self,
        myself: ActorRef<AuthorityMessage>,
        message: AuthorityMessage,
        state: &mut AuthorityState,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.deps.clock.now();
        match message {
            AuthorityMessage::Event(event) => {
                let actions = state.machine.handle(now, event);
                state.execute_all(&myself, actions);
            }
            AuthorityMessage::Order(new_order, reply_port) => {
                let result = state.machine.request_order(now, new_order);
                let _ = reply_port.send(result.as_ref().map(|_| ()).map_err(|error| *error));
                state.execute_all(&myself, result.unwrap_or_default());
            }
            AuthorityMessage::Status(reply_port) => {
                let _ = reply_port.send(state.status(now));
            }
            AuthorityMessage::Records(shard, reply_port) => {
                let records = state.machine.records(&shard);
                let _ = reply_port
                    .send(records.map(|(id, record)| (id.clone(), record.clone())).collect());
            }
            AuthorityMessage::SetBusy(pending) => state.machine.set_work_pending(pending),
            AuthorityMessage::ReadHosts => state.read_hosts(&myself),
        }
        let wake = AuthorityMessage::Event(Event::Wake);
        state.wake_timer.set(now, state.machine.wake_at(), &myself, wake);
        Ok(())
    }
}

impl AuthorityState {
    fn status(&self, now: Time) -> AuthorityStatus {
        let owned = self.machine.owned(now);
        AuthorityStatus {
            expires_at: self.machine.expires_at(),
            owned: owned.map(|(shard, epoch)| OwnedShard { shard: shard.clone(), epoch }).collect(),
            members: self.machine.members(now).cloned().collect(),
            frozen: self.machine.frozen().cloned().collect(),
            sealed: self.machine.is_sealed(),
        }
    }

    fn execute_all(&self, myself: &ActorRef<AuthorityMessage>, actions: Actions) {
        for action in actions {
            self.execute(myself, action);
        }
    }

    fn execute(&self, myself: &ActorRef<AuthorityMessage>, action: Action) {
        let myself = myself.clone();
        match action {
            Action::Store { id, step, call } => {
                log::trace!(target: "authority", step:%; "calling the store");
                let store = self.deps.store.clone();
                tokio::spawn(async move {
                    let reply = store.call(&call).await;
                    let _ = myself.cast(AuthorityMessage::Event(Event::Reply { id, reply }));
                });
            }
            Action::Send { id, step, order, deadline } => {
                log::info!(target: "authority", step:%, order:% = order.id; "sending an order");
                let orders = self.deps.orders.clone();
                tokio::spawn(async move {
                    let reply = orders.send(&order, deadline).await;
                    let _ = myself.cast(AuthorityMessage::Event(Event::Answer { id, reply }));
                });
            }
            Action::Probe { id, step, addr } => {
                log::info!(target: "authority", step:%, addr:%; "probing a former owner");
                let prober = self.deps.prober.clone();
                tokio::spawn(async move {
                    let reply = prober.probe(addr).await;
                    let _ = myself.cast(AuthorityMessage::Event(Event::Probed { id, reply }));
                });
            }
            Action::Notice(notice) => {
                let _ = self.deps.notices.send(notice);
            }
        }
    }

    /// Reads the list of hosts. All hosts use the same peer port as this process.
    fn read_hosts(&self, myself: &ActorRef<AuthorityMessage>) {
        let (hosts, myself) = (self.deps.hosts.clone(), myself.clone());
        let port = self.port;
        tokio::spawn(async move {
            if let Ok(list) = hosts.hosts().await {
                let addrs = list.iter().map(|host| SocketAddr::new(host.addr, port)).collect();
                let _ = myself.cast(AuthorityMessage::Event(Event::Hosts(addrs)));
            }
            sleep(HOSTS_POLL_INTERVAL).await;
            let _ = myself.cast(AuthorityMessage::ReadHosts);
        });
    }
}
