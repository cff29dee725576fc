//! Seals windows at the owner of their shard.
//!
//! If two processes both consider themselves the owner and seal a window at the
//! same time, the store keeps the first seal, and both continue from that one.

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
    window::seal::{
        SealedSheet, UsageSheet, WindowId, WindowSeal, entry_from_key, seal_key, sheet_prefix,
    },
};

/// Maximum number of concurrent writes of blobs.
const MAX_BLOB_WRITES: usize = 8;

/// Delay before the first retry of a failed call.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Longest delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// An action for the driver of a [`WindowSealer`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SealerAction {
    /// Call the store.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The protocol step, for logs and tests.
        step: Step,
        /// The call.
        call: StoreCall,
    },
    /// The window is sealed: report its usage by an order with a stored intent.
    Report {
        /// The window.
        window: WindowId,
        /// The seal as stored.
        seal: WindowSeal,
    },
}

/// Actions that result from one event.
pub type SealerActions = SmallVec<[SealerAction; 4]>;

#[derive(Debug, Clone)]
enum Stage {
    /// Searches for the first window that is not sealed.
    Searching,
    /// Waits until the window is due to be sealed.
    Open,
    /// Lists the window's sheets.
    Listing,
    /// Stores a copy of each sheet as a blob, which later flushes cannot change.
    Storing { seal: WindowSeal, blobs: BTreeMap<Digest, Blob> },
    /// Writes the seal.
    Sealing { seal: WindowSeal },
}

/// Seals the windows of one shard, one after another.
///
/// A new one is made each time the shard is gained. It finds earlier seals in
/// the store, and returns [`SealerAction::Report`] for each sealed window
/// after the last reported one.
#[derive(Debug, Clone)]
pub struct WindowSealer {
    window: WindowId,
    guards: Guards,
    span: Duration,
    stage: Stage,
    /// Pending calls; those that write a blob with its digest.
    pending: BTreeMap<CallId, Option<Digest>>,
    /// Version of the seal to replace; only if [`Guards::window_seal`] is off.
    replaces: Option<Version>,
    seal_at: Time,
    retry_at: Time,
    backoff: Backoff,
}

