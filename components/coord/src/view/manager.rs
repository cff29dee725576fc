//! Manages one node's view: adopts, confirms, distributes and edits it.

mod heartbeats;
mod maintenance;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{
    document::{EditId, Editor, EditorAction},
    guards::Guards,
    ident::{Incarnation, Node},
    order::ProbeReply,
    step::{Protocol, Step},
    store::{CallId, CallIds, StoreCall, StoreReply},
    view::{
        acceptance::Acceptance,
        blob::{Blob, Digest, blob_key},
        freshness::{Freshness, ViewStatus},
        gossip::Gossip,
        heartbeat::PeerMessage,
        local_view::{LocalView, OfferOutcome},
        overlay::Overlay,
        root::{Edit, EditError, ROOT_KEY, Root, Seq},
        watch::{RootWatch, WatchAction},
    },
};

/// An input of a [`ViewManager`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewEvent {
    /// The members that are presumed live, including this node.
    Members(Vec<Node>),
    /// A message from another node.
    Peer {
        /// The sender's address.
        from: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// The store's reply to a call.
    Reply {
        /// The call.
        id: CallId,
        /// The reply.
        reply: StoreReply,
    },
    /// A request to edit the root.
    Submit {
        /// Matches the outcome.
        id: EditId,
        /// The edit.
        edit: Edit,
    },
    /// A local blob that is about to be published.
    AddBlob(Blob),
    /// The result of a probe.
    Probed {
        /// The probe.
        id: CallId,
        /// The result.
        reply: ProbeReply,
    },
    /// Proof that an incarnation no longer runs: an operator's statement or its
    /// own release.
    ProvedStopped(Incarnation),
    /// The time of [`ViewManager::wake_at`] was reached.
    Tick,
}

/// An action or result of a [`ViewManager`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewAction {
    /// Make this call to the store.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The protocol step of the call.
        step: Step,
        /// The call.
        call: StoreCall,
    },
    /// Send a message to another node; it may be lost.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The protocol step of the message.
        step: Step,
        /// The message.
        message: PeerMessage,
    },
    /// Connect to an address and ask which process listens there.
    Probe {
        /// Matches the result.
        id: CallId,
        /// The protocol step of the probe.
        step: Step,
        /// The address.
        addr: SocketAddr,
    },
    /// An edit is accepted: every node that serves applies it within
    /// [`MAX_VIEW_AGE`](crate::view::MAX_VIEW_AGE).
    Accepted {
        /// The edit.
        edit: EditId,
        /// The first root that contains it.
        seq: Seq,
    },
    /// An edit was rejected and will not be made.
    Rejected {
        /// The edit.
        edit: EditId,
        /// The reason.
        error: EditError,
    },
    /// This node adopted a newer view.
    Adopted(Seq),
}

/// The actions returned by one method call.
pub type ViewActions = SmallVec<[ViewAction; 4]>;

/// Interval between maintenance runs, and between attempts to fetch missing blobs.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// How long the selection of voters must stay the same before it is written.
const VOTER_CHANGE_DELAY: Duration = Duration::from_secs(3);

/// Without confirmation by the platform for this time, heartbeats include the voters'
/// confirmations.
const VOTER_AGES_DELAY: Duration = Duration::from_millis(1_500);

/// The id of edits that the [`ViewManager`] makes itself; their outcomes are not reported.
const INTERNAL_EDIT: EditId = EditId(u64::MAX);

/// The state machine of one node's view.
#[derive(Debug, Clone)]
pub struct ViewManager {
    me: Node,
    guards: Guards,
    ids: CallIds,
    local: LocalView,
    freshness: Freshness,
    gossip: Gossip,
    watch: RootWatch,
    editor: Editor<Root>,
    acceptance: Acceptance,
    overlay: Overlay,
    members: Vec<Node>,
    unaccepted: Vec<(EditId, Seq)>,
    /// A confirmation by the platform of a root whose blobs are still missing here.
    early_confirmation: Option<(Seq, Time)>,
    fetching: BTreeMap<CallId, Digest>,
    probes: BTreeMap<CallId, Incarnation>,
    fetch_started: Option<Time>,
    /// Senders of the incoming root; they get a heartbeat once it is adopted.
    sources: SmallVec<[SocketAddr; 4]>,
    /// The selection of voters that differs from the root's, and since when it is unchanged.
    proposed_voters: Option<(Vec<Node>, Time)>,
    next_maintenance: Time,
}

