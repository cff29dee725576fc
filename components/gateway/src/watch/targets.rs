//! Watches the targets' entries, of which other hosts may pass changes on.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_coord::{Change, Object, Version};
use futures_util::{FutureExt, future::BoxFuture};

use crate::{
    fleet::TargetEntry,
    freshness::Freshness,
    metrics::ChangeSource,
    protocol::DecodeError,
    state::{Shared, State},
    target_feed::ReadReason,
    watch::{WatchedPrefix, decode, feed},
};

/// Watches the targets' entries.
pub(crate) struct TargetWatch {
    pub(crate) prefix: String,
}

impl TargetWatch {
    fn read(&self, shared: &Shared, object: &Object) -> Result<TargetEntry, DecodeError> {
        let id = object.key.strip_prefix(&self.prefix).unwrap_or(&object.key);
        decode(&object.value).and_then(|value| shared.decoder.target(id.into(), &value))
    }

    /// Applies one change, which the store or another host has told.
    pub(crate) fn apply(&self, shared: &Shared, state: &mut State, now: Time, change: &Change) {
        match change {
            Change::Put(object) => match self.read(shared, object) {
                Ok(entry) => {
                    let (id, draining) = (entry.id.clone(), entry.draining);
                    log::info!(
                        target: "fleet", id, service = entry.service, stage:? = entry.role,
                        zone = entry.zone, draining, cheap = entry.reclaimable,
                        incarnation = entry.incarnation, sequence = entry.sequence,
                        at:% = object.version; "target"
                    );
                    state.fleet.upsert(now, entry);
                    TargetWatch::notify_of_builds(shared, state);
                }
                Err(error) => {
                    TargetWatch::log_skipped(object, &error);
                    let id = object.key.strip_prefix(&self.prefix).unwrap_or(&object.key);
                    state.fleet.remove(now, id);
                }
            },
            Change::Delete { key, version } => {
                let id = key.strip_prefix(&self.prefix).unwrap_or(key);
                log::info!(target: "fleet", id, at:% = version; "target's entry gone");
                state.fleet.remove(now, id);
            }
        }
    }

    /// Has the record of versions looked at if there is a new one.
    fn notify_of_builds(shared: &Shared, state: &State) {
        if state.fleet.has_new_build() {
            shared.builds_due.notify_one();
            shared.announcements_due.notify_one();
        }
    }

    fn log_skipped(object: &Object, error: &DecodeError) {
        log::info!(target: "fleet", key = object.key, error:%; "target entry invalid; skipped");
    }
}

impl WatchedPrefix for TargetWatch {
    fn prefix(&self) -> String {
        self.prefix.clone()
    }

    fn freshness<'a>(&self, state: &'a mut State) -> &'a mut Freshness {
        &mut state.reads.targets
    }

    fn replace(&self, shared: &Shared, now: Time, objects: &[Object], version: Version) -> bool {
        let mut entries = Vec::with_capacity(objects.len());
        for object in objects {
            match self.read(shared, object) {
                Ok(entry) => entries.push(entry),
                Err(error) => TargetWatch::log_skipped(object, &error),
            }
        }
        log::info!(target: "fleet", targets = entries.len(); "targets listed");
        let mut state = shared.state();
        state.targets_listed = true;
        state.feed.record_list(now, version);
        state.build_record.record_list();
        shared.builds_due.notify_one();
        shared.announcements_due.notify_one();
        state.fleet.replace(now, entries)
    }

    fn max_wait(&self, state: &mut State, now: Time, is_poller: bool) -> Option<Duration> {
        is_poller.then(|| state.feed.poller_wait(now, &state.reads.targets))
    }

    fn pause<'a>(&'a self, shared: &'a Shared) -> BoxFuture<'a, bool> {
        feed::pause(shared).boxed()
    }

    fn apply_changes(&self, shared: &Shared, now: Time, changes: &[Change], version: Version) {
        let new = {
            // Under one lock, as others must not see the position without its changes.
            let state = &mut *shared.state();
            let new = state.feed.record_read(now, changes, version);
            for change in &new {
                self.apply(shared, state, now, change);
            }
            new
        };
        shared.metrics.feed.count_changes(ChangeSource::Store, new.len());
        if !new.is_empty() {
            shared.changes_read.notify_one();
        }
    }

    fn position(&self, shared: &Shared) -> Option<Version> {
        shared.state().feed.position()
    }

    fn start_list(&self, shared: &Shared) {
        shared.state().feed.start_list();
        shared.metrics.feed.count_read(ReadReason::Start);
    }

    fn follow<'a>(&'a self, shared: &'a Shared, had_changes: bool) -> BoxFuture<'a, ()> {
        async move {
            let reason =
                if had_changes { feed::follow(shared).await } else { ReadReason::Renewed };
            shared.metrics.feed.count_read(reason);
            if !matches!(reason, ReadReason::Poller | ReadReason::Renewed) {
                log::info!(target: "store", reason = reason.as_str(); "targets read from the store");
            }
            if reason.doubts_connections() {
                shared.store.distrust_connections();
            }
        }
        .boxed()
    }
}
