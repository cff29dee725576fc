//! The actor around one node's view.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use chervilgate_clients::ObjectStore;
use chervilgate_clock::{Clock, Time};
use chervilgate_coord::{
    CallIds, EditId, Incarnation, Node,
    view::{
        Blob, Edit, EditError, FRESH_SPAN, Keeper, KeeperAction, KeeperActions, KeeperEvent,
        KeyHash, PeerMessage, Root, Seq, Snapshot, Verdict,
    },
};
use chervilgate_wire::{Message, Peers};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::sync::mpsc;

use crate::{Alarm, Prober};

/// Calls of the keeper are numbered apart from those of the authority.
const FIRST_CALL: u64 = 1 << 32;

/// What the actor is started with.
pub struct ViewArgs {
    /// This process.
    pub node: Node,
    /// Addresses of peers to begin with.
    pub seeds: Vec<SocketAddr>,
    /// The platform's objects.
    pub store: Arc<dyn ObjectStore>,
    /// The other processes.
    pub peers: Peers,
    /// Probes addresses of voters.
    pub prober: Arc<dyn Prober>,
    /// The present time.
    pub clock: Arc<dyn Clock>,
    /// Seeds the jitter of delays.
    pub seed: u64,
    /// Takes each change of the view or of its freshness.
    pub updates: mpsc::UnboundedSender<ViewUpdate>,
}

/// The view after an event.
#[derive(Debug, Clone)]
pub struct ViewUpdate {
    /// Keyed work may be dispatched until then.
    pub fresh_until: Time,
    /// Whether the platform confirms the view, rather than a majority.
    pub by_platform: bool,
    /// Whether this node watches the platform for others.
    pub relay: bool,
    /// Keys withdrawn as far as is known here, if there are new ones.
    pub withdrawn: Option<BTreeSet<KeyHash>>,
    /// The root and its snapshot, if a newer one is in force.
    pub adopted: Option<(Root, Snapshot)>,
}

/// What became of an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditOutcome {
    /// It holds everywhere, within [`FRESH_SPAN`].
    Accepted(Seq),
    /// It was not made.
    Rejected(EditError),
}

/// What the actor is told.
pub enum ViewMessage {
    /// The machine's time has come.
    Wake,
    /// Something for the machine.
    Event(KeeperEvent),
    /// An edit, answered once it is accepted or rejected.
    Submit(Edit, RpcReplyPort<EditOutcome>),
}

/// The actor's state.
pub struct ViewState {
    machine: Keeper,
    store: Arc<dyn ObjectStore>,
    peers: Peers,
    prober: Arc<dyn Prober>,
    clock: Arc<dyn Clock>,
    updates: mpsc::UnboundedSender<ViewUpdate>,
    edits: BTreeMap<EditId, RpcReplyPort<EditOutcome>>,
    next_edit: u64,
    withdrawn: usize,
    alarm: Alarm,
}

/// Runs one node's view.
pub struct ViewActor;

impl Actor for ViewActor {
    type Msg = ViewMessage;
    type State = ViewState;
    type Arguments = ViewArgs;

