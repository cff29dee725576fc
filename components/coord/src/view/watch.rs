//! A relay's watch on the root.
//!
//! A watch reports changes immediately but does not confirm that nothing
//! changed, so a periodic read confirms the view as well. After a compacted
//! watch, the root is listed and watched again from the list's version, which
//! contains every change that the watch missed.

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

/// Interval between reads that confirm the view.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(1_000);

/// The longest delay after a failed call.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// The first delay after a failed call.
const INITIAL_DELAY: Duration = Duration::from_millis(200);

/// An action or result of a [`RootWatch`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchAction {
    /// Make this call to the store.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The protocol step of the call.
        step: Step,
        /// The call.
        call: StoreCall,
    },
    /// The store held this root, or none, at some point after `called_at`.
    Seen {
        /// The root.
        root: Option<Box<Root>>,
        /// When the call was made.
        called_at: Time,
    },
}

/// The actions returned by one method call.
pub type WatchActions = SmallVec<[WatchAction; 4]>;

/// Watches the root in the store while this node is a relay.
#[derive(Debug, Clone)]
pub struct RootWatch {
    active: bool,
    watched_version: Option<Version>,
    watch: Option<(CallId, Time)>,
    read: Option<(CallId, Time)>,
    next_watch_at: Time,
    next_read_at: Time,
    backoff: Backoff,
}

impl RootWatch {
    /// Creates an inactive watch; `seed` seeds the jitter of its retry delays.
    pub fn new(seed: u64) -> RootWatch {
        RootWatch {
            active: false,
            watched_version: None,
            watch: None,
            read: None,
            next_watch_at: Time::ZERO,
            next_read_at: Time::ZERO,
            backoff: Backoff::new(INITIAL_DELAY, MAX_DELAY, seed),
        }
    }

    /// Starts or stops the watch.
    pub fn set_active(&mut self, active: bool) {
        self.active = active;
    }

    /// When [`RootWatch::advance`] is due again.
    pub fn wake_at(&self) -> Time {
        if !self.active {
            return Time::NEVER;
        }
        let watch = if self.watch.is_some() { Time::NEVER } else { self.next_watch_at };
        let read = if self.read.is_some() { Time::NEVER } else { self.next_read_at };
        watch.min(read)
    }

    /// Makes the calls that are due.
    pub fn advance(&mut self, now: Time, ids: &mut CallIds) -> WatchActions {
        let mut actions = WatchActions::new();
        if !self.active {
            return actions;
        }
        if self.read.is_none() && now >= self.next_read_at {
            let id = ids.next_id();
            self.read = Some((id, now));
            self.next_read_at = now + CONFIRM_INTERVAL;
            let prefix = ROOT_KEY.to_owned();
            let (name, call) = match self.watched_version {
                None => ("list root", StoreCall::List { prefix }),
                Some(_) => ("confirm root", StoreCall::Get { key: prefix }),
            };
            actions.push(WatchAction::Call { id, step: Step::new(Protocol::View, name), call });
        }
        let Some(after) = self.watched_version else {
            return actions;
        };
        if self.watch.is_none() && now >= self.next_watch_at {
            let id = ids.next_id();
            self.watch = Some((id, now));
            let step = Step::new(Protocol::View, "watch root");
            let call = StoreCall::Watch { prefix: ROOT_KEY.to_owned(), after };
            actions.push(WatchAction::Call { id, step, call });
        }
        actions
    }

    /// Handles a reply; returns `None` if another state machine made the call or the reply is late.
    pub fn reply(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &StoreReply,
    ) -> Option<WatchActions> {
        let mut actions = WatchActions::new();
        if let Some((_, called_at)) = self.read.take_if(|(pending, _)| *pending == id) {
            self.handle_read_reply(now, called_at, reply, &mut actions);
        } else if let Some((_, called_at)) = self.watch.take_if(|(pending, _)| *pending == id) {
            self.handle_watch_reply(now, called_at, reply, &mut actions);
        } else {
            return None;
        }
        actions.extend(self.advance(now, ids));
        Some(actions)
    }

    fn handle_read_reply(
        &mut self,
        now: Time,
        called_at: Time,
        reply: &StoreReply,
        actions: &mut WatchActions,
    ) {
        match reply {
            StoreReply::Found(object) => {
                self.backoff.reset();
                report_root(object.as_ref(), called_at, actions);
            }
            StoreReply::Listed { objects, version } => {
                self.backoff.reset();
                self.watched_version = Some(*version);
                report_root(
                    objects.iter().find(|object| object.key == ROOT_KEY),
                    called_at,
                    actions,
                );
            }
            _ => self.next_read_at = now + self.backoff.next_delay(),
        }
    }

    fn handle_watch_reply(
        &mut self,
        now: Time,
        called_at: Time,
        reply: &StoreReply,
        actions: &mut WatchActions,
    ) {
        match reply {
            StoreReply::Changed { changes, version } => {
                self.watched_version = Some(*version);
                let latest = changes.iter().rev().find_map(|change| match change {
                    Change::Put(object) if object.key == ROOT_KEY => Some(object),
                    Change::Put(_) | Change::Delete { .. } => None,
                });
                if latest.is_some() {
                    report_root(latest, called_at, actions);
                }
            }
            StoreReply::Compacted => {
                self.watched_version = None;
                self.next_read_at = now;
            }
            _ => self.next_watch_at = now + self.backoff.next_delay(),
        }
    }
}

fn report_root(object: Option<&Object>, called_at: Time, actions: &mut WatchActions) {
    let Some(object) = object else {
        actions.push(WatchAction::Seen { root: None, called_at });
        return;
    };
    match decode::<Root>(&object.value) {
        Ok(root) => actions.push(WatchAction::Seen { root: Some(Box::new(root)), called_at }),
        Err(error) => log::error!(target: "view", error:% = error; "cannot decode view root"),
    }
}
