//! Watches the configuration and the targets in the store, and keeps the hosts' entries there.
//!
//! A watch goes on from the version up to which changes are known. When the store comes back
//! from an older copy, that version names nothing any more, and a watch that waits may never be
//! told of changes under revisions that are given out again: all watches list again at once.
//!
//! A connection may fall silent while a watch waits on it. [`freshness`](crate::freshness) decides
//! when a call is given up for that.

mod announcements;
mod builds;
mod crashes;
mod current;
mod feed;
mod hosts;
mod streams;
mod targets;

use std::{future::ready, sync::Arc, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::{Change, Object, StoreCall, StoreReply, Version};
use futures_util::{FutureExt, future::BoxFuture};
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::time::{sleep, timeout};

pub(crate) use self::{
    announcements::maintain_announcements, builds::maintain_build_record,
    crashes::maintain_crash_record, current::confirm_target_list, hosts::maintain_membership,
    streams::maintain_stream_record, targets::TargetWatch,
};
use crate::{
    freshness::Freshness,
    outage::{AfterFailure, FailedCall, StoreContact},
    protocol::DecodeError,
    quota::task::apply_config,
    state::{Shared, State},
};

/// Maximum time for which another watch waits for the configuration watch to find the
/// store recovered.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of changes in a reply from which no pause is made: such a reply takes time to
/// arrive, and a draining target may be in the next one.
const LARGE_BATCH: usize = 100;

/// Longest time between two checks of whether a watch is overdue, since what other hosts tell may
/// make it so earlier.
const MAX_DUE_SLEEP: Duration = Duration::from_millis(500);

/// A key prefix of the store that is watched.
pub(crate) trait WatchedPrefix: Send + Sync {
    /// The key prefix.
    fn prefix(&self) -> String;

    /// How complete is what was read of it.
    fn freshness<'a>(&self, state: &'a mut State) -> &'a mut Freshness;

    /// Longest time for which the next watch call may wait for changes; none if only its freshness
    /// limits it.
    fn max_wait(&self, _state: &mut State, _now: Time, _is_poller: bool) -> Option<Duration> {
        None
    }

    /// Time at which a watch call that waits for `wait` is given up for a new one, beside the time
    /// that its freshness sets; none if it is not.
    fn watch_due(&self, _state: &State, _wait: Duration) -> Option<Time> {
        None
    }

    /// Whether the replies to its calls also tell the other watches whether the store
    /// responds.
    fn probes_store(&self) -> bool {
        false
    }

    /// Replaces all objects by a complete list of version `version`. Returns whether it lacks objects that
    /// were known.
    fn replace(&self, shared: &Shared, now: Time, objects: &[Object], version: Version) -> bool;

    /// Applies the changes of a reply, after which all up to `version` are known, unless other hosts have
    /// passed them on before.
    fn apply_changes(&self, shared: &Shared, now: Time, changes: &[Change], version: Version);

    /// Version up to which all changes are known, if other hosts may have passed some on.
    fn position(&self, _shared: &Shared) -> Option<Version> {
        None
    }

    /// Prepares for a list, during which other hosts pass nothing on.
    fn start_list(&self, _shared: &Shared) {}

    /// Before a watch: waits while other hosts pass on what it would bring, if the one before brought
    /// changes.
    fn follow<'a>(&'a self, _shared: &'a Shared, _had_changes: bool) -> BoxFuture<'a, ()> {
        ready(()).boxed()
    }

    /// After changes: pauses, so that further changes arrive in one reply. Returns whether other hosts
    /// may be followed before the next watch.
    fn pause<'a>(&'a self, _shared: &'a Shared) -> BoxFuture<'a, bool> {
        ready(false).boxed()
    }

    /// Records a reply, read at `now`, with which all changes up to `at` are known.
    fn confirm(&self, _shared: &Shared, _now: Time, _at: Time) {}

    /// Records a reply without changes, read at `now`, to a watch sent at `sent`.
    fn confirm_unchanged(&self, _shared: &Shared, _now: Time, _sent: Time, _hold_time: Duration) {}
}

