//! Actor that replicates the view, the versioned configuration, on one node.

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
        Blob, Edit, EditError, KeyHash, MAX_VIEW_AGE, PeerMessage, Root, Seq, Snapshot, ViewAction,
        ViewActions, ViewEvent, ViewManager, ViewStatus,
    },
};
use chervilgate_wire::{Message, Peers};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::sync::mpsc;

use crate::{Prober, WakeTimer};

/// First id of this component's store calls. Each component of a process has its own range
/// of 2^32 ids, so that a reply is matched to one component only.
/// The range below belongs to the authority actor.
const FIRST_CALL_ID: u64 = 1 << 32;

/// Start arguments of the [`ViewActor`].
pub struct ViewArgs {
    /// The identity and peer address of this process.
    pub node: Node,
    /// Peer addresses to contact before the members are known.
    pub seeds: Vec<SocketAddr>,
    /// The platform's object store.
    pub store: Arc<dyn ObjectStore>,
    /// Connections to the other processes.
    pub peers: Peers,
    /// Probes the addresses of voters for liveness.
    pub prober: Arc<dyn Prober>,
    /// Source of the current time.
    pub clock: Arc<dyn Clock>,
    /// Seed of the random jitter of delays.
    pub seed: u64,
    /// Receives an update after every event.
    pub updates: mpsc::UnboundedSender<ViewUpdate>,
}

/// State of the view after an event.
#[derive(Debug, Clone)]
pub struct ViewUpdate {
    /// Requests authenticated by a key may be dispatched until this time; [`Time::ZERO`] if the
    /// view is stale.
    pub fresh_until: Time,
    /// Whether the platform confirmed the view, not a majority of the voters.
    pub by_platform: bool,
    /// Whether this node watches the platform on behalf of other nodes.
    pub relay: bool,
    /// All withdrawn keys known to this node; `None` if unchanged since the last update.
    pub withdrawn: Option<BTreeSet<KeyHash>>,
    /// The root and snapshot of a newly adopted view; `None` if the view is unchanged.
    pub adopted: Option<(Root, Snapshot)>,
}

/// Outcome of an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditOutcome {
    /// Published with this sequence number; in force on every node within [`MAX_VIEW_AGE`].
    Accepted(Seq),
    /// Not published.
    Rejected(EditError),
}

/// A message to the [`ViewActor`].
pub enum ViewMessage {
    /// The wake-up time of the state machine has come.
    Wake,
    /// An event for the state machine.
    Event(ViewEvent),
    /// Publishes an edit; the reply comes when it is accepted or rejected.
    Submit(Edit, RpcReplyPort<EditOutcome>),
}

/// State of the [`ViewActor`].
pub struct ViewState {
    machine: ViewManager,
    store: Arc<dyn ObjectStore>,
    peers: Peers,
    prober: Arc<dyn Prober>,
    clock: Arc<dyn Clock>,
    updates: mpsc::UnboundedSender<ViewUpdate>,
    pending_edits: BTreeMap<EditId, RpcReplyPort<EditOutcome>>,
    next_edit_id: u64,
    withdrawn_count: usize,
    wake_timer: WakeTimer,
}

/// Runs the state machine that keeps the view of one node.
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
        let ids = CallIds::from(FIRST_CALL_ID);
        let machine = ViewManager::new(args.node, args.seeds, ids, args.seed);
        myself.cast(ViewMessage::Wake)?;
        Ok(ViewState {
            machine,
            store: args.store,
            peers: args.peers,
            prober: args.prober,
            clock: args.clock,
            updates: args.updates,
            pending_edits: BTreeMap::new(),
            next_edit_id: 0,
            withdrawn_count: 0,
            wake_timer: WakeTimer::default(),
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
            ViewMessage::Wake => ViewEvent::Tick,
            ViewMessage::Event(event) => event,
            ViewMessage::Submit(edit, reply_port) => state.register_edit(edit, reply_port),
        };
        let actions = state.machine.handle(now, event);
        let adopted = state.execute(&myself, actions);
        state.send_update(now, adopted);
        state.wake_timer.set(now, state.machine.wake_at(), &myself, ViewMessage::Wake);
        Ok(())
    }
}