    async fn pre_start(
        &self,
        myself: ActorRef<ViewMessage>,
        args: ViewArgs,
    ) -> Result<ViewState, ActorProcessingErr> {
        let ids = CallIds::from(FIRST_CALL);
        let machine = Keeper::new(args.node, args.seeds, ids, args.seed);
        myself.cast(ViewMessage::Wake)?;
        Ok(ViewState {
            machine,
            store: args.store,
            peers: args.peers,
            prober: args.prober,
            clock: args.clock,
            updates: args.updates,
            edits: BTreeMap::new(),
            next_edit: 0,
            withdrawn: 0,
            alarm: Alarm::default(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<ViewMessage>,
        message: ViewMessage,
        state: &mut ViewState,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.clock.now();
        let event = match message {
            ViewMessage::Wake => KeeperEvent::Tick,
            ViewMessage::Event(event) => event,
            ViewMessage::Submit(edit, answer) => state.accept_edit(edit, answer),
        };
        let actions = state.machine.handle(now, event);
        let adopted = state.carry_out(&myself, actions);
        state.tell(now, adopted);
        state.alarm.set(now, state.machine.wake_at(), &myself, ViewMessage::Wake);
        Ok(())
    }
}

impl ViewState {
    fn accept_edit(&mut self, edit: Edit, answer: RpcReplyPort<EditOutcome>) -> KeeperEvent {
        let id = EditId(self.next_edit);
        self.next_edit += 1;
        self.edits.insert(id, answer);
        KeeperEvent::Submit { id, edit }
    }

    /// Carries actions out; whether a newer view has been adopted.
    fn carry_out(&mut self, myself: &ActorRef<ViewMessage>, actions: KeeperActions) -> bool {
        let mut adopted = false;
        for action in actions {
            match action {
                KeeperAction::Call { id, step, call } => {
                    log::trace!(target: "view", step:%; "calling the store");
                    let (store, myself) = (self.store.clone(), myself.clone());
                    tokio::spawn(async move {
                        let reply = store.call(&call).await;
                        let _ = myself.cast(ViewMessage::Event(KeeperEvent::Reply { id, reply }));
                    });
                }
                KeeperAction::Send { to, message, .. } => {
                    self.peers.tell(to, &Message::View(message));
                }
                KeeperAction::Probe { id, step, addr } => {
                    log::debug!(target: "view", step:%, addr:%; "probing a voter");
                    let (prober, myself) = (self.prober.clone(), myself.clone());
                    tokio::spawn(async move {
                        let reply = prober.probe(addr).await;
                        let _ = myself.cast(ViewMessage::Event(KeeperEvent::Probed { id, reply }));
                    });
                }
                KeeperAction::Accepted { edit, seq } => {
                    self.answer(edit, EditOutcome::Accepted(seq));
                }
                KeeperAction::Rejected { edit, error } => {
                    self.answer(edit, EditOutcome::Rejected(error));
                }
                KeeperAction::Adopted(seq) => {
                    log::info!(target: "view", seq = seq.0; "adopted a view");
                    adopted = true;
                }
            }
        }
        adopted
    }

    fn answer(&mut self, edit: EditId, outcome: EditOutcome) {
        if let Some(answer) = self.edits.remove(&edit) {
            let _ = answer.send(outcome);
        }
    }

    fn tell(&mut self, now: Time, adopted: bool) {
        let holder = self.machine.holder();
        let verdict = self.machine.check(now);
        let root = holder.root().filter(|_| adopted).cloned();
        let withdrawn = self.new_withdrawals();
        let update = ViewUpdate {
            fresh_until: fresh_until(now, verdict),
            by_platform: matches!(verdict, Verdict::Platform(_)),
            relay: self.machine.is_relay(),
            withdrawn,
            adopted: root.map(|root| (root, self.machine.holder().snapshot().clone())),
        };
        let _ = self.updates.send(update);
    }

    fn new_withdrawals(&mut self) -> Option<BTreeSet<KeyHash>> {
        let keys = self.machine.holder().withdrawn_keys();
        if keys.len() == self.withdrawn {
            return None;
        }
        self.withdrawn = keys.len();
        Some(keys)
    }
}

/// The end of the span in which the view counts as confirmed.
fn fresh_until(now: Time, verdict: Verdict) -> Time {
    match verdict {
        Verdict::Platform(age) | Verdict::Majority(age) => now.before(age) + FRESH_SPAN,
        Verdict::Stale => Time::ZERO,
    }
}

/// Messages of peers and news of members, as events for the machine.
impl ViewMessage {
    /// A peer's message.
    pub fn peer(from: SocketAddr, message: PeerMessage) -> ViewMessage {
        ViewMessage::Event(KeeperEvent::Peer { from, message })
    }

    /// The members that are believed live.
    pub fn members(members: Vec<Node>) -> ViewMessage {
        ViewMessage::Event(KeeperEvent::Members(members))
    }

    /// A blob that is about to be published.
    pub fn hold(blob: Blob) -> ViewMessage {
        ViewMessage::Event(KeeperEvent::Hold(blob))
    }

    /// An incarnation that is proved to run no more.
    pub fn proved_out(node: Incarnation) -> ViewMessage {
        ViewMessage::Event(KeeperEvent::ProvedOut(node))
    }
}