impl WindowSealer {
    /// Creates a sealer that continues after window `reported` and seals one window every `span`.
    pub fn new(shard: ShardId, reported: u64, span: Duration, seed: u64) -> WindowSealer {
        WindowSealer {
            window: WindowId { shard, number: reported + 1 },
            guards: Guards::default(),
            span,
            stage: Stage::Searching,
            pending: BTreeMap::new(),
            replaces: None,
            seal_at: Time::ZERO,
            retry_at: Time::ZERO,
            backoff: Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY, seed),
        }
    }

    /// Sets which protections are on, for tests that check that each is needed.
    pub fn with_guards(self, guards: Guards) -> WindowSealer {
        WindowSealer { guards, ..self }
    }

    /// The window to seal next.
    pub fn window(&self) -> &WindowId {
        &self.window
    }

    /// When [`WindowSealer::advance`] is due again.
    pub fn wake_at(&self) -> Time {
        match self.stage {
            _ if !self.pending.is_empty() => Time::NEVER,
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
        if !self.pending.is_empty() {
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
                let expect = self.replaces.map_or(Expect::Absent, Expect::At);
                ("write seal", StoreCall::Put { key, expect, value })
            }
        };
        actions.push(self.issue_call(ids, None, name, call));
        actions
    }

    /// Handles a store reply; `None` if its call is not pending here.
    pub fn reply(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &StoreReply,
    ) -> Option<SealerActions> {
        let digest = self.pending.remove(&id)?;
        let mut actions = SealerActions::new();
        match (std::mem::replace(&mut self.stage, Stage::Searching), reply) {
            (Stage::Searching, StoreReply::Found(Some(object))) => {
                self.handle_seal(now, object, &mut actions);
            }
            (Stage::Searching, StoreReply::Found(None)) => {
                self.seal_at = now + self.span;
                self.stage = Stage::Open;
            }
            (Stage::Listing, StoreReply::Listed { objects, .. }) => self.make_seal(objects),
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
            (Stage::Sealing { .. }, StoreReply::Conflict(Some(object)))
                if !self.guards.window_seal =>
            {
                self.replaces = Some(object.version);
                self.stage = Stage::Listing;
            }
            (Stage::Sealing { .. }, StoreReply::Conflict(Some(object))) => {
                self.handle_seal(now, object, &mut actions);
            }
            // A seal whose answer was lost is written again; if it took effect, the
            // write conflicts and returns the stored seal.
            (stage, _) => {
                self.stage = stage;
                self.retry_at = now + self.backoff.next_delay();
            }
        }
        actions.extend(self.advance(now, ids));
        Some(actions)
    }

    fn store_blobs(&mut self, ids: &mut CallIds, actions: &mut SealerActions) {
        let Stage::Storing { blobs, .. } = &self.stage else {
            return;
        };
        let is_pending =
            |digest: &Digest| self.pending.values().any(|in_flight| *in_flight == Some(*digest));
        let slots = MAX_BLOB_WRITES.saturating_sub(self.pending.len());
        let idle = blobs.values().filter(|blob| !is_pending(&blob.digest())).take(slots);
        let calls: Vec<(Digest, StoreCall)> = idle
            .map(|blob| {
                let (key, value) = (blob_key(&blob.digest()), blob.bytes().to_vec());
                (blob.digest(), StoreCall::Put { key, expect: Expect::Absent, value })
            })
            .collect();
        for (digest, call) in calls {
            actions.push(self.issue_call(ids, Some(digest), "write sealed sheet", call));
        }
    }

    fn make_seal(&mut self, objects: &[Object]) {
        let mut seal = WindowSeal::default();
        let mut blobs = BTreeMap::new();
        for object in objects {
            let entry = entry_from_key(&self.window, &object.key);
            let sheet = decode::<UsageSheet>(&object.value);
            let (Some(entry), Ok(sheet)) = (entry, sheet) else {
                log::error!(target: "window", key = object.key.as_str(); "cannot decode the sheet");
                continue;
            };
            let blob = Blob::new(object.value.clone());
            seal.total.merge(&sheet.tally);
            seal.sheets.insert(entry, SealedSheet { state: sheet.state, sheet: blob.digest() });
            blobs.insert(blob.digest(), blob);
        }
        self.stage = match blobs.is_empty() {
            true => Stage::Sealing { seal },
            false => Stage::Storing { seal, blobs },
        };
    }

    fn handle_seal(&mut self, now: Time, object: &Object, actions: &mut SealerActions) {
        self.backoff.reset();
        match decode::<WindowSeal>(&object.value) {
            Ok(seal) => self.report(now, seal, actions),
            Err(error) => {
                log::error!(
                    target: "window",
                    error:% = error;
                    "cannot decode the seal of window {}",
                    self.window
                );
                self.retry_at = now + MAX_RETRY_DELAY;
            }
        }
    }

    fn report(&mut self, now: Time, seal: WindowSeal, actions: &mut SealerActions) {
        actions.push(SealerAction::Report { window: self.window.clone(), seal });
        self.window = self.window.next();
        self.replaces = None;
        self.seal_at = now + self.span;
        self.stage = Stage::Searching;
    }

    fn issue_call(
        &mut self,
        ids: &mut CallIds,
        digest: Option<Digest>,
        name: &'static str,
        call: StoreCall,
    ) -> SealerAction {
        let id = ids.next_id();
        self.pending.insert(id, digest);
        SealerAction::Call { id, step: Step::new(Protocol::Window, name), call }
    }
}

impl WindowSeal {
    /// The state number of an entry's sealed sheet; None if the seal has none of the entry.
    pub fn state_of(&self, entry: Incarnation) -> Option<u64> {
        self.sheets.get(&entry).map(|part| part.state)
    }
}
