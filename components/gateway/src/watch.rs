//! Follows the configuration, the targets and the other hosts in the store.

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::{Change, Object, StoreCall, StoreReply, Version};
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    members::{HostEntry, LIST_PACE},
    protocol::Undecodable,
    state::Shared,
};

/// Pause after a call that failed, and after several in a row, each twice as long: calls
/// that fail are priced too, and a store that is back must be found within a second.
const PAUSES: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(1));

/// Longest time for which a part waits for the other one to find the store back.
const BACK_WAIT: Duration = Duration::from_secs(5);

/// Pause after changes of targets, as a share of the time in which a leaving target may
/// still get work.
const GATHER_SHARE: f64 = 0.3;

/// Changes in one answer from which no further ones are waited for: so many take their
/// time to arrive, and a target that leaves may be among the next.
const BULK: usize = 100;

/// Time between two lists of hosts at least.
const LIST_PAUSE: Duration = Duration::from_millis(300);

/// The same for each host: all list, and each list names all.
const LIST_SHARE: Duration = Duration::from_millis(10);

/// Time until a host's entry that could not be written is tried again.
const REWRITE_PAUSE: Duration = Duration::from_millis(1_500);

/// Time that the watch of the configuration waits: with the time allowed for a call it
/// stays below the users' shortest bound for withdrawn keys, 5 s, less one more call.
const CONFIG_WAIT: Duration = Duration::from_millis(2_500);

/// Time that the watch of the targets waits. Each call has a price; whether the store
/// still answers is told by the other watch.
const TARGETS_WAIT: Duration = Duration::from_secs(20);

/// Start of the keys of hosts' entries.
const HOSTS: &str = "hosts/";

/// A part of the store that is followed.
pub(crate) trait Followed: Send + Sync {
    /// The start of its keys.
    fn prefix(&self) -> String;

    /// Time for which a watch waits for changes.
    fn wait(&self) -> Duration;

    /// Whether its calls tell how the store does, for the other parts too.
    fn is_sounding(&self) -> bool {
        false
    }

    /// Takes over a whole list.
    fn replace(&self, shared: &Shared, now: Time, objects: &[Object]);

    /// Takes over one change.
    fn change(&self, shared: &Shared, now: Time, change: &Change);

    /// Pause after changes, in which further ones gather for one answer.
    fn gather(&self, _shared: &Shared) -> Duration {
        Duration::ZERO
    }

    /// Notes that all changes up to `at` are known.
    fn confirm(&self, _shared: &Shared, _at: Time) {}
}

/// Lists, then watches, and begins again when history is gone.
pub(crate) async fn follow(shared: Arc<Shared>, part: Box<dyn Followed>) {
    let prefix = part.prefix();
    let mut known: Option<Version> = None;
    let mut lost = false;
    let mut pause = PAUSES.0;
    loop {
        let sent = shared.now();
        let call = async {
            match known {
                None => shared.store.call(&StoreCall::List { prefix: prefix.clone() }).await,
                Some(after) => shared.store.watch(&prefix, after, part.wait()).await,
            }
        };
        let reply = tokio::select! {
            reply = call => reply,
            () = shared.store_back.notified(), if !part.is_sounding() => {
                known = None;
                continue;
            }
        };
        let now = shared.now();
        let answered = !matches!(reply, StoreReply::Refused | StoreReply::Unknown);
        if lost && answered {
            log::warn!(target: "store", prefix; "store regained");
            shared.state().fleet.store_back(now);
            lost = false;
            pause = PAUSES.0;
            if part.is_sounding() {
                shared.state().store_lost = false;
                // A watch that was sent before may never be answered.
                shared.store_back.notify_one();
            }
        }
        match reply {
            StoreReply::Listed { objects, version } => {
                part.replace(&shared, now, &objects);
                part.confirm(&shared, sent);
                known = Some(version);
            }
            StoreReply::Changed { changes, version } => {
                for change in &changes {
                    part.change(&shared, now, change);
                }
                known = Some(version);
                if changes.is_empty() {
                    // The store waited that long for a change before it answered.
                    part.confirm(&shared, sent + shared.store.watch_wait(part.wait()));
                } else {
                    part.confirm(&shared, sent);
                    if changes.len() < BULK {
                        sleep(part.gather(&shared)).await;
                    }
                }
            }
            StoreReply::Compacted => {
                log::info!(target: "store", prefix; "history is gone; listing again");
                known = None;
            }
            other => {
                if !lost {
                    log::warn!(target: "store", prefix, reply:? = other; "store lost");
                    shared.metrics.count_store_loss();
                    lost = true;
                    shared.state().store_lost |= part.is_sounding();
                }
                // A list is answered at once when the store is back; a watch would wait.
                known = None;
                if !part.is_sounding() && shared.state().store_lost {
                    // Whether the store is back before is told by the other part.
                    timeout(BACK_WAIT, shared.store_back.notified()).await.ok();
                    continue;
                }
                sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
                pause = (pause * 2).min(PAUSES.1);
            }
        }
    }
}

/// The configuration object.
pub(crate) struct ConfigPart {
    pub(crate) prefix: String,
}

impl ConfigPart {
    fn take(shared: &Shared, object: &Object) {
        if object.key != shared.decoder.config_key() {
            return;
        }
        let config = decode(&object.value).and_then(|value| shared.decoder.config(&value));
        match config {
            Ok(config) => {
                let version = config.version;
                if shared.state().view.adopt(config) {
                    log::info!(target: "view", version; "configuration adopted");
                }
            }
            Err(error) => {
                log::error!(target: "view", key = object.key, error:%; "configuration not read");
            }
        }
    }
}

