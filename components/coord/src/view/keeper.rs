//! Keeps one node's view: adopts, confirms, spreads and edits it.

mod beats;
mod duties;

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
        beat::PeerMessage,
        blob::{Blob, Digest, blob_key},
        freshness::{Freshness, Verdict},
        holder::{Holder, Offer},
        overlay::Overlay,
        root::{Edit, EditError, ROOT_KEY, Root, Seq},
        spread::Spread,
        watch::{RootWatch, WatchAction},
    },
};

/// Something that reaches a keeper.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeeperEvent {
    /// The members that are believed live, this node among them.
    Members(Vec<Node>),
    /// A message of another node.
    Peer {
        /// Where it came from.
        from: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// The platform's reply to a call.
    Reply {
        /// The call.
        id: CallId,
        /// The reply.
        reply: StoreReply,
    },
    /// An edit is to be made.
    Submit {
        /// Matches the outcome.
        id: EditId,
        /// The edit.
        edit: Edit,
    },
    /// A blob made here, about to be published.
    Hold(Blob),
    /// What a probe has found.
    Probed {
        /// The probe.
        id: CallId,
        /// The finding.
        reply: ProbeReply,
    },
    /// An incarnation is proved to run no more, by an operator's word or by
    /// its own release.
    ProvedOut(Incarnation),
    /// The time of [`Keeper::wake_at`] has come.
    Tick,
}

/// Something that a keeper wants done, or has to tell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeeperAction {
    /// Call the platform.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The step it is.
        step: Step,
        /// The call.
        call: StoreCall,
    },
    /// Send a message to another node; it may be lost.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The step it is.
        step: Step,
        /// The message.
        message: PeerMessage,
    },
    /// Connect to an address and ask which process listens there.
    Probe {
        /// Matches the finding.
        id: CallId,
        /// The step it is.
        step: Step,
        /// The address.
        addr: SocketAddr,
    },
    /// An edit is accepted: it holds everywhere from now on, within
    /// [`FRESH_SPAN`](crate::view::FRESH_SPAN).
    Accepted {
        /// The edit.
        edit: EditId,
        /// The root that made it.
        seq: Seq,
    },
    /// An edit was not made and will not be.
    Rejected {
        /// The edit.
        edit: EditId,
        /// Why.
        error: EditError,
    },
    /// A newer view is in force here.
    Adopted(Seq),
}

/// Actions of one step.
pub type KeeperActions = SmallVec<[KeeperAction; 4]>;

/// Between two attempts to get what is missing, or to spread what is due.
const RETRY_SPAN: Duration = Duration::from_secs(1);

/// How long a wish for other voters has to last.
const ELECT_SPAN: Duration = Duration::from_secs(3);

/// Without the platform's confirmation for this long, beats name the voters'.
const VOTERS_SPAN: Duration = Duration::from_millis(1_500);

/// Edits of the keeper's own; outcomes are told to nobody.
const OWN_EDIT: EditId = EditId(u64::MAX);

/// One node's view of what all have to know alike.
#[derive(Debug, Clone)]
pub struct Keeper {
    me: Node,
    guards: Guards,
    ids: CallIds,
    holder: Holder,
    freshness: Freshness,
    spread: Spread,
    watch: RootWatch,
    writer: Editor<Root>,
    acceptance: Acceptance,
    overlay: Overlay,
    members: Vec<Node>,
    written: Vec<(EditId, Seq)>,
    /// A confirmation by the platform of a root that is not whole here yet.
    ahead: Option<(Seq, Time)>,
    fetching: BTreeMap<CallId, Digest>,
    probes: BTreeMap<CallId, Incarnation>,
    fetched_at: Option<Time>,
    /// Who has sent the root that is on its way, and wants to hear of it.
    sources: SmallVec<[SocketAddr; 4]>,
    wish: Option<(Vec<Node>, Time)>,
    next: Time,
}

