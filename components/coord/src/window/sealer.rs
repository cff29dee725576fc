//! Seals windows, at the owner of their shard.
//!
//! Two owners that both believe in their right may seal at once: the platform
//! keeps the first seal, and both go on from what it keeps.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{
    budget::Backoff,
    codec::{decode, encode},
    guards::Guards,
    ident::Incarnation,
    order::ShardId,
    step::{Protocol, Step},
    store::{CallId, CallIds, Expect, Object, StoreCall, StoreReply, Version},
    view::{Blob, Digest, blob_key},
    window::seal::{Seal, Sealed, Sheet, WindowId, entry_of, seal_key, sheet_prefix},
};

/// Blobs written at the same time.
const MOST_CALLS: usize = 8;

/// The first delay after a call that failed.
const FIRST_DELAY: Duration = Duration::from_millis(200);

/// The longest delay after a call that failed.
const MOST_DELAY: Duration = Duration::from_secs(5);

/// What a sealer wants done, or has to tell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SealerAction {
    /// Call the platform.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The step it is.
        step: Step,
        /// The call.
        call: StoreCall,
    },
    /// The window is sealed; its figures are to be reported under an intent.
    Report {
        /// The window.
        window: WindowId,
        /// The seal as the platform keeps it.
        seal: Seal,
    },
}

/// Actions of one step.
pub type SealerActions = SmallVec<[SealerAction; 4]>;

#[derive(Debug, Clone)]
enum Stage {
    /// Looks for the first window that is not sealed.
    Searching,
    /// Lets the window run.
    Open,
    Listing,
    Storing {
        seal: Seal,
        blobs: BTreeMap<Digest, Blob>,
    },
    Sealing {
        seal: Seal,
    },
}

/// Seals the windows of one shard, one after another.
///
/// Begins anew with each ownership of the shard: earlier seals are found in
/// the platform, and [`SealerAction::Report`] is given for each window from
/// the one that was last reported on.
#[derive(Debug, Clone)]
pub struct Sealer {
    window: WindowId,
    guards: Guards,
    span: Duration,
    stage: Stage,
    flying: BTreeMap<CallId, Option<Digest>>,
    /// The seal that the next one replaces; only without the guard.
    replaced: Option<Version>,
    seal_at: Time,
    retry_at: Time,
    backoff: Backoff,
}

impl Sealer {
    /// Goes on after window `reported`, sealing one every `span`.
    pub fn new(shard: ShardId, reported: u64, span: Duration, seed: u64) -> Sealer {
        Sealer {
            window: WindowId { shard, number: reported + 1 },
            guards: Guards::default(),
            span,
            stage: Stage::Searching,
            flying: BTreeMap::new(),
            replaced: None,
            seal_at: Time::ZERO,
            retry_at: Time::ZERO,
            backoff: Backoff::new(FIRST_DELAY, MOST_DELAY, seed),
        }
    }

    /// Switches protections off, for tests of the tests.
    pub fn with_guards(self, guards: Guards) -> Sealer {
        Sealer { guards, ..self }
    }

    /// The window to be sealed next.
    pub fn window(&self) -> &WindowId {
        &self.window
    }

    /// When [`Sealer::advance`] is due again.
    pub fn wake_at(&self) -> Time {
        match self.stage {
            _ if !self.flying.is_empty() => Time::NEVER,
            Stage::Open => self.seal_at.max(self.retry_at),
            _ => self.retry_at,
        }
    }

    /// Makes the calls that are due.
    pub fn advance(&mut self, now: Time, ids: &mut CallIds) -> SealerActions {
        let mut actions = SealerActions::new();
        if now < self.retry_at {
            return actions;
        }
        if matches!(self.stage, Stage::Open) && now >= self.seal_at {
            self.stage = Stage::Listing;
        }
        self.store_blobs(ids, &mut actions);
        if !self.flying.is_empty() {
            return actions;
        }
        let (name, call) = match &self.stage {
            Stage::Open | Stage::Storing { .. } => return actions,
            Stage::Searching => ("look for seal", StoreCall::Get { key: seal_key(&self.window) }),
            Stage::Listing => {
                ("list sheets", StoreCall::List { prefix: sheet_prefix(&self.window) })
            }
            Stage::Sealing { seal } => {
                let (key, value) = (seal_key(&self.window), encode(seal));
                let expect = self.replaced.map_or(Expect::Absent, Expect::At);
                ("write seal", StoreCall::Put { key, expect, value })
            }
        };
        actions.push(self.fly(ids, None, name, call));
        actions
    }

