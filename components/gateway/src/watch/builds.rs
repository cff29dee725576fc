//! Keeps the record of software versions in the store.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use chervilgate_coord::{Expect, Object, StoreCall, StoreReply, Version};
use tokio::time::{sleep, timeout};

use crate::{
    build_record::StoredBuilds,
    fleet::ServiceBuild,
    outage::Backoff,
    state::{Shared, State},
    watch::hosts::LIST_INTERVAL_PER_HOST,
};

/// Key of the record.
const RECORD: &str = "builds/served";

/// Longest time until a change is noticed that nothing has announced, such as a version that was gone
/// for long enough.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the record once the targets are listed, and then keeps it up to date while this host is one of
/// those that do.
pub(crate) async fn maintain_build_record(shared: Arc<Shared>) {
    let mut latest_era = shared.store_era.subscribe();
    let mut backoff = Backoff::new();
    let mut is_failing = false;
    loop {
        if is_failing {
            backoff.wait().await;
        } else {
            backoff.reset();
            // Without any notice it is time to check.
            timeout(CHECK_INTERVAL, shared.builds_due.notified()).await.ok();
        }
        if latest_era.has_changed().unwrap_or(false) {
            latest_era.mark_unchanged();
            shared.state().build_record.distrust();
        }
        is_failing = match step(&shared) {
            Step::Wait => false,
            Step::Learn => !learn(&shared).await,
            Step::Sync { hosts } => {
                // All that keep the record notice a change at once, and one of them suffices.
                sleep((LIST_INTERVAL_PER_HOST * hosts).mul_f64(rand::random())).await;
                !sync(&shared).await
            }
        };
    }
}

/// What is to be done about the record now.
enum Step {
    Wait,
    /// Read what served before the targets were listed.
    Learn,
    /// Compare it with what this host knows, as one of so many hosts.
    Sync {
        hosts: u32,
    },
}

fn step(shared: &Shared) -> Step {
    let now = shared.now();
    let state = &mut *shared.state();
    // Failed calls are billed too; the watch of the configuration finds the store recovered.
    if !state.targets_listed || state.store_down {
        return Step::Wait;
    }
    if state.build_record.is_unread() {
        return Step::Learn;
    }
    let keeps_record = state.membership.is_listed()
        && state.membership.pollers(now).includes_own
        && state.is_target_list_current(now, shared.settings.bounds.drain_time);
    if !keeps_record || !state.build_record.is_due(&state.fleet.live_builds(now)) {
        return Step::Wait;
    }
    Step::Sync { hosts: state.membership.count() as u32 }
}

/// Learns from the record what served before this host listed the targets. Returns whether that is
/// done.
async fn learn(shared: &Shared) -> bool {
    shared.state().build_record.start_read();
    let Some(record) = read(shared).await else {
        shared.state().build_record.record_list();
        return false;
    };
    let is_done = {
        let now = shared.now();
        let State { fleet, build_record, .. } = &mut *shared.state();
        // The targets may have been listed again meanwhile.
        let is_current = !build_record.is_unread();
        let is_complete = is_current && record.is_complete;
        let recorded = record.builds;
        let merge = build_record.merge(&recorded, &fleet.present_builds(), &fleet.live_builds(now));
        log::info!(
            target: "fleet", recorded = recorded.len(), gone = merge.unknown.len(), is_complete;
            "software versions learned"
        );
        fleet.adopt_builds(now, merge.unknown, is_complete);
        build_record.record_synced(recorded);
        is_current
    };
    shared.origin_settled.notify_waiters();
    shared.builds_due.notify_one();
    is_done
}

/// Makes the record and this host's knowledge agree. Returns whether they do.
async fn sync(shared: &Shared) -> bool {
    let Some(Record { version, builds, is_complete }) = read(shared).await else { return false };
    let (merged, live) = {
        let now = shared.now();
        let State { fleet, build_record, .. } = &mut *shared.state();
        let merge = build_record.merge(&builds, &fleet.present_builds(), &fleet.live_builds(now));
        fleet.adopt_builds(now, merge.unknown, false);
        (merge.merged, fleet.live_builds(now))
    };
    let is_written = is_complete && builds == merged || write(shared, version, &merged).await;
    if is_written {
        shared.state().build_record.record_synced(live);
    }
    is_written
}

/// The record as read.
struct Record {
    /// None if it does not exist.
    version: Option<Version>,
    /// The versions that it names, without those that cannot be read.
    builds: BTreeSet<ServiceBuild>,
    is_complete: bool,
}

/// Reads the record; none if the store does not answer.
async fn read(shared: &Shared) -> Option<Record> {
    match shared.store.call(&StoreCall::Get { key: RECORD.to_owned() }).await {
        StoreReply::Found(Some(object)) => {
            let stored = decode_record(&object);
            Some(Record {
                version: Some(object.version),
                is_complete: stored.as_ref().is_some_and(StoredBuilds::is_complete),
                builds: stored.unwrap_or_default().into_builds(),
            })
        }
        StoreReply::Found(None) => {
            Some(Record { version: None, builds: BTreeSet::new(), is_complete: true })
        }
        _ => None,
    }
}

fn decode_record(object: &Object) -> Option<StoredBuilds> {
    serde_json::from_slice::<StoredBuilds>(&object.value)
        .inspect_err(|error| {
            log::warn!(target: "store", key = object.key, error:%; "object not decoded");
        })
        .ok()
}

async fn write(shared: &Shared, version: Option<Version>, builds: &BTreeSet<ServiceBuild>) -> bool {
    let value = match serde_json::to_vec(&StoredBuilds::new(builds)) {
        Ok(value) => value,
        Err(error) => {
            log::error!(target: "store", key = RECORD, error:%; "object not encoded");
            return true;
        }
    };
    let expect = version.map_or(Expect::Absent, Expect::At);
    let call = StoreCall::Put { key: RECORD.to_owned(), expect, value };
    let is_written = matches!(shared.store.call(&call).await, StoreReply::Written(_));
    log::info!(target: "fleet", builds = builds.len(), is_written; "software versions recorded");
    is_written
}