impl Keeper {
    /// A node that holds nothing yet.
    ///
    /// `seeds` are addresses of other nodes from the settings, `ids` numbers
    /// its calls, and `seed` is for the jitter of its delays.
    pub fn new(me: Node, seeds: Vec<SocketAddr>, ids: CallIds, seed: u64) -> Keeper {
        Keeper {
            freshness: Freshness::new(me.incarnation),
            spread: Spread::new(me.clone(), seeds),
            watch: RootWatch::new(seed),
            writer: Editor::new(ROOT_KEY.to_owned(), seed ^ 1),
            holder: Holder::default(),
            acceptance: Acceptance::default(),
            overlay: Overlay::default(),
            members: Vec::new(),
            written: Vec::new(),
            ahead: None,
            fetching: BTreeMap::new(),
            probes: BTreeMap::new(),
            fetched_at: None,
            sources: SmallVec::new(),
            wish: None,
            next: Time::ZERO,
            guards: Guards::default(),
            me,
            ids,
        }
    }

    /// Switches protections off, for tests of the tests.
    pub fn with_guards(self, guards: Guards) -> Keeper {
        Keeper { guards, ..self }
    }

    /// Whether keyed work may be dispatched now.
    pub fn check(&self, now: Time) -> Verdict {
        if !self.guards.freshness {
            return Verdict::Platform(Duration::ZERO);
        }
        self.freshness.check(now)
    }

    /// What this node holds.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Whether this node watches the platform for others.
    pub fn is_relay(&self) -> bool {
        self.overlay.relay
    }

    /// When [`KeeperEvent::Tick`] is due.
    pub fn wake_at(&self) -> Time {
        self.next.min(self.spread.wake_at()).min(self.watch.wake_at()).min(self.writer.wake_at())
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Time, event: KeeperEvent) -> KeeperActions {
        let mut out = KeeperActions::new();
        match event {
            KeeperEvent::Members(members) => self.set_members(members),
            KeeperEvent::Peer { from, message } => self.hear(now, from, message, &mut out),
            KeeperEvent::Reply { id, reply } => self.reply(now, id, &reply, &mut out),
            KeeperEvent::Submit { id, edit } => self.submit(now, id, edit, &mut out),
            KeeperEvent::Hold(blob) => {
                let offer = self.holder.store(blob);
                self.note_offer(now, offer, &mut out);
            }
            KeeperEvent::Probed { id, reply } => self.probed(id, &reply),
            KeeperEvent::ProvedOut(node) => self.acceptance.note_out(node),
            KeeperEvent::Tick => {}
        }
        self.settle(&mut out);
        self.run_timers(now, &mut out);
        out
    }

    fn set_members(&mut self, members: Vec<Node>) {
        self.overlay = Overlay::plan(&self.me, &members);
        self.watch.set_active(self.overlay.relay);
        self.spread.set_overlay(self.overlay.clone());
        self.members = members;
    }

    fn submit(&mut self, now: Time, id: EditId, edit: Edit, out: &mut KeeperActions) {
        if let Edit::Withdraw(keys) = &edit
            && self.holder.withdraw(keys)
        {
            self.tell_pending(now, None, out);
        }
        self.writer.submit(id, edit);
    }

    fn reply(&mut self, now: Time, id: CallId, reply: &StoreReply, out: &mut KeeperActions) {
        if let Some(digest) = self.fetching.remove(&id) {
            self.fetch_replied(now, digest, reply, out);
        } else if let Some(actions) = self.watch.reply(now, &mut self.ids, id, reply) {
            self.take_watch(now, actions, out);
        } else if let Some(actions) = self.writer.reply(now, &mut self.ids, id, reply) {
            self.take_writer(now, actions, out);
        }
    }

    fn fetch_replied(
        &mut self,
        now: Time,
        digest: Digest,
        reply: &StoreReply,
        out: &mut KeeperActions,
    ) {
        let StoreReply::Found(Some(object)) = reply else {
            return;
        };
        match Blob::check(digest, object.value.clone()) {
            Ok(blob) => {
                let offer = self.holder.store(blob);
                self.note_offer(now, offer, out);
            }
            Err(error) => log::error!(target: "view", error:% = error; "stored blob is damaged"),
        }
    }

