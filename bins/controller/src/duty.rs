//! The actor that does the duty of whatever shards this controller owns.

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
    intent::{ReceiverRecord, Wish, WishError},
    view::Draining,
};
use chervilgate_driver::{AuthorityMessage, AuthorityStatus, Prober};
use chervilgate_publication::{Published, read_published};
use chervilgate_wire::{Message, Peers};
use ractor::{Actor, ActorProcessingErr, ActorRef, call_t};

use crate::{
    drains::{DrainWish, Drains},
    placements::wanted_orders,
    shards::{Duty, is_duty, shard_of},
    windows::{WindowCall, Windows},
};

/// From one round to the next.
const ROUND: Duration = Duration::from_secs(1);
/// Rounds from one reading of the configuration to the next.
const READ_ROUNDS: u64 = 5;
/// Time allowed for the authority's answer, in milliseconds.
const ANSWER_TIMEOUT: u64 = 1_000;

/// What the duty works with.
#[derive(Clone)]
pub(crate) struct Tools {
    /// The platform's objects.
    pub(crate) store: Arc<dyn ObjectStore>,
    /// Engines, for their load.
    pub(crate) engines: Arc<dyn Engine>,
    /// Probes addresses of other processes.
    pub(crate) prober: Arc<dyn Prober>,
    /// The other processes.
    pub(crate) peers: Peers,
    /// The present time.
    pub(crate) clock: Arc<dyn Clock>,
    /// This process's authority.
    pub(crate) authority: ActorRef<AuthorityMessage>,
    /// Length of a usage window.
    pub(crate) usage_window: Duration,
    /// What operators are shown.
    pub(crate) board: Board,
}

/// What operators are shown of the duty.
#[derive(Clone, Default)]
pub(crate) struct Board {
    shown: Arc<Mutex<Shown>>,
}

/// How the duty stands.
#[derive(Debug, Clone, Default)]
pub(crate) struct Shown {
    /// The view that the configuration was read at.
    pub(crate) seq: u64,
    /// Shards that are owned.
    pub(crate) owned: Vec<String>,
    /// Receivers that wait for proof about a former sender.
    pub(crate) frozen: Vec<String>,
    /// Targets that are drained and quiet.
    pub(crate) quiet: Vec<String>,
    /// Targets that are being drained, with the processes waited for.
    pub(crate) draining: Vec<(String, Vec<SocketAddr>)>,
}

impl Board {
    /// How the duty stands.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Shown> {
        self.shown.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Does one controller's duty.
pub(crate) struct DutyActor;

/// What the duty is told.
pub(crate) enum DutyMessage {
    /// Do a round.
    Round,
    /// The configuration has been read.
    Config(Box<Published>),
    /// A reply to a call of a sealer or a drain.
    Reply(CallId, StoreReply),
    /// A probe's finding.
    Probed(CallId, ProbeReply),
    /// A process holds a drain.
    Holds(Draining, Incarnation),
    /// How many requests a target runs.
    Running(String, usize),
}

/// The actor's state.
pub(crate) struct DutyState {
    tools: Tools,
    round: u64,
    published: Published,
    windows: Windows,
    drains: Drains,
    owned: BTreeSet<ShardId>,
}

impl Actor for DutyActor {
    type Msg = DutyMessage;
    type State = DutyState;
    type Arguments = Tools;