/// Lists the objects, then watches for changes; lists again when the store has
/// compacted its history or has come back from an older copy.
pub(crate) async fn watch_prefix(shared: Arc<Shared>, watched: Box<dyn WatchedPrefix>) {
    let prefix = watched.prefix();
    let mut known: Option<Version> = None;
    let mut listed_era: Option<u64> = None;
    let mut latest_era = shared.store_era.subscribe();
    let mut contact = StoreContact::default();
    let mut may_follow = false;
    loop {
        if known.is_none() {
            latest_era.mark_unchanged();
            watched.start_list(&shared);
        } else {
            tokio::select! {
                biased;
                // Fails only if the sender is dropped, and `shared` holds it.
                _ = latest_era.changed() => {
                    known = None;
                    continue;
                }
                () = watched.follow(&shared, std::mem::take(&mut may_follow)) => {}
                () = shared.store_recovered.notified(), if !watched.probes_store() => {
                    known = None;
                    continue;
                }
            }
            known = known.max(watched.position(&shared));
        }
        let sent = shared.now();
        let (wait, answer_time) = watch_times(&shared, &*watched, sent);
        let call = async {
            match known {
                None => shared.store.call(&StoreCall::List { prefix: prefix.clone() }).await,
                Some(after) => shared.store.watch(&prefix, after, wait, answer_time).await,
            }
        };
        let reply = tokio::select! {
            biased;
            // Fails only if the sender is dropped, and `shared` holds it.
            _ = latest_era.changed(), if known.is_some() => {
                known = None;
                continue;
            }
            reply = call => reply,
            () = overdue(&shared, &*watched, wait), if known.is_some() => {
                let ms = shared.now().since(sent).as_millis() as u64;
                log::info!(target: "store", prefix, ms; "watch given up");
                shared.store.distrust_connections();
                continue;
            }
            () = shared.store_recovered.notified(), if !watched.probes_store() => {
                known = None;
                continue;
            }
        };
        let now = shared.now();
        let answered = !matches!(reply, StoreReply::Refused | StoreReply::Unknown);
        if answered && let Some(outage) = contact.record_answer(now) {
            let ms = outage.until.since(outage.from).as_millis() as u64;
            log::warn!(target: "store", prefix, ms; "store regained");
            let since = outage.entries_missing_since(shared.settings.bounds.drain_time);
            shared.state().fleet.store_recovered(since);
            if watched.probes_store() {
                shared.state().store_down = false;
                // A watch call that was sent before the outage may never be answered.
                shared.store_recovered.notify_one();
            }
        }
        match reply {
            StoreReply::Listed { objects, version } => {
                log_read(&prefix, known, version, objects.len(), now.since(sent));
                if listed_era.is_some_and(|era| era < version.era) {
                    shared.state().fleet.store_recovered(now);
                }
                listed_era = Some(version.era);
                if version.era >= *latest_era.borrow() {
                    latest_era.mark_unchanged();
                }
                let newest = objects.iter().map(|object| object.version).max();
                let is_missing_some = watched.replace(&shared, now, &objects, version);
                watched.confirm(&shared, now, sent);
                known = Some(version);
                record_reply(&shared, &*watched, |freshness| {
                    freshness.record_list(sent, version, newest, is_missing_some)
                });
            }
            StoreReply::Changed { changes, version } => {
                if !changes.is_empty() {
                    log_read(&prefix, known, version, changes.len(), now.since(sent));
                }
                watched.apply_changes(&shared, now, &changes, version);
                known = Some(version).max(watched.position(&shared));
                let newest = changes.iter().map(Change::version).max();
                let hold_time = shared.store.watch_hold_time(wait);
                let held_until = sent + hold_time;
                let at = if changes.is_empty() && now >= held_until { held_until } else { sent };
                record_reply(&shared, &*watched, |freshness| {
                    freshness.record_changes(sent, at, version, newest)
                });
                if changes.is_empty() {
                    watched.confirm_unchanged(&shared, now, sent, hold_time);
                } else {
                    watched.confirm(&shared, now, sent);
                    if changes.len() < LARGE_BATCH {
                        may_follow = watched.pause(&shared).await;
                    }
                }
            }
            StoreReply::Compacted => {
                log::info!(target: "store", prefix; "history compacted; listing again");
                known = None;
            }
            other => {
                let (waits, is_refused) = (known.is_some(), other != StoreReply::Unknown);
                let call = FailedCall { sent, waits, is_refused };
                let after = contact.record_failure(now, call);
                // A list call is answered as soon as the store is back, a watch call only after
                // its wait.
                known = None;
                let pause = match after {
                    AfterFailure::List(pause) => {
                        let ms = now.since(sent).as_millis() as u64;
                        log::info!(target: "store", prefix, ms; "watch cut off");
                        pause
                    }
                    AfterFailure::Lost { is_new, pause } => {
                        if is_new {
                            log::warn!(target: "store", prefix, reply:? = other; "store lost");
                            shared.metrics.count_store_outage();
                            shared.state().store_down |= watched.probes_store();
                        }
                        if !watched.probes_store() && shared.state().store_down {
                            // The configuration watch tells if the store is back earlier.
                            timeout(RECOVERY_TIMEOUT, shared.store_recovered.notified()).await.ok();
                            continue;
                        }
                        pause
                    }
                };
                sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
            }
        }
    }
}

/// Logs a reply with a list or with changes: the version up to which this host knew them
/// (none before a list), that of the reply, and the time since the call.
fn log_read(prefix: &str, known: Option<Version>, at: Version, count: usize, age: Duration) {
    let known = known.map_or("none".to_owned(), |version| version.to_string());
    let ms = age.as_millis() as u64;
    log::info!(target: "store", prefix, known, at:%, count, ms; "store read");
}