impl ViewState {
    fn register_edit(&mut self, edit: Edit, reply_port: RpcReplyPort<EditOutcome>) -> ViewEvent {
        let id = EditId(self.next_edit_id);
        self.next_edit_id += 1;
        self.pending_edits.insert(id, reply_port);
        ViewEvent::Submit { id, edit }
    }

    /// Executes actions; returns whether a newer view was adopted.
    fn execute(&mut self, myself: &ActorRef<ViewMessage>, actions: ViewActions) -> bool {
        let mut adopted = false;
        for action in actions {
            match action {
                ViewAction::Call { id, step, call } => {
                    log::trace!(target: "view", step:%; "calling the store");
                    let (store, myself) = (self.store.clone(), myself.clone());
                    tokio::spawn(async move {
                        let reply = store.call(&call).await;
                        let _ = myself.cast(ViewMessage::Event(ViewEvent::Reply { id, reply }));
                    });
                }
                ViewAction::Send { to, message, .. } => {
                    self.peers.send(to, &Message::View(message));
                }
                ViewAction::Probe { id, step, addr } => {
                    log::debug!(target: "view", step:%, addr:%; "probing a voter");
                    let (prober, myself) = (self.prober.clone(), myself.clone());
                    tokio::spawn(async move {
                        let reply = prober.probe(addr).await;
                        let _ = myself.cast(ViewMessage::Event(ViewEvent::Probed { id, reply }));
                    });
                }
                ViewAction::Accepted { edit, seq } => {
                    self.complete_edit(edit, EditOutcome::Accepted(seq));
                }
                ViewAction::Rejected { edit, error } => {
                    self.complete_edit(edit, EditOutcome::Rejected(error));
                }
                ViewAction::Adopted(seq) => {
                    log::info!(target: "view", seq = seq.0; "adopted a view");
                    adopted = true;
                }
            }
        }
        adopted
    }

    fn complete_edit(&mut self, edit: EditId, outcome: EditOutcome) {
        if let Some(reply_port) = self.pending_edits.remove(&edit) {
            let _ = reply_port.send(outcome);
        }
    }

    fn send_update(&mut self, now: Time, adopted: bool) {
        let local_view = self.machine.local_view();
        let view_status = self.machine.check(now);
        let root = local_view.root().filter(|_| adopted).cloned();
        let withdrawn = self.new_withdrawals();
        let update = ViewUpdate {
            fresh_until: fresh_until(now, view_status),
            by_platform: matches!(view_status, ViewStatus::Platform(_)),
            relay: self.machine.is_relay(),
            withdrawn,
            adopted: root.map(|root| (root, self.machine.local_view().snapshot().clone())),
        };
        let _ = self.updates.send(update);
    }

    fn new_withdrawals(&mut self) -> Option<BTreeSet<KeyHash>> {
        let keys = self.machine.local_view().withdrawn_keys();
        if keys.len() == self.withdrawn_count {
            return None;
        }
        self.withdrawn_count = keys.len();
        Some(keys)
    }
}

/// End of the time in which the view counts as confirmed.
fn fresh_until(now: Time, view_status: ViewStatus) -> Time {
    match view_status {
        ViewStatus::Platform(age) | ViewStatus::Majority(age) => {
            now.saturating_sub(age) + MAX_VIEW_AGE
        }
        ViewStatus::Stale => Time::ZERO,
    }
}

/// Constructors for events from peers and the membership.
impl ViewMessage {
    /// A message from a peer.
    pub fn peer(from: SocketAddr, message: PeerMessage) -> ViewMessage {
        ViewMessage::Event(ViewEvent::Peer { from, message })
    }

    /// The members that are believed to be live.
    pub fn members(members: Vec<Node>) -> ViewMessage {
        ViewMessage::Event(ViewEvent::Members(members))
    }

    /// A blob made on this node that is about to be published.
    pub fn hold(blob: Blob) -> ViewMessage {
        ViewMessage::Event(ViewEvent::AddBlob(blob))
    }

    /// An incarnation that is proved to have stopped.
    pub fn proved_stopped(node: Incarnation) -> ViewMessage {
        ViewMessage::Event(ViewEvent::ProvedStopped(node))
    }
}