    /// Takes a reply; `None` if it belongs to another machine or came late.
    pub fn reply(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &StoreReply,
    ) -> Option<SealerActions> {
        let digest = self.flying.remove(&id)?;
        let mut actions = SealerActions::new();
        match (std::mem::replace(&mut self.stage, Stage::Searching), reply) {
            (Stage::Searching, StoreReply::Found(Some(object))) => {
                self.note_seal(now, object, &mut actions);
            }
            (Stage::Searching, StoreReply::Found(None)) => {
                self.seal_at = now + self.span;
                self.stage = Stage::Open;
            }
            (Stage::Listing, StoreReply::Listed { objects, .. }) => self.total(objects),
            (
                Stage::Storing { seal, mut blobs },
                StoreReply::Written(_) | StoreReply::Conflict(Some(_)),
            ) => {
                digest.and_then(|digest| blobs.remove(&digest));
                self.stage = match blobs.is_empty() {
                    true => Stage::Sealing { seal },
                    false => Stage::Storing { seal, blobs },
                };
            }
            (Stage::Sealing { seal }, StoreReply::Written(_)) => {
                self.backoff.reset();
                self.report(now, seal, &mut actions);
            }
            (Stage::Sealing { .. }, StoreReply::Conflict(Some(object))) if !self.guards.seal => {
                self.replaced = Some(object.version);
                self.stage = Stage::Listing;
            }
            (Stage::Sealing { .. }, StoreReply::Conflict(Some(object))) => {
                self.note_seal(now, object, &mut actions);
            }
            // A seal whose answer was lost is tried again: the conflict tells.
            (stage, _) => {
                self.stage = stage;
                self.retry_at = now + self.backoff.fail();
            }
        }
        actions.extend(self.advance(now, ids));
        Some(actions)
    }

    fn store_blobs(&mut self, ids: &mut CallIds, actions: &mut SealerActions) {
        let Stage::Storing { blobs, .. } = &self.stage else {
            return;
        };
        let flies = |digest: &Digest| self.flying.values().any(|at| *at == Some(*digest));
        let free = MOST_CALLS.saturating_sub(self.flying.len());
        let idle = blobs.values().filter(|blob| !flies(&blob.digest())).take(free);
        let calls: Vec<(Digest, StoreCall)> = idle
            .map(|blob| {
                let (key, value) = (blob_key(&blob.digest()), blob.bytes().to_vec());
                (blob.digest(), StoreCall::Put { key, expect: Expect::Absent, value })
            })
            .collect();
        for (digest, call) in calls {
            actions.push(self.fly(ids, Some(digest), "write sealed sheet", call));
        }
    }

    fn total(&mut self, objects: &[Object]) {
        let mut seal = Seal::default();
        let mut blobs = BTreeMap::new();
        for object in objects {
            let entry = entry_of(&self.window, &object.key);
            let sheet = decode::<Sheet>(&object.value);
            let (Some(entry), Ok(sheet)) = (entry, sheet) else {
                log::error!(target: "window", key = object.key.as_str(); "sheet does not decode");
                continue;
            };
            let blob = Blob::new(object.value.clone());
            seal.total.merge(&sheet.tally);
            seal.sheets.insert(entry, Sealed { state: sheet.state, sheet: blob.digest() });
            blobs.insert(blob.digest(), blob);
        }
        self.stage = match blobs.is_empty() {
            true => Stage::Sealing { seal },
            false => Stage::Storing { seal, blobs },
        };
    }

    fn note_seal(&mut self, now: Time, object: &Object, actions: &mut SealerActions) {
        self.backoff.reset();
        match decode::<Seal>(&object.value) {
            Ok(seal) => self.report(now, seal, actions),
            Err(error) => {
                log::error!(target: "window", error:% = error; "seal does not decode");
                self.retry_at = now + MOST_DELAY;
            }
        }
    }

    fn report(&mut self, now: Time, seal: Seal, actions: &mut SealerActions) {
        actions.push(SealerAction::Report { window: self.window.clone(), seal });
        self.window = self.window.next();
        self.replaced = None;
        self.seal_at = now + self.span;
        self.stage = Stage::Searching;
    }

    fn fly(
        &mut self,
        ids: &mut CallIds,
        digest: Option<Digest>,
        name: &'static str,
        call: StoreCall,
    ) -> SealerAction {
        let id = ids.next_id();
        self.flying.insert(id, digest);
        SealerAction::Call { id, step: Step::new(Protocol::Window, name), call }
    }
}

impl Seal {
    /// The state of an entry that the seal holds.
    pub fn state_of(&self, entry: Incarnation) -> Option<u64> {
        self.sheets.get(&entry).map(|part| part.state)
    }
}