impl ViewManager {
    /// Creates a node without a view.
    ///
    /// `seed_addrs` are addresses of other nodes from the settings, `ids` allocates
    /// the ids of its calls, and `seed` seeds the jitter of its retry delays.
    pub fn new(me: Node, seed_addrs: Vec<SocketAddr>, ids: CallIds, seed: u64) -> ViewManager {
        ViewManager {
            freshness: Freshness::new(me.incarnation),
            gossip: Gossip::new(me.clone(), seed_addrs),
            watch: RootWatch::new(seed),
            editor: Editor::new(ROOT_KEY.to_owned(), seed ^ 1),
            local: LocalView::default(),
            acceptance: Acceptance::default(),
            overlay: Overlay::default(),
            members: Vec::new(),
            unaccepted: Vec::new(),
            early_confirmation: None,
            fetching: BTreeMap::new(),
            probes: BTreeMap::new(),
            fetch_started: None,
            sources: SmallVec::new(),
            proposed_voters: None,
            next_maintenance: Time::ZERO,
            guards: Guards::default(),
            me,
            ids,
        }
    }

    /// Sets which protections are on; tests use this to check that violations are found.
    pub fn with_guards(self, guards: Guards) -> ViewManager {
        ViewManager { guards, ..self }
    }

    /// Whether requests with an API key may be dispatched now.
    pub fn check(&self, now: Time) -> ViewStatus {
        if !self.guards.freshness {
            return ViewStatus::Platform(Duration::ZERO);
        }
        self.freshness.check(now)
    }

    /// The view of this node.
    pub fn local_view(&self) -> &LocalView {
        &self.local
    }

    /// Whether this node watches the root in the store on behalf of other nodes.
    pub fn is_relay(&self) -> bool {
        self.overlay.relay
    }

    /// When [`ViewEvent::Tick`] is due.
    pub fn wake_at(&self) -> Time {
        self.next_maintenance
            .min(self.gossip.wake_at())
            .min(self.watch.wake_at())
            .min(self.editor.wake_at())
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Time, event: ViewEvent) -> ViewActions {
        let mut out = ViewActions::new();
        match event {
            ViewEvent::Members(members) => self.set_members(members),
            ViewEvent::Peer { from, message } => self.receive(now, from, message, &mut out),
            ViewEvent::Reply { id, reply } => self.reply(now, id, &reply, &mut out),
            ViewEvent::Submit { id, edit } => self.submit(now, id, edit, &mut out),
            ViewEvent::AddBlob(blob) => {
                let offer = self.local.add_blob(blob);
                self.handle_offer(now, offer, &mut out);
            }
            ViewEvent::Probed { id, reply } => self.probed(id, &reply),
            ViewEvent::ProvedStopped(incarnation) => self.acceptance.note_stopped(incarnation),
            ViewEvent::Tick => {}
        }
        self.report_accepted(&mut out);
        self.run_timers(now, &mut out);
        out
    }

    fn set_members(&mut self, members: Vec<Node>) {
        self.overlay = Overlay::plan(&self.me, &members);
        self.watch.set_active(self.overlay.relay);
        self.gossip.set_overlay(self.overlay.clone());
        self.members = members;
    }

    fn submit(&mut self, now: Time, id: EditId, edit: Edit, out: &mut ViewActions) {
        if let Edit::Withdraw(keys) = &edit
            && self.local.withdraw(keys)
        {
            self.send_withdrawn(now, None, out);
        }
        self.editor.submit(id, edit);
    }

    fn reply(&mut self, now: Time, id: CallId, reply: &StoreReply, out: &mut ViewActions) {
        if let Some(digest) = self.fetching.remove(&id) {
            self.handle_blob_reply(now, digest, reply, out);
        } else if let Some(actions) = self.watch.reply(now, &mut self.ids, id, reply) {
            self.handle_watch(now, actions, out);
        } else if let Some(actions) = self.editor.reply(now, &mut self.ids, id, reply) {
            self.handle_editor(now, actions, out);
        }
    }