impl Followed for ConfigPart {
    fn prefix(&self) -> String {
        self.prefix.clone()
    }

    fn wait(&self) -> Duration {
        CONFIG_WAIT
    }

    fn is_sounding(&self) -> bool {
        true
    }

    fn replace(&self, shared: &Shared, _now: Time, objects: &[Object]) {
        for object in objects {
            ConfigPart::take(shared, object);
        }
    }

    fn change(&self, shared: &Shared, _now: Time, change: &Change) {
        if let Change::Put(object) = change {
            ConfigPart::take(shared, object);
        }
    }

    fn confirm(&self, shared: &Shared, at: Time) {
        shared.state().view.confirm(at);
    }
}

/// The targets' entries.
pub(crate) struct TargetPart {
    pub(crate) prefix: String,
}

impl TargetPart {
    fn read(
        &self,
        shared: &Shared,
        object: &Object,
    ) -> Result<crate::fleet::TargetEntry, Undecodable> {
        let id = object.key.strip_prefix(&self.prefix).unwrap_or(&object.key);
        decode(&object.value).and_then(|value| shared.decoder.target(id.into(), &value))
    }

    fn log_skipped(object: &Object, error: &Undecodable) {
        log::info!(target: "fleet", key = object.key, error:%; "target's entry skipped");
    }
}

impl Followed for TargetPart {
    fn prefix(&self) -> String {
        self.prefix.clone()
    }

    fn wait(&self) -> Duration {
        TARGETS_WAIT
    }

    fn replace(&self, shared: &Shared, now: Time, objects: &[Object]) {
        let mut entries = Vec::with_capacity(objects.len());
        for object in objects {
            match self.read(shared, object) {
                Ok(entry) => entries.push(entry),
                Err(error) => TargetPart::log_skipped(object, &error),
            }
        }
        log::info!(target: "fleet", targets = entries.len(); "targets listed");
        let mut state = shared.state();
        state.fleet.replace(now, entries);
        state.listed = true;
    }

    fn gather(&self, shared: &Shared) -> Duration {
        shared.settings.bounds.drain.mul_f64(GATHER_SHARE)
    }

    fn change(&self, shared: &Shared, now: Time, change: &Change) {
        match change {
            Change::Put(object) => match self.read(shared, object) {
                Ok(entry) => {
                    let (id, draining) = (entry.id.clone(), entry.draining);
                    log::info!(
                        target: "fleet", id, service = entry.service, stage:? = entry.stage,
                        zone = entry.zone, draining, cheap = entry.cheap; "target"
                    );
                    shared.state().fleet.set(now, entry);
                }
                Err(error) => {
                    TargetPart::log_skipped(object, &error);
                    let id = object.key.strip_prefix(&self.prefix).unwrap_or(&object.key);
                    shared.state().fleet.remove(id);
                }
            },
            Change::Delete { key, .. } => {
                let id = key.strip_prefix(&self.prefix).unwrap_or(key);
                log::info!(target: "fleet", id; "target's entry gone");
                shared.state().fleet.remove(id);
            }
        }
    }
}

/// Parses an object's content.
pub(crate) fn decode(value: &[u8]) -> Result<Value, Undecodable> {
    serde_json::from_slice(value)
        .map_err(|error| Undecodable { place: "content".to_owned(), reason: error.to_string() })
}

/// Parses objects of the gateway's own; unreadable ones are left out.
pub(crate) fn own<T: DeserializeOwned>(objects: &[Object]) -> Vec<(&Object, T)> {
    let read = objects.iter().filter_map(|object| match serde_json::from_slice(&object.value) {
        Ok(content) => Some((object, content)),
        Err(error) => {
            log::warn!(target: "store", key = object.key, error:%; "object not read");
            None
        }
    });
    read.collect()
}

/// Keeps this host's entry and the list of the others up to date.
///
/// `early` asks for that before its time: this host leaves, or an unknown one was heard.
pub(crate) async fn keep_membership(shared: Arc<Shared>, early: Arc<Notify>) {
    let mut version: Option<Version> = None;
    let mut written: Option<HostEntry> = None;
    loop {
        let entry = shared.entry();
        let before = version;
        if written.as_ref() != Some(&entry) {
            let done = write_entry(&shared, &entry, &mut version).await;
            written = done.then_some(entry);
        }
        let listed = shared.store.list_lagging(HOSTS).await;
        if let StoreReply::Listed { objects, .. } = listed {
            let entries = own::<HostEntry>(&objects).into_iter().map(|(object, entry)| {
                let name = object.key.strip_prefix(HOSTS).unwrap_or(&object.key);
                (name.to_owned(), object.version, entry)
            });
            let entries = entries.collect();
            shared.state().members.update(entries);
        }
        let pause = match &written {
            Some(_) => LIST_PACE,
            // An entry of an earlier process stands, or the answer was lost.
            None if version != before => LIST_PAUSE,
            None => REWRITE_PAUSE,
        };
        tokio::select! {
            () = sleep(pause) => {}
            () = early.notified() => {
                let hosts = shared.state().members.count() as u32;
                sleep(LIST_PAUSE.max(LIST_SHARE * hosts)).await;
            }
        }
    }
}

async fn write_entry(shared: &Shared, entry: &HostEntry, version: &mut Option<Version>) -> bool {
    let key = format!("{HOSTS}{}", shared.settings.name);
    match serde_json::to_vec(entry) {
        Ok(value) => crate::duty::put(shared, &key, version, value).await,
        Err(error) => {
            log::error!(target: "store", key, error:%; "entry not written");
            true
        }
    }
}
