//! Claims requests in the platform before they are dispatched.
//!
//! Requests of one stripe that wait share a write. A request whose claim is not
//! certain by its deadline is not dispatched. Its claim may stand in the
//! platform, and another attempt may have run: the answer is "unknown".

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

/// Objects that claims are spread over.
const STRIPES: u8 = 64;

/// Matches a request with its decision; chosen by whoever asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What the table wants done, or has decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableAction {
    /// Call the platform.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The step it is.
        step: Step,
        /// The call.
        call: StoreCall,
    },
    /// Dispatch the request: the claim is this process's.
    Run(Ticket),
    /// Answer "unknown": the request was claimed before.
    Taken(Ticket),
    /// Nothing was dispatched: no claim could be made in time, or there is no
    /// room. Whether another attempt of the caller ran is not known, so answer
    /// "unknown"; a resend under the same key is safe.
    Refused(Ticket),
}

/// Actions of one step.
pub type TableActions = SmallVec<[TableAction; 4]>;

/// Turns of a stripe and since when this process has seen them stand still.
#[derive(Debug, Clone, Copy)]
struct Watched {
    turns: u64,
    since: Time,
}

/// The claims that one process makes.
#[derive(Debug, Clone)]
pub struct ClaimTable {
    me: Incarnation,
    guards: Guards,
    ids: CallIds,
    seed: u64,
    attempts: u64,
    editors: BTreeMap<u8, Editor<Stripe>>,
    waiting: BTreeMap<Ticket, (u8, EditId, Time)>,
    watched: BTreeMap<u8, Watched>,
}

impl ClaimTable {
    /// No claim yet; `ids` numbers the calls.
    pub fn new(me: Incarnation, ids: CallIds, seed: u64) -> ClaimTable {
        ClaimTable {
            me,
            guards: Guards::default(),
            ids,
            seed,
            attempts: 0,
            editors: BTreeMap::new(),
            waiting: BTreeMap::new(),
            watched: BTreeMap::new(),
        }
    }

    /// Switches protections off, for tests of the tests.
    pub fn with_guards(self, guards: Guards) -> ClaimTable {
        ClaimTable { guards, ..self }
    }

    /// Claims a request; it is decided by `deadline` at the latest.
    pub fn claim(
        &mut self,
        now: Time,
        ticket: Ticket,
        organisation: &str,
        key: &str,
        deadline: Time,
    ) -> TableActions {
        if !self.guards.claim {
            return TableActions::from_iter([TableAction::Run(ticket)]);
        }
        let digest = digest_of(organisation, key);
        let stripe = digest[0] % STRIPES;
        self.attempts += 1;
        let claim = Claim { digest, claimer: self.me, attempt: self.attempts };
        let edit = EditId(self.attempts);
        self.waiting.insert(ticket, (stripe, edit, deadline));
        let seed = self.seed ^ u64::from(stripe);
        let editor = self
            .editors
            .entry(stripe)
            .or_insert_with(|| Editor::new(format!("claims/{stripe:02x}"), seed));
        editor.submit(edit, StripeEdit::Add(claim));
        let actions = editor.advance(now, &mut self.ids);
        self.take(now, stripe, actions)
    }

    /// When [`ClaimTable::advance`] is due again.
    pub fn wake_at(&self) -> Time {
        let deadlines = self.waiting.values().map(|(_, _, deadline)| *deadline);
        let editors = self.editors.values().map(Editor::wake_at);
        deadlines.chain(editors).min().unwrap_or(Time::NEVER)
    }

    /// Refuses what is past its deadline, and makes the calls that are due.
    pub fn advance(&mut self, now: Time) -> TableActions {
        let mut out = TableActions::new();
        let late = |(_, (_, _, deadline)): &(&Ticket, &(u8, EditId, Time))| *deadline <= now;
        let over: Vec<Ticket> =
            self.waiting.iter().filter(late).map(|(ticket, _)| *ticket).collect();
        for ticket in over {
            if let Some((stripe, edit, _)) = self.waiting.remove(&ticket)
                && let Some(editor) = self.editors.get_mut(&stripe)
            {
                editor.cancel(edit);
            }
            out.push(TableAction::Refused(ticket));
        }
        let stripes: Vec<u8> = self.editors.keys().copied().collect();
        for stripe in stripes {
            if let Some(editor) = self.editors.get_mut(&stripe) {
                let actions = editor.advance(now, &mut self.ids);
                out.extend(self.take(now, stripe, actions));
            }
        }
        out
    }

    /// Takes a reply; `None` if it belongs to another machine or came late.
    pub fn reply(&mut self, now: Time, id: CallId, reply: &StoreReply) -> Option<TableActions> {
        let ids = &mut self.ids;
        let mut found = None;
        for (stripe, editor) in &mut self.editors {
            if let Some(actions) = editor.reply(now, ids, id, reply) {
                found = Some((*stripe, actions));
                break;
            }
        }
        let (stripe, actions) = found?;
        Some(self.take(now, stripe, actions))
    }

    fn take(&mut self, now: Time, stripe: u8, actions: EditorActions<Stripe>) -> TableActions {
        let mut out = TableActions::new();
        for action in actions {
            match action {
                EditorAction::Call { id, step, call } => {
                    out.push(TableAction::Call { id, step, call });
                }
                EditorAction::Written { edit, .. } => {
                    out.extend(self.end(edit).map(TableAction::Run));
                }
                EditorAction::Rejected { edit, error: ClaimError::Taken } => {
                    out.extend(self.end(edit).map(TableAction::Taken));
                }
                EditorAction::Rejected { edit, error: ClaimError::Full } => {
                    out.extend(self.end(edit).map(TableAction::Refused));
                }
                EditorAction::Seen { document, .. } => self.turn(now, stripe, document.turns),
            }
        }
        out
    }

    fn end(&mut self, edit: EditId) -> Option<Ticket> {
        let ticket = self.waiting.iter().find(|(_, (_, id, _))| *id == edit).map(|(at, _)| *at)?;
        self.waiting.remove(&ticket);
        Some(ticket)
    }

    /// Forgets a stripe's older half once nobody has for the whole retention.
    fn turn(&mut self, now: Time, stripe: u8, turns: u64) {
        let watched = self.watched.entry(stripe).or_insert(Watched { turns, since: now });
        if watched.turns != turns {
            *watched = Watched { turns, since: now };
        }
        if now - watched.since < CLAIM_RETENTION {
            return;
        }
        watched.since = now;
        self.attempts += 1;
        if let Some(editor) = self.editors.get_mut(&stripe) {
            editor.submit(EditId(self.attempts), StripeEdit::Turn(turns));
        }
    }
}

fn digest_of(organisation: &str, key: &str) -> [u8; 16] {
    let mut hash = Sha256::new();
    hash.update((organisation.len() as u64).to_be_bytes());
    hash.update(organisation);
    hash.update(key);
    let digest: [u8; 32] = hash.finalize().into();
    std::array::from_fn(|at| digest[at])
}