    fn take_watch(
        &mut self,
        now: Time,
        actions: impl IntoIterator<Item = WatchAction>,
        out: &mut KeeperActions,
    ) {
        for action in actions {
            match action {
                WatchAction::Call { id, step, call } => {
                    out.push(KeeperAction::Call { id, step, call });
                }
                WatchAction::Seen { root: Some(root), asked } => {
                    self.see_platform(now, &root, asked, out);
                }
                WatchAction::Seen { root: None, asked } => self.confirm(now, Seq(0), asked, out),
            }
        }
    }

    fn take_writer(
        &mut self,
        now: Time,
        actions: impl IntoIterator<Item = EditorAction<Root, EditError>>,
        out: &mut KeeperActions,
    ) {
        for action in actions {
            match action {
                EditorAction::Call { id, step, call } => {
                    out.push(KeeperAction::Call { id, step, call });
                }
                EditorAction::Written { edit: OWN_EDIT, .. }
                | EditorAction::Rejected { edit: OWN_EDIT, .. } => {}
                EditorAction::Written { edit, document } => {
                    self.written.push((edit, document.seq));
                    self.next = now;
                }
                EditorAction::Rejected { edit, error } => {
                    out.push(KeeperAction::Rejected { edit, error });
                }
                EditorAction::Seen { document, asked } => {
                    self.see_platform(now, &document, asked, out);
                }
            }
        }
    }

    fn see_platform(&mut self, now: Time, root: &Root, asked: Time, out: &mut KeeperActions) {
        let offer = self.holder.offer(root);
        self.note_offer(now, offer, out);
        self.confirm(now, root.seq, asked, out);
    }

    fn confirm(&mut self, now: Time, seq: Seq, at: Time, out: &mut KeeperActions) {
        if self.holder.seq() < seq {
            self.ahead = Some((seq, at));
            return;
        }
        if self.freshness.confirm_platform(at) {
            let beats = self.spread.pass_on(now);
            self.send_beats(now, beats, out);
        }
    }

    fn note_offer(&mut self, now: Time, offer: Offer, out: &mut KeeperActions) {
        match offer {
            Offer::Known => {}
            Offer::Adopted => self.adopted(now, out),
            Offer::Missing(digests) => self.fetch(now, digests, out),
            Offer::Broken(error) => {
                log::error!(target: "view", error:% = error; "view cannot be put together");
            }
        }
    }

    fn adopted(&mut self, now: Time, out: &mut KeeperActions) {
        let Some(root) = self.holder.root().cloned() else {
            return;
        };
        self.fetched_at = None;
        if !self.written.is_empty() {
            // Brings what was written here to the voters at once.
            self.next = now;
        }
        self.freshness.adopt(&root.voters);
        self.spread.set_voters(&root.voters);
        self.acceptance.retain(&root.voters);
        self.acceptance.note_held(self.me.incarnation, root.seq);
        out.push(KeeperAction::Adopted(root.seq));
        self.send_root(&root, out);
        for from in std::mem::take(&mut self.sources) {
            let beat = self.spread.answer(now, from);
            self.send_beats(now, [beat], out);
        }
        if let Some((seq, at)) = self.ahead.take() {
            self.confirm(now, seq, at, out);
        }
    }

    fn send_root(&mut self, root: &Root, out: &mut KeeperActions) {
        for to in self.spread.behind(root.seq) {
            if !self.sources.contains(&to) {
                self.spread.note_sent(to, root.seq);
                send(out, to, "spread root", PeerMessage::Root(Box::new(root.clone())));
            }
        }
    }