    async fn pre_start(
        &self,
        myself: ActorRef<DutyMessage>,
        tools: Tools,
    ) -> Result<DutyState, ActorProcessingErr> {
        myself.send_interval(ROUND, || DutyMessage::Round);
        Ok(DutyState {
            windows: Windows::new(tools.usage_window),
            tools,
            round: 0,
            published: Published::default(),
            drains: Drains::new(),
            owned: BTreeSet::new(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<DutyMessage>,
        message: DutyMessage,
        state: &mut DutyState,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.tools.clock.now();
        match message {
            DutyMessage::Round => state.run_round(now, &myself).await,
            DutyMessage::Config(published) => state.published = *published,
            DutyMessage::Reply(id, reply) => {
                let calls = state.windows.reply(now, id, &reply);
                state.make_calls(&myself, calls);
                let wishes = state.drains.reply(now, id, &reply);
                state.act(&myself, wishes);
            }
            DutyMessage::Probed(id, reply) => {
                let wishes = state.drains.probed(now, id, &reply);
                state.act(&myself, wishes);
            }
            DutyMessage::Holds(drain, by) => {
                let wishes = state.drains.note_holds(now, by, &drain);
                state.act(&myself, wishes);
            }
            DutyMessage::Running(target, running) => {
                state.drains.note_running(now, &target, running);
            }
        }
        Ok(())
    }
}

impl DutyState {
    async fn run_round(&mut self, now: Time, myself: &ActorRef<DutyMessage>) {
        if self.round.is_multiple_of(READ_ROUNDS) {
            self.read_config(myself);
        }
        self.round += 1;
        let authority = &self.tools.authority;
        let Ok(status) = call_t!(authority, AuthorityMessage::Status, ANSWER_TIMEOUT) else {
            return;
        };
        self.owned = status.owned.iter().map(|owned| owned.shard.clone()).collect();
        self.seal_windows(now, myself).await;
        self.order_placed().await;
        self.follow_drains(now, myself);
        self.show(&status);
    }

    fn read_config(&self, myself: &ActorRef<DutyMessage>) {
        let (store, myself) = (self.tools.store.clone(), myself.clone());
        tokio::spawn(async move {
            match read_published(&*store).await {
                Ok(published) => {
                    let _ = myself.cast(DutyMessage::Config(Box::new(published)));
                }
                Err(error) => {
                    log::warn!(target: "duty", error:%; "configuration not read; keeping the last");
                }
            }
        });
    }

    async fn seal_windows(&mut self, now: Time, myself: &ActorRef<DutyMessage>) {
        self.windows.keep(|shard| self.owned.contains(shard));
        let owned = self.owned.iter().filter(|shard| is_duty(shard, Duty::Usage));
        let gained: Vec<ShardId> =
            owned.filter(|shard| !self.windows.has(shard)).cloned().collect();
        for shard in gained {
            let records = self.records(&shard).await;
            let reported = records.iter().map(|(_, record)| record.cause).max().unwrap_or(0);
            self.windows.gain(&shard, reported);
        }
        let calls = self.windows.advance(now);
        self.make_calls(myself, calls);
        for wish in self.windows.due() {
            let result = self.order(wish.clone()).await;
            self.windows.offered(&wish, result);
        }
    }

    /// Orders what the placements ask for, unless that was the last order.
    async fn order_placed(&self) {
        let config = self.published.in_force();
        let wanted = wanted_orders(&config, |shard| self.owned.contains(shard));
        let shards: BTreeSet<&ShardId> = wanted.iter().map(|wish| &wish.receiver.shard).collect();
        let mut records = Vec::new();
        for shard in shards {
            records.extend(self.records(shard).await);
        }
        for wish in wanted {
            let known = records.iter().find(|(receiver, _)| *receiver == wish.receiver);
            let last = known.map(|(_, record)| record.last.as_slice()).unwrap_or_default();
            if last != wish.body {
                let _ = self.order(wish).await;
            }
        }
    }

    fn follow_drains(&mut self, now: Time, myself: &ActorRef<DutyMessage>) {
        let config = &self.published.config;
        let draining = self.published.root.draining.iter();
        let mine = draining.filter(|drain| {
            let target = config.targets.values().find(|target| target.name == *drain.target);
            target.is_some_and(|target| {
                self.owned.contains(&shard_of(Duty::Engines, target.service.as_str()))
            })
        });
        let mine: Vec<Draining> = mine.cloned().collect();
        self.drains.set(&mine);
        let wishes = self.drains.advance(now);
        self.act(myself, wishes);
    }

    async fn records(&self, shard: &ShardId) -> Vec<(ReceiverId, ReceiverRecord)> {
        let ask = |answer| AuthorityMessage::Records(shard.clone(), answer);
        call_t!(self.tools.authority, ask, ANSWER_TIMEOUT).unwrap_or_default()
    }

    async fn order(&self, wish: Wish) -> Result<(), WishError> {
        let ask = |answer| AuthorityMessage::Order(wish, answer);
        call_t!(self.tools.authority, ask, ANSWER_TIMEOUT).unwrap_or(Err(WishError::NotOwner))
    }

    fn make_calls(&self, myself: &ActorRef<DutyMessage>, calls: Vec<WindowCall>) {
        for WindowCall { id, call } in calls {
            self.call(myself, id, call);
        }
    }

    fn call(&self, myself: &ActorRef<DutyMessage>, id: CallId, call: chervilgate_coord::StoreCall) {
        let (store, myself) = (self.tools.store.clone(), myself.clone());
        tokio::spawn(async move {
            let reply = store.call(&call).await;
            let _ = myself.cast(DutyMessage::Reply(id, reply));
        });
    }

    fn act(&self, myself: &ActorRef<DutyMessage>, wishes: Vec<DrainWish>) {
        for DrainWish { target, action } in wishes {
            match action {
                DrainAction::Call { id, call, .. } => self.call(myself, id, call),
                DrainAction::Send { to, message, .. } => {
                    self.tools.peers.tell(to.addr, &Message::Drain(message));
                }
                DrainAction::Probe { id, node, .. } => {
                    let (prober, myself) = (self.tools.prober.clone(), myself.clone());
                    tokio::spawn(async move {
                        let reply = prober.probe(node.addr).await;
                        let _ = myself.cast(DutyMessage::Probed(id, reply));
                    });
                }
                DrainAction::AskTarget { .. } => self.ask_target(myself, target),
                // Kept with the drains.
                DrainAction::Stop(_) => {}
            }
        }
    }

    fn ask_target(&self, myself: &ActorRef<DutyMessage>, target: String) {
        let listed = self.published.config.targets.values().find(|listed| listed.name == *target);
        let Some(addr) = listed.map(|listed| listed.address) else {
            return;
        };
        let (engines, myself) = (self.tools.engines.clone(), myself.clone());
        tokio::spawn(async move {
            if let Ok(load) = engines.load(addr).await {
                let running = load.running + load.waiting;
                let running = usize::try_from(running).unwrap_or(usize::MAX);
                let _ = myself.cast(DutyMessage::Running(target, running));
            }
        });
    }

    fn show(&self, status: &AuthorityStatus) {
        let mut shown = self.tools.board.lock();
        shown.seq = self.published.root.seq.0;
        shown.owned = status.owned.iter().map(|owned| owned.shard.to_string()).collect();
        shown.frozen = status.frozen.iter().map(ToString::to_string).collect();
        shown.quiet = self.drains.quiet().cloned().collect();
        let waiting = |target: &String| {
            let nodes = self.drains.waiting(target);
            (target.clone(), nodes.iter().map(|node| node.addr).collect())
        };
        shown.draining = self.drains.open().map(waiting).collect();
    }
}

/// The answer of a controller to a question about a drain.
///
/// A controller sends no requests to targets, so it has none on its way.
pub(crate) fn answer_drain(ask: Draining, by: Incarnation) -> DrainMessage {
    DrainMessage::Holds { drain: ask, by }
}
