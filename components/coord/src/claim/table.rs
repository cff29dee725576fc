//! Claims requests in the store before they are dispatched.
//!
//! Waiting requests of one stripe are claimed with one write. A request whose
//! claim is not confirmed by its deadline is not dispatched. Its claim may still
//! be stored, and another attempt may have run, so the answer is "unknown".

use std::collections::BTreeMap;

use chervilgate_clock::Time;
use sha2::{Digest as _, Sha256};
use smallvec::SmallVec;

use crate::{
    claim::stripe::{CLAIM_RETENTION, Claim, ClaimError, Stripe, StripeEdit},
    document::{EditId, Editor, EditorAction, EditorActions},
    guards::Guards,
    ident::Incarnation,
    step::Step,
    store::{CallId, CallIds, StoreCall, StoreReply},
};

/// Number of objects over which claims are spread.
const STRIPE_COUNT: u8 = 64;

/// Matches a request with its decision; chosen by the caller of [`ClaimTable::claim`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A call to make, or the decision on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Call the store.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The protocol step, for logs and tests.
        step: Step,
        /// The call.
        call: StoreCall,
    },
    /// Dispatch the request: its claim is stored.
    Run(Ticket),
    /// Answer "unknown": the request was claimed before.
    Taken(Ticket),
    /// Do not dispatch the request: it could not be claimed in time, or the
    /// stripe is full. Another attempt of the caller may have run, so answer
    /// "unknown"; a resend under the same key is safe.
    Refused(Ticket),
}

/// Actions that result from one event.
pub type ClaimActions = SmallVec<[ClaimAction; 4]>;

/// The last seen `turns` of a stripe, and since when it has been unchanged.
#[derive(Debug, Clone, Copy)]
struct ObservedTurns {
    turns: u64,
    since: Time,
}

/// Claims requests on behalf of one process.
#[derive(Debug, Clone)]
pub struct ClaimTable {
    me: Incarnation,
    guards: Guards,
    ids: CallIds,
    seed: u64,
    /// The last number given to a claim attempt or an edit.
    last_number: u64,
    editors: BTreeMap<u8, Editor<Stripe>>,
    /// The stripe, edit and deadline of each undecided request.
    waiting: BTreeMap<Ticket, (u8, EditId, Time)>,
    observed: BTreeMap<u8, ObservedTurns>,
}

impl ClaimTable {
    /// Creates a table without claims; `ids` allocates the ids of store calls.
    pub fn new(me: Incarnation, ids: CallIds, seed: u64) -> ClaimTable {
        ClaimTable {
            me,
            guards: Guards::default(),
            ids,
            seed,
            last_number: 0,
            editors: BTreeMap::new(),
            waiting: BTreeMap::new(),
            observed: BTreeMap::new(),
        }
    }

    /// Sets which protections are on, for tests that check that each is needed.
    pub fn with_guards(self, guards: Guards) -> ClaimTable {
        ClaimTable { guards, ..self }
    }

    /// Claims a request; the decision follows by `deadline` at the latest.
    pub fn claim(
        &mut self,
        now: Time,
        ticket: Ticket,
        organisation: &str,
        key: &str,
        deadline: Time,
    ) -> ClaimActions {
        if !self.guards.claim {
            return ClaimActions::from_iter([ClaimAction::Run(ticket)]);
        }
        let digest = key_digest(organisation, key);
        let stripe = digest[0] % STRIPE_COUNT;
        self.last_number += 1;
        let claim = Claim { digest, claimer: self.me, attempt: self.last_number };
        let edit = EditId(self.last_number);
        self.waiting.insert(ticket, (stripe, edit, deadline));
        let seed = self.seed ^ u64::from(stripe);
        let editor = self
            .editors
            .entry(stripe)
            .or_insert_with(|| Editor::new(format!("claims/{stripe:02x}"), seed));
        editor.submit(edit, StripeEdit::Add(claim));
        let actions = editor.advance(now, &mut self.ids);
        self.handle_actions(now, stripe, actions)
    }

