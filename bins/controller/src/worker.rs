//! The actor that does the work of the shards that this controller owns.
//!
//! At each tick it seals usage windows, orders the targets that the placements ask for and
//! advances drains.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use chervilgate_clients::{Engine, ObjectStore};
use chervilgate_clock::{Clock, Time};
use chervilgate_coord::{
    CallId, Incarnation, ProbeReply, ReceiverId, ShardId, StoreReply,
    drain::{DrainAction, DrainMessage},
    intent::{NewOrder, OrderError, ReceiverRecord},
    view::Draining,
};
use chervilgate_driver::{AuthorityMessage, AuthorityStatus, Prober};
use chervilgate_publication::{PublishedState, read_published};
use chervilgate_wire::{Message, Peers};
use ractor::{Actor, ActorProcessingErr, ActorRef, call_t};

use crate::{
    drains::{DrainTracker, TargetAction},
    placements::placement_orders,
    shards::{ShardKind, has_kind, shard_of},
    windows::{SealerCall, UsageWindows},
};

/// Interval between two ticks.
const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Ticks between two reads of the configuration.
const CONFIG_READ_INTERVAL_TICKS: u64 = 5;
/// Timeout of calls to the authority actor, in milliseconds.
const AUTHORITY_TIMEOUT_MS: u64 = 1_000;

/// Arguments of [`ShardWorker`].
#[derive(Clone)]
pub(crate) struct WorkerArgs {
    /// Object store of the platform.
    pub(crate) store: Arc<dyn ObjectStore>,
    /// Client that reads the load of engines.
    pub(crate) engines: Arc<dyn Engine>,
    /// Checks which process listens on an address.
    pub(crate) prober: Arc<dyn Prober>,
    /// Sends messages to other processes.
    pub(crate) peers: Peers,
    /// Source of the current time.
    pub(crate) clock: Arc<dyn Clock>,
    /// The actor that holds the shards of this process.
    pub(crate) authority: ActorRef<AuthorityMessage>,
    /// Length of a usage window.
    pub(crate) usage_window: Duration,
    /// Where the status for operators is published.
    pub(crate) status: SharedStatus,
}

/// The worker's status, shared with the admin API.
#[derive(Clone, Default)]
pub(crate) struct SharedStatus {
    current: Arc<Mutex<WorkerStatus>>,
}

/// Status of the worker after its last tick.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkerStatus {
    /// Sequence number of the view at which the configuration was read.
    pub(crate) view_seq: u64,
    /// Shards that this controller owns.
    pub(crate) owned: Vec<String>,
    /// Receivers that get no orders until their former sender is proved to have stopped.
    pub(crate) frozen: Vec<String>,
    /// Targets whose drains are finished.
    pub(crate) drained: Vec<String>,
    /// Targets that are being drained, with the processes that they wait for.
    pub(crate) draining: Vec<(String, Vec<SocketAddr>)>,
}

impl SharedStatus {
    /// Locks the status for reading or updating.
    pub(crate) fn lock(&self) -> MutexGuard<'_, WorkerStatus> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Does the work of the owned shards.
pub(crate) struct ShardWorker;

/// Messages to [`ShardWorker`].
pub(crate) enum WorkerMessage {
    /// Sent at every [`TICK_INTERVAL`].
    Tick,
    /// The configuration that has been read.
    Config(Box<PublishedState>),
    /// The reply to a store call of a sealer or a drain.
    Reply(CallId, StoreReply),
    /// The result of a probe for a drain.
    ProbeResult(CallId, ProbeReply),
    /// A process has confirmed a drain.
    DrainConfirmed(Draining, Incarnation),
    /// The number of requests that a target runs or queues.
    RunningRequests(String, usize),
}

/// State of [`ShardWorker`].
pub(crate) struct WorkerState {
    args: WorkerArgs,
    ticks: u64,
    published: PublishedState,
    windows: UsageWindows,
    drains: DrainTracker,
    owned: BTreeSet<ShardId>,
}

impl Actor for ShardWorker {
    type Msg = WorkerMessage;
    type State = WorkerState;
    type Arguments = WorkerArgs;