    fn handle_blob_reply(
        &mut self,
        now: Time,
        digest: Digest,
        reply: &StoreReply,
        out: &mut ViewActions,
    ) {
        let StoreReply::Found(Some(object)) = reply else {
            return;
        };
        match Blob::check(digest, object.value.clone()) {
            Ok(blob) => {
                let offer = self.local.add_blob(blob);
                self.handle_offer(now, offer, out);
            }
            Err(error) => {
                log::error!(target: "view", error:% = error; "stored blob is corrupted")
            }
        }
    }

    fn handle_watch(
        &mut self,
        now: Time,
        actions: impl IntoIterator<Item = WatchAction>,
        out: &mut ViewActions,
    ) {
        for action in actions {
            match action {
                WatchAction::Call { id, step, call } => {
                    out.push(ViewAction::Call { id, step, call });
                }
                WatchAction::Seen { root: Some(root), called_at } => {
                    self.observe_root(now, &root, called_at, out);
                }
                WatchAction::Seen { root: None, called_at } => {
                    self.confirm(now, Seq(0), called_at, out)
                }
            }
        }
    }

    fn handle_editor(
        &mut self,
        now: Time,
        actions: impl IntoIterator<Item = EditorAction<Root, EditError>>,
        out: &mut ViewActions,
    ) {
        for action in actions {
            match action {
                EditorAction::Call { id, step, call } => {
                    out.push(ViewAction::Call { id, step, call });
                }
                EditorAction::Written { edit: INTERNAL_EDIT, .. }
                | EditorAction::Rejected { edit: INTERNAL_EDIT, .. } => {}
                EditorAction::Written { edit, document } => {
                    self.unaccepted.push((edit, document.seq));
                    self.next_maintenance = now;
                }
                EditorAction::Rejected { edit, error } => {
                    out.push(ViewAction::Rejected { edit, error });
                }
                EditorAction::Seen { document, called_at } => {
                    self.observe_root(now, &document, called_at, out);
                }
            }
        }
    }

    fn observe_root(&mut self, now: Time, root: &Root, called_at: Time, out: &mut ViewActions) {
        let offer = self.local.offer(root);
        self.handle_offer(now, offer, out);
        self.confirm(now, root.seq, called_at, out);
    }

    fn confirm(&mut self, now: Time, seq: Seq, at: Time, out: &mut ViewActions) {
        if self.local.seq() < seq {
            self.early_confirmation = Some((seq, at));
            return;
        }
        if self.freshness.confirm_platform(at) {
            let heartbeats = self.gossip.relay_confirmation(now);
            self.send_heartbeats(now, heartbeats, out);
        }
    }

    fn handle_offer(&mut self, now: Time, offer: OfferOutcome, out: &mut ViewActions) {
        match offer {
            OfferOutcome::NotNewer => {}
            OfferOutcome::Adopted => self.handle_adopted(now, out),
            OfferOutcome::Missing(digests) => self.fetch(now, digests, out),
            OfferOutcome::Invalid(error) => {
                log::error!(
                    target: "view",
                    error:% = error;
                    "cannot assemble the incoming view; keeping view {}",
                    self.local.seq().0
                );
            }
        }
    }

    fn handle_adopted(&mut self, now: Time, out: &mut ViewActions) {
        let Some(root) = self.local.root().cloned() else {
            return;
        };
        self.fetch_started = None;
        if !self.unaccepted.is_empty() {
            // Sends edits written by this node to the voters without delay.
            self.next_maintenance = now;
        }
        self.freshness.adopt_voters(&root.voters);
        self.gossip.set_voters(&root.voters);
        self.acceptance.retain(&root.voters);
        self.acceptance.note_held(self.me.incarnation, root.seq);
        out.push(ViewAction::Adopted(root.seq));
        self.send_root(&root, out);
        for from in std::mem::take(&mut self.sources) {
            let heartbeat = self.gossip.heartbeat_to(now, from);
            self.send_heartbeats(now, [heartbeat], out);
        }
        if let Some((seq, at)) = self.early_confirmation.take() {
            self.confirm(now, seq, at, out);
        }
    }

    fn send_root(&mut self, root: &Root, out: &mut ViewActions) {
        for to in self.gossip.lagging(root.seq) {
            if !self.sources.contains(&to) {
                self.gossip.record_root_sent(to, root.seq);
                send(out, to, "spread root", PeerMessage::Root(Box::new(root.clone())));
            }
        }
    }

    fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: PeerMessage,
        out: &mut ViewActions,
    ) {
        match message {
            PeerMessage::Beat(heartbeat) => self.receive_heartbeat(now, from, &heartbeat, out),
            PeerMessage::Root(root) => {
                self.gossip.record_root_sent(from, root.seq);
                let offer = self.local.offer(&root);
                if offer != OfferOutcome::NotNewer && !self.sources.contains(&from) {
                    self.sources.push(from);
                }
                if offer == OfferOutcome::NotNewer {
                    let heartbeat = self.gossip.heartbeat_to(now, from);
                    self.send_heartbeats(now, [heartbeat], out);
                }
                self.handle_offer(now, offer, out);
            }
            PeerMessage::Want(digests) => {
                let blobs: Vec<Blob> =
                    digests.iter().filter_map(|digest| self.local.blob(digest)).cloned().collect();
                if !blobs.is_empty() {
                    send(out, from, "send blobs", PeerMessage::Blobs(blobs));
                }
            }
            PeerMessage::Blobs(blobs) => {
                for blob in blobs {
                    let checked = Blob::check(blob.digest(), blob.bytes().to_vec());
                    let wanted = self.local.missing().contains(&blob.digest());
                    if checked.is_ok() && wanted {
                        let offer = self.local.add_blob(blob);
                        self.handle_offer(now, offer, out);
                    }
                }
            }
            PeerMessage::Withdrawn(keys) => {
                if self.local.withdraw(&keys) {
                    self.send_withdrawn(now, Some(from), out);
                }
            }
        }
    }

    fn send_withdrawn(&mut self, now: Time, except: Option<SocketAddr>, out: &mut ViewActions) {
        for to in self.gossip.active_peers(now) {
            if Some(to) != except {
                let keys = self.local.pending_withdrawals().clone();
                send(out, to, "spread withdrawn", PeerMessage::Withdrawn(keys));
            }
        }
    }

    fn fetch(&mut self, now: Time, digests: Vec<Digest>, out: &mut ViewActions) {
        // Later offers do not delay the next attempt, since the source may have stopped.
        self.fetch_started.get_or_insert(now);
        if let Some(from) = self.sources.last() {
            send(out, *from, "want blobs", PeerMessage::Want(digests));
            return;
        }
        for digest in digests {
            if self.fetching.values().any(|pending| *pending == digest) {
                continue;
            }
            let id = self.ids.next_id();
            self.fetching.insert(id, digest);
            let step = Step::new(Protocol::View, "read blob");
            let call = StoreCall::Get { key: blob_key(&digest) };
            out.push(ViewAction::Call { id, step, call });
        }
    }

    /// Reports written edits that have become accepted.
    fn report_accepted(&mut self, out: &mut ViewActions) {
        let Some(root) = self.local.root() else {
            return;
        };
        let (held, voters) = (root.seq, &root.voters);
        let (acceptance, guards) = (&self.acceptance, self.guards);
        self.unaccepted.retain(|(edit, seq)| {
            let by_majority = !guards.acceptance || acceptance.accepts(voters, *seq);
            let accepted = held >= *seq && by_majority;
            if accepted {
                out.push(ViewAction::Accepted { edit: *edit, seq: *seq });
            }
            !accepted
        });
    }

    fn run_timers(&mut self, now: Time, out: &mut ViewActions) {
        let heartbeats = self.gossip.tick(now, self.freshness.platform_confirmed_at());
        self.send_heartbeats(now, heartbeats, out);
        let actions = self.watch.advance(now, &mut self.ids);
        self.handle_watch(now, actions, out);
        let actions = self.editor.advance(now, &mut self.ids);
        self.handle_editor(now, actions, out);
        if now < self.next_maintenance {
            return;
        }
        self.next_maintenance = now + MAINTENANCE_INTERVAL;
        self.retry_fetch(now, out);
        self.send_root_to_voters(out);
        if self.overlay.relay {
            self.submit_withdrawn();
        }
        if self.overlay.manages_voters {
            self.update_voters(now);
        }
    }
}

fn send(out: &mut ViewActions, to: SocketAddr, name: &'static str, message: PeerMessage) {
    out.push(ViewAction::Send { to, step: Step::new(Protocol::View, name), message });
}
