//! Announces versions that join others to the store, and reads what other hosts have announced.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use chervilgate_coord::{StoreCall, StoreReply};
use tokio::time::{sleep, timeout};

use crate::{
    announced::StoredAnnouncements,
    duty::put_object,
    fleet::ServiceBuild,
    outage::Backoff,
    state::{Shared, State},
    watch::{decode_objects, hosts::LIST_INTERVAL_PER_HOST},
};

/// Key prefix of the announcements.
const ANNOUNCED: &str = "announced/";

/// Minimum interval between two reads of a host, and the same for each host: all may read at the same time.
const READ_INTERVAL: Duration = Duration::from_millis(200);
const READ_INTERVAL_PER_HOST: Duration = Duration::from_millis(1);

/// Longest time until something is noticed that nothing has announced.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Announces versions before this host begins streams there, and reads the announcements of all hosts when a
/// caller takes up a stream that nobody knows.
pub(crate) async fn maintain_announcements(shared: Arc<Shared>) {
    let mut latest_era = shared.store_era.subscribe();
    let mut backoff = Backoff::new();
    loop {
        if latest_era.has_changed().unwrap_or(false) {
            latest_era.mark_unchanged();
            shared.state().fleet.distrust_announced();
        }
        let is_done = match step(&shared) {
            Step::Wait(time) => {
                timeout(time, shared.announcements_due.notified()).await.ok();
                true
            }
            Step::ReadOwn => read_own(&shared).await,
            Step::Read => read(&shared).await,
            Step::Announce { spread } => {
                sleep(spread.mul_f64(rand::random())).await;
                announce(&shared).await
            }
        };
        if is_done {
            backoff.reset();
        } else {
            backoff.wait().await;
        }
    }
}

enum Step {
    Wait(Duration),
    /// Read what earlier processes of this host have announced.
    ReadOwn,
    /// Read what all hosts have announced.
    Read,
    /// Announce what is due, at a moment within this time.
    Announce {
        spread: Duration,
    },
}

fn step(shared: &Shared) -> Step {
    let now = shared.now();
    let state = &mut *shared.state();
    admit_unresumed(state);
    // Failed calls are billed too; the watch of the configuration finds the store recovered.
    if state.store_down || !state.targets_listed {
        return Step::Wait(CHECK_INTERVAL);
    }
    let hosts = state.membership.count() as u32;
    if state.announcements.is_read_due(now, READ_INTERVAL + READ_INTERVAL_PER_HOST * hosts) {
        return Step::Read;
    }
    let is_due = !state.fleet.builds_to_announce().is_empty();
    if is_due && !state.announcements.knows_earlier() {
        return Step::ReadOwn;
    }
    if is_due || state.announcements.is_outdated(now) {
        // All hosts read of a version at this moment.
        return Step::Announce { spread: LIST_INTERVAL_PER_HOST * hosts };
    }
    Step::Wait(if state.announcements.is_awaited() { READ_INTERVAL } else { CHECK_INTERVAL })
}

/// Lets requests begin at versions of services whose streams are not taken up.
fn admit_unresumed(state: &mut State) {
    let Some(config) = state.view.config() else { return };
    let due = state.fleet.builds_to_announce().iter();
    let unresumed: BTreeSet<ServiceBuild> =
        due.filter(|build| !config.resumes(&build.service)).cloned().collect();
    if !unresumed.is_empty() {
        state.fleet.record_announced(&unresumed);
    }
}

fn own_key(shared: &Shared) -> String {
    format!("{ANNOUNCED}{}", shared.settings.name)
}

async fn read_own(shared: &Shared) -> bool {
    let key = own_key(shared);
    let StoreReply::Found(object) = shared.store.call(&StoreCall::Get { key }).await else {
        return false;
    };
    let version = object.as_ref().map(|object| object.version);
    let stored = decode_objects::<StoredAnnouncements>(object.as_slice());
    let stored = stored.into_iter().map(|(_, stored)| stored).next().unwrap_or_default();
    let now = shared.now();
    shared.state().announcements.record_earlier(now, version, stored);
    true
}

async fn read(shared: &Shared) -> bool {
    let sent = shared.now();
    let call = StoreCall::List { prefix: ANNOUNCED.to_owned() };
    let StoreReply::Listed { objects, .. } = shared.store.call(&call).await else { return false };
    let read =
        decode_objects::<StoredAnnouncements>(&objects).into_iter().map(|(object, stored)| {
            let name = object.key.strip_prefix(ANNOUNCED).unwrap_or(&object.key);
            (name.to_owned(), stored)
        });
    shared.state().announcements.record_read(sent, read.collect());
    shared.origin_settled.notify_waiters();
    true
}

/// Announces what is due, beside what this host has announced before.
async fn announce(shared: &Shared) -> bool {
    let (builds, (mut version, stored)) = {
        let now = shared.now();
        let state = &mut *shared.state();
        let due = state.fleet.builds_to_announce().iter();
        let builds: BTreeSet<ServiceBuild> =
            due.chain(state.fleet.announced_builds()).cloned().collect();
        let stored = state.announcements.stored(now, shared.gossip_id(), &builds);
        (builds, stored)
    };
    let key = own_key(shared);
    let is_written = match serde_json::to_vec(&stored) {
        Ok(value) => put_object(shared, &key, &mut version, value).await,
        Err(error) => {
            log::error!(target: "store", key, error:%; "object not encoded");
            true
        }
    };
    let state = &mut *shared.state();
    state.announcements.record_version(version);
    if is_written {
        log::info!(target: "fleet", builds = builds.len(); "software versions announced");
        state.fleet.record_announced(&builds);
    }
    is_written
}