    async fn pre_start(
        &self,
        myself: ActorRef<WorkerMessage>,
        args: WorkerArgs,
    ) -> Result<WorkerState, ActorProcessingErr> {
        myself.send_interval(TICK_INTERVAL, || WorkerMessage::Tick);
        Ok(WorkerState {
            windows: UsageWindows::new(args.usage_window),
            args,
            ticks: 0,
            published: PublishedState::default(),
            drains: DrainTracker::new(),
            owned: BTreeSet::new(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<WorkerMessage>,
        message: WorkerMessage,
        state: &mut WorkerState,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.args.clock.now();
        match message {
            WorkerMessage::Tick => state.run_tick(now, &myself).await,
            WorkerMessage::Config(published) => state.published = *published,
            WorkerMessage::Reply(id, reply) => {
                let calls = state.windows.handle_reply(now, id, &reply);
                state.make_calls(&myself, calls);
                let actions = state.drains.handle_reply(now, id, &reply);
                state.run_actions(&myself, actions);
            }
            WorkerMessage::ProbeResult(id, reply) => {
                let actions = state.drains.handle_probe(now, id, &reply);
                state.run_actions(&myself, actions);
            }
            WorkerMessage::DrainConfirmed(drain, by) => {
                let actions = state.drains.record_confirmation(now, by, &drain);
                state.run_actions(&myself, actions);
            }
            WorkerMessage::RunningRequests(target, running) => {
                state.drains.record_running(now, &target, running);
            }
        }
        Ok(())
    }
}

impl WorkerState {
    async fn run_tick(&mut self, now: Time, myself: &ActorRef<WorkerMessage>) {
        if self.ticks.is_multiple_of(CONFIG_READ_INTERVAL_TICKS) {
            self.read_config(myself);
        }
        self.ticks += 1;
        let authority = &self.args.authority;
        let Ok(status) = call_t!(authority, AuthorityMessage::Status, AUTHORITY_TIMEOUT_MS) else {
            return;
        };
        self.owned = status.owned.iter().map(|owned| owned.shard.clone()).collect();
        self.seal_windows(now, myself).await;
        self.order_targets().await;
        self.advance_drains(now, myself);
        self.publish_status(&status);
    }

    fn read_config(&self, myself: &ActorRef<WorkerMessage>) {
        let (store, myself) = (self.args.store.clone(), myself.clone());
        tokio::spawn(async move {
            match read_published(&*store).await {
                Ok(published) => {
                    let _ = myself.cast(WorkerMessage::Config(Box::new(published)));
                }
                Err(error) => {
                    log::warn!(target: "duty", error:%;
                        "cannot read the configuration; keeping the previous one");
                }
            }
        });
    }

    async fn seal_windows(&mut self, now: Time, myself: &ActorRef<WorkerMessage>) {
        self.windows.retain_owned(|shard| self.owned.contains(shard));
        let owned = self.owned.iter().filter(|shard| has_kind(shard, ShardKind::Usage));
        let gained: Vec<ShardId> =
            owned.filter(|shard| !self.windows.has_shard(shard)).cloned().collect();
        for shard in gained {
            let records = self.receiver_records(&shard).await;
            let reported = records.iter().map(|(_, record)| record.cause).max().unwrap_or(0);
            self.windows.add_shard(&shard, reported);
        }
        let calls = self.windows.advance(now);
        self.make_calls(myself, calls);
        for order in self.windows.due_reports() {
            let result = self.submit_order(order.clone()).await;
            self.windows.handle_result(&order, result);
        }
    }

    /// Orders the targets that the placements ask for, unless the last order was the same.
    async fn order_targets(&self) {
        let config = self.published.effective_config();
        let wanted = placement_orders(&config, |shard| self.owned.contains(shard));
        let shards: BTreeSet<&ShardId> = wanted.iter().map(|order| &order.receiver.shard).collect();
        let mut records = Vec::new();
        for shard in shards {
            records.extend(self.receiver_records(shard).await);
        }
        for order in wanted {
            let matching = records.iter().find(|(receiver, _)| *receiver == order.receiver);
            let last = matching.map(|(_, record)| record.last.as_slice()).unwrap_or_default();
            if last != order.body {
                // A rejected order is submitted again at the next tick.
                let _ = self.submit_order(order).await;
            }
        }
    }

    fn advance_drains(&mut self, now: Time, myself: &ActorRef<WorkerMessage>) {
        let config = &self.published.config;
        let draining = self.published.root.draining.iter();
        let owned_drains = draining.filter(|drain| {
            let target = config.targets.values().find(|target| target.name == *drain.target);
            target.is_some_and(|target| {
                self.owned.contains(&shard_of(ShardKind::Engines, target.service.as_str()))
            })
        });
        let owned_drains: Vec<Draining> = owned_drains.cloned().collect();
        self.drains.sync(&owned_drains);
        let actions = self.drains.advance(now);
        self.run_actions(myself, actions);
    }

    async fn receiver_records(&self, shard: &ShardId) -> Vec<(ReceiverId, ReceiverRecord)> {
        let request = |reply| AuthorityMessage::Records(shard.clone(), reply);
        call_t!(self.args.authority, request, AUTHORITY_TIMEOUT_MS).unwrap_or_default()
    }

    /// Asks the authority to write the order as an intent and to send it.
    async fn submit_order(&self, order: NewOrder) -> Result<(), OrderError> {
        let request = |reply| AuthorityMessage::Order(order, reply);
        call_t!(self.args.authority, request, AUTHORITY_TIMEOUT_MS)
            .unwrap_or(Err(OrderError::NotOwner))
    }

    fn make_calls(&self, myself: &ActorRef<WorkerMessage>, calls: Vec<SealerCall>) {
        for SealerCall { id, call } in calls {
            self.call_store(myself, id, call);
        }
    }

    fn call_store(
        &self,
        myself: &ActorRef<WorkerMessage>,
        id: CallId,
        call: chervilgate_coord::StoreCall,
    ) {
        let (store, myself) = (self.args.store.clone(), myself.clone());
        tokio::spawn(async move {
            let reply = store.call(&call).await;
            let _ = myself.cast(WorkerMessage::Reply(id, reply));
        });
    }

    fn run_actions(&self, myself: &ActorRef<WorkerMessage>, actions: Vec<TargetAction>) {
        for TargetAction { target, action } in actions {
            match action {
                DrainAction::Call { id, call, .. } => self.call_store(myself, id, call),
                DrainAction::Send { to, message, .. } => {
                    self.args.peers.send(to.addr, &Message::Drain(message));
                }
                DrainAction::Probe { id, node, .. } => {
                    let (prober, myself) = (self.args.prober.clone(), myself.clone());
                    tokio::spawn(async move {
                        let reply = prober.probe(node.addr).await;
                        let _ = myself.cast(WorkerMessage::ProbeResult(id, reply));
                    });
                }
                DrainAction::AskTarget { .. } => self.ask_target(myself, target),
                // The drain tracker has already moved it to the finished drains.
                DrainAction::Stop(_) => {}
            }
        }
    }

    /// Reads the load of a target for its drain.
    ///
    /// A failed read is ignored, since the drain asks again.
    fn ask_target(&self, myself: &ActorRef<WorkerMessage>, target: String) {
        let listed = self.published.config.targets.values().find(|listed| listed.name == *target);
        let Some(addr) = listed.map(|listed| listed.address) else {
            return;
        };
        let (engines, myself) = (self.args.engines.clone(), myself.clone());
        tokio::spawn(async move {
            if let Ok(load) = engines.load(addr).await {
                let running = load.running + load.waiting;
                let running = usize::try_from(running).unwrap_or(usize::MAX);
                let _ = myself.cast(WorkerMessage::RunningRequests(target, running));
            }
        });
    }

    fn publish_status(&self, authority: &AuthorityStatus) {
        let mut shared = self.args.status.lock();
        shared.view_seq = self.published.root.seq.0;
        shared.owned = authority.owned.iter().map(|owned| owned.shard.to_string()).collect();
        shared.frozen = authority.frozen.iter().map(ToString::to_string).collect();
        shared.drained = self.drains.drained().cloned().collect();
        let with_awaited = |target: &String| {
            let nodes = self.drains.waiting(target);
            (target.clone(), nodes.iter().map(|node| node.addr).collect())
        };
        shared.draining = self.drains.active().map(with_awaited).collect();
    }
}

/// Returns the confirmation of a drain.
///
/// A controller sends no requests to targets, so none can still be in flight.
pub(crate) fn confirm_drain(ask: Draining, by: Incarnation) -> DrainMessage {
    DrainMessage::Holds { drain: ask, by }
}
