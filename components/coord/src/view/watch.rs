//! A relay's watch on the root.
//!
//! A watch tells of changes at once but says nothing while it waits, so a read
//! confirms the view at a steady pace beside it. A compacted watch is begun
//! again from a list, which holds whatever the watch would have missed.

use std::time::Duration;

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{
    budget::Backoff,
    codec::decode,
    step::{Protocol, Step},
    store::{CallId, CallIds, Change, Object, StoreCall, StoreReply, Version},
    view::root::{ROOT_KEY, Root},
};

/// Between two reads that confirm the view.
const CONFIRM_SPAN: Duration = Duration::from_millis(1_000);

/// The longest delay after a call that failed.
const MOST_DELAY: Duration = Duration::from_secs(2);

/// The first delay after a call that failed.
const FIRST_DELAY: Duration = Duration::from_millis(200);

/// What the watch wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchAction {
    /// Call the platform.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The step it is.
        step: Step,
        /// The call.
        call: StoreCall,
    },
    /// The platform held this root, or none, at some time after `asked`.
    Seen {
        /// The root.
        root: Option<Box<Root>>,
        /// When the call was made.
        asked: Time,
    },
}

/// Actions of one step.
pub type WatchActions = SmallVec<[WatchAction; 4]>;

/// Follows the root in the platform while this node is a relay.
#[derive(Debug, Clone)]
pub struct RootWatch {
    active: bool,
    after: Option<Version>,
    watch: Option<(CallId, Time)>,
    read: Option<(CallId, Time)>,
    watch_at: Time,
    read_at: Time,
    backoff: Backoff,
}

impl RootWatch {
    /// An idle watch; `seed` is for the jitter of its delays.
    pub fn new(seed: u64) -> RootWatch {
        RootWatch {
            active: false,
            after: None,
            watch: None,
            read: None,
            watch_at: Time::ZERO,
            read_at: Time::ZERO,
            backoff: Backoff::new(FIRST_DELAY, MOST_DELAY, seed),
        }
    }

    /// Begins or ends the watch.
    pub fn set_active(&mut self, active: bool) {
        self.active = active;
    }

    /// When [`RootWatch::advance`] is due again.
    pub fn wake_at(&self) -> Time {
        if !self.active {
            return Time::NEVER;
        }
        let watch = if self.watch.is_some() { Time::NEVER } else { self.watch_at };
        let read = if self.read.is_some() { Time::NEVER } else { self.read_at };
        watch.min(read)
    }

    /// Makes the calls that are due.
    pub fn advance(&mut self, now: Time, ids: &mut CallIds) -> WatchActions {
        let mut actions = WatchActions::new();
        if !self.active {
            return actions;
        }
        if self.read.is_none() && now >= self.read_at {
            let id = ids.next_id();
            self.read = Some((id, now));
            self.read_at = now + CONFIRM_SPAN;
            let prefix = ROOT_KEY.to_owned();
            let (name, call) = match self.after {
                None => ("list root", StoreCall::List { prefix }),
                Some(_) => ("confirm root", StoreCall::Get { key: prefix }),
            };
            actions.push(WatchAction::Call { id, step: Step::new(Protocol::View, name), call });
        }
        let Some(after) = self.after else {
            return actions;
        };
        if self.watch.is_none() && now >= self.watch_at {
            let id = ids.next_id();
            self.watch = Some((id, now));
            let step = Step::new(Protocol::View, "watch root");
            let call = StoreCall::Watch { prefix: ROOT_KEY.to_owned(), after };
            actions.push(WatchAction::Call { id, step, call });
        }
        actions
    }

    /// Takes a reply; `None` if it belongs to another machine or came late.
    pub fn reply(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &StoreReply,
    ) -> Option<WatchActions> {
        let mut actions = WatchActions::new();
        if let Some((_, asked)) = self.read.take_if(|(flying, _)| *flying == id) {
            self.read_replied(now, asked, reply, &mut actions);
        } else if let Some((_, asked)) = self.watch.take_if(|(flying, _)| *flying == id) {
            self.watch_replied(now, asked, reply, &mut actions);
        } else {
            return None;
        }
        actions.extend(self.advance(now, ids));
        Some(actions)
    }

    fn read_replied(
        &mut self,
        now: Time,
        asked: Time,
        reply: &StoreReply,
        actions: &mut WatchActions,
    ) {
        match reply {
            StoreReply::Found(object) => {
                self.backoff.reset();
                see(object.as_ref(), asked, actions);
            }
            StoreReply::Listed { objects, version } => {
                self.backoff.reset();
                self.after = Some(*version);
                see(objects.iter().find(|object| object.key == ROOT_KEY), asked, actions);
            }
            _ => self.read_at = now + self.backoff.fail(),
        }
    }

    fn watch_replied(
        &mut self,
        now: Time,
        asked: Time,
        reply: &StoreReply,
        actions: &mut WatchActions,
    ) {
        match reply {
            StoreReply::Changed { changes, version } => {
                self.after = Some(*version);
                let last = changes.iter().rev().find_map(|change| match change {
                    Change::Put(object) if object.key == ROOT_KEY => Some(object),
                    Change::Put(_) | Change::Delete { .. } => None,
                });
                if last.is_some() {
                    see(last, asked, actions);
                }
            }
            StoreReply::Compacted => {
                self.after = None;
                self.read_at = now;
            }
            _ => self.watch_at = now + self.backoff.fail(),
        }
    }
}

fn see(object: Option<&Object>, asked: Time, actions: &mut WatchActions) {
    let Some(object) = object else {
        actions.push(WatchAction::Seen { root: None, asked });
        return;
    };
    match decode::<Root>(&object.value) {
        Ok(root) => actions.push(WatchAction::Seen { root: Some(Box::new(root)), asked }),
        Err(error) => log::error!(target: "view", error:% = error; "root does not decode"),
    }
}