/// Time for which the next watch call waits for changes, and time after that within which it must
/// be answered.
fn watch_times(shared: &Shared, watched: &dyn WatchedPrefix, now: Time) -> (Duration, Duration) {
    let mut state = shared.state();
    let is_poller = state.membership.pollers(now).includes_own;
    let max_wait = watched.max_wait(&mut state, now, is_poller);
    let freshness = watched.freshness(&mut state);
    let wait = freshness.watch_wait(now, is_poller);
    (max_wait.map_or(wait, |max| max.min(wait)), freshness.answer_time())
}

/// Records a reply, and has other hosts told if it brought a change.
fn record_reply(
    shared: &Shared,
    watched: &dyn WatchedPrefix,
    record: impl FnOnce(&mut Freshness) -> bool,
) {
    let is_later = record(watched.freshness(&mut shared.state()));
    shared.origin_settled.notify_waiters();
    if is_later {
        shared.change_known.notify_one();
    }
}

/// Returns once a watch call that waits for `wait` must be given up.
async fn overdue(shared: &Shared, watched: &dyn WatchedPrefix, wait: Duration) {
    loop {
        let due = {
            let mut state = shared.state();
            let own_due = watched.watch_due(&state, wait);
            own_due.into_iter().chain(watched.freshness(&mut state).watch_due(wait)).min()
        };
        let now = shared.now();
        if due.is_some_and(|due| now >= due) {
            return;
        }
        let pause = due.map_or(MAX_DUE_SLEEP, |due| due.since(now).min(MAX_DUE_SLEEP));
        // An early end only has the time looked up again.
        timeout(pause, shared.change_missed.notified()).await.ok();
    }
}

/// Watches the configuration object.
pub(crate) struct ConfigWatch {
    pub(crate) prefix: String,
}

impl ConfigWatch {
    fn apply(shared: &Shared, now: Time, object: &Object) {
        if object.key != shared.decoder.config_key() {
            return;
        }
        if object.version.era > 0 {
            shared.state().view.start_unsettled(now);
        }
        let config = decode(&object.value).and_then(|value| shared.decoder.config(&value));
        match config {
            Ok(config) => {
                let (version, at) = (config.version, object.version);
                let (terms, event_tokens) = (config.import_terms(), config.event_tokens());
                let engine_limits = config.engine_limits();
                let state = &mut *shared.state();
                if state.view.replace_if_newer(config) {
                    state.fleet.set_import_terms(terms);
                    state.fleet.set_event_tokens(event_tokens);
                    state.fleet.set_engine_limits(engine_limits);
                    log::info!(target: "view", version, at:%; "configuration adopted");
                    apply_config(shared, state, now);
                    shared.quota_config.notify_one();
                } else if let Some(newer) = state.view.version()
                    && newer > version
                {
                    log::warn!(
                        target: "view", version, newer, at:%; "store has an older configuration"
                    );
                }
            }
            Err(error) => {
                log::error!(target: "view", key = object.key, error:%; "configuration not decoded");
            }
        }
    }
}

impl WatchedPrefix for ConfigWatch {
    fn prefix(&self) -> String {
        self.prefix.clone()
    }

    fn freshness<'a>(&self, state: &'a mut State) -> &'a mut Freshness {
        &mut state.reads.config
    }

    fn max_wait(&self, state: &mut State, now: Time, is_poller: bool) -> Option<Duration> {
        Some(state.view.watch_wait(now, is_poller))
    }

    fn watch_due(&self, state: &State, wait: Duration) -> Option<Time> {
        state.view.watch_due(wait)
    }

    fn probes_store(&self) -> bool {
        true
    }

    fn replace(&self, shared: &Shared, now: Time, objects: &[Object], _: Version) -> bool {
        for object in objects {
            ConfigWatch::apply(shared, now, object);
        }
        objects.is_empty() && shared.state().view.version().is_some()
    }

    fn apply_changes(&self, shared: &Shared, now: Time, changes: &[Change], _: Version) {
        for change in changes {
            if let Change::Put(object) = change {
                ConfigWatch::apply(shared, now, object);
            }
        }
    }

    fn confirm(&self, shared: &Shared, now: Time, at: Time) {
        shared.state().view.confirm(now, at);
    }

    fn confirm_unchanged(&self, shared: &Shared, now: Time, sent: Time, hold_time: Duration) {
        shared.state().view.confirm_unchanged(now, sent, hold_time);
    }
}

/// Parses the JSON content of an object.
pub(crate) fn decode(value: &[u8]) -> Result<Value, DecodeError> {
    serde_json::from_slice(value)
        .map_err(|error| DecodeError { field: "content".to_owned(), reason: error.to_string() })
}

/// Parses objects that hosts write; unreadable ones are logged and left out.
pub(crate) fn decode_objects<T: DeserializeOwned>(objects: &[Object]) -> Vec<(&Object, T)> {
    let read = objects.iter().filter_map(|object| match serde_json::from_slice(&object.value) {
        Ok(content) => Some((object, content)),
        Err(error) => {
            log::warn!(target: "store", key = object.key, error:%; "object not decoded");
            None
        }
    });
    read.collect()
}
