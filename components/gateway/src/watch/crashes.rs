//! Keeps the record of crashes that accuse parts of prompts in the store.

use std::{sync::Arc, time::Duration};

use chervilgate_coord::{Expect, StoreCall, StoreReply, Version};
use chervilgate_policy::CrashNotice;
use tokio::time::{sleep, timeout};

use crate::{
    crash_record::StoredCrashes,
    outage::Backoff,
    state::{Shared, State},
    watch::hosts::LIST_INTERVAL_PER_HOST,
};

/// Key of the record.
const RECORD: &str = "crashes/recent";

/// Longest time until a crash is noticed that nothing has announced.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the record once, and then adds crashes to it while this host is one of those that keep it.
pub(crate) async fn maintain_crash_record(shared: Arc<Shared>) {
    let mut latest_era = shared.store_era.subscribe();
    let mut backoff = Backoff::new();
    let mut is_failing = false;
    // What served before this host started matters from its first request on.
    shared.crashes_due.notify_one();
    loop {
        if is_failing {
            backoff.wait().await;
        } else {
            backoff.reset();
            // Without any notice it is time to check.
            timeout(CHECK_INTERVAL, shared.crashes_due.notified()).await.ok();
        }
        if latest_era.has_changed().unwrap_or(false) {
            latest_era.mark_unchanged();
            shared.state().crash_record.distrust();
        }
        let Some(spread) = spread_of_sync(&shared) else {
            is_failing = false;
            continue;
        };
        // All that keep the record hear of a crash at once, and one of them suffices.
        sleep(spread.mul_f64(rand::random())).await;
        is_failing = !sync(&shared).await;
    }
}

/// Time over which the hosts that keep the record spread the next comparison; none if it is not due.
fn spread_of_sync(shared: &Shared) -> Option<Duration> {
    let now = shared.now();
    let state = shared.state();
    if state.store_down {
        return None;
    }
    if state.crash_record.is_unread() {
        return Some(Duration::ZERO);
    }
    let keeps_record = state.membership.is_listed() && state.membership.pollers(now).includes_own;
    if !keeps_record || !state.crash_record.is_due(&state.poison.accusing_crashes()) {
        return None;
    }
    Some(LIST_INTERVAL_PER_HOST * state.membership.count() as u32)
}

/// Makes the record and this host's knowledge agree. Returns whether they do.
async fn sync(shared: &Shared) -> bool {
    let Some((version, recorded)) = read(shared).await else { return false };
    let (merge, live) = {
        let now = shared.now();
        let State { poison, crash_record, .. } = &mut *shared.state();
        let merge = crash_record.merge(&recorded, &poison.accusing_crashes());
        poison.learn_crashes(now, &merge.unknown);
        (merge, poison.accusing_crashes())
    };
    if !merge.unknown.is_empty() {
        log::info!(target: "fleet", crashes = merge.unknown.len(); "crashes learned");
    }
    let is_synced = !merge.is_changed || write(shared, version, &merge.merged).await;
    if is_synced {
        shared.state().crash_record.record_synced(&live);
    }
    is_synced
}

/// Reads the record; none if the store does not answer. A record that cannot be read holds nothing.
async fn read(shared: &Shared) -> Option<(Option<Version>, Vec<CrashNotice>)> {
    match shared.store.call(&StoreCall::Get { key: RECORD.to_owned() }).await {
        StoreReply::Found(Some(object)) => {
            let stored = serde_json::from_slice::<StoredCrashes>(&object.value);
            let stored = stored.inspect_err(|error| {
                log::warn!(target: "store", key = RECORD, error:%; "object not decoded");
            });
            Some((Some(object.version), stored.unwrap_or_default().into_crashes()))
        }
        StoreReply::Found(None) => Some((None, Vec::new())),
        _ => None,
    }
}

async fn write(shared: &Shared, version: Option<Version>, crashes: &[CrashNotice]) -> bool {
    let stored = StoredCrashes::new(crashes).ok();
    let Some(value) = stored.and_then(|stored| serde_json::to_vec(&stored).ok()) else {
        log::error!(target: "store", key = RECORD; "object not encoded");
        return true;
    };
    let expect = version.map_or(Expect::Absent, Expect::At);
    let call = StoreCall::Put { key: RECORD.to_owned(), expect, value };
    let is_written = matches!(shared.store.call(&call).await, StoreReply::Written(_));
    log::info!(target: "fleet", crashes = crashes.len(), is_written; "crashes recorded");
    is_written
}