    /// When [`ClaimTable::advance`] is due again.
    pub fn wake_at(&self) -> Time {
        let deadlines = self.waiting.values().map(|(_, _, deadline)| *deadline);
        let editors = self.editors.values().map(Editor::wake_at);
        deadlines.chain(editors).min().unwrap_or(Time::NEVER)
    }

    /// Refuses requests past their deadline, and makes the calls that are due.
    pub fn advance(&mut self, now: Time) -> ClaimActions {
        let mut out = ClaimActions::new();
        let expired = |(_, (_, _, deadline)): &(&Ticket, &(u8, EditId, Time))| *deadline <= now;
        let tickets: Vec<Ticket> =
            self.waiting.iter().filter(expired).map(|(ticket, _)| *ticket).collect();
        for ticket in tickets {
            if let Some((stripe, edit, _)) = self.waiting.remove(&ticket)
                && let Some(editor) = self.editors.get_mut(&stripe)
            {
                editor.cancel(edit);
            }
            out.push(ClaimAction::Refused(ticket));
        }
        let stripes: Vec<u8> = self.editors.keys().copied().collect();
        for stripe in stripes {
            if let Some(editor) = self.editors.get_mut(&stripe) {
                let actions = editor.advance(now, &mut self.ids);
                out.extend(self.handle_actions(now, stripe, actions));
            }
        }
        out
    }

    /// Handles a store reply; `None` if its call is not pending here.
    pub fn reply(&mut self, now: Time, id: CallId, reply: &StoreReply) -> Option<ClaimActions> {
        let ids = &mut self.ids;
        let mut found = None;
        for (stripe, editor) in &mut self.editors {
            if let Some(actions) = editor.reply(now, ids, id, reply) {
                found = Some((*stripe, actions));
                break;
            }
        }
        let (stripe, actions) = found?;
        Some(self.handle_actions(now, stripe, actions))
    }

    fn handle_actions(
        &mut self,
        now: Time,
        stripe: u8,
        actions: EditorActions<Stripe>,
    ) -> ClaimActions {
        let mut out = ClaimActions::new();
        for action in actions {
            match action {
                EditorAction::Call { id, step, call } => {
                    out.push(ClaimAction::Call { id, step, call });
                }
                EditorAction::Written { edit, .. } => {
                    out.extend(self.finish(edit).map(ClaimAction::Run));
                }
                EditorAction::Rejected { edit, error: ClaimError::Taken } => {
                    out.extend(self.finish(edit).map(ClaimAction::Taken));
                }
                EditorAction::Rejected { edit, error: ClaimError::Full } => {
                    out.extend(self.finish(edit).map(ClaimAction::Refused));
                }
                EditorAction::Seen { document, .. } => self.rotate(now, stripe, document.turns),
            }
        }
        out
    }

    fn finish(&mut self, edit: EditId) -> Option<Ticket> {
        let ticket = self.waiting.iter().find(|(_, (_, id, _))| *id == edit).map(|(at, _)| *at)?;
        self.waiting.remove(&ticket);
        Some(ticket)
    }

    /// Drops a stripe's older half if no process has done so for [`CLAIM_RETENTION`].
    fn rotate(&mut self, now: Time, stripe: u8, turns: u64) {
        let observed = self.observed.entry(stripe).or_insert(ObservedTurns { turns, since: now });
        if observed.turns != turns {
            *observed = ObservedTurns { turns, since: now };
        }
        if now - observed.since < CLAIM_RETENTION {
            return;
        }
        observed.since = now;
        self.last_number += 1;
        if let Some(editor) = self.editors.get_mut(&stripe) {
            editor.submit(EditId(self.last_number), StripeEdit::Rotate(turns));
        }
    }
}

fn key_digest(organisation: &str, key: &str) -> [u8; 16] {
    let mut hash = Sha256::new();
    hash.update((organisation.len() as u64).to_be_bytes());
    hash.update(organisation);
    hash.update(key);
    let digest: [u8; 32] = hash.finalize().into();
    std::array::from_fn(|index| digest[index])
}