    fn hear(&mut self, now: Time, from: SocketAddr, message: PeerMessage, out: &mut KeeperActions) {
        match message {
            PeerMessage::Beat(beat) => self.hear_beat(now, from, &beat, out),
            PeerMessage::Root(root) => {
                self.spread.note_sent(from, root.seq);
                let offer = self.holder.offer(&root);
                if offer != Offer::Known && !self.sources.contains(&from) {
                    self.sources.push(from);
                }
                if offer == Offer::Known {
                    let beat = self.spread.answer(now, from);
                    self.send_beats(now, [beat], out);
                }
                self.note_offer(now, offer, out);
            }
            PeerMessage::Want(digests) => {
                let blobs: Vec<Blob> =
                    digests.iter().filter_map(|digest| self.holder.blob(digest)).cloned().collect();
                if !blobs.is_empty() {
                    send(out, from, "send blobs", PeerMessage::Blobs(blobs));
                }
            }
            PeerMessage::Blobs(blobs) => {
                for blob in blobs {
                    let checked = Blob::check(blob.digest(), blob.bytes().to_vec());
                    let wanted = self.holder.missing().contains(&blob.digest());
                    if checked.is_ok() && wanted {
                        let offer = self.holder.store(blob);
                        self.note_offer(now, offer, out);
                    }
                }
            }
            PeerMessage::Withdrawn(keys) => {
                if self.holder.withdraw(&keys) {
                    self.tell_pending(now, Some(from), out);
                }
            }
        }
    }

    fn tell_pending(&mut self, now: Time, except: Option<SocketAddr>, out: &mut KeeperActions) {
        for to in self.spread.neighbours(now) {
            if Some(to) != except {
                let keys = self.holder.pending().clone();
                send(out, to, "spread withdrawn", PeerMessage::Withdrawn(keys));
            }
        }
    }

    fn fetch(&mut self, now: Time, digests: Vec<Digest>, out: &mut KeeperActions) {
        // Later offers do not put the next attempt off: the source may be gone.
        self.fetched_at.get_or_insert(now);
        if let Some(from) = self.sources.last() {
            send(out, *from, "want blobs", PeerMessage::Want(digests));
            return;
        }
        for digest in digests {
            if self.fetching.values().any(|flying| *flying == digest) {
                continue;
            }
            let id = self.ids.next_id();
            self.fetching.insert(id, digest);
            let step = Step::new(Protocol::View, "read blob");
            let call = StoreCall::Get { key: blob_key(&digest) };
            out.push(KeeperAction::Call { id, step, call });
        }
    }

    /// Tells the edits that have become accepted.
    fn settle(&mut self, out: &mut KeeperActions) {
        let Some(root) = self.holder.root() else {
            return;
        };
        let (held, voters) = (root.seq, &root.voters);
        let (acceptance, guards) = (&self.acceptance, self.guards);
        self.written.retain(|(edit, seq)| {
            let by_majority = !guards.acceptance || acceptance.accepts(voters, *seq);
            let accepted = held >= *seq && by_majority;
            if accepted {
                out.push(KeeperAction::Accepted { edit: *edit, seq: *seq });
            }
            !accepted
        });
    }

    fn run_timers(&mut self, now: Time, out: &mut KeeperActions) {
        let beats = self.spread.tick(now, self.freshness.platform());
        self.send_beats(now, beats, out);
        let actions = self.watch.advance(now, &mut self.ids);
        self.take_watch(now, actions, out);
        let actions = self.writer.advance(now, &mut self.ids);
        self.take_writer(now, actions, out);
        if now < self.next {
            return;
        }
        self.next = now + RETRY_SPAN;
        self.retry_fetch(now, out);
        self.push_to_voters(out);
        if self.overlay.relay {
            self.write_pending();
        }
        if self.overlay.first {
            self.keep_voters(now);
        }
    }
}

fn send(out: &mut KeeperActions, to: SocketAddr, name: &'static str, message: PeerMessage) {
    out.push(KeeperAction::Send { to, step: Step::new(Protocol::View, name), message });
}
